"""Charges requests to their customers' quotas and refunds those that did not run."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..customers import Customer
from ..customers.charges import Charge, ChargeResult, ChargeTimedOut, TokenRefund
from ..failures import Reason
from ..loop import Steps
from ..metrics import Metrics
from ..placement.messages import Refusal
from .call import Call
from .results import CallerLeft
from .waiting import CallerWatch, wait_for

CHARGE_TIMEOUT = timedelta(milliseconds=60)
"""How long a request waits for its charge to be granted. This covers many round trips
between zones and is short compared with a request's target latency."""
UNKNOWN_QUOTA_RETRY_AFTER = timedelta(milliseconds=300)
"""Retry delay while no instance grants tokens: roughly how long it takes until one does
again."""
RETRY_JITTER = 0.5
"""Maximum random extension of the retry delay, as a share of it. It spreads the retries
of callers that were refused for the same reason."""


class Charging:
    """Charges calls to customers' quotas.

    Parameters
    ----------
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self,
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._random = rng

    def charge(
        self, call: Call, caller: CallerWatch
    ) -> Steps[Refusal | CallerLeft | None]:
        """Charge a call; return None if it may run."""
        customer = call.identity.customer
        if customer is None or customer.quota is None:
            return None
        call.placement.charged_tokens = customer.quota.charge(call.token_counts.total)
        charge = Charge(customer.name, call.placement.charged_tokens)
        self._send(charge)
        deadline = self._clock.monotonic() + CHARGE_TIMEOUT
        is_waiting = False
        try:
            caller_left = yield from wait_for(
                charge.future, deadline, caller, self._clock
            )
            is_waiting = caller_left is None
        finally:
            if not is_waiting:
                self._withdraw(charge)
                call.placement.charged_tokens = 0.0
        if caller_left is not None:
            return caller_left
        if not charge.settled:
            self._send(ChargeTimedOut(charge))
        return self._apply_result(call, customer, charge.future.result())

    def _withdraw(self, charge: Charge) -> None:
        """Refund a charge whose call is not sent.

        A grant that still arrives is used by the next request or returned.
        """
        charge.settle(ChargeResult(False))
        if charge.future.result().spent:
            self._send(TokenRefund(charge.customer, charge.tokens))

    def _apply_result(
        self, call: Call, customer: Customer, charged: ChargeResult
    ) -> Refusal | None:
        if charged.spent:
            self._count_tokens(customer, "spent", call.placement.charged_tokens)
            return None
        call.placement.charged_tokens = 0.0
        wait = charged.wait or UNKNOWN_QUOTA_RETRY_AFTER
        wait *= 1.0 + RETRY_JITTER * self._random.random()
        if charged.over_quota:
            return Refusal(Reason.OVER_QUOTA, wait)
        return Refusal(Reason.QUOTA_UNKNOWN, min(wait, UNKNOWN_QUOTA_RETRY_AFTER * 2))

    def refund_unused(self, call: Call) -> None:
        """Refund the charge of a call that has ended without running."""
        customer = call.identity.customer
        if customer is None or not call.placement.charged_tokens or call.has_run:
            return
        self._count_tokens(customer, "given_back", call.placement.charged_tokens)
        self._send(TokenRefund(customer.name, call.placement.charged_tokens))
        call.placement.charged_tokens = 0.0

    def _count_tokens(self, customer: Customer, outcome: str, tokens: float) -> None:
        self._metrics.count("customer_tokens", customer.name, outcome, amount=tokens)
