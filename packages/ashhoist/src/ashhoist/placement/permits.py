"""Sends to engines that have named a limit, as whoever places requests sees them."""

from datetime import timedelta
from typing import Protocol


class EnginePermits(Protocol):
    """How many more requests engines take just now."""

    def limited(self, upstream_id: str) -> bool:
        """Return whether an engine takes only so many requests a second."""

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return when one request can be sent there behind `ahead` others."""

    def take(self, upstream_id: str) -> bool:
        """Take one send; return False if it can't be sent yet."""


class NoLimits:
    """Engines that take whatever comes."""

    def limited(self, upstream_id: str) -> bool:
        """Return False."""
        return False

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return no time at all."""
        return timedelta()

    def take(self, upstream_id: str) -> bool:
        """Return True."""
        return True
