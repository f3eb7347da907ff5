"""Sends to upstreams that have named a limit: each is asked of whoever leads."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..http import CallerConnection
from ..loop import Steps
from ..upstreams import NOT_GRANTED, Permit, PermitWanted, RateLimits, Upstream
from .attempt import CallerLeft
from .waiting import wait_for

PATIENCE = timedelta(milliseconds=60)
"""How long a request waits for a permit: many round trips between zones, and little
beside the aim of a request."""


class LimitedSends:
    """What this instance may send to limited upstreams.

    Parameters
    ----------
    send : callable
        Takes messages to the control task.
    """

    def __init__(
        self, limits: RateLimits, send: Callable[[Any], None], clock: Clock
    ) -> None:
        self._limits = limits
        self._send = send
        self._clock = clock
        self._ask_at: dict[str, timedelta] = {}

    def limited(self, upstream_id: str) -> bool:
        """Return whether an upstream takes only so many requests a second."""
        return self._limits.of(upstream_id) is not None

    def wait(self, upstream_id: str) -> timedelta:
        """Return when it is worth asking for a send; 0 if it is now."""
        if not self.limited(upstream_id):
            return ZERO
        left = self._ask_at.get(upstream_id, ZERO) - self._clock.monotonic()
        return max(left, ZERO)

    def least_wait(self, upstreams: Iterable[Upstream]) -> timedelta | None:
        """Return when one of some upstreams can be asked for; None if there is none."""
        return min((self.wait(upstream.id) for upstream in upstreams), default=None)

    def ask(
        self, upstream_id: str, caller: CallerConnection
    ) -> Steps[Permit | CallerLeft]:
        """Ask for one send; an answer that does not come soon is a refusal."""
        wanted = PermitWanted(upstream_id)
        self._send(wanted)
        until = self._clock.monotonic() + PATIENCE
        left = yield from wait_for(wanted.answer, until, caller, self._clock)
        if left is not None:
            wanted.answer.cancel()
            return left
        permit = NOT_GRANTED
        if not wanted.answer.cancel():
            permit = wanted.answer.result()
        if not permit.granted:
            self._note_refused(upstream_id, permit.wait)
        return permit

    def _note_refused(self, upstream_id: str, wait: timedelta) -> None:
        now = self._clock.monotonic()
        self._ask_at = {id: at for id, at in self._ask_at.items() if at > now}
        self._ask_at[upstream_id] = now + wait
