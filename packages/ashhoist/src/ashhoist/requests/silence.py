"""How long an upstream may make no progress before another one is looked for.

Without another upstream that has a place for it, a request stays where it is: a late
response is worth more to its caller than an error.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..placement.messages import Target
from ..routing import Route
from .place_search import PlaceSearch

EXPECTED_TIME_FACTOR = 2.0
"""An upstream may be silent for this multiple of the expected time to the first event,
plus `MIN_SILENCE_TIMEOUT`."""
TARGET_LATENCY_FACTOR = 1.0
"""Where no time is expected: an upstream may be silent for this multiple of the route's
target latency, but at least for `MIN_SILENCE_TIMEOUT`."""
MIN_SILENCE_TIMEOUT = timedelta(milliseconds=500)
STALL_FACTOR = 3
"""A stream has stalled once it pauses for longer than this multiple of the longest
pause that counts as in time."""
MIN_STALL_TIMEOUT = timedelta(milliseconds=800)


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """The limit on the silence of the upstream of one attempt.

    Parameters
    ----------
    timeout : timedelta
        How long the upstream may make no progress with its response.
    begin_search : callable
        Begins to look for another upstream then; returns None if the request may not
        leave. Unless one is found, the request waits for another `timeout`.
    upstream_has_ended : callable
        Returns whether the upstream has ended, so that the request leaves then even if
        no other one is found.
    """

    timeout: timedelta
    begin_search: Callable[[], PlaceSearch | None]
    upstream_has_ended: Callable[[], bool] = lambda: False


def response_timeout(route: Route, target: Target) -> timedelta:
    """Return how long an upstream may be silent before its response begins."""
    if target.expected is not None:
        return target.expected * EXPECTED_TIME_FACTOR + MIN_SILENCE_TIMEOUT
    return max(route.target_latency * TARGET_LATENCY_FACTOR, MIN_SILENCE_TIMEOUT)


def stall_timeout(route: Route) -> timedelta:
    """Return how long an upstream may pause in a stream."""
    return max(route.target_event_gap * STALL_FACTOR, MIN_STALL_TIMEOUT)
