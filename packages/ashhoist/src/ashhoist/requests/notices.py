"""What answers say of their upstreams, beside the requests that they answer."""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..http import Head
from ..logs import Logger
from ..metrics import Metrics
from ..placement.asks import Target
from .call import Call
from .dialect import Dialect

REST_STATUSES = frozenset({429, 503})
"""Of answers that may ask for rest: elsewhere the header speaks to the caller."""
LONGEST_REST = timedelta(hours=1)
"""More than this is cut to it: a slip must not leave an upstream out for a day."""


@dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says of its upstream.

    Parameters
    ----------
    leaves : bool
        It is going to end and takes no new work.
    rest : timedelta or None
        For so long it wants nothing from this instance.
    """

    leaves: bool = False
    rest: timedelta | None = None


NOTHING = Notice()


def read_notice(dialect: Dialect, head: Head) -> Notice:
    """Return what the head of an answer says of its upstream."""
    leaves = head.value(dialect.leaving.lower()) == dialect.leaving_value
    rest = None
    if head.status in REST_STATUSES:
        rest = _seconds(head.value(dialect.retry_after.lower()))
    if not leaves and rest is None:
        return NOTHING
    return Notice(leaves, rest)


def _seconds(text: str) -> timedelta | None:
    """Return a time in seconds, fractions included; None if it says nothing."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    if math.isnan(seconds) or seconds <= 0:
        return None
    return timedelta(seconds=min(seconds, LONGEST_REST.total_seconds()))


class Notices:
    """Takes in what answers say of their upstreams."""

    def __init__(self, dialect: Dialect, metrics: Metrics, log: Logger) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._log = log

    def heard(self, call: Call, target: Target, head: Head) -> None:
        """Take in the head of an answer to `call`."""
        notice = read_notice(self._dialect, head)
        if notice.leaves:
            self._metrics.count("notices", "leaves")
            self._log.info(
                "upstream says it leaves",
                request=call.id,
                upstream=target.upstream,
                life=call.upstream_life,
                status=head.status,
            )
        if notice.rest is not None:
            self._metrics.count("notices", "rests")
            self._log.info(
                "upstream asks for rest",
                request=call.id,
                upstream=target.upstream,
                life=call.upstream_life,
                rest_ms=round(notice.rest / timedelta(milliseconds=1)),
                status=head.status,
            )
