"""Adapter placement: which engine serves which adapter, what to load, who waits."""

from .pending_requests import PendingRequest
from .residency import Residency

__all__ = ["Residency", "PendingRequest"]
