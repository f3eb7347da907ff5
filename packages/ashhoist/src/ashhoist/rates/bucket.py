"""A token bucket for a rate with a burst, and a meter of the recent rate."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

RATE_WINDOW = timedelta(seconds=4)
"""The window over which the recent rate is averaged."""


@dataclass(slots=True)
class RateMeter:
    """The recent rate at which units are spent."""

    _events: deque[tuple[timedelta, float]] = field(default_factory=deque)
    _total: float = 0.0

    def record(self, units: float, now: timedelta) -> None:
        """Record that units were spent, or refunded if negative."""
        self._events.append((now, units))
        self._total += units

    def per_second(self, now: timedelta) -> float:
        """Return the units spent per second."""
        while self._events and now - self._events[0][0] > RATE_WINDOW:
            self._total -= self._events.popleft()[1]
        return max(self._total, 0.0) / RATE_WINDOW.total_seconds()


@dataclass(slots=True)
class Bucket:
    """Holds up to `burst` units and refills at `rate` units per second.

    Parameters
    ----------
    level : float
        The units that it holds; negative after a request larger than the burst.
    at : timedelta
        The time of that level, on the monotonic clock.
    """

    rate: float
    burst: float
    level: float
    at: timedelta

    def resize(self, rate: float, burst: float, now: timedelta) -> None:
        """Change the rate and the burst from now on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def _refill(self, now: timedelta) -> None:
        added = (now - self.at).total_seconds() * self.rate
        self.level = min(self.level + max(added, 0.0), self.burst)
        self.at = now

    def take(self, units: float, now: timedelta) -> bool:
        """Take units if all of them are available.

        A request for more units than the burst is granted when the bucket is full, as
        it could never be granted otherwise. It leaves the level negative.
        """
        self._refill(now)
        if self.level < min(units, self.burst):
            return False
        self.level -= units
        return True

    def available(self, now: timedelta) -> float:
        """Return the units that are available."""
        self._refill(now)
        return max(self.level, 0.0)

    def give_back(self, units: float, now: timedelta) -> None:
        """Return units that were taken and not used."""
        self._refill(now)
        self.level = min(self.level + units, self.burst)

    def wait(self, units: float, now: timedelta) -> timedelta | None:
        """Return how long until units can be taken; None if that is never."""
        self._refill(now)
        lacking = min(units, self.burst) - self.level
        if lacking <= 0:
            return timedelta()
        if self.rate <= 0:
            return None
        return timedelta(seconds=lacking / self.rate)
