"""The budget for second sends, shared by all instances.

Each instance takes an equal share that holds whether or not the others can be
heard: a part of its own requests, and its part of the fixed allowance.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock

SAFETY = 0.8
"""Share of the budget that is used; requests of a window are known late."""


@dataclass(slots=True)
class _Window:
    """Requests and second sends of one service, oldest first."""

    requests: deque[timedelta] = field(default_factory=deque)
    repeats: deque[timedelta] = field(default_factory=deque)


class RetryBudget:
    """Second sends that are still allowed, by service.

    Parameters
    ----------
    ratio : float
        Second sends allowed for each request.
    extra : float
        Second sends allowed besides, over all instances in a window.
    window : timedelta
        The span that is counted.
    instances : callable
        Returns the number of instances that share `extra`.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window: timedelta,
        instances: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._instances = instances
        self._clock = clock
        self._by_service: dict[str, _Window] = defaultdict(_Window)

    def set(self, ratio: float, extra: float, window: timedelta) -> None:
        """Change the budget."""
        self._ratio = ratio
        self._extra = extra
        self._window = window

    def requested(self, service: str) -> None:
        """Count a request for a service."""
        window = self._by_service[service]
        window.requests.append(self._clock.monotonic())
        self._forget(window)

    def allow(self, service: str) -> bool:
        """Take one second send from the budget, if there is one."""
        window = self._by_service[service]
        if not self._fits(window):
            return False
        window.repeats.append(self._clock.monotonic())
        return True

    def has_room(self, service: str) -> bool:
        """Return whether a second send would be allowed now."""
        return self._fits(self._by_service[service])

    def _fits(self, window: _Window) -> bool:
        self._forget(window)
        share = self._extra / max(self._instances(), 1)
        most = (share + self._ratio * len(window.requests)) * SAFETY
        return len(window.repeats) + 1 <= most

    def _forget(self, window: _Window) -> None:
        oldest = self._clock.monotonic() - self._window
        for times in (window.requests, window.repeats):
            while times and times[0] < oldest:
                times.popleft()
