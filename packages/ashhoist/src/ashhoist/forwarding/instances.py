"""The other instances through which requests can be forwarded."""

import random
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

OTHER_ZONE_COST = 4
"""Cost of an instance in another zone, in forwarded requests in flight."""
MIN_CAPACITY = 0.01
"""Of an instance in a choice, in processor cores."""
UNREACHABLE_FOR = timedelta(seconds=1)
"""How long an instance is left out that could not be connected to."""


@dataclass(frozen=True, slots=True)
class ForwardingInstance:
    """Another instance that reaches upstreams.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of its listener for callers.
    capacity : float
        Processor cores that it may use.
    is_assigned : bool
        Whether it was chosen for this instance among all, whatever its zone.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0
    is_assigned: bool = False

    @property
    def weight(self) -> float:
        """Return its weight in a choice, in processor cores."""
        return max(self.capacity, MIN_CAPACITY)


class ForwardingInstances:
    """Chooses among the instances that reach upstreams.

    Parameters
    ----------
    zone : str
        The availability zone of this instance.
    available : callable
        Returns the instances that reach upstreams, as far as is known.
    """

    def __init__(
        self,
        zone: str,
        available: Callable[[], list[ForwardingInstance]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._available = available
        self._clock = clock
        self._random = rng
        self._in_flight: Counter[str] = Counter()
        self._usable_at: dict[str, timedelta] = {}

    def is_available(self, name: str) -> bool:
        """Return whether an instance reaches upstreams, as far as is known."""
        return any(instance.name == name for instance in self._available())

    def choose(self, tried: Container[str] = ()) -> ForwardingInstance | None:
        """Return the least loaded instance, preferably of the own zone, or None."""
        now = self._clock.monotonic()
        untried = [
            one
            for one in self._available()
            if one.name not in tried and self._usable_at.get(one.name, now) <= now
        ]
        return min(untried, key=self._cost, default=None)

    def _cost(self, instance: ForwardingInstance) -> float:
        """Return the load of an instance for each of its cores, as far as known."""
        in_flight = self._in_flight[instance.name]
        if instance.zone != self._zone and not instance.is_assigned:
            in_flight += OTHER_ZONE_COST
        return (in_flight + self._random.random()) / instance.weight

    def set_unreachable(self, name: str) -> None:
        """Leave out an instance that could not be connected to for a while."""
        now = self._clock.monotonic()
        self._usable_at = {
            other: at for other, at in self._usable_at.items() if at > now
        }
        self._usable_at[name] = now + UNREACHABLE_FOR

    def begin(self, name: str) -> None:
        """Count a request that is forwarded to an instance."""
        self._in_flight[name] += 1

    def end(self, name: str) -> None:
        """Stop counting a forwarded request that has ended."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            del self._in_flight[name]
