"""The part of the learnt throughput that each customer gets."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .fair_queue import MIN_WEIGHT

ACTIVE_FOR = timedelta(seconds=1)
"""A customer without requests for this time has no share."""
TIME_CONSTANT = timedelta(seconds=1)
"""Of the moving average of the granted requests per second."""


@dataclass(slots=True)
class _Activity:
    """Recent requests and grants of one customer.

    Parameters
    ----------
    granted : float
        Moving average of the granted requests per second, as of `updated_at`.
    """

    weight: float
    seen_at: timedelta
    granted: float = 0.0
    updated_at: timedelta = timedelta()


class CustomerRates:
    """The requests per second that the customers of one service get.

    Parameters
    ----------
    weight : callable
        Takes the name of a customer; returns its weight.
    """

    def __init__(self, weight: Callable[[str], float], clock: Clock) -> None:
        self._weight = weight
        self._clock = clock
        self._by_customer: dict[str, _Activity] = {}
        self._total_weight = 0.0

    def seen(self, customer: str) -> None:
        """Record that a customer has sent a request."""
        now = self._clock.monotonic()
        known = self._by_customer.get(customer)
        if known is not None:
            known.seen_at = now
            return
        weight = max(self._weight(customer), MIN_WEIGHT)
        self._by_customer[customer] = _Activity(weight, now, updated_at=now)
        self._total_weight += weight

    def granted(self, customer: str) -> None:
        """Count a grant."""
        known = self._by_customer.get(customer)
        if known is None:
            return
        known.granted = self._decayed(known) + 1 / TIME_CONSTANT.total_seconds()
        known.updated_at = self._clock.monotonic()

    def rate(self, customer: str, throughput: float) -> float:
        """Return the requests per second that a customer gets of a throughput.

        It is its part by weight, or what it was granted lately if that is more: other
        customers may leave a part of theirs.
        """
        known = self._by_customer.get(customer)
        if known is None or not self._total_weight:
            return throughput
        share = throughput * known.weight / self._total_weight
        return max(share, min(self._decayed(known), throughput))

    def forget_inactive(self) -> None:
        """Remove the customers that have sent nothing lately."""
        now = self._clock.monotonic()
        for customer, known in list(self._by_customer.items()):
            if now - known.seen_at > ACTIVE_FOR:
                del self._by_customer[customer]
        weights = [known.weight for known in self._by_customer.values()]
        self._total_weight = sum(weights)

    def _decayed(self, known: _Activity) -> float:
        age = self._clock.monotonic() - known.updated_at
        return known.granted * math.exp(-age / TIME_CONSTANT)
