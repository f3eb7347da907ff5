"""Records what attempts show about their upstreams and their calls."""

from concurrent.futures import Future

from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..overload import AttemptOutcome
from ..placement.messages import RequestOutcome, Target
from ..quarantine import MAX_PARTS
from ..upstreams import Health
from .call import Call
from .caller_responses import FIRST_SERVER_ERROR_STATUS, reason_of
from .elapsed import elapsed_ms
from .quarantine_gate import QuarantineGate
from .relay import CompletedStream
from .results import Answered, MayHaveRun, NotRun, OutOfTime, Result

FIRST_REDIRECT_STATUS = 300


class AttemptRecorder:
    """Records ended attempts in the log, upstreams' health and the quarantine."""

    def __init__(
        self,
        health: Health,
        quarantine_gate: QuarantineGate,
        clock: Clock,
        log: Logger,
    ) -> None:
        self._health = health
        self._quarantine_gate = quarantine_gate
        self._clock = clock
        self._log = log

    def stream_completed(self, call: Call, target: Target) -> None:
        """Record that an upstream has ended the stream of a call properly."""
        if target.is_instance:
            return
        self._health.answered(target.upstream)
        self._quarantine_gate.response_completed(call)

    def record(
        self, call: Call, target: Target, result: Result
    ) -> "Future[None] | None":
        """Record what an attempt shows about its upstream and its call.

        Returns
        -------
        Future or None
            Done once it is known whether the upstream broke the connection, or all
            links of this instance were lost.
        """
        if isinstance(result, MayHaveRun | OutOfTime):
            call.may_have_run = True
            call.runs += 1
        if isinstance(result, MayHaveRun) and result.reason is Reason.UPSTREAM_SILENT:
            call.retryable_upstreams.add(target.upstream)
        if isinstance(result, NotRun):
            call.attempt_unresolved = False
            call.retryable_upstreams.add(target.upstream)
        if isinstance(result, Answered):
            call.runs += 1
        connection_lost: Future[None] | None = None
        if not target.is_instance:
            connection_lost = self._record_upstream(call, target, result)
        if (
            isinstance(result, Answered)
            and result.head.status < FIRST_SERVER_ERROR_STATUS
        ):
            return None
        self._log.info(
            "attempt ended",
            request=call.id,
            fingerprint=call.fingerprint,
            prompt_parts=list(call.prompt_parts[:MAX_PARTS]),
            upstream=target.upstream,
            address=target.address,
            software_version=call.last_software_version,
            send=call.sends,
            result=type(result).__name__,
            reason=reason_of(result),
            took_ms=elapsed_ms(call.sent_at, self._clock.monotonic()),
            last_event=call.last_event_id,
        )
        return connection_lost

    def _record_upstream(
        self, call: Call, target: Target, result: Result
    ) -> "Future[None] | None":
        if isinstance(result, MayHaveRun | OutOfTime):
            self._health.failed(target.upstream)
        if isinstance(result, MayHaveRun) and result.reason is Reason.ANSWER_CUT:
            return self._quarantine_gate.response_cut(call)
        if isinstance(result, NotRun) and not result.reached_upstream:
            self._health.failed(target.upstream, unreachable=True)
        if isinstance(result, Answered):
            self._record_answer(call, target, result)
        return None

    def _record_answer(self, call: Call, target: Target, result: Answered) -> None:
        if result.head.status >= FIRST_SERVER_ERROR_STATUS:
            self._health.failed(target.upstream)
            return
        self._health.answered(target.upstream)
        if result.head.status < FIRST_REDIRECT_STATUS:
            self._quarantine_gate.response_completed(call)


def request_outcome(result: Result | CompletedStream | None) -> RequestOutcome:
    """Return what the end of an attempt shows about its upstream."""
    if isinstance(result, CompletedStream):
        return RequestOutcome.SUCCEEDED
    if isinstance(result, Answered):
        failed = result.head.status >= FIRST_SERVER_ERROR_STATUS
        return RequestOutcome.FAILED if failed else RequestOutcome.SUCCEEDED
    if isinstance(result, NotRun):
        return (
            RequestOutcome.UNKNOWN
            if result.reached_upstream
            else RequestOutcome.UNREACHABLE
        )
    if isinstance(result, MayHaveRun | OutOfTime):
        return RequestOutcome.FAILED
    return RequestOutcome.UNKNOWN


def attempt_outcome(result: Result | CompletedStream | None) -> AttemptOutcome:
    """Return how an attempt that was sent has ended, for the leader's admission."""
    if isinstance(result, NotRun) and result.reason is Reason.UPSTREAM_REFUSED:
        return AttemptOutcome.REFUSED
    if isinstance(result, NotRun) and result.reached_upstream:
        return AttemptOutcome.UNKNOWN
    end = request_outcome(result)
    if end is RequestOutcome.SUCCEEDED:
        return AttemptOutcome.SUCCEEDED
    return (
        AttemptOutcome.UNKNOWN
        if end is RequestOutcome.UNKNOWN
        else AttemptOutcome.FAILED
    )
