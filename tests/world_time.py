"""Simulated time: a manual clock and a queue of steps that are due at given times."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from ashhoist.clock import ManualClock

Step = Callable[[], None]


class Timeline:
    """Runs steps when they are due on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._due: list[tuple[float, int, Step]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Return the elapsed time in seconds."""
        return self.clock.monotonic().total_seconds()

    def after(self, seconds: float, step: Step) -> None:
        """Run a step after a delay."""
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), step))

    def run(self, seconds: float, until: Callable[[], bool]) -> bool:
        """Let time pass until `until` is true; return whether it is.

        Time passes for `seconds` at most.
        """
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            if until():
                return True
            at, _, step = heapq.heappop(self._due)
            if at > self.now:
                self.clock.advance(timedelta(seconds=at) - self.clock.monotonic())
            step()
        rest = timedelta(seconds=end) - self.clock.monotonic()
        self.clock.advance(max(rest, timedelta()))
        return until()
