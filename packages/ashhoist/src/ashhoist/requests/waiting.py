"""Waiting for the control task on behalf of a request, until its caller disconnects."""

from concurrent.futures import Future
from datetime import timedelta
from typing import Any, Protocol

from ..clock import Clock
from ..loop import Steps, Wait
from .results import CallerLeft


class CallerWatch(Protocol):
    """The part of a caller's connection that tells whether its caller has left."""

    @property
    def watched(self) -> int | None:
        """Return the descriptor to watch for the caller's leaving, or None."""

    def left(self) -> bool:
        """Return whether the caller has closed the connection."""


def wait_for(
    answer: "Future[Any]", until: timedelta, caller: CallerWatch, clock: Clock
) -> Steps[CallerLeft | None]:
    """Wait for an answer of the control task until `until`.

    Returns
    -------
    CallerLeft or None
        None while the caller is still connected, whether or not there is an answer.
    """
    while not answer.done() and clock.monotonic() < until:
        watched = () if caller.watched is None else (caller.watched,)
        ready = yield Wait(until, watched, future=answer)
        if ready is not None and caller.left():
            return CallerLeft()
    return None
