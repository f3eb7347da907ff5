"""Time in a test world: nothing runs by itself, steps are due at moments."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from ashhoist.clock import ManualClock

Step = Callable[[], None]


class Timeline:
    """A manual clock, and the steps that are due on it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._due: list[tuple[float, int, Step]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Return the seconds that have passed."""
        return self.clock.monotonic().total_seconds()

    def after(self, seconds: float, step: Step) -> None:
        """Do a step later."""
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), step))

    def run(self, seconds: float, until: Callable[[], bool]) -> bool:
        """Let time pass; return whether `until` came true."""
        limit = self.now + seconds
        while self._due and self._due[0][0] <= limit:
            if until():
                return True
            at, _, step = heapq.heappop(self._due)
            if at > self.now:
                self.clock.advance(timedelta(seconds=at) - self.clock.monotonic())
            step()
        rest = timedelta(seconds=limit) - self.clock.monotonic()
        self.clock.advance(max(rest, timedelta()))
        return until()
