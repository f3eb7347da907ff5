"""Permits to send to rate-limited upstreams; the leader is asked for each send."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..loop import Steps
from ..upstreams import NOT_GRANTED, Permit, PermitRequest, RateLimits, Upstream
from .results import CallerLeft
from .waiting import CallerWatch, wait_for

PERMIT_TIMEOUT = timedelta(milliseconds=60)
"""How long a request waits for a permit. This covers many round trips between zones and
is short compared with a request's target latency."""


class SendPermits:
    """Obtains permits to send to rate-limited upstreams.

    Parameters
    ----------
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self, limits: RateLimits, send: Callable[[Any], None], clock: Clock
    ) -> None:
        self._limits = limits
        self._send = send
        self._clock = clock
        self._retry_at: dict[str, timedelta] = {}

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an upstream limits the requests that it accepts per second."""
        return self._limits.of(upstream_id) is not None

    def retry_in(self, upstream_id: str) -> timedelta:
        """Return the time until a permit may be requested again; 0 if it may be now."""
        if not self.is_limited(upstream_id):
            return ZERO
        remaining = self._retry_at.get(upstream_id, ZERO) - self._clock.monotonic()
        return max(remaining, ZERO)

    def soonest_retry(self, upstreams: Iterable[Upstream]) -> timedelta | None:
        """Return the shortest such time of some upstreams; None if there are none."""
        return min((self.retry_in(upstream.id) for upstream in upstreams), default=None)

    def request_permit(
        self, upstream_id: str, caller: CallerWatch
    ) -> Steps[Permit | CallerLeft]:
        """Request a permit for one send; no answer in time counts as a refusal."""
        request = PermitRequest(upstream_id)
        self._send(request)
        deadline = self._clock.monotonic() + PERMIT_TIMEOUT
        permit = NOT_GRANTED
        try:
            caller_left = yield from wait_for(
                request.answer, deadline, caller, self._clock
            )
        finally:
            if not request.answer.cancel():
                permit = request.answer.result()
        if caller_left is not None:
            return caller_left
        if not permit.granted:
            self._record_refusal(upstream_id, permit.wait)
        return permit

    def _record_refusal(self, upstream_id: str, wait: timedelta) -> None:
        now = self._clock.monotonic()
        self._retry_at = {id: at for id, at in self._retry_at.items() if at > now}
        self._retry_at[upstream_id] = now + wait
