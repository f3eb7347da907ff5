"""When a service stops being contended."""

import math
from datetime import timedelta

from ..clock import Clock

CALM_FOR = timedelta(seconds=3)
"""How long the load has to be low. Otherwise contention would end between two bursts,
and each new beginning costs refusals by full upstreams."""
BUSY_SHARE = 0.6
"""Share of the capacity from which on the load is not low. Well below 1, so that a
service close to its capacity does not alternate between the two states."""
TIME_CONSTANT = timedelta(seconds=1)
"""Of the moving average of the share of the capacity in use. The current share exceeds
`BUSY_SHARE` briefly at half the load as well."""


class Contention:
    """Whether a service is still contended.

    It ends when for some time nothing was queued or refused, and little of the capacity
    was in use.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._busy_at = self._updated_at = clock.monotonic()
        self._in_use = 0.0
        self._usage = 0.0

    def record_usage(self, share: float) -> None:
        """Record the share of the capacity that is in use from now on."""
        now = self._clock.monotonic()
        self._usage = self._average_usage(now)
        self._in_use = share
        self._updated_at = now
        if self._usage >= BUSY_SHARE:
            self._busy_at = now

    def record_congestion(self) -> None:
        """Record that a request was queued or refused."""
        self._busy_at = self._clock.monotonic()

    @property
    def is_over(self) -> bool:
        """Return whether the service is no longer contended."""
        now = self._clock.monotonic()
        if self._average_usage(now) >= BUSY_SHARE:
            return False
        return now - self._busy_at >= CALM_FOR

    def _average_usage(self, now: timedelta) -> float:
        """Return the moving average of the share of the capacity in use."""
        kept = math.exp(-(now - self._updated_at) / TIME_CONSTANT)
        return self._in_use + (self._usage - self._in_use) * kept
