"""Upstreams that crash if they reject too many requests in a second.

Such an upstream says in all its answers how many it may reject. It gets no more
requests at a time than it runs, so that none has to wait for room there. If it rejects
one all the same, it is closed for a moment at all instances; see
`control.rejection_notices`.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

SHORT_PAUSE = timedelta(milliseconds=500)
LONG_PAUSE = timedelta(seconds=1)
FEW_REJECTIONS = 10
"""An upstream that may reject fewer in a second gets the long pause."""
VALID_FOR = timedelta(seconds=5)
"""How long a limit holds after the last answer that states it. Answers of before it
began may arrive in between, so one without it does not end it."""


@dataclass(frozen=True, slots=True)
class UpstreamFull:
    """An upstream has rejected a request and must reject no more for a moment.

    Parameters
    ----------
    pause : timedelta
        How long no instance sends to it.
    """

    upstream_id: str
    incarnation: str
    pause: timedelta


@dataclass(frozen=True, slots=True)
class _Statement:
    """How many rejections an answer has stated, and when it arrived."""

    per_second: float
    heard_at: timedelta


class RejectionLimits:
    """The rejections per second that the upstreams of services bear.

    The upstreams of a service state the same, so that what one says holds for those
    that have said nothing yet.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_service: dict[str, _Statement] = {}

    def set(self, service: str, per_second: float) -> None:
        """Set the limit that an answer states."""
        now = self._clock.monotonic()
        self._by_service[service] = _Statement(per_second, now)

    def is_limited(self, service: str) -> bool:
        """Return whether the upstreams of a service bear only some rejections."""
        return self._current(service) is not None

    def pause_after(self, service: str) -> timedelta | None:
        """Return how long an upstream gets nothing after a rejection, or None."""
        stated = self._current(service)
        if stated is None:
            return None
        return LONG_PAUSE if stated.per_second < FEW_REJECTIONS else SHORT_PAUSE

    def _current(self, service: str) -> _Statement | None:
        stated = self._by_service.get(service)
        if stated is None:
            return None
        if self._clock.monotonic() - stated.heard_at > VALID_FOR:
            del self._by_service[service]
            return None
        return stated
