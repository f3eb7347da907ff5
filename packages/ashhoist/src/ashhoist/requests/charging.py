"""Charges requests to their customers' quotas, and gives back what has not run."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..customers import Customer
from ..customers.charges import Charge, Charged, ChargeUnanswered, TokensUnused
from ..failures import Reason
from ..http import CallerConnection
from ..loop import Steps
from ..metrics import Metrics
from ..placement.asks import Refusal
from .attempt import CallerLeft
from .call import Call
from .waiting import wait_for

PATIENCE = timedelta(milliseconds=60)
"""How long a request waits for its tokens: many round trips between zones, and little
beside the aim of a request."""
COME_BACK = timedelta(milliseconds=300)
"""While nobody grants tokens: about the time until somebody does again."""
SPREAD = 0.5
"""Callers that are refused for the same lack return over so much more time."""


class Charging:
    """Charges calls.

    Parameters
    ----------
    send : callable
        Takes messages to the control task.
    """

    def __init__(
        self,
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
        source: random.Random,
    ) -> None:
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._random = source

    def charge(
        self, call: Call, caller: CallerConnection
    ) -> Steps[Refusal | CallerLeft | None]:
        """Charge a call; None means that it may run."""
        customer = call.identity.customer
        if customer is None or customer.quota is None:
            return None
        call.charged = customer.quota.charge(call.sizes.tokens)
        charge = Charge(customer.name, call.charged)
        self._send(charge)
        until = self._clock.monotonic() + PATIENCE
        left = yield from wait_for(charge.answer, until, caller, self._clock)
        if left is not None:
            # What is granted for it yet is spent by the next, or goes back.
            charge.settle(Charged(False))
            call.charged = 0.0
            return left
        if not charge.settled:
            self._send(ChargeUnanswered(charge))
        return self._judge(call, customer, charge.answer.result())

    def _judge(
        self, call: Call, customer: Customer, charged: Charged
    ) -> Refusal | None:
        if charged.spent:
            self._count(customer, "spent", call.charged)
            return None
        call.charged = 0.0
        wait = charged.wait or COME_BACK
        wait *= 1.0 + SPREAD * self._random.random()
        if charged.over_quota:
            return Refusal(Reason.OVER_QUOTA, wait)
        return Refusal(Reason.QUOTA_UNKNOWN, min(wait, COME_BACK * 2))

    def settle(self, call: Call) -> None:
        """Give back what a call was charged that has ended, if it has not run."""
        customer = call.identity.customer
        if customer is None or not call.charged or call.has_run:
            return
        self._count(customer, "given_back", call.charged)
        self._send(TokensUnused(customer.name, call.charged))
        call.charged = 0.0

    def _count(self, customer: Customer, end: str, tokens: float) -> None:
        self._metrics.count("customer_tokens", customer.name, end, amount=tokens)
