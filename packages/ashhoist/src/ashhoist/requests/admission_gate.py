"""Admission to contended plain services; the leader is asked before each send."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..loop import Steps
from ..metrics import Metrics
from ..overload import AttemptOutcome
from ..overload.controller import MAX_LATE_WAIT
from ..overload.sends import (
    SendAnswer,
    SendCancelled,
    SendEnded,
    SendGranted,
    SendQuery,
    ServiceOverloaded,
)
from .call import Call
from .results import CallerLeft, OutOfTime
from .waiting import CallerWatch, wait_for

ADMISSION_TIMEOUT = timedelta(milliseconds=60)
"""How long the leader has to acknowledge a query. This covers many round trips between
zones and is short compared with a request's target latency."""

LATE_DECISION_TIMEOUT = MAX_LATE_WAIT + timedelta(milliseconds=100)
"""How long a request waits for a decision if its target latency ends earlier. The
leader queues one that comes back late for `MAX_LATE_WAIT`; the rest is for messages."""


class AdmissionGate:
    """Obtains admission to contended services and reports how admitted sends end.

    Parameters
    ----------
    is_contended : callable
        Returns whether the leader has to be asked before a send to a service.
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self,
        is_contended: Callable[[str], bool],
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.is_contended = is_contended
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._last_number = 0

    def admit(
        self, call: Call, excluded: frozenset[str], caller: CallerWatch
    ) -> Steps[SendAnswer | CallerLeft | OutOfTime]:
        """Ask the leader about the next send of a call, and wait for its decision.

        Parameters
        ----------
        excluded : frozenset of str
            Ids of the upstreams that the call can't be sent to.

        Returns
        -------
        SendAnswer, CallerLeft or OutOfTime
            None if there is no decision in time.
        """
        began = self._clock.monotonic()
        query = self._query(call, excluded)
        call.placement.sent_undecided = False
        self._send(query)
        answer: SendAnswer = None
        is_waiting = False
        try:
            caller_left = yield from self._wait(query, began, caller)
            is_waiting = caller_left is None
        finally:
            call.placement.admission_wait += self._clock.monotonic() - began
            if query.answer.cancel():
                self._send(SendCancelled(query.number))
            else:
                answer = query.answer.result()
            if isinstance(answer, SendGranted):
                call.grant_number = query.number
            if not is_waiting:
                self.give_back(call)
        if caller_left is not None:
            return caller_left
        if answer is None:
            if self._clock.monotonic() >= call.deadline:
                return OutOfTime()
            call.placement.sent_undecided = True
            self._metrics.count("undecided_sends", call.service)
        return answer

    def _query(self, call: Call, excluded: frozenset[str]) -> SendQuery:
        self._last_number += 1
        return SendQuery(
            self._last_number,
            call.service,
            call.fingerprint,
            call.customer_name,
            call.route.priority,
            call.received_at + call.route.target_latency,
            call.deadline,
            excluded,
        )

    def _wait(
        self, query: SendQuery, began: timedelta, caller: CallerWatch
    ) -> Steps[CallerLeft | None]:
        """Wait until the leader has decided, or won't in time."""
        acknowledged_by = min(began + ADMISSION_TIMEOUT, query.deadline)
        caller_left = yield from wait_for(
            query.answer, acknowledged_by, caller, self._clock
        )
        if caller_left is not None or not query.acknowledged.done():
            return caller_left
        decided_by = max(query.on_time_until, began + LATE_DECISION_TIMEOUT)
        until = min(decided_by, query.deadline)
        return (yield from wait_for(query.answer, until, caller, self._clock))

    def give_back(self, call: Call) -> None:
        """Give back the grant of a call, if it has one that was not used."""
        number, call.grant_number = call.grant_number, 0
        if number:
            self._send(SendCancelled(number))

    def record_end(self, call: Call, outcome: AttemptOutcome) -> None:
        """Report the end of a granted send, or a refusal by a full upstream."""
        number, call.grant_number = call.grant_number, 0
        if number:
            sent_at = call.sent_at or self._clock.monotonic()
            took = self._clock.monotonic() - sent_at
            self._send(SendEnded(number, outcome, took))
            return
        if outcome is AttemptOutcome.REFUSED:
            self._send(ServiceOverloaded(call.service))
