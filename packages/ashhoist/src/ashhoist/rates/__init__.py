"""Rate limits that all instances enforce together: token buckets and their shares."""

from .bucket import Bucket, RateMeter
from .shares import SHARE_DELEGATION_TIME, DelegatedShares

__all__ = [
    "SHARE_DELEGATION_TIME",
    "Bucket",
    "RateMeter",
    "DelegatedShares",
]
