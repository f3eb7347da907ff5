"""Asks the leader for the admission of this instance's requests to contended services.

While no service is contended, nothing is sent. Without a leader, or without its answer
in time, requests are sent as to services that are not contended.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..overload.sends import (
    SendAnswer,
    SendCancelled,
    SendEnded,
    SendGranted,
    SendQuery,
    SendRefused,
    ServiceOverloaded,
)
from ..upstreams import Directory
from . import messages
from .admissions import NOTICE_INTERVAL

MILLISECOND = timedelta(milliseconds=1)
NOTICE_RETENTION = 2 * NOTICE_INTERVAL + timedelta(milliseconds=200)
"""How long a notice is valid. One notice may be lost, and the next one may be late."""
REFUSAL_DELIVERY_TIME = timedelta(milliseconds=10)
"""Allowance for the delivery of a refusal to the caller. A caller compares the wait
with the time left on receipt, so the leader is told an earlier deadline."""


class AdmissionClient:
    """Client of the leader for the admission of this instance's requests.

    Parameters
    ----------
    zone : str
        This instance's availability zone.
    tell_leader : callable
        Sends a message to the leader; does nothing while there is none.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        tell_leader: Callable[[Any], None],
        clock: Clock,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._tell_leader = tell_leader
        self._clock = clock
        self._leader: str | None = None
        self._contended: frozenset[str] = frozenset()
        self._notice_epoch = -1
        self._noticed_at = ZERO
        self._query_by_number: dict[int, SendQuery] = {}
        self._unsent_ends: list[list[object]] = []

    # Contention

    def follow(self, leader: str | None) -> None:
        """Set the leader; drop the notice and the queries of the previous one."""
        if leader == self._leader:
            return
        self._leader = leader
        self._contended = frozenset()
        self._notice_epoch = -1
        self._leave_undecided(list(self._query_by_number.values()))

    def instance_gone(self, instance: str) -> None:
        """Handle the loss of a link; a leader removes what was asked over it."""
        if instance == self._leader:
            self._leave_undecided(list(self._query_by_number.values()))

    def is_contended(self, service: str) -> bool:
        """Return whether the leader has to be asked before a send to a service."""
        if service not in self._contended:
            return False
        return self._clock.monotonic() - self._noticed_at < NOTICE_RETENTION

    def notice_received(self, peer: str, notice: messages.ContentionNotice) -> None:
        """Handle the leader's list of contended services."""
        if peer != self._leader or notice.epoch < self._notice_epoch:
            return
        self._notice_epoch = notice.epoch
        self._noticed_at = self._clock.monotonic()
        self._contended = frozenset(notice.services)
        self._leave_undecided(
            [
                query
                for query in self._query_by_number.values()
                if query.service not in self._contended
            ]
        )

    def report_overload(self, report: ServiceOverloaded) -> None:
        """Tell the leader that an upstream has refused a request as full."""
        self._tell_leader(messages.OverloadReport(report.service))

    def _leave_undecided(self, queries: Iterable[SendQuery]) -> None:
        """Let requests be sent without a decision of the leader."""
        for query in queries:
            del self._query_by_number[query.number]
            _settle(query, None)

    # Queries

    def ask(self, query: SendQuery) -> None:
        """Ask the leader for the admission of a request."""
        if self._leader is None:
            _settle(query, None)
            return
        # The end of the last attempt frees the place that the next one may get.
        self.send_ends()
        self._query_by_number[query.number] = query
        now = self._clock.monotonic()
        self._tell_leader(
            messages.AdmissionQuery(
                query.number,
                query.service,
                query.fingerprint,
                query.customer,
                query.priority,
                _left_ms(query.on_time_until, now),
                _left_ms(query.deadline - REFUSAL_DELIVERY_TIME, now),
                self._zone,
                sorted(query.excluded),
            )
        )

    def cancel(self, cancelled: SendCancelled) -> None:
        """Withdraw a query, or give back a grant that is not used."""
        self._query_by_number.pop(cancelled.number, None)
        self._tell_leader(messages.AdmissionCancelled(cancelled.number))

    def queued(self, message: messages.AdmissionQueued) -> None:
        """Note that the leader has queued a request."""
        query = self._query_by_number.get(message.number)
        if query is not None and not query.acknowledged.done():
            query.acknowledged.set_result(None)

    def granted(self, message: messages.AdmissionGrant) -> None:
        """Handle a grant; one that is too late is given back."""
        query = self._query_by_number.pop(message.number, None)
        is_known = message.upstream in self._directory.view.by_id
        if query is not None and is_known:
            if _settle(query, SendGranted(message.upstream)):
                return
        self._tell_leader(messages.AdmissionCancelled(message.number))
        if query is not None:
            _settle(query, None)

    def refused(self, message: messages.AdmissionRefusal) -> None:
        """Handle a refusal."""
        query = self._query_by_number.pop(message.number, None)
        if query is not None:
            _settle(query, SendRefused(message.retry_after_ms * MILLISECOND))

    # Ends

    def record_end(self, ended: SendEnded) -> None:
        """Record the end of a send that was granted."""
        row = [ended.number, str(ended.outcome), ended.took // MILLISECOND]
        self._unsent_ends.append(row)

    def send_ends(self) -> None:
        """Send the leader the ends since the last call."""
        if not self._unsent_ends:
            return
        rows, self._unsent_ends = self._unsent_ends, []
        self._tell_leader(messages.AdmissionEnded(rows))


def _settle(query: SendQuery, answer: SendAnswer) -> bool:
    """Answer a query; return False if it is no longer waited for."""
    if query.answer.done():
        return False
    query.answer.set_result(answer)
    return True


def _left_ms(at: timedelta, now: timedelta) -> int:
    return (at - now) // MILLISECOND
