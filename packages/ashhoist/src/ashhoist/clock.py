"""The clock as an interface, so that decisions never read the real time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

ZERO = timedelta()
STEADY = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Counts the time for which the machine is suspended: leases and proofs end meanwhile.
Where a system has no such clock, it is the one that stands still."""


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC. It may jump; use it for display."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start.

        It never goes back, and does not stand still while the machine is suspended.
        """


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start."""
        return timedelta(microseconds=time.clock_gettime_ns(STEADY) // 1000)


class ManualClock:
    """A clock that moves only when told to, for tests and benches."""

    def __init__(self, start: timedelta = ZERO) -> None:
        self._elapsed = start

    def now(self) -> datetime:
        """Return a wall-clock time that follows the elapsed time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the elapsed time."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move forward by `step`.

        Raises
        ------
        ValueError
            If `step` is negative.
        """
        if step < ZERO:
            raise ValueError("a clock cannot go back")
        self._elapsed += step
