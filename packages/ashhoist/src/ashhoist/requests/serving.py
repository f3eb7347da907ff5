"""Serves one call: chooses, sends, tries again where that is allowed, answers."""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, CallerGoneError, Head
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..placement.asks import Refusal, Target, UseEnd
from ..upstreams import Directory, Health, Rests
from .attempt import (
    Answered,
    Attempts,
    CallerLeft,
    MayHaveRun,
    NotRun,
    OutOfTime,
    Result,
    Streaming,
)
from .budget import RetryBudget
from .call import Call
from .charging import Charging
from .choosers import Chooser
from .dialect import SINGLE_CONNECTION, Dialect
from .keys import Keys
from .limited_sends import LimitedSends
from .relay import Leg, Relay, WholeStream
from .suspicion import Suspicion

NOT_RUN_STATUS = 503
UNAUTHORIZED_STATUS = 401
STATUS_BY_REASON = {
    Reason.OVER_QUOTA: 429,
    Reason.UNAUTHORIZED: UNAUTHORIZED_STATUS,
    Reason.KEY_REMOVED: UNAUTHORIZED_STATUS,
}
"""Of requests that have not run; else 503."""
BROKEN_STATUS = 502
TIMEOUT_STATUS = 504
REFUSED_SENDS = 3
"""Sends of one request that upstreams may refuse expressly."""
DEFAULT_RETRY_AFTER = timedelta(milliseconds=250)
REDIRECTION = 300
SERVER_ERROR = 500
EXPECTED_TIMES = 2.0
AIM_TIMES = 1.0
LEAST_PATIENCE = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class Ending:
    """How a call ended, for its log line and its counters."""

    status: int
    reason: str
    not_run: bool = False


