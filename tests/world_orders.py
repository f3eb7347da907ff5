"""Orders as engines received them, and checks that one holder at a time sent them."""

from collections import deque
from dataclasses import dataclass, field

from ashhoist.control.engines import UNSENT_TIMEOUT

ORDER_TIMEOUT_S = 0.25
"""Time after which the sender of an unanswered order gives up."""
UNSENT_TIMEOUT_S = UNSENT_TIMEOUT.total_seconds()


@dataclass
class ReceivedOrder:
    """An order as an engine received it."""

    at: float
    engine: str
    machine: str
    fence: int


@dataclass
class OrderDelays:
    """Delays for orders on their way to engines.

    Parameters
    ----------
    seconds : deque of float
        The delays of the next orders.
    drops_unsent : bool
        Whether a delayed order is dropped when its sender gives up or ends, as one that
        has not been sent yet. An order that has been sent is never dropped.
    """

    seconds: deque[float] = field(default_factory=deque)
    drops_unsent: bool = True

    def drops(self, seconds: float, has_ended: bool, is_frozen: bool) -> bool:
        """Return whether an order is dropped before it arrives."""
        is_given_up = seconds > (UNSENT_TIMEOUT_S if is_frozen else ORDER_TIMEOUT_S)
        return self.drops_unsent and (is_given_up or has_ended)


def broken_turns(seen: list[ReceivedOrder], lease_s: float) -> list[str]:
    """Return the violations of the rule that one machine at a time sends orders."""
    violations = []
    for engine in {order.engine for order in seen}:
        orders = [order for order in seen if order.engine == engine]
        violations += _fence_violations(orders) + _interleaved(orders, lease_s)
    return violations


def _fence_violations(orders: list[ReceivedOrder]) -> list[str]:
    violations = []
    holders: dict[int, str] = {}
    highest = -1
    for order in orders:
        if order.fence < highest:
            violations.append(f"{order} follows fence {highest}")
        highest = max(highest, order.fence)
        if holders.setdefault(order.fence, order.machine) != order.machine:
            violations.append(f"{order} shares its fence with {holders[order.fence]}")
    return violations


def _interleaved(orders: list[ReceivedOrder], lease_s: float) -> list[str]:
    violations = []
    for index, order in enumerate(orders):
        others = [
            other
            for other in orders[:index]
            if other.machine != order.machine and order.at - other.at < lease_s
        ]
        for other in others:
            earlier = [
                own
                for own in orders
                if own.machine == order.machine
                and own.at < other.at
                and order.at - own.at < lease_s
            ]
            if earlier:
                violations.append(f"{order.machine} interleaves orders with {other}")
    return violations
