"""What response heads announce about the upstreams that sent them."""

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
from ..overload.sends import ServiceOverloaded
from ..placement.messages import Target
from ..upstreams import (
    Backoffs,
    RateLimits,
    RejectionLimits,
    StatedLimit,
    UpstreamFull,
    UpstreamLeaving,
)
from .call import Call
from .header_names import HeaderNames
from .results import MISDIRECTED_STATUS
from .unread_headers import UnreadHeaders

BACKOFF_STATUS = 503
"""The only status with which ``Retry-After`` applies to this instance; with others it
concerns the single request."""
MAX_BACKOFF = timedelta(hours=1)
"""Longer times are reduced to this, so that a faulty value does not exclude an upstream
for a day."""
MAX_LIMIT = 1e6
"""Requests per second. Higher limits are reduced to this and have no effect."""
ADMISSION_INTERVAL = timedelta(seconds=1)
"""How often the leader is told to admit the requests to a service that bears only some
rejections. Without need for it, admission ends after a few seconds."""
FIRST_NON_SUCCESS_STATUS = 300
"""A response with a lower status and no limit header states that there is no limit."""

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A header with a limit that is not a decimal number, and is therefore ignored."""

    text: str


def announces_leaving(header_names: HeaderNames, head: Head) -> bool:
    """Return whether the intended upstream announces that it is shutting down."""
    if head.status == MISDIRECTED_STATUS:
        return False
    return head.value(header_names.leaving.lower()) == header_names.leaving_value


def requested_backoff(header_names: HeaderNames, head: Head) -> timedelta | None:
    """Return how long an upstream asks to be sent nothing; None if it does not."""
    if head.status != BACKOFF_STATUS:
        return None
    try:
        seconds = float(head.value(header_names.retry_after.lower()))
    except ValueError:
        return None
    if math.isnan(seconds) or seconds <= 0:
        return None
    return timedelta(seconds=min(seconds, MAX_BACKOFF.total_seconds()))


def announced_limit(
    header_names: HeaderNames, head: Head
) -> float | UnreadableLimit | None:
    """Return an upstream's limit in requests per second; None if it announces none.

    If the head has several limits, the lowest applies.
    """
    return _lowest(head, header_names.limit.lower())


def announced_rejections(
    header_names: HeaderNames, head: Head
) -> float | UnreadableLimit | None:
    """Return how many requests an upstream may reject in a second; None if any number.

    If the head has several numbers, the lowest applies.
    """
    return _lowest(head, header_names.rejections.lower())


def _lowest(head: Head, name: str) -> float | UnreadableLimit | None:
    if head.status == MISDIRECTED_STATUS:
        return None
    values = list(_header_values(head, name))
    if not values:
        return None
    if not all(_DECIMAL.fullmatch(value) for value in values):
        return UnreadableLimit(", ".join(values))
    return min(MAX_LIMIT, *map(float, values))


def _header_values(head: Head, name: str) -> Iterator[str]:
    """Yield the comma-separated values of a header that may occur several times."""
    for header, value in head.headers:
        if header.lower() == name:
            yield from (part.strip() for part in value.split(","))


class UpstreamNotices:
    """Processes what response heads announce about their upstreams.

    Parameters
    ----------
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        backoffs: Backoffs,
        limits: RateLimits,
        rejections: RejectionLimits,
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._header_names = header_names
        self._backoffs = backoffs
        self._limits = limits
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._unread = UnreadHeaders(header_names, metrics, log)
        self._rejections = rejections
        self._admission_asked_at: dict[str, timedelta] = {}

    def process_head(self, call: Call, target: Target, head: Head) -> None:
        """Process the head of a response to `call`."""
        self._unread.report_unknown(target.upstream, head)
        if announces_leaving(self._header_names, head):
            self._metrics.count("notices", "leaves")
            self._send(UpstreamLeaving(target.upstream, call.upstream_incarnation))
        self._process_limit(call, target, head)
        self._process_rejections(call, target, head)
        backoff = requested_backoff(self._header_names, head)
        if backoff is None:
            return
        self._metrics.count("notices", "rests")
        self._backoffs.begin(target.upstream, call.upstream_incarnation, backoff)
        self._log.info(
            "upstream requested backoff",
            request=call.id,
            upstream=target.upstream,
            life=call.upstream_incarnation,
            rest_ms=round(backoff / timedelta(milliseconds=1)),
        )

    def _process_rejections(self, call: Call, target: Target, head: Head) -> None:
        limit = announced_rejections(self._header_names, head)
        incarnation = call.upstream_incarnation
        if isinstance(limit, UnreadableLimit):
            self._report_unreadable(
                "rejection limit header not readable", call, target, limit
            )
            return
        if limit is None:
            return
        if not self._rejections.is_limited(call.service):
            self._metrics.count("notices", "rejections")
        self._rejections.set(call.service, limit)
        self._have_admitted(call.service)
        pause = self._rejections.pause_after(call.service)
        if pause is not None and self._is_rejection(head):
            self._send(UpstreamFull(target.upstream, incarnation, pause))

    def _report_unreadable(
        self, event: str, call: Call, target: Target, limit: UnreadableLimit
    ) -> None:
        self._metrics.count("notices", "unreadable_limit")
        self._log.info(
            event,
            request=call.id,
            upstream=target.upstream,
            limit=limit.text,
        )

    def _is_rejection(self, head: Head) -> bool:
        return (
            head.status == BACKOFF_STATUS
            and self._header_names.not_run.lower() in head.values
        )

    def _have_admitted(self, service: str) -> None:
        """Have the leader admit each request, so that none has to be rejected."""
        now = self._clock.monotonic()
        asked_at = self._admission_asked_at.get(service)
        if asked_at is not None and now - asked_at < ADMISSION_INTERVAL:
            return
        self._admission_asked_at[service] = now
        self._send(ServiceOverloaded(service))

    def _process_limit(self, call: Call, target: Target, head: Head) -> None:
        limit = announced_limit(self._header_names, head)
        incarnation = call.upstream_incarnation
        if isinstance(limit, UnreadableLimit):
            self._report_unreadable(
                "rate limit header not readable", call, target, limit
            )
            return
        if limit is None and not self._lifts_limit(incarnation, head):
            return
        assert call.sent_at is not None
        if limit is not None:
            self._metrics.count("notices", "limit")
        now = self._clock.monotonic()
        self._send(StatedLimit(incarnation, limit, call.sent_at, now))

    def _lifts_limit(self, incarnation: str, head: Head) -> bool:
        """Return whether a response without a limit ends a limit known before."""
        return head.status < FIRST_NON_SUCCESS_STATUS and self._limits.knows(
            incarnation
        )
