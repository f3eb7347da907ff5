"""The last response to the caller of a request, and how the request ended."""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, CallerGoneError, Head, StoppingError
from ..loop import Steps
from ..metrics import Metrics
from ..placement.messages import Refusal
from .call import Call
from .header_names import HOP_BY_HOP_HEADERS, HeaderNames
from .relay import StreamRelay
from .results import (
    PROMISE_STATUSES,
    Answered,
    CallerLeft,
    MayHaveRun,
    NotRun,
    OutOfTime,
    Result,
)

NOT_RUN_STATUS = 503
OVER_QUOTA_STATUS = 429
UNAUTHORIZED_STATUS = 401
STATUS_BY_REASON = {
    Reason.OVER_QUOTA: OVER_QUOTA_STATUS,
    Reason.UNAUTHORIZED: UNAUTHORIZED_STATUS,
    Reason.KEY_REMOVED: UNAUTHORIZED_STATUS,
}
"""Statuses of requests that have not run; 503 for other reasons."""
FINAL_REASONS = frozenset(
    {Reason.UNAUTHORIZED, Reason.KEY_REMOVED, Reason.NO_UPSTREAM_OF_VERSION}
)
"""Why a request is refused that has no better chance later."""
BAD_GATEWAY_STATUS = 502
TIMEOUT_STATUS = 504
DEFAULT_RETRY_AFTER = timedelta(milliseconds=250)
MAX_RETRY_AFTER_S = 3600.0
FIRST_SERVER_ERROR_STATUS = 500
WHOLE = "whole"
"""The reason of calls that were answered completely."""


@dataclass(frozen=True, slots=True)
class Ending:
    """How a call ended, for the log line and the counters."""

    status: int
    reason: str
    not_run: bool = False


