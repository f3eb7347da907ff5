"""A token bucket: what a rate with a burst allows; and the pace at which units go."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

PACE_OVER = timedelta(seconds=4)
"""What has gone within so long says at which pace it goes."""


@dataclass(slots=True)
class Pace:
    """How many units go in a second, of late."""

    _gone: deque[tuple[timedelta, float]] = field(default_factory=deque)
    _total: float = 0.0

    def note(self, units: float, now: timedelta) -> None:
        """Take in that units have gone, or have come back if there are less than 0."""
        self._gone.append((now, units))
        self._total += units

    def of(self, now: timedelta) -> float:
        """Return the units that go in a second."""
        while self._gone and now - self._gone[0][0] > PACE_OVER:
            self._total -= self._gone.popleft()[1]
        return max(self._total, 0.0) / PACE_OVER.total_seconds()


@dataclass(slots=True)
class Bucket:
    """Holds up to `burst` units; they come in at `rate` a second.

    Parameters
    ----------
    level : float
        Units that it holds.
    at : timedelta
        When that was, on the steady clock.
    """

    rate: float
    burst: float
    level: float
    at: timedelta

    def resize(self, rate: float, burst: float, now: timedelta) -> None:
        """Change what it takes in and holds from now on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def _refill(self, now: timedelta) -> None:
        came = (now - self.at).total_seconds() * self.rate
        self.level = min(self.level + max(came, 0.0), self.burst)
        self.at = now

    def take(self, units: float, now: timedelta) -> bool:
        """Take units out, if all are there.

        One that asks for more than the bucket ever holds gets it when that is full:
        else it would never be served. It leaves a debt behind.
        """
        self._refill(now)
        if self.level < min(units, self.burst):
            return False
        self.level -= units
        return True

    def spare(self, now: timedelta) -> float:
        """Return the units that it holds."""
        self._refill(now)
        return max(self.level, 0.0)

    def give_back(self, units: float, now: timedelta) -> None:
        """Put units back that were taken and not used."""
        self._refill(now)
        self.level = min(self.level + units, self.burst)

    def wait(self, units: float, now: timedelta) -> timedelta | None:
        """Return how long until units can be taken; None if that will never be."""
        self._refill(now)
        lacking = min(units, self.burst) - self.level
        if lacking <= 0:
            return timedelta()
        if self.rate <= 0:
            return None
        return timedelta(seconds=lacking / self.rate)
