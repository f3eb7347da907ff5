"""One planning round: which adapters are loaded next, where, and which are evicted."""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..orders.order import OrderKind
from .adapter_index import AdapterIndex
from .batch_load import BatchLoad
from .candidates import Candidates
from .engine import (
    COLD_LOAD_TIME,
    MAX_CONCURRENT_LOADS,
    WARM_LOAD_TIME,
    Engine,
    SlotState,
)
from .pending_requests import AdapterDemand
from .popularity import Popularity

MIN_IDLE_BEFORE_EVICTION = timedelta(milliseconds=60)
OTHER_ZONE_COST = 0.02
COPY_COST = 0.004
"""For each copy that the engine keeps."""
OCCUPANCY_COST = 0.1
"""For an engine whose slots are all occupied; in proportion otherwise."""
BATCH_COST = 0.5
"""For an engine whose batch is full; in proportion otherwise. The wait for a place is
about half of a run."""
COLD_COST = 0.9
"""Cost of a load from the weight store, in seconds of waiting like the costs above."""
COLD_LOAD_PRICE = 0.74
"""Price of a load from the weight store, in the unit of the value of answers."""
EXPECTED_FIRST_TOKEN_TIME = timedelta(milliseconds=350)


@dataclass(frozen=True, slots=True)
class AvailableSlot:
    """A slot of an engine that an adapter can be loaded into.

    Parameters
    ----------
    evict : Adapter or None
        The adapter that must be unloaded first.
    """

    evict: Adapter | None = None


def find_slot(
    engine: Engine, adapter: Adapter, popularity: Popularity, now: timedelta
) -> AvailableSlot | None:
    """Return the slot that an engine has available for an adapter, or None."""
    slot = engine.adapter_slots.get(adapter)
    if slot is not None:
        unused = slot.state is SlotState.SERVING and not engine.inflight.count(adapter)
        return AvailableSlot(adapter) if unused else None
    return find_spare_slot(engine, popularity, now)


def find_spare_slot(
    engine: Engine, popularity: Popularity, now: timedelta
) -> AvailableSlot | None:
    """Return the slot available for an adapter that the engine does not hold."""
    if engine.free_slots > 0:
        return AvailableSlot()
    idle = [
        slot
        for slot in engine.adapter_slots.values()
        if slot.state is SlotState.SERVING
        and not engine.inflight.count(slot.adapter)
        and slot.adapter not in engine.adapters_awaiting_permits
        and now - slot.used_at >= MIN_IDLE_BEFORE_EVICTION
    ]
    if not idle:
        return None
    least_popular = min(idle, key=lambda slot: popularity.rate(slot.adapter))
    return AvailableSlot(least_popular.adapter)