class Serving:
    """The loop over the attempts of a call."""

    def __init__(
        self,
        dialect: Dialect,
        attempts: Attempts,
        budget: RetryBudget,
        health: Health,
        keys: Keys,
        charging: Charging,
        suspicion: Suspicion,
        directory: Directory,
        rests: Rests,
        sends: LimitedSends,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._keys = keys
        self._charging = charging
        self._suspicion = suspicion
        self._directory = directory
        self._rests = rests
        self._sends = sends
        self._dialect = dialect
        self._attempts = attempts
        self._budget = budget
        self._health = health
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def run(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Ending]:
        """Serve `call` to its end; its caller has been answered or has left."""
        self._budget.requested(call.service)
        try:
            return (yield from self._run(call, caller, chooser))
        finally:
            self._charging.settle(call)

    def _run(
        self, call: Call, caller: CallerConnection, chooser: Chooser
    ) -> Steps[Ending]:
        relay = Relay(call, caller, self._attempts, self._clock)
        held = self._suspicion.refusal(call)
        if held is not None:
            return (yield from self._refuse(call, caller, relay, held))
        charged = yield from self._charging.charge(call, caller)
        if isinstance(charged, CallerLeft):
            return self._left(caller)
        if charged is not None:
            return (yield from self._refuse(call, caller, relay, charged))
        while True:
            target = yield from chooser.choose(call, caller)
            if isinstance(target, CallerLeft):
                return self._left(caller)
            if isinstance(target, OutOfTime):
                return (yield from self._out_of_time(call, caller, relay))
            if isinstance(target, Refusal):
                return (yield from self._refuse(call, caller, relay, target))
            barred = self._barred(call)
            if barred is not None:
                chooser.ended(call, target, UseEnd.UNKNOWN)
                return (yield from self._refuse(call, caller, relay, barred))
            if self._gives_back(call, target):
                chooser.ended(call, target, UseEnd.UNKNOWN)
                call.tried.add(target.upstream)
                continue
            result: Result | WholeStream | None = None
            try:
                result = yield from self._attempt(call, target, caller, relay, chooser)
            finally:
                chooser.ended(call, target, _end_of_use(result))
            if isinstance(result, WholeStream):
                self._health.answered(target.upstream)
                self._suspicion.whole(call)
                return Ending(result.status, "whole")
            self._note(call, target, result)
            if self._again(call, result, relay):
                continue
            return (yield from self._end(call, caller, relay, result))

    def _barred(self, call: Call) -> Refusal | None:
        """Return why a call that has waited must not be sent any more."""
        invalid = self._keys.still_valid(call.identity)
        if invalid is not None:
            return Refusal(invalid)
        return self._suspicion.refusal(call)

    def _gives_back(self, call: Call, target: Target) -> bool:
        """Return whether a call must not go to where it was placed after all.

        The leader chose the place, or this call has waited since.
        """
        reason = self._unfit(target)
        if reason is None:
            return False
        self._metrics.count("retries", reason)
        self._log.info(
            "place given back",
            request=call.id,
            upstream=target.upstream,
            reason=reason,
        )
        return True

    def _unfit(self, target: Target) -> Reason | None:
        """Return why an upstream must not be sent this; None if it may be."""
        known = self._directory.view.by_id.get(target.upstream)
        if known is None:
            return Reason.NO_UPSTREAM
        if not known.takes_work:
            return Reason.UPSTREAM_LEAVING
        if self._rests.rests(target.upstream):
            return Reason.UPSTREAMS_REST
        if self._sends.limited(target.upstream) and not target.permitted:
            return Reason.UPSTREAMS_LIMITED
        return None

    # One attempt

    def _attempt(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        relay: Relay,
        chooser: Chooser,
    ) -> Steps[Result | WholeStream]:
        call.patience = self._patience(call, target)
        call.sends += 1
        call.sent_to = target.upstream
        call.sent_at = self._clock.monotonic()
        call.tried.add(target.upstream)
        call.unrefused = True
        self._suspicion.sent(call, target.upstream)
        result = yield from self._attempts.send(
            call, target, caller, call.route.streams
        )
        if not isinstance(result, Streaming):
            return result
        leg: Leg | None = None
        try:
            leg = yield from relay.run(
                result,
                self._head(result.head),
                lambda: chooser.first_event(call, target),
            )
        finally:
            if isinstance(leg, WholeStream):
                self._attempts.give_back(target, result.connection)
            else:
                result.connection.close()
        return leg

    def _patience(self, call: Call, target: Target) -> timedelta | None:
        """Return how long the upstream may be silent; None if it is the last."""
        again = call.route.repeatable and call.runs + 1 < call.route.attempts
        if not again or not self._budget.has_room(call.service):
            return None
        if target.expected is not None:
            return target.expected * EXPECTED_TIMES + LEAST_PATIENCE
        return max(call.route.aim * AIM_TIMES, LEAST_PATIENCE)

    def _note(self, call: Call, target: Target, result: Result) -> None:
        """Take in what an attempt says of its upstream, and of the call."""
        if isinstance(result, MayHaveRun | OutOfTime):
            call.may_have_run = True
            call.runs += 1
            self._health.failed(target.upstream)
        if isinstance(result, MayHaveRun) and result.reason is Reason.ANSWER_CUT:
            self._suspicion.cut(call)
        if isinstance(result, NotRun):
            call.unrefused = False
        if isinstance(result, NotRun) and not result.arrived:
            self._health.failed(target.upstream, unreachable=True)
        if isinstance(result, Answered):
            call.runs += 1
            self._note_answer(call, target, result)
        if isinstance(result, Answered) and result.head.status < SERVER_ERROR:
            return
        self._log.info(
            "attempt ended",
            request=call.id,
            fingerprint=call.fingerprint,
            upstream=target.upstream,
            address=target.address,
            send=call.sends,
            result=type(result).__name__,
            reason=_reason_of(result),
            last_event=call.last_event_id,
        )

    def _note_answer(self, call: Call, target: Target, result: Answered) -> None:
        if result.head.status >= SERVER_ERROR:
            self._health.failed(target.upstream)
            return
        self._health.answered(target.upstream)
        if result.head.status < REDIRECTION:
            self._suspicion.whole(call)

    # Another attempt

    def _again(self, call: Call, result: Result, relay: Relay) -> bool:
        """Return whether another attempt is allowed, and worth its place."""
        if isinstance(result, CallerLeft | OutOfTime):
            return False
        if self._clock.monotonic() >= call.limit:
            return False
        if isinstance(result, NotRun) and not result.arrived:
            allowed = call.sends < call.route.attempts + REFUSED_SENDS
            return allowed and self._count_retry(call, result)
        if isinstance(result, NotRun):
            refused = call.sends - call.runs
            allowed = refused <= REFUSED_SENDS and self._may_run_again(call)
            return allowed and self._pay(call, result)
        if isinstance(result, Answered) and result.head.status < SERVER_ERROR:
            return False
        allowed = call.route.repeatable and self._may_run_again(call)
        return allowed and self._pay(call, result)

    def _may_run_again(self, call: Call) -> bool:
        return call.runs < max(call.route.attempts, 1)

    def _pay(self, call: Call, result: Result) -> bool:
        if self._budget.allow(call.service):
            return self._count_retry(call, result)
        self._metrics.count("refusals", Reason.RETRY_BUDGET)
        self._log.info("retry budget empty", request=call.id, service=call.service)
        return False

    def _count_retry(self, call: Call, result: Result) -> bool:
        self._metrics.count("retries", _reason_of(result))
        return True

    # Ends

    def _end(
        self, call: Call, caller: CallerConnection, relay: Relay, result: Result
    ) -> Steps[Ending]:
        if isinstance(result, CallerLeft):
            return self._left(caller)
        if isinstance(result, OutOfTime):
            return (yield from self._out_of_time(call, caller, relay))
        if isinstance(result, Answered):
            return (yield from self._pass_answer(call, caller, relay, result))
        if isinstance(result, NotRun):
            refusal = Refusal(result.reason)
            return (yield from self._refuse(call, caller, relay, refusal))
        reason = _reason_of(result)
        return (yield from self._answer(call, caller, relay, BROKEN_STATUS, reason))

    def _pass_answer(
        self, call: Call, caller: CallerConnection, relay: Relay, result: Answered
    ) -> Steps[Ending]:
        if relay.begun:
            caller.abort()
            return Ending(BROKEN_STATUS, "cut")
        status = result.head.status
        if status in (408, 421, 429, 503) and not call.route.repeatable:
            # The upstream does not say that it has not run: no such promise.
            reason = Reason.UPSTREAM_ERROR
            return (yield from self._answer(call, caller, relay, BROKEN_STATUS, reason))
        head = self._head(result.head)
        try:
            yield from caller.respond(
                status, head.headers, result.body, self._limit(call)
            )
        except CallerGoneError:
            return self._left(caller)
        return Ending(status, "whole" if status < SERVER_ERROR else "upstream_error")

    def _refuse(
        self,
        call: Call,
        caller: CallerConnection,
        relay: Relay,
        refusal: Refusal,
    ) -> Steps[Ending]:
        if call.may_have_run:
            reason = refusal.reason
            return (yield from self._answer(call, caller, relay, BROKEN_STATUS, reason))
        wait = refusal.retry_after
        if wait is None:
            wait = DEFAULT_RETRY_AFTER
        headers = [self._retry_after(wait)]
        status = STATUS_BY_REASON.get(refusal.reason, NOT_RUN_STATUS)
        if status == UNAUTHORIZED_STATUS:
            headers = []
        return (
            yield from self._answer(
                call, caller, relay, status, refusal.reason, headers
            )
        )

    def _out_of_time(
        self, call: Call, caller: CallerConnection, relay: Relay
    ) -> Steps[Ending]:
        reason = Reason.DEADLINE
        if not call.sends:
            return (yield from self._refuse(call, caller, relay, Refusal(reason)))
        return (yield from self._answer(call, caller, relay, TIMEOUT_STATUS, reason))

    def _answer(
        self,
        call: Call,
        caller: CallerConnection,
        relay: Relay,
        status: int,
        reason: Reason,
        headers: list[tuple[str, str]] | None = None,
    ) -> Steps[Ending]:
        not_run = status == NOT_RUN_STATUS or reason in STATUS_BY_REASON
        self._metrics.count("refusals" if not_run else "failures", reason)
        if relay.begun:
            caller.abort()
            return Ending(status, reason, False)
        body = f"{reason}\n".encode()
        all_headers = [
            (self._dialect.request_id, call.id),
            ("Content-Type", "text/plain"),
            *(headers or []),
        ]
        try:
            yield from caller.respond(status, all_headers, body, self._limit(call))
        except CallerGoneError:
            return self._left(caller)
        return Ending(status, reason, not_run)

    def _left(self, caller: CallerConnection) -> Ending:
        self._metrics.count("failures", Reason.CALLER_LEFT)
        caller.abort()
        return Ending(0, Reason.CALLER_LEFT)

    def _limit(self, call: Call) -> timedelta:
        return max(call.limit, self._clock.monotonic()) + timedelta(milliseconds=500)

    def _head(self, head: Head) -> Head:
        """Return an upstream's head as it goes to the caller."""
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in SINGLE_CONNECTION
            and name.lower() != "content-length"
        ]
        if head.status == NOT_RUN_STATUS:
            headers = self._with_own_retry_after(headers)
        return Head(head.status, headers, head.values)

    def _with_own_retry_after(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return headers that ask the caller for no rest on an upstream's behalf.

        What the upstream asked for was meant for this instance; the caller's next try
        reaches another one, or another upstream.
        """
        own = self._dialect.retry_after
        kept = [pair for pair in headers if pair[0].lower() != own.lower()]
        if len(kept) == len(headers):
            return headers
        return [*kept, self._retry_after(DEFAULT_RETRY_AFTER)]

    def _retry_after(self, wait: timedelta) -> tuple[str, str]:
        return (self._dialect.retry_after, f"{wait.total_seconds():.3f}")


def _end_of_use(result: Result | WholeStream | None) -> UseEnd:
    """Return what the end of an attempt says of its upstream."""
    if isinstance(result, WholeStream):
        return UseEnd.WELL
    if isinstance(result, Answered):
        failed = result.head.status >= SERVER_ERROR
        return UseEnd.FAILED if failed else UseEnd.WELL
    if isinstance(result, NotRun):
        return UseEnd.UNKNOWN if result.arrived else UseEnd.UNREACHABLE
    if isinstance(result, MayHaveRun | OutOfTime):
        return UseEnd.FAILED
    return UseEnd.UNKNOWN


def _reason_of(result: object) -> Reason:
    if isinstance(result, NotRun | MayHaveRun):
        return result.reason
    if isinstance(result, OutOfTime):
        return Reason.DEADLINE
    if isinstance(result, CallerLeft):
        return Reason.CALLER_LEFT
    return Reason.UPSTREAM_ERROR
