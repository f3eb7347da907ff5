"""Load balancing for plain services, by requests in flight at each upstream."""

import random
from collections import Counter
from collections.abc import Collection, Iterable

from ..failures import Reason
from .backoffs import Backoffs
from .directory import Upstream
from .health import HIGH_FAILURE_SHARE, Health

FAILURE_COST_FACTOR = 6.0
"""Cost of an upstream whose recent requests have all failed; like `OTHER_ZONE_COST`, in
requests in flight per slot of the upstream."""
OTHER_ZONE_COST = 0.75


class Balancer:
    """Chooses the least loaded upstream and prefers the instance's availability zone.

    Parameters
    ----------
    zone : str
        The availability zone of this instance.
    """

    def __init__(
        self, zone: str, health: Health, backoffs: Backoffs, source: random.Random
    ) -> None:
        self._zone = zone
        self._health = health
        self._backoffs = backoffs
        self._random = source
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, upstreams: Iterable[Upstream], tried: Collection[str] = ()
    ) -> Upstream | Reason:
        """Return the upstream for a request, or the reason why none is available.

        Parameters
        ----------
        tried : collection of str
            Ids of the upstreams that this request has already been sent to.
        """
        untried = [upstream for upstream in upstreams if upstream.id not in tried]
        available = self.available(untried)
        if not available:
            return Reason.UPSTREAMS_REST if untried else Reason.NO_UPSTREAM
        return min(self.reachable(available), key=self._cost)

    def available(
        self, upstreams: Iterable[Upstream], tried: Collection[str] = ()
    ) -> list[Upstream]:
        """Return the upstreams that a request may still be sent to; see `choose`."""
        return [
            upstream
            for upstream in upstreams
            if upstream.id not in tried
            and not self._backoffs.is_backing_off(upstream.id)
        ]

    def reachable(self, available: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that are not excluded as unreachable, or else all."""
        usable = [
            upstream for upstream in available if self._health.usable(upstream.id)
        ]
        return usable or available

    def _cost(self, upstream: Upstream) -> float:
        cost = self._in_flight[upstream.id] / max(upstream.slots, 1)
        failure_share = self._health.share_failing(upstream.id)
        if failure_share > HIGH_FAILURE_SHARE:
            cost += failure_share * FAILURE_COST_FACTOR
        if upstream.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + self._random.random() * 0.01

    def begin(self, upstream: str) -> None:
        """Count a request that is sent to an upstream."""
        self._in_flight[upstream] += 1

    def end(self, upstream: str) -> None:
        """Stop counting a request that has ended at an upstream."""
        self._in_flight[upstream] -= 1
        if self._in_flight[upstream] <= 0:
            del self._in_flight[upstream]

    def in_flight(self, upstream: str) -> int:
        """Return how many requests of this instance are in flight at an upstream."""
        return self._in_flight[upstream]
