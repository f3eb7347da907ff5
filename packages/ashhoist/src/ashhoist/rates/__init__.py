"""Rate limits that all instances enforce together: token buckets and their shares."""

from .bucket import Bucket, Pace
from .shares import LEFT_FOR, Shares

__all__ = [
    "LEFT_FOR",
    "Bucket",
    "Pace",
    "Shares",
]
