"""Rates that all instances keep together: token buckets, and who grants from them."""

from .bucket import Bucket, Pace
from .shares import LEFT_FOR, Shares

__all__ = [
    "LEFT_FOR",
    "Bucket",
    "Pace",
    "Shares",
]