class CallerResponses:
    """Responds to callers with an upstream's answer, or with a status of our own."""

    def __init__(
        self, header_names: HeaderNames, clock: Clock, metrics: Metrics
    ) -> None:
        self._header_names = header_names
        self._clock = clock
        self._metrics = metrics

    def finish(
        self, call: Call, caller: CallerConnection, relay: StreamRelay, result: Result
    ) -> Steps[Ending]:
        """End a call with the result of its last attempt."""
        if isinstance(result, CallerLeft):
            return self.caller_left(caller)
        if isinstance(result, OutOfTime):
            return (yield from self.out_of_time(call, caller, relay))
        if isinstance(result, Answered):
            return (yield from self._forward_answer(call, caller, relay, result))
        if isinstance(result, NotRun):
            refusal = self._refusal_of(result)
            return (yield from self.refuse(call, caller, relay, refusal))
        reason = reason_of(result)
        return (
            yield from self._respond(call, caller, relay, BAD_GATEWAY_STATUS, reason)
        )

    def _refusal_of(self, result: NotRun) -> Refusal:
        """Return the refusal for a call that has not run.

        If another instance has refused it, the caller is told what that one said.
        """
        if result.reason is not Reason.INSTANCE_REFUSED or result.head is None:
            return Refusal(result.reason)
        over_quota = result.head.status == OVER_QUOTA_STATUS
        reason = Reason.OVER_QUOTA if over_quota else result.reason
        try:
            wait_s = float(result.head.value(self._header_names.retry_after.lower()))
        except ValueError:
            return Refusal(reason)
        if not 0 <= wait_s < MAX_RETRY_AFTER_S:
            return Refusal(reason)
        return Refusal(reason, timedelta(seconds=wait_s))

    def _forward_answer(
        self, call: Call, caller: CallerConnection, relay: StreamRelay, result: Answered
    ) -> Steps[Ending]:
        if relay.started:
            caller.abort()
            return Ending(BAD_GATEWAY_STATUS, "cut")
        status = result.head.status
        if status in PROMISE_STATUSES and not call.route.repeatable:
            # The upstream did not state that the request has not run, so this status,
            # which would promise that, must not be forwarded.
            reason = Reason.UPSTREAM_ERROR
            return (
                yield from self._respond(
                    call, caller, relay, BAD_GATEWAY_STATUS, reason
                )
            )
        head = self.caller_head(result.head)
        try:
            yield from caller.respond(
                status, head.headers, result.body, self._write_deadline(call)
            )
        except CallerGoneError:
            return self.caller_left(caller)
        return Ending(
            status, WHOLE if status < FIRST_SERVER_ERROR_STATUS else "upstream_error"
        )

    def refuse(
        self,
        call: Call,
        caller: CallerConnection,
        relay: StreamRelay,
        refusal: Refusal,
    ) -> Steps[Ending]:
        """Respond that a call is not sent, or not sent again."""
        if call.may_have_run:
            reason = refusal.reason
            return (
                yield from self._respond(
                    call, caller, relay, BAD_GATEWAY_STATUS, reason
                )
            )
        wait = refusal.retry_after
        if wait is None:
            wait = DEFAULT_RETRY_AFTER
        headers = [self._retry_after(wait)]
        status = STATUS_BY_REASON.get(refusal.reason, NOT_RUN_STATUS)
        if refusal.reason in FINAL_REASONS:
            headers = []
        return (
            yield from self._respond(
                call, caller, relay, status, refusal.reason, headers
            )
        )

    def out_of_time(
        self, call: Call, caller: CallerConnection, relay: StreamRelay
    ) -> Steps[Ending]:
        """Respond that the deadline of a call has passed."""
        reason = Reason.DEADLINE
        if not call.sends:
            return (yield from self.refuse(call, caller, relay, Refusal(reason)))
        return (yield from self._respond(call, caller, relay, TIMEOUT_STATUS, reason))

    def _respond(
        self,
        call: Call,
        caller: CallerConnection,
        relay: StreamRelay,
        status: int,
        reason: Reason,
        headers: list[tuple[str, str]] | None = None,
    ) -> Steps[Ending]:
        not_run = status == NOT_RUN_STATUS or reason in STATUS_BY_REASON
        self._metrics.count("refusals" if not_run else "failures", reason)
        if relay.started:
            caller.abort()
            return Ending(status, reason, False)
        body = f"{reason}\n".encode()
        all_headers = [
            (self._header_names.request_id, call.id),
            ("Content-Type", "text/plain"),
            *(headers or []),
        ]
        try:
            yield from caller.respond(
                status, all_headers, body, self._write_deadline(call)
            )
        except CallerGoneError:
            return self.caller_left(caller)
        return Ending(status, reason, not_run)

    def caller_left(self, caller: CallerConnection) -> Ending:
        """End a call whose caller has disconnected."""
        self._metrics.count("failures", Reason.CALLER_LEFT)
        caller.abort()
        return Ending(0, Reason.CALLER_LEFT)

    def end_early(
        self, call: Call, caller: CallerConnection, reason: Reason
    ) -> Steps[Ending]:
        """End a call that is at work, by what is known of it.

        A response that has begun is broken off, so that it can't be taken for whole.
        """
        not_run = not call.has_run
        status = NOT_RUN_STATUS if not_run else BAD_GATEWAY_STATUS
        self._metrics.count("refusals" if not_run else "failures", reason)
        try:
            if caller.awaits_response:
                yield from self._respond_with_reason(call, caller, status, reason)
            else:
                caller.abort()
        except CallerGoneError:
            return self.caller_left(caller)
        except StoppingError:
            caller.abort()
        return Ending(status, reason, not_run)

    def _respond_with_reason(
        self, call: Call, caller: CallerConnection, status: int, reason: Reason
    ) -> Steps[None]:
        headers = [
            (self._header_names.request_id, call.id),
            ("Content-Type", "text/plain"),
        ]
        if status == NOT_RUN_STATUS:
            headers.append(self._retry_after(DEFAULT_RETRY_AFTER))
        yield from caller.respond(
            status, headers, f"{reason}\n".encode(), self._write_deadline(call)
        )

    def _write_deadline(self, call: Call) -> timedelta:
        return max(call.deadline, self._clock.monotonic()) + timedelta(milliseconds=500)

    def caller_head(self, head: Head) -> Head:
        """Return an upstream's head as it is sent to the caller."""
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
            and name.lower() != "content-length"
        ]
        if head.status == NOT_RUN_STATUS:
            headers = self._with_own_retry_after(headers)
        return Head(head.status, headers, head.values)

    def _with_own_retry_after(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Replace an upstream's retry delay by the default one.

        The upstream's delay was meant for this instance; the caller's next try reaches
        another instance or another upstream.
        """
        own = self._header_names.retry_after
        kept = [pair for pair in headers if pair[0].lower() != own.lower()]
        if len(kept) == len(headers):
            return headers
        return [*kept, self._retry_after(DEFAULT_RETRY_AFTER)]

    def _retry_after(self, wait: timedelta) -> tuple[str, str]:
        return (self._header_names.retry_after, f"{wait.total_seconds():.3f}")


def reason_of(result: object) -> Reason:
    """Return why an attempt ended without a response that is forwarded."""
    if isinstance(result, NotRun | MayHaveRun):
        return result.reason
    if isinstance(result, OutOfTime):
        return Reason.DEADLINE
    if isinstance(result, CallerLeft):
        return Reason.CALLER_LEFT
    return Reason.UPSTREAM_ERROR