class PlanningRound:
    """The state shared by all queued requests while one round is planned.

    Parameters
    ----------
    engines : iterable of Engine
        All engines.
    index : AdapterIndex
        Which of them hold which adapters.
    open_zones : set of str
        The availability zones to whose engines orders may be sent now.
    demands : iterable of AdapterDemand
        The queued requests, grouped by adapter.
    first_token_wait : callable
        Takes an engine and the length of a prompt; returns the expected time to its
        first token, plus the cost to other requests.
    permit_wait : callable
        Takes an engine; returns how long until one more request can be sent there: no
        time unless it has a rate limit.
    load : BatchLoad or None
        How full the batches are; None to compute it for this round only.
    """

    def __init__(
        self,
        engines: Iterable[Engine],
        index: AdapterIndex,
        open_zones: set[str],
        popularity: Popularity,
        demands: Iterable[AdapterDemand],
        first_token_wait: Callable[[Engine, int], timedelta],
        permit_wait: Callable[[Engine], timedelta],
        now: timedelta,
        load: BatchLoad | None = None,
    ) -> None:
        engines = list(engines)
        self._load = load or BatchLoad(popularity, index)
        self._index = index
        self._popularity = popularity
        self._first_token_wait = first_token_wait
        self._permit_wait = permit_wait
        self._now = now
        self._open_zones = open_zones
        self._spare_slots: dict[str, AvailableSlot | None] = {}
        self._load_orders = _load_orders_in_flight(engines)
        self._being_loaded: dict[int, AdapterDemand] = {}
        self._reserve_loads_in_progress(demands)
        self._eligible = {
            engine.id: engine for engine in engines if self._is_eligible(engine)
        }
        self._candidates: Candidates | None = None

    def _is_eligible(self, engine: Engine) -> bool:
        """Return whether an engine can take another load, now or soon."""
        if engine.upstream.zone not in self._open_zones:
            return False
        return (
            engine.accepts_orders(self._now)
            and engine.loading_count < MAX_CONCURRENT_LOADS
        )

    def _reserve_loads_in_progress(self, demands: Iterable[AdapterDemand]) -> None:
        """Reserve the prompts that each engine will prefill once its loads have ended.

        Otherwise all requests that are queued at one moment would be assigned to the
        one engine that is idle.
        """
        for demand in demands:
            for engine in self._engines_loading(demand):
                engine.reserve(demand.total_tokens, len(demand.by_id))
                self._being_loaded[id(demand)] = demand

    def is_being_loaded(self, demand: AdapterDemand) -> bool:
        """Return whether an engine was loading the adapter when the round began."""
        return id(demand) in self._being_loaded

    def _engines_loading(self, demand: AdapterDemand) -> Iterator[Engine]:
        holding = self._index.holding(demand.adapter)
        ordered = self._load_orders.get(demand.adapter, ())
        others = (engine for engine in ordered if engine.id not in holding)
        for engine in itertools.chain(holding.values(), others):
            if not demand.accepts(engine.upstream):
                continue
            if engine.is_loading(demand.adapter, demand.oldest_version, self._now):
                yield engine

    def value_per_second(self, demand: AdapterDemand) -> float:
        """Return the value of loading an adapter, per second until the answers."""
        cold = self._is_cold(demand)
        until_answered = (
            COLD_LOAD_TIME if cold else WARM_LOAD_TIME
        ) + EXPECTED_FIRST_TOKEN_TIME
        value = demand.value(self._now, until_answered) - (
            COLD_LOAD_PRICE if cold else 0.0
        )
        return value / until_answered.total_seconds()

    def _is_cold(self, demand: AdapterDemand) -> bool:
        """Return whether no engine has a copy; cached until the demand changes."""
        if demand.cold is None:
            adapter, version = demand.adapter, demand.oldest_version
            demand.cold = not any(
                engine.has_copy(adapter, version)
                for engine in self._index.with_copy(adapter).values()
            )
        return demand.cold

    def best_engine(self, demand: AdapterDemand) -> Engine | None:
        """Return the engine where the adapter is loaded at the lowest cost, or None."""
        tokens = demand.max_tokens
        best: Engine | None = None
        min_cost = math.inf
        with_copy = self._index.with_copy(demand.adapter).values()
        # All engines with a copy are visited; any other one costs COLD_COST more.
        others = self._candidates_by_cost.cheaper_than(
            lambda: min_cost - COLD_COST, tokens
        )
        for engine in itertools.chain(with_copy, others):
            if engine.id not in self._eligible or not self._can_load(engine, demand):
                continue
            cost = self._cost(engine, demand, tokens)
            if cost < min_cost:
                best, min_cost = engine, cost
        return best

    @property
    def _candidates_by_cost(self) -> Candidates:
        if self._candidates is None:
            self._candidates = Candidates(self._eligible.values(), self._min_cost)
        return self._candidates

    def _min_cost(self, engine: Engine) -> float | None:
        if engine.inflight.is_overdue(self._now):
            return None
        return self._base_cost(engine, 0)

    def _can_load(self, engine: Engine, demand: AdapterDemand) -> bool:
        """Return whether an engine can be ordered to load an adapter."""
        if not demand.accepts(engine.upstream):
            return False
        if demand.adapter.model not in engine.models:
            return False
        if engine.serves(demand.adapter, demand.oldest_version):
            return False
        if self._permit_comes_too_late(engine, demand):
            return False
        return self.slot_for(engine, demand.adapter) is not None

    def _permit_comes_too_late(self, engine: Engine, demand: AdapterDemand) -> bool:
        """Return whether all requests would be refused before they can be sent."""
        wait = self._permit_wait(engine)
        return bool(wait) and self._now + wait > demand.last_give_up

    def slot_for(self, engine: Engine, adapter: Adapter) -> AvailableSlot | None:
        """Return the slot that an engine has available for an adapter, or None."""
        if adapter in engine.adapter_slots:
            return find_slot(engine, adapter, self._popularity, self._now)
        if engine.id not in self._spare_slots:
            self._spare_slots[engine.id] = find_spare_slot(
                engine, self._popularity, self._now
            )
        return self._spare_slots[engine.id]

    def record_order(self, engine: Engine, demand: AdapterDemand) -> None:
        """Record that an engine was sent an order, which changes its free slots."""
        engine.reserve(demand.total_tokens, len(demand.by_id))
        self._spare_slots.pop(engine.id, None)
        is_eligible = self._is_eligible(engine)
        if not is_eligible:
            self._eligible.pop(engine.id, None)
        if self._candidates is not None:
            self._candidates.update(engine, is_eligible)

    def _cost(self, engine: Engine, demand: AdapterDemand, tokens: int) -> float:
        """Return the cost of loading an adapter on an engine, in seconds."""
        cost = self._base_cost(engine, tokens)
        if not engine.has_copy(demand.adapter, demand.oldest_version):
            cost += COLD_COST
        if engine.upstream.zone not in demand.zones:
            cost += OTHER_ZONE_COST
        return cost

    def _base_cost(self, engine: Engine, tokens: int) -> float:
        """Return the part of the cost that is the same for every adapter."""
        cost = self._first_token_wait(engine, tokens).total_seconds()
        cost += len(engine.copies) * COPY_COST
        cost += self._load.fill(engine, self._now) * BATCH_COST
        return cost + engine.used_slot_share * OCCUPANCY_COST


def _load_orders_in_flight(engines: Iterable[Engine]) -> dict[Adapter, list[Engine]]:
    """Return the engines with an unanswered order to load an adapter, by adapter."""
    found: dict[Adapter, list[Engine]] = {}
    for engine in engines:
        order = engine.order_in_flight
        if order is not None and order.kind is OrderKind.LOAD:
            found.setdefault(order.adapter, []).append(engine)
    return found
