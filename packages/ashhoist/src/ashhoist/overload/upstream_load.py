"""The places of one upstream: granted, held after a failure, and free."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..upstreams import Upstream
from .concurrency import DEFAULT_SERVICE_TIME, ConcurrencyLimit

FAILURE_COST = 6.0
"""Cost of an upstream whose recent requests have all failed; like `OTHER_ZONE_COST`, in
requests in flight divided by the limit. Well above 1, the cost of a full upstream that
works, as `FAILURE_COST_FACTOR` of `upstreams.balance`."""
OTHER_ZONE_COST = 0.25
"""Lower than in `upstreams.balance`, where an instance knows its own requests only. The
leader knows all of them, so a difference in cost shows real spare capacity."""


@dataclass(slots=True)
class UpstreamLoad:
    """What is in flight at one upstream, and how much it takes.

    Parameters
    ----------
    in_flight : int
        Grants that have not ended.
    held : int
        Places of attempts that ended early without an answer. They stay taken for the
        usual service time; otherwise an upstream that fails at once would get most of
        the requests.
    failure_share : float
        The recent share of failures, from 0 to 1.
    bears_few_rejections : bool
        Whether it crashes if it rejects too many requests. It then gets no more at a
        time than it has slots.
    """

    upstream: Upstream
    limit: ConcurrencyLimit = field(init=False)
    in_flight: int = 0
    held: int = 0
    failure_share: float = 0.0
    bears_few_rejections: bool = False

    def __post_init__(self) -> None:
        self.limit = ConcurrencyLimit(self.upstream.slots)

    @property
    def places(self) -> int:
        """Return how many requests it gets at a time: fewer if it fails, never none."""
        limit = self.limit.value
        if self.bears_few_rejections:
            limit = min(limit, self.upstream.slots)
        return max(round(limit * (1 - self.failure_share)), 1)

    @property
    def free(self) -> int:
        """Return the number of free places."""
        return max(self.places - self.in_flight - self.held, 0)

    @property
    def service_time(self) -> timedelta:
        """Return the usual service time, or a default before the first answer."""
        return self.limit.usual_time or DEFAULT_SERVICE_TIME

    @property
    def throughput(self) -> float:
        """Return the requests per second that it takes."""
        seconds = max(self.service_time.total_seconds(), 0.001)
        return self.places / seconds

    def cost(self, zone: str) -> float:
        """Return the cost of sending it a request from an availability zone."""
        cost = (self.in_flight + self.held) / max(self.limit.value, 1.0)
        cost += self.failure_share * FAILURE_COST
        return cost if self.upstream.zone == zone else cost + OTHER_ZONE_COST
