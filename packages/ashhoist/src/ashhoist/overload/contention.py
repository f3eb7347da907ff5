"""When a service stops being contended."""

import math
from datetime import timedelta

from ..clock import Clock

CALM_FOR = timedelta(seconds=3)
BUSY_SHARE = 0.6
TIME_CONSTANT = timedelta(seconds=1)
"""Of the moving average of the share of the capacity in use. Its present value passes
`BUSY_SHARE` for moments at half the load as well."""


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

    def used(self, share: float) -> None:
        """Take the share of the capacity that is in use from now on."""
        now = self._clock.monotonic()
        kept = math.exp(-(now - self._updated_at) / TIME_CONSTANT)
        self._usage = self._in_use + (self._usage - self._in_use) * kept
        self._in_use = share
        self._updated_at = now
        if self._usage >= BUSY_SHARE:
            self._busy_at = now

    def happened(self) -> None:
        """Note that a request was queued or refused."""
        self._busy_at = self._clock.monotonic()

    @property
    def is_over(self) -> bool:
        """Return whether the service is no longer contended."""
        self.used(self._in_use)
        return self._clock.monotonic() - self._busy_at >= CALM_FOR
