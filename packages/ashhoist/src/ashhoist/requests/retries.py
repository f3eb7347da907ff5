"""Decides whether another attempt may follow one that has ended."""

from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from ..placement.messages import Target
from ..upstreams import RejectionLimits
from .attempt import Answered, CallerLeft, NotRun, OutOfTime, Result
from .budget import RetryBudget
from .call import Call
from .caller_responses import FIRST_SERVER_ERROR_STATUS, reason_of
from .choosers import Chooser
from .forwarding_chooser import Forwarding
from .silent_connects import waits_until

MILLISECOND = timedelta(milliseconds=1)
MAX_REFUSED_SENDS = 3
"""Number of explicit refusals up to which a request is sent to another upstream. Sends
that do not reach an upstream may exceed the route's attempts by the same number."""
ADMITTED_BUDGET_SHARE = 0.75
"""Share of the retry budget for retries that the leader of a contended service admits.
The rest is left for failures."""
MAX_REJECTIONS = 1
"""`MAX_REFUSED_SENDS` for upstreams that crash if they reject too many requests."""


class Retries:
    """Allows further attempts of calls, and counts them."""

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

    def should_retry(
        self, call: Call, target: Target, result: Result, chooser: Chooser
    ) -> bool:
        """Return whether another attempt is allowed and within the retry budget."""
        if isinstance(result, CallerLeft | OutOfTime):
            return False
        if target.is_instance and isinstance(result, Answered):
            # The other instance has tried what is allowed.
            return False
        if target.is_instance and isinstance(result, NotRun):
            return self._may_forward_again(call, target, result)
        if self._clock.monotonic() >= call.deadline:
            return False
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
        if (
            isinstance(result, Answered)
            and result.head.status < FIRST_SERVER_ERROR_STATUS
        ):
            return False
        allowed = call.route.repeatable and self._may_run_again(call)
        return allowed and self._spend_retry(call, result)

    def _max_refused_sends(self, call: Call) -> int:
        if self._rejections.is_limited(call.service):
            return MAX_REJECTIONS
        return MAX_REFUSED_SENDS

    def _may_forward_again(self, call: Call, target: Target, result: NotRun) -> bool:
        """Return whether a call that an instance has not sent may go to another one.

        An instance that can be reached knows as much of upstreams as others do, so its
        refusal counts, unless it has lost its own links.
        """
        if self._clock.monotonic() >= call.deadline:
            return False
        if result.reached_upstream and self._forwarding.is_available(target.upstream):
            return result.body.strip() == Reason.UPSTREAMS_CUT_OFF.encode()
        return True

    def may_go_on(self, call: Call, target: Target, result: Result) -> bool:
        """Return whether a call that holds out waits for another attempt.

        It may need more refused sends than other requests, and a retry budget that has
        room again.
        """
        if not call.holds_out or self._rejections.is_limited(call.service):
            return False
        if isinstance(result, CallerLeft | OutOfTime):
            return False
        if isinstance(result, NotRun):
            return True
        if isinstance(result, Answered) and (
            target.is_instance or result.head.status < FIRST_SERVER_ERROR_STATUS
        ):
            return False
        return call.route.repeatable and self._may_run_again(call)

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
