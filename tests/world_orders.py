"""Orders as engines have seen them arrive, and the rules that they may break."""

from collections import deque
from dataclasses import dataclass, field

from ashhoist.control.engines import UNSENT_TIMEOUT

GIVEN_UP_S = 0.25
"""After so long without an answer the sender of an order gives it up."""
UNSENT_KEPT_S = UNSENT_TIMEOUT.total_seconds()


@dataclass
class OrderSeen:
    """An order as an engine has seen it arrive."""

    at: float
    engine: str
    machine: str
    fence: int


@dataclass
class HeldUp:
    """Orders that are held up on their way.

    Parameters
    ----------
    seconds : deque of float
        For how long the next orders are.
    drops_unsent : bool
        Whether what is held up is dropped as its sender gives it up, or ends; what has
        left already is dropped by nobody.
    """

    seconds: deque[float] = field(default_factory=deque)
    drops_unsent: bool = True

    def drops(self, seconds: float, has_ended: bool, is_frozen: bool) -> bool:
        """Return whether an order was dropped before it could arrive."""
        given_up = seconds > (UNSENT_KEPT_S if is_frozen else GIVEN_UP_S)
        return self.drops_unsent and (given_up or has_ended)


def broken_turns(seen: list[OrderSeen], lease_s: float) -> list[str]:
    """Return how orders break the rule of one holder at a time."""
    broken = []
    for engine in {order.engine for order in seen}:
        orders = [order for order in seen if order.engine == engine]
        broken += _broken_fences(orders) + _broken_turns(orders, lease_s)
    return broken


def _broken_fences(orders: list[OrderSeen]) -> list[str]:
    broken = []
    holders: dict[int, str] = {}
    highest = -1
    for order in orders:
        if order.fence < highest:
            broken.append(f"{order} follows fence {highest}")
        highest = max(highest, order.fence)
        if holders.setdefault(order.fence, order.machine) != order.machine:
            broken.append(f"{order} shares its fence with {holders[order.fence]}")
    return broken


def _broken_turns(orders: list[OrderSeen], lease_s: float) -> list[str]:
    broken = []
    for index, order in enumerate(orders):
        others = [
            middle
            for middle in orders[:index]
            if middle.machine != order.machine and order.at - middle.at < lease_s
        ]
        for middle in others:
            before = [
                first
                for first in orders
                if first.machine == order.machine
                and first.at < middle.at
                and order.at - first.at < lease_s
            ]
            if before:
                broken.append(f"{order.machine} orders again around {middle}")
    return broken
