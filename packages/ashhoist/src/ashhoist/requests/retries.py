"""Whether and when a call may ask for another upstream."""

from concurrent.futures import Future
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..placement.messages import Refusal, Target
from ..upstreams import RejectionLimits
from .budget import RetryBudget
from .call import Call
from .caller_responses import FIRST_SERVER_ERROR_STATUS, reason_of
from .choosers import Chooser
from .forwarding_chooser import Forwarding
from .results import Answered, CallerLeft, NotRun, OutOfTime, Result
from .silent_connects import (
    UNCONNECTED_REASONS,
    asks_until,
    record_attempt,
    waits_until,
)
from .waiting import CallerWatch, wait_for

MILLISECOND = timedelta(milliseconds=1)
MAX_REFUSED_SENDS = 3
"""Number of explicit refusals up to which a request is sent to another upstream. Sends
that do not reach an upstream may exceed the route's attempts by the same number."""
ADMITTED_BUDGET_SHARE = 0.75
"""Share of the retry budget for retries that the leader of a contended service admits.
The rest is left for failures."""
MAX_REJECTIONS = 1
"""`MAX_REFUSED_SENDS` for upstreams that crash if they reject too many requests."""
TEMPORARY_REASONS = frozenset(
    {
        Reason.KEYS_NOT_CURRENT,
        Reason.NO_PLACE,
        Reason.NO_UPSTREAM,
        Reason.OVERLOADED,
        Reason.OVER_QUOTA,
        Reason.QUOTA_UNKNOWN,
        Reason.UPSTREAMS_CUT_OFF,
        Reason.UPSTREAMS_LIMITED,
        Reason.UPSTREAMS_REST,
    }
)
"""Why there is no upstream for a request that may get one later."""
MIN_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=1)
"""The least and the longest time between two refusals of a call that holds out."""
MAX_DOUBLINGS = 4
"""After so many, a pause is longer than `MAX_PAUSE`."""


