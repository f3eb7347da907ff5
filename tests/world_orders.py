"""Orders as engines have seen them arrive, and the rules that they may break."""

from dataclasses import dataclass


@dataclass
class OrderSeen:
    """An order as an engine has seen it arrive."""

    at: float
    engine: str
    machine: str
    fence: int


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
