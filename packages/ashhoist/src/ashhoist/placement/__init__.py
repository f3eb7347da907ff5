"""Adapter placement: which engine serves which adapter, what to load, who waits."""

from .residency import Residency
from .wants import Want

__all__ = ["Residency", "Want"]
