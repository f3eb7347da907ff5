"""What answers say of their upstreams, beside the requests that they answer."""

import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..http import Head
from ..logs import Logger
from ..metrics import Metrics
from ..placement.asks import Target
from ..upstreams import NamedLimit, RateLimits, Rests, UpstreamLeaves
from .call import Call
from .dialect import Dialect
from .unread_headers import UnreadHeaders

RESTING = 503
"""Elsewhere the header speaks of the request, not of the instance that sent it."""
MISDIRECTED = 421
"""An answer of whoever has the address now, which need not be the upstream meant."""
LONGEST_REST = timedelta(hours=1)
"""More than this is cut to it: a slip must not leave an upstream out for a day."""
HIGHEST_LIMIT = 1e6
"""Requests a second; whoever names more is not limited by it."""
FIRST_UNSUCCESSFUL = 300
"""Below are answers that say by naming no limit that there is none."""

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A limit that is no decimal number; it says nothing."""

    text: str


def says_it_leaves(dialect: Dialect, head: Head) -> bool:
    """Return whether the upstream that was meant says that it leaves."""
    if head.status == MISDIRECTED:
        return False
    return head.value(dialect.leaving.lower()) == dialect.leaving_value


def rest_wanted(dialect: Dialect, head: Head) -> timedelta | None:
    """Return for how long an upstream wants nothing; None if it does not say."""
    if head.status != RESTING:
        return None
    try:
        seconds = float(head.value(dialect.retry_after.lower()))
    except ValueError:
        return None
    if math.isnan(seconds) or seconds <= 0:
        return None
    return timedelta(seconds=min(seconds, LONGEST_REST.total_seconds()))


def limit_named(dialect: Dialect, head: Head) -> float | UnreadableLimit | None:
    """Return the requests a second that an upstream takes; None if it names none.

    Of several the smallest counts.
    """
    if head.status == MISDIRECTED:
        return None
    texts = list(_texts(head, dialect.limit.lower()))
    if not texts:
        return None
    if not all(_DECIMAL.fullmatch(text) for text in texts):
        return UnreadableLimit(", ".join(texts))
    return min(HIGHEST_LIMIT, *map(float, texts))


def _texts(head: Head, name: str) -> Iterator[str]:
    """Yield the values of a header that may stand several times in a head."""
    for header, value in head.headers:
        if header.lower() == name:
            yield from (part.strip() for part in value.split(","))


class Notices:
    """Takes in what answers say of their upstreams.

    Parameters
    ----------
    send : callable
        Takes messages to the control task.
    """

    def __init__(
        self,
        dialect: Dialect,
        rests: Rests,
        limits: RateLimits,
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._dialect = dialect
        self._rests = rests
        self._limits = limits
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._unread = UnreadHeaders(dialect, metrics, log)

    def heard(self, call: Call, target: Target, head: Head) -> None:
        """Take in the head of an answer to `call`."""
        self._unread.look_at(target.upstream, head)
        if says_it_leaves(self._dialect, head):
            self._metrics.count("notices", "leaves")
            self._send(UpstreamLeaves(target.upstream, call.upstream_life))
        self._heard_limit(call, target, head)
        rest = rest_wanted(self._dialect, head)
        if rest is None:
            return
        self._metrics.count("notices", "rests")
        self._rests.begin(target.upstream, call.upstream_life, rest)
        self._log.info(
            "upstream wants rest",
            request=call.id,
            upstream=target.upstream,
            life=call.upstream_life,
            rest_ms=round(rest / timedelta(milliseconds=1)),
        )

    def _heard_limit(self, call: Call, target: Target, head: Head) -> None:
        limit = limit_named(self._dialect, head)
        life = call.upstream_life
        if isinstance(limit, UnreadableLimit):
            self._metrics.count("notices", "unreadable_limit")
            self._log.info(
                "limit not readable",
                request=call.id,
                upstream=target.upstream,
                limit=limit.text,
            )
            return
        if limit is None and not self._says_no_limit(life, head):
            return
        assert call.sent_at is not None
        if limit is not None:
            self._metrics.count("notices", "limit")
        now = self._clock.monotonic()
        self._send(NamedLimit(life, limit, call.sent_at, now))

    def _says_no_limit(self, life: str, head: Head) -> bool:
        """Return whether an answer that names no limit is worth noting."""
        return head.status < FIRST_UNSUCCESSFUL and self._limits.knows(life)
