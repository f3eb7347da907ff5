"""Runs one call: chooses an upstream, sends, retries where allowed, and responds."""

from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, CallerGoneError, StoppingError
from ..logs import Logger
from ..loop import Steps, Wait
from ..metrics import Metrics
from ..placement.messages import Refusal, RequestOutcome, Target
from ..upstreams import Directory, Health, RejectionLimits
from .attempt import Attempts
from .attempt_recorder import AttemptRecorder, attempt_outcome, request_outcome
from .budget import RetryBudget
from .call import Call
from .caller_responses import WHOLE, CallerResponses, Ending
from .charging import Charging
from .choosers import Chooser
from .forwarding_chooser import Forwarding
from .header_names import HeaderNames
from .quarantine_gate import QuarantineGate
from .relay import CompletedStream, SegmentEnd, StreamRelay
from .results import Answered, CallerLeft, Choice, OutOfTime, Result, Streaming
from .resumption import Resumptions
from .retries import Retries
from .send_checks import SendChecks
from .silence_limits import SilenceLimits
from .waiting import CallerWatch

MILLISECOND = timedelta(milliseconds=1)
LOSS_EXPLAINED_WITHIN = timedelta(milliseconds=500)
"""How long a request whose connection broke waits until it is known whether its
upstream did that, or this instance has lost all its links."""


