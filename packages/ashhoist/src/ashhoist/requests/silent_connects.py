"""Requests to whose upstreams no connection comes up, though none is refused.

A sound upstream, or the network before it, may be silent for a second. A request that
has been sent to nobody asks again meanwhile, instead of being refused.
"""

from datetime import timedelta

from ..clock import ZERO
from ..failures import Reason
from .call import Call
from .results import NotRun, Result

CONNECT_TIMEOUT = timedelta(milliseconds=700)
MIN_CONNECT_TIME = timedelta(milliseconds=50)
"""The least time for a connection where little is left; that to a sound upstream comes
up sooner."""
UNCONNECTED_REASONS = frozenset(
    {Reason.NO_PLACE, Reason.NO_UPSTREAM, Reason.UPSTREAMS_CUT_OFF}
)
"""Why there may be no upstream after an attempt without a connection."""
MAX_WAIT = timedelta(seconds=2)
"""After the first such attempt began. The system repeats a lost opening packet only a
second later, so an attempt bears no silence of `CONNECT_TIMEOUT`."""
MAX_WAIT_SHARE = 2 / 3
"""Share of a request's time that may pass so; the rest is for its caller's next try."""


def record_attempt(call: Call, result: Result, now: timedelta) -> None:
    """Record if an attempt was the first to which no connection came up in time."""
    if not isinstance(result, NotRun) or result.reached_upstream:
        return
    if call.unconnected_since is not None or call.sent_at is None:
        return
    if now - call.sent_at >= CONNECT_TIMEOUT:
        call.unconnected_since = call.sent_at


def waits_until(call: Call) -> timedelta:
    """Return until when a call asks again; zero if all its attempts got connections."""
    if call.unconnected_since is None:
        return ZERO
    share = (call.deadline - call.received_at) * MAX_WAIT_SHARE
    return min(call.unconnected_since + MAX_WAIT, call.received_at + share)


def asks_until(call: Call) -> timedelta:
    """Return until when a call that was refused may ask again."""
    return call.deadline if call.holds_out else waits_until(call)


def connects_until(call: Call, now: timedelta) -> timedelta:
    """Return until when an attempt that begins now waits for its connection.

    The attempts after a wait end with the time for that, or the caller would have none
    left for its next try.
    """
    until = min(call.deadline, now + CONNECT_TIMEOUT)
    if not call.pauses or call.holds_out:
        return until
    return min(until, max(waits_until(call), now + MIN_CONNECT_TIME))
