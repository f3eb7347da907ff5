"""How the scarce things are shared out: which load, which slot, which upstream.

A policy is pure: it is given what is known and answers with a choice. Policies
stand in a registry; the operators choose one by name in the ``default`` policy
resource.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol, TypeVar

from .clock import ZERO
from .demand import Demand
from .slots import Slot
from .types import AdapterVersion, Job, Priority

DEFAULT_WEIGHTS = {
    Priority.LOW: 1.0,
    Priority.NORMAL: 2.0,
    Priority.HIGH: 6.0,
    Priority.URGENT: 20.0,
}
AGEING = timedelta(seconds=10)
FAR_ZONE_SECONDS = 0.002
PACKING_SECONDS = 0.25
NEXT_CHOICE_SECONDS = 0.1
REPLICA_FACTOR = 2.0
SECOND_LOOK_SECONDS = 0.2


@dataclass(slots=True)
class UpstreamView:
    """What an entry instance believes about one upstream.

    Parameters
    ----------
    running, waiting : int
        Requests at its home, as last reported.
    sent : int
        Requests that this instance has sent since that report, so that a
        lagging report does not draw everything to one place.
    service_seconds : float
        Mean time that a request runs.
    load_seconds : float
        Mean time that a load has taken from wish to residency.
    """

    name: str
    zone: str
    slots: int = 1
    max_batch: int = 1
    free_slots: int = 0
    running: int = 0
    waiting: int = 0
    wanted: int = 0
    sent: int = 0
    service_seconds: float = 1.0
    load_seconds: float = 1.0

    @property
    def backlog(self) -> int:
        """Return how many requests it has to deal with."""
        return self.running + self.waiting + self.sent

    @property
    def wait_seconds(self) -> float:
        """Return the expected wait of a further request in the queue."""
        ahead = max(0, self.backlog + 1 - self.max_batch)
        return ahead * self.service_seconds / self.max_batch


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What a route is wanted for."""

    adapter: AdapterVersion | None
    zone: str
    resident: Sequence[UpstreamView]
    placements: Sequence[UpstreamView]


@dataclass(frozen=True, slots=True)
class Route:
    """A chosen upstream and why it was chosen."""

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class PolicyOptions:
    """What operators set in the policy resource."""

    stall_weight: float = 0.5
    priority_weights: dict[Priority, float] = field(
        default_factory=lambda: dict(DEFAULT_WEIGHTS)
    )
    team_shares: dict[str, float] = field(default_factory=dict)


class Policy(Protocol):
    """The choices that vary between policies."""

    ageing: timedelta
    looks_at_all: bool

    def route(self, request: RouteRequest) -> Route | None:
        """Choose the upstream of a request, or None if there is none."""

    def benefit(self, waiting: Sequence[Job], demand: float, now: timedelta) -> float:
        """Return what loading an adapter is worth; the highest is loaded next."""

    def victim(
        self, slots: Sequence[Slot], benefit: float, demand: Demand, now: timedelta
    ) -> Slot | None:
        """Choose the slot to unload for a load of that benefit, or None."""


PolicyFactory = Callable[[PolicyOptions], Policy]
factories_by_name: dict[str, PolicyFactory] = {}
P = TypeVar("P", bound=type)


def policy(name: str) -> Callable[[P], P]:
    """Register a policy under a name that operators can set."""

    def decorate(factory: P) -> P:
        factories_by_name[name] = factory
        return factory

    return decorate


def create(name: str, options: PolicyOptions) -> Policy:
    """Return the policy of that name.

    Raises
    ------
    KeyError
        If no policy has that name.
    """
    return factories_by_name[name](options)


@policy("naive")
@dataclass(slots=True)
class NaivePolicy:
    """The baseline: least-loaded upstream, least recently used, first come.

    It stays as the other side of the differential tests.
    """

    options: PolicyOptions = field(default_factory=PolicyOptions)
    ageing: timedelta = ZERO
    looks_at_all: bool = True

    def route(self, request: RouteRequest) -> Route | None:
        """Choose the upstream with the fewest requests."""
        views = {view.name: view for view in request.placements}
        views.update({view.name: view for view in request.resident})
        if not views:
            return None
        best = min(views.values(), key=lambda view: (view.backlog, view.name))
        return Route(best.name, "least_loaded")

    def benefit(self, waiting: Sequence[Job], demand: float, now: timedelta) -> float:
        """Return how long the first of the waiting jobs has waited."""
        if not waiting:
            return 0.0
        return (now - min(job.enqueued_at for job in waiting)).total_seconds()

    def victim(
        self, slots: Sequence[Slot], benefit: float, demand: Demand, now: timedelta
    ) -> Slot | None:
        """Choose the least recently used slot."""
        return min(slots, key=lambda slot: slot.last_used, default=None)


@policy("weighted")
@dataclass(slots=True)
class WeightedPolicy:
    """Weighs load stalls against batch efficiency, by demand and priority."""

    options: PolicyOptions = field(default_factory=PolicyOptions)
    ageing: timedelta = AGEING
    looks_at_all: bool = False

    def route(self, request: RouteRequest) -> Route | None:
        """Choose a resident copy unless another upstream is surely sooner."""
        resident = self._cheapest(request.resident, request.zone)
        names = {view.name for view in request.resident}
        others = [view for view in request.placements if view.name not in names]
        other = self._placement(others, request.zone)
        if resident is None:
            return None if other is None else Route(other.name, "placed")
        if other is None:
            return Route(resident.name, "resident")
        stall = REPLICA_FACTOR * max(other.load_seconds, SECOND_LOOK_SECONDS)
        if resident.wait_seconds > other.wait_seconds + stall:
            return Route(other.name, "replica")
        return Route(resident.name, "resident")

    def benefit(self, waiting: Sequence[Job], demand: float, now: timedelta) -> float:
        """Return the weight of the waiting work, which grows as it waits."""
        total = 0.0
        for job in waiting:
            waited = (now - job.enqueued_at) / AGEING
            weight = self.options.priority_weights[job.priority]
            share = self.options.team_shares.get(job.team, 1.0)
            total += weight * share * (1.0 + waited)
        return total + demand * 0.01

    def victim(
        self, slots: Sequence[Slot], benefit: float, demand: Demand, now: timedelta
    ) -> Slot | None:
        """Choose the slot of the least demand; recency decides between equals."""
        return min(
            slots,
            key=lambda slot: (demand.value(slot.adapter, now), slot.last_used),
            default=None,
        )

    def _cheapest(
        self, views: Sequence[UpstreamView], zone: str
    ) -> UpstreamView | None:
        return min(views, key=lambda view: self._cost(view, zone), default=None)

    def _placement(
        self, views: Sequence[UpstreamView], zone: str
    ) -> UpstreamView | None:
        """Choose where to place an adapter: the ring's first, unless others pay.

        Entries that each went by their own view would load one cold adapter in
        several places, so a later choice must be better by a margin.
        """
        margin = NEXT_CHOICE_SECONDS * self.options.stall_weight
        best, best_cost = None, float("inf")
        for place, view in enumerate(views):
            cost = self._cost(view, zone) + place * margin
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def _cost(self, view: UpstreamView, zone: str) -> float:
        far = 0.0 if view.zone == zone else FAR_ZONE_SECONDS
        fill = min(1.0, view.backlog / view.max_batch)
        packing = (1.0 - self.options.stall_weight) * PACKING_SECONDS * (1.0 - fill)
        return view.wait_seconds + far + packing