class Retries:
    """Decides whether calls may ask for another upstream, and makes them wait for it.

    A call that holds out waits until it may ask again where others are refused.
    """

    def __init__(
        self,
        budget: RetryBudget,
        rejections: RejectionLimits,
        forwarding: Forwarding,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._budget = budget
        self._rejections = rejections
        self._forwarding = forwarding
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def after_refusal(
        self, call: Call, caller: CallerWatch, refusal: Refusal
    ) -> Steps[bool | CallerLeft]:
        """Wait until a refused call may ask again; return whether it may."""
        if not self._may_ask_again(call, refusal):
            return False
        left = yield from self._pause(call, caller, refusal.retry_after)
        call.forget_retryable_upstreams()
        return True if left is None else left

    def after_attempt(
        self,
        call: Call,
        caller: CallerWatch,
        target: Target,
        result: Result,
        chooser: Chooser,
    ) -> Steps[bool | CallerLeft]:
        """Wait until another attempt may follow one that has ended.

        Returns
        -------
        bool or CallerLeft
            Whether another attempt may follow.
        """
        record_attempt(call, result, self._clock.monotonic())
        if _is_final(target, result):
            return False
        if self._should_retry(call, target, result, chooser):
            return True
        if not self._may_go_on(call, result):
            return False
        return (yield from self._await_budget(call, caller))

    # After a refusal

    def _may_ask_again(self, call: Call, refusal: Refusal) -> bool:
        """Return whether a call waits until it may ask for a place again."""
        reasons = TEMPORARY_REASONS if call.holds_out else UNCONNECTED_REASONS
        if refusal.reason not in reasons:
            return False
        return self._clock.monotonic() + MIN_PAUSE < asks_until(call)

    def _pause(
        self, call: Call, caller: CallerWatch, retry_after: timedelta | None = None
    ) -> Steps[CallerLeft | None]:
        """Wait after a refusal; the call may ask once more before its time is over.

        It waits longer each time, unless the refusal says how long.
        """
        least = MIN_PAUSE * 2 ** min(call.pauses, MAX_DOUBLINGS)
        call.pauses += 1
        length = min(max(retry_after or MIN_PAUSE, least), MAX_PAUSE)
        until = min(self._clock.monotonic() + length, asks_until(call) - MIN_PAUSE / 2)
        return (yield from wait_for(Future(), until, caller, self._clock))

    # After an attempt

    def _should_retry(
        self, call: Call, target: Target, result: Result, chooser: Chooser
    ) -> bool:
        """Return whether another attempt is allowed and within the retry budget."""
        if self._clock.monotonic() >= call.deadline:
            return False
        if target.is_instance and isinstance(result, NotRun):
            return self._may_forward_again(target, result)
        if isinstance(result, NotRun) and not result.reached_upstream:
            allowed = call.sends < call.route.attempts + MAX_REFUSED_SENDS
            has_waited = call.pauses > 0 and not call.holds_out
            if has_waited and self._clock.monotonic() >= waits_until(call):
                return False
            return allowed and self._count_retry(call, result)
        if isinstance(result, NotRun):
            refused = call.sends - call.runs
            is_last = refused > self._max_refused_sends(call)
            allowed = not is_last and self._may_run_again(call)
            admitted = chooser.is_admitted_by_leader(call)
            share = ADMITTED_BUDGET_SHARE if admitted else 1.0
            return allowed and self._spend_retry(call, result, share)
        allowed = call.route.repeatable and self._may_run_again(call)
        return allowed and self._spend_retry(call, result)

    def _max_refused_sends(self, call: Call) -> int:
        if self._rejections.is_limited(call.service):
            return MAX_REJECTIONS
        return MAX_REFUSED_SENDS

    def _may_forward_again(self, target: Target, result: NotRun) -> bool:
        """Return whether a call that an instance has not sent may go to another one.

        An instance that can be reached knows as much of upstreams as others do, so its
        refusal counts, unless it has lost its own links.
        """
        if result.reached_upstream and self._forwarding.is_available(target.upstream):
            return result.body.strip() == Reason.UPSTREAMS_CUT_OFF.encode()
        return True

    def _may_go_on(self, call: Call, result: Result) -> bool:
        """Return whether a call that holds out waits for another attempt.

        It may need more refused sends than other requests, and a retry budget that has
        room again.
        """
        if not call.holds_out or self._rejections.is_limited(call.service):
            return False
        if isinstance(result, NotRun):
            return True
        return call.route.repeatable and self._may_run_again(call)

    def _await_budget(
        self, call: Call, caller: CallerWatch
    ) -> Steps[bool | CallerLeft]:
        """Wait until the budget allows another attempt; return whether it does.

        A place that was looked for before is given back, as this may take long.
        """
        call.withdraw_place_search()
        while True:
            if self._clock.monotonic() + MIN_PAUSE >= call.deadline:
                return False
            left = yield from self._pause(call, caller)
            if left is not None:
                return left
            if self._budget.try_reserve(call.service):
                call.retry_reserved = True
                return True

    def _may_run_again(self, call: Call) -> bool:
        return call.runs < max(call.route.attempts, 1)

    def _spend_retry(self, call: Call, result: Result, share: float = 1.0) -> bool:
        if self._budget.try_reserve(call.service, share):
            call.retry_reserved = True
            return self._count_retry(call, result)
        self._metrics.count("refusals", Reason.RETRY_BUDGET)
        use = self._budget.use(call.service)
        self._log.info(
            "retry budget empty",
            request=call.id,
            service=call.service,
            requests=use.requests,
            retries=use.retries,
            allowed=round(use.allowed, 1),
            instances=use.instances,
            age_ms=use.age // MILLISECOND,
        )
        return False

    def _count_retry(self, call: Call, result: Result) -> bool:
        call.retry_reason = reason_of(result)
        self._metrics.count("retries", call.retry_reason)
        return True


def _is_final(target: Target, result: Result) -> bool:
    """Return whether no other attempt may follow a result, whatever the call needs."""
    if isinstance(result, CallerLeft | OutOfTime):
        return True
    if not isinstance(result, Answered):
        return False
    # Another instance that has answered has tried what is allowed.
    return target.is_instance or result.head.status < FIRST_SERVER_ERROR_STATUS
