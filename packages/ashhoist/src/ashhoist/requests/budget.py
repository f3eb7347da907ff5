"""The retry budget, shared by all instances.

Each instance spends a share of its own, so that the budget holds even while the others
cannot be reached: a ratio of its own requests, plus an equal part of the fixed
allowance. A process does not know what the previous process of its instance has spent,
so its part of the fixed allowance grows from nothing.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock

USABLE_SHARE = 0.8
"""Share of the budget that is spent. The rest is a safety margin, as the requests of a
window become known late."""
RAMP_WINDOWS = 4
"""Windows until a new process has its whole part of the fixed allowance. However often
an instance restarts, its processes together then spend at most `1 + 1 / RAMP_WINDOWS`
parts in a window, which `USABLE_SHARE` reduces to one."""


@dataclass(slots=True)
class _Window:
    """The requests and retries of one service.

    Parameters
    ----------
    requests, retries : deque of timedelta
        When requests came and retries were sent, oldest first.
    reserved : int
        Retries that are paid for and not sent yet.
    """

    requests: deque[timedelta] = field(default_factory=deque)
    retries: deque[timedelta] = field(default_factory=deque)
    reserved: int = 0

    @property
    def spent(self) -> int:
        """Return the retries that count against the budget."""
        return len(self.retries) + self.reserved


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """What the budget of a service allows, and what was spent of it.

    Parameters
    ----------
    requests, retries : int
        Within the current window.
    allowed : float
        Retries that the window allows.
    instances : int
        Number of instances that share the fixed allowance; 0 if not known.
    age : timedelta
        How long this process has counted.
    """

    requests: int
    retries: int
    allowed: float
    instances: int
    age: timedelta


class RetryBudget:
    """Retries that are still allowed, by service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    extra : float
        Additional retries allowed per window, over all instances together.
    window : timedelta
        Length of the sliding window.
    instances : callable
        Returns the number of instances that share `extra`, or 0 while it is not known;
        this instance then spends nothing of it.
    started_at : timedelta or None
        When this process started, on the monotonic clock; None for now.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window: timedelta,
        instances: Callable[[], int],
        clock: Clock,
        started_at: timedelta | None = None,
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._instances = instances
        self._clock = clock
        self._started_at = clock.monotonic() if started_at is None else started_at
        self._by_service: dict[str, _Window] = defaultdict(_Window)

    def set(self, ratio: float, extra: float, window: timedelta) -> None:
        """Replace the settings of the budget."""
        self._ratio = ratio
        self._extra = extra
        self._window = window

    def record_request(self, service: str) -> None:
        """Count a request to a service."""
        window = self._by_service[service]
        window.requests.append(self._clock.monotonic())
        self._expire(window)

    def withdraw_request(self, service: str) -> None:
        """Stop counting a request that another instance counts from now on."""
        requests = self._by_service[service].requests
        if requests:
            requests.pop()

    def try_reserve(self, service: str, share: float = 1.0) -> bool:
        """Reserve one retry of a service; return False if the budget is exhausted.

        It counts until a window after it was sent: retries that wait for an upstream
        may all be sent at the same moment.

        Parameters
        ----------
        share : float
            The share of the budget that may be in use afterwards.
        """
        window = self._by_service[service]
        if not self._has_capacity(window, share):
            return False
        window.reserved += 1
        return True

    def record_sent(self, service: str) -> None:
        """Count a reserved retry from now on."""
        window = self._by_service[service]
        window.reserved -= 1
        window.retries.append(self._clock.monotonic())

    def cancel(self, service: str) -> None:
        """Give back a reserved retry that is not sent."""
        self._by_service[service].reserved -= 1

    def has_capacity(self, service: str) -> bool:
        """Return whether a retry would be allowed now."""
        return self._has_capacity(self._by_service[service])

    def use(self, service: str) -> BudgetUse:
        """Return what a service's budget allows and has spent in the current window."""
        window = self._by_service[service]
        self._expire(window)
        return BudgetUse(
            len(window.requests),
            window.spent,
            self._allowed(window),
            self._instances(),
            self._clock.monotonic() - self._started_at,
        )

    def _has_capacity(self, window: _Window, share: float = 1.0) -> bool:
        self._expire(window)
        return window.spent + 1 <= self._allowed(window) * share

    def _allowed(self, window: _Window) -> float:
        by_requests = self._ratio * len(window.requests)
        return (by_requests + self._own_extra()) * USABLE_SHARE

    def _own_extra(self) -> float:
        """Return this process's part of the fixed allowance."""
        instances = self._instances()
        if not instances:
            return 0.0
        age = self._clock.monotonic() - self._started_at
        grown = min(age / (self._window * RAMP_WINDOWS), 1.0)
        return self._extra / instances * grown

    def _expire(self, window: _Window) -> None:
        oldest = self._clock.monotonic() - self._window
        for times in (window.requests, window.retries):
            while times and times[0] < oldest:
                times.popleft()
