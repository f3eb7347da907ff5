"""The weighted policy with one of its choices switched off, for comparison."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ashhoist.clock import ZERO
from ashhoist.demand import Demand
from ashhoist.policies import (
    NaivePolicy,
    Route,
    RouteRequest,
    UpstreamView,
    WeightedPolicy,
    policy,
)
from ashhoist.slots import Slot
from ashhoist.types import Job


@policy("without-demand")
@dataclass(slots=True)
class WithoutDemand(WeightedPolicy):
    """Evicts the least recently used slot."""

    def victim(
        self, slots: Sequence[Slot], benefit: float, demand: Demand, now: timedelta
    ) -> Slot | None:
        """Choose the least recently used slot."""
        return NaivePolicy.victim(self, slots, benefit, demand, now)  # type: ignore[arg-type]


@policy("without-benefit")
@dataclass(slots=True)
class WithoutBenefit(WeightedPolicy):
    """Loads first come, first served."""

    def benefit(self, waiting: Sequence[Job], demand: float, now: timedelta) -> float:
        """Return how long the first of the waiting jobs has waited."""
        return NaivePolicy.benefit(self, waiting, demand, now)  # type: ignore[arg-type]


@policy("without-priorities")
@dataclass(slots=True)
class WithoutPriorities(WeightedPolicy):
    """Runs and loads all requests alike."""

    ageing: timedelta = ZERO

    def benefit(self, waiting: Sequence[Job], demand: float, now: timedelta) -> float:
        """Return the number of waiting jobs, which grows as they wait."""
        return sum(
            1.0 + (now - job.enqueued_at).total_seconds() / 10 for job in waiting
        )


@policy("without-replicas")
@dataclass(slots=True)
class WithoutReplicas(WeightedPolicy):
    """Never loads an adapter that is resident somewhere."""

    def route(self, request: RouteRequest) -> Route | None:
        """Choose a resident copy, whatever it costs."""
        resident = self._cheapest(request.resident, request.zone)
        if resident is not None:
            return Route(resident.name, "resident")
        return WeightedPolicy.route(self, request)


@policy("without-packing")
@dataclass(slots=True)
class WithoutPacking(WeightedPolicy):
    """Does not prefer fuller batches."""

    def _cost(self, view: UpstreamView, zone: str) -> float:
        return view.wait_seconds


@policy("without-margin")
@dataclass(slots=True)
class WithoutMargin(WeightedPolicy):
    """Places by cost alone."""

    def _placement(
        self, views: Sequence[UpstreamView], zone: str
    ) -> UpstreamView | None:
        return self._cheapest(views, zone)


ABLATIONS = (
    "without-demand",
    "without-benefit",
    "without-priorities",
    "without-replicas",
    "without-packing",
    "without-margin",
)
