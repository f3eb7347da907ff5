"""Sends to engines with a rate limit, as the scheduler sees them."""

from datetime import timedelta
from typing import Protocol


class EnginePermits(Protocol):
    """How many more requests each engine accepts now."""

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an engine has a limit on requests per second."""

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return how long until one request can be sent there behind `ahead` others."""

    def take(self, upstream_id: str) -> bool:
        """Take a permit for one send; return False if none is available yet."""


class NoLimits:
    """Permits where no engine has a rate limit."""

    def is_limited(self, upstream_id: str) -> bool:
        """Return False."""
        return False

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return zero."""
        return timedelta()

    def take(self, upstream_id: str) -> bool:
        """Return True."""
        return True