class CallRunner:
    """Runs the attempts of calls."""

    def __init__(
        self,
        header_names: HeaderNames,
        attempts: Attempts,
        budget: RetryBudget,
        health: Health,
        charging: Charging,
        quarantine_gate: QuarantineGate,
        send_checks: SendChecks,
        directory: Directory,
        rejections: RejectionLimits,
        forwarding: Forwarding,
        resumptions: Resumptions,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._charging = charging
        self._quarantine_gate = quarantine_gate
        self._send_checks = send_checks
        self._directory = directory
        self._forwarding = forwarding
        self._resumptions = resumptions
        self._responses = CallerResponses(header_names, clock, metrics)
        self._attempts = attempts
        self._budget = budget
        self._attempt_recorder = AttemptRecorder(health, quarantine_gate, clock, log)
        self._retries = Retries(budget, rejections, forwarding, clock, metrics, log)
        self._silence_limits = SilenceLimits(
            self._reachable_target,
            self._release_choice,
            budget,
            send_checks,
            directory,
            forwarding,
            log,
        )
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def run(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Ending]:
        """Run `call` until its caller has been answered or has disconnected.

        At the end of a planned stop, and by a defect here, it is ended early.
        """
        try:
            return (yield from self._run_and_release(call, caller, chooser))
        except CallerGoneError:
            return self._responses.caller_left(caller)
        except StoppingError:
            reason = Reason.STOPPING
        except Exception:
            self._log.exception("unexpected error while running a request")
            reason = Reason.INVALID
        return (yield from self._responses.end_early(call, caller, reason))

    def _run_and_release(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Ending]:
        """Run `call`; then give back what it has obtained and not used."""
        try:
            return (yield from self._run(call, caller, chooser))
        finally:
            call.withdraw_place_search()
            self._charging.refund_unused(call)
            if call.retry_reserved:
                self._budget.cancel(call.service)

    def _run(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Ending]:
        relay = StreamRelay(call, caller, self._attempts, self._clock)
        quarantined = self._quarantine_gate.refusal(call)
        if quarantined is not None:
            return (yield from self._responses.refuse(call, caller, relay, quarantined))
        answered: Answered | None = None
        while True:
            target = yield from self._choose(call, caller, chooser)
            if isinstance(target, CallerLeft):
                return self._responses.caller_left(caller)
            if isinstance(target, OutOfTime):
                return (yield from self._responses.out_of_time(call, caller, relay))
            if isinstance(target, Refusal):
                ending = yield from self._refuse_or_pause(
                    call, caller, relay, target, answered
                )
                if ending is not None:
                    return ending
                continue
            if target.is_instance:
                self._hand_over(call)
            refusal = self._send_checks.refusal(call)
            if refusal is not None:
                chooser.on_attempt_ended(call, target, RequestOutcome.UNKNOWN, None)
                ending = yield from self._refuse_or_pause(
                    call, caller, relay, refusal, None
                )
                if ending is not None:
                    return ending
                continue
            if self._send_checks.rejects(call, target):
                chooser.on_attempt_ended(call, target, RequestOutcome.UNKNOWN, None)
                call.tried.add(target.upstream)
                call.retryable_upstreams.add(target.upstream)
                continue
            result = yield from self._attempt(call, target, caller, relay, chooser)
            if isinstance(result, CompletedStream):
                return Ending(result.status, WHOLE)
            if isinstance(result, Answered):
                answered = result
            may_retry = yield from self._retries.after_attempt(
                call, caller, target, result, chooser
            )
            if isinstance(may_retry, CallerLeft):
                return self._responses.caller_left(caller)
            if not may_retry:
                return (yield from self._responses.finish(call, caller, relay, result))

    def _resolve_version(
        self, call: Call, caller: CallerWatch
    ) -> Steps[Refusal | CallerLeft | None]:
        """Find the software version at which a call goes on, unless it is forwarded."""
        if self._forwarding.applies(call) or not self._resumptions.is_due(call):
            return None
        return (yield from self._resumptions.resolve(call, caller))

    def _take_over(
        self, call: Call, caller: CallerWatch
    ) -> Steps[Refusal | CallerLeft | None]:
        """Count and charge a call once, unless it goes to another instance.

        Returns
        -------
        Refusal, CallerLeft or None
            None if the call may be sent.
        """
        if call.placement.is_charged or self._forwarding.applies(call):
            return None
        reason = self._forwarding.refusal_reason(call)
        if reason is not None:
            return Refusal(reason)
        if not call.placement.is_taken_over:
            call.placement.is_taken_over = True
            self._budget.record_request(call.service)
        refused = yield from self._charging.charge(call, caller)
        call.placement.is_charged = refused is None
        return refused

    def _choose(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Choice]:
        """Return the next upstream; one that is looked for already goes first."""
        search = call.place_search
        if search is None:
            return (yield from self._next_target(call, caller, chooser))
        choice = yield from search.finish(caller, self._clock)
        call.place_search = None
        return choice

    def _next_target(
        self, call: Call, caller: CallerWatch, chooser: Chooser
    ) -> Steps[Choice]:
        """Return the upstream or instance for the next attempt; may wait."""
        refused = yield from self._resolve_version(call, caller)
        if refused is None:
            refused = yield from self._take_over(call, caller)
        if refused is None:
            refused = self._send_checks.version_refusal(call)
        if refused is not None:
            return refused
        return (yield from chooser.choose(call, caller))

    def _reachable_target(
        self, call: Call, caller: CallerWatch, chooser: Chooser
    ) -> Steps[Choice]:
        """Return the next target of a call that is still at another one.

        It must take a connection: what the present upstream does would be lost for
        nothing.
        """
        while True:
            target = yield from self._next_target(call, caller, chooser)
            if not isinstance(target, Target):
                return target
            reached: bool | None = None
            try:
                reached = yield from self._attempts.reach(call, target)
            finally:
                if not reached:
                    end = RequestOutcome.UNKNOWN
                    if reached is False:
                        end = RequestOutcome.UNREACHABLE
                    chooser.on_attempt_ended(call, target, end, None)
            if reached:
                return target
            call.tried.add(target.upstream)

    def _release_choice(
        self, call: Call, choice: Choice | None, chooser: Chooser, was_taken_over: bool
    ) -> None:
        """Give back an upstream that nothing is sent to, and what was charged for it.

        Parameters
        ----------
        was_taken_over : bool
            Whether this instance had counted and charged the call before.
        """
        if isinstance(choice, Target):
            chooser.on_attempt_ended(call, choice, RequestOutcome.UNKNOWN, None)
        if not was_taken_over:
            self._hand_over(call)

    def _refuse_or_pause(
        self,
        call: Call,
        caller: CallerConnection,
        relay: StreamRelay,
        refusal: Refusal,
        answered: Answered | None,
    ) -> Steps[Ending | None]:
        """Refuse a call, or wait until it may ask again; None if it may."""
        may_ask_again = yield from self._retries.after_refusal(call, caller, refusal)
        if isinstance(may_ask_again, CallerLeft):
            return self._responses.caller_left(caller)
        if may_ask_again:
            return None
        return (yield from self._refuse(call, caller, relay, refusal, answered))

    def _hand_over(self, call: Call) -> None:
        """Leave the count and the charge of a call to the instance it goes to."""
        if call.placement.is_taken_over:
            call.placement.is_taken_over = False
            self._budget.withdraw_request(call.service)
        if not call.has_run:
            call.placement.is_charged = False
        self._charging.refund_unused(call)

    def _refuse(
        self,
        call: Call,
        caller: CallerConnection,
        relay: StreamRelay,
        refusal: Refusal,
        answered: Answered | None,
    ) -> Steps[Ending]:
        """Answer a call for which no upstream was chosen.

        Parameters
        ----------
        answered : Answered or None
            The last answer of an upstream. If there is one, the request has run and
            only its retry is refused.
        """
        if answered is not None:
            return (yield from self._responses.finish(call, caller, relay, answered))
        self._log_overload(call, refusal)
        return (yield from self._responses.refuse(call, caller, relay, refusal))

    def _log_overload(self, call: Call, refusal: Refusal) -> None:
        """Log a refusal by the leader, which admits the requests to the service."""
        if refusal.reason is not Reason.OVERLOADED:
            return
        retry_after = refusal.retry_after or timedelta()
        self._log.info(
            "request refused",
            request=call.id,
            fingerprint=call.fingerprint,
            reason=refusal.reason,
            customer=call.customer_name,
            service=call.service,
            sends=call.sends,
            admission_ms=call.admission_wait // MILLISECOND,
            retry_after_ms=retry_after // MILLISECOND,
        )

    # One attempt

    def _attempt(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        relay: StreamRelay,
        chooser: Chooser,
    ) -> Steps[Result | CompletedStream]:
        """Send a call to the target chosen for it, and record how that has ended."""
        result: Result | CompletedStream | None = None
        try:
            result = yield from self._send(call, target, caller, relay, chooser)
        finally:
            chooser.on_attempt_ended(
                call, target, request_outcome(result), attempt_outcome(result)
            )
        if isinstance(result, CompletedStream):
            self._attempt_recorder.stream_completed(call, target)
            return result
        connection_lost = self._attempt_recorder.record(call, target, result)
        if connection_lost is not None:
            until = self._clock.monotonic() + LOSS_EXPLAINED_WITHIN
            yield Wait(min(until, call.deadline), future=connection_lost)
        return result

    def _send(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        relay: StreamRelay,
        chooser: Chooser,
    ) -> Steps[Result | CompletedStream]:
        self._begin_attempt(call, target, chooser)
        result = yield from self._attempts.send(
            call, target, caller, call.route.streams
        )
        if not isinstance(result, Streaming):
            return result
        return (yield from self._relay(call, target, result, relay, chooser))

    def _begin_attempt(self, call: Call, target: Target, chooser: Chooser) -> None:
        call.silence_limit = self._silence_limits.of(call, target, chooser)
        call.sends += 1
        if call.retry_reserved:
            call.retry_reserved = False
            self._budget.record_sent(call.service)
        call.last_upstream = target.upstream
        call.last_software_version = self._software_version(target)
        call.sent_at = self._clock.monotonic()
        call.tried.add(target.upstream)
        call.attempt_unresolved = True
        call.response_began = False
        call.forwarded_to = target.upstream if target.is_instance else ""
        if call.has_forwarded_event:
            self._metrics.count("stream_moves", call.retry_reason)
        self._quarantine_gate.attempt_started(call, target.upstream)

    def _relay(
        self,
        call: Call,
        target: Target,
        stream: Streaming,
        relay: StreamRelay,
        chooser: Chooser,
    ) -> Steps[SegmentEnd]:
        """Forward a stream that has begun, and release its connection."""
        segment_end: SegmentEnd | None = None
        try:
            segment_end = yield from relay.run(
                stream,
                self._responses.caller_head(stream.head),
                lambda: self._stream_begins(call, target),
                lambda: chooser.on_first_event(call, target),
                lambda: self._quarantine_gate.event_received(call),
            )
        finally:
            if isinstance(segment_end, CompletedStream):
                self._attempts.keep_connection(target, stream.connection)
            else:
                stream.connection.close()
        return segment_end

    def _stream_begins(self, call: Call, target: Target) -> None:
        """Record at which software version a stream begins, before its first event.

        Another instance that a call was forwarded to has done so itself.
        """
        if not target.is_instance:
            self._resumptions.stream_begins(call)

    def _software_version(self, target: Target) -> str:
        """Return the software version of an upstream; empty if not known."""
        known = self._directory.view.by_id.get(target.upstream)
        return "" if known is None else known.software_version
