"""Further copies of busy adapters on engines with spare capacity.

A copy is loaded when every engine that serves an adapter is busy, without waiting until
requests are late. The decision uses no I/O; the scheduler sends the orders.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..orders.order import OrderKind
from .adapter_copies import AdapterCopy, CopyOrder, CopyResult, ReplicationPlan
from .adapter_index import AdapterIndex
from .batch import LARGE_BATCH
from .batch_load import (
    NEARLY_FULL_SHARE,
    BatchLoad,
    has_batch,
    is_nearly_full,
    requests_per_second,
)
from .engine import MAX_CONCURRENT_LOADS, Engine, SlotState
from .inflight_requests import BASE_LATENCY
from .planning_round import (
    BATCH_COST,
    COLD_COST,
    COLD_LOAD_PRICE,
    AvailableSlot,
    find_spare_slot,
)
from .popularity import Popularity

ALLOWED_PAUSE = timedelta(milliseconds=300)
"""A prefill that delays the events of streams for longer makes an engine busy. Routes
have their own limits (`target_event_gap`), which are known for each request only."""
REPLICATION_INTERVAL = timedelta(milliseconds=50)
"""Short compared to a load from the weight store."""
SPARE_FILL = 0.5
"""An engine has spare capacity while less of its batch than this is in use. Well below
`NEARLY_FULL_SHARE`, so that a copy does not make it busy as well."""
MAX_SPARE_WAIT = timedelta(milliseconds=500)
"""Above this, an engine is failing, limited or slow, and gets no copy."""
COPY_LIFETIME = timedelta(seconds=10)
"""For how long a copy is expected to be used; demand changes within about this time."""
REQUEST_BENEFIT = 0.2
"""Value that is gained for each request which a copy takes from a busy engine, in the
unit of `COLD_LOAD_PRICE`. Less than the value that a late answer loses, as only some of
the requests would be late."""
MIN_GAIN = 0.2
"""Value that a copy must bring. A load from a kept copy has no price, but takes a slot
and two orders."""
EVICTION_MARGIN = 2.0
"""A copy must bring this many times the demand of the adapter that it evicts. Otherwise
two adapters in similar demand would evict each other in turn."""
MAX_COPIES_UNDER_WAY = 2
"""Leaves most of the loads that the weight store allows to requests that have no engine
at all."""
MAX_ADAPTERS_EXAMINED = 32
"""Adapters in most demand for which each round looks for an engine. Each of them is
compared with each spare engine, so this bounds the time of a round. The others would
have to evict adapters in even less demand."""
MAX_COPY_TIME = timedelta(seconds=3)
"""After this time, much longer than a load usually takes, a copy counts as abandoned,
and another engine may get one."""


@dataclass(frozen=True, slots=True)
class _BusyAdapter:
    """An adapter that only busy engines serve.

    Parameters
    ----------
    share : float
        The part of its request count that one more copy takes.
    """

    service: str
    adapter: Adapter
    version: int
    serving: tuple[Engine, ...]
    share: float

    @property
    def gain(self) -> float:
        """Return the value that one more copy brings."""
        return _gain(self.share)


@dataclass(frozen=True, slots=True)
class _SpareEngine:
    """An engine with spare capacity, and what does not depend on the adapter.

    Parameters
    ----------
    evicted_count : float
        The request count of the adapter that the slot evicts; 0 if it is free.
    streams : float
        Streams that the adapters already there bring on average.
    cost : float
        The cost of a copy there, without that of a load from the weight store.
    """

    engine: Engine
    slot: AvailableSlot
    evicted_count: float
    streams: float
    cost: float


class Replication:
    """Decides which adapters are copied, and to which engines.

    Parameters
    ----------
    engines : dict of str to Engine
        All engines, by id; changed by the scheduler.
    first_token_wait : callable
        Takes an engine and the length of a prompt; returns the expected time to its
        first token, plus the cost to other requests.
    """

    def __init__(
        self,
        engines: dict[str, Engine],
        index: AdapterIndex,
        popularity: Popularity,
        load: BatchLoad,
        first_token_wait: Callable[[Engine, int], timedelta],
    ) -> None:
        self._engines = engines
        self._index = index
        self._popularity = popularity
        self._load = load
        self._first_token_wait = first_token_wait
        self._under_way: dict[tuple[str, Adapter], AdapterCopy] = {}
        self._next_plan_at = timedelta()

    def continue_copies(self, open_zones: set[str], now: timedelta) -> ReplicationPlan:
        """Load the copies whose slot is free now, and drop those that have ended.

        Called before loads for queued requests are planned. Otherwise these would take
        the slots that were emptied for copies.
        """
        plan = ReplicationPlan()
        for key, copy in list(self._under_way.items()):
            engine = copy.engine
            if self._engines.get(engine.id) is not engine:
                result = CopyResult.ABANDONED
            elif engine.serves(copy.adapter, copy.version):
                result = CopyResult.SERVED
            elif now - copy.started_at > MAX_COPY_TIME:
                result = CopyResult.ABANDONED
            elif self._is_under_way(engine, copy, now):
                continue
            elif _has_refused(engine, now):
                result = CopyResult.ABANDONED
            elif not engine.can_order(now) or engine.upstream.zone not in open_zones:
                continue
            elif engine.free_slots > 0 and self._is_needed(copy, now):
                plan.orders.append(CopyOrder(copy))
                continue
            else:
                result = CopyResult.ABANDONED
            del self._under_way[key]
            plan.changes.append((copy, result))
        return plan

    def plan(self, open_zones: set[str], now: timedelta) -> ReplicationPlan:
        """Return the orders that begin further copies.

        Parameters
        ----------
        open_zones : set of str
            The availability zones to whose engines orders may be sent now.
        """
        plan = ReplicationPlan()
        if now < self._next_plan_at:
            return plan
        self._next_plan_at = now + REPLICATION_INTERVAL
        busy = {
            engine.id: engine
            for engine in self._engines.values()
            if self._is_busy(engine, now)
        }
        if (
            busy
            and len(self._under_way) < MAX_COPIES_UNDER_WAY
            and self._any_has_spare_places()
        ):
            self._start_copies(plan, busy, open_zones, now)
        return plan

    def _start_copies(
        self,
        plan: ReplicationPlan,
        busy: dict[str, Engine],
        open_zones: set[str],
        now: timedelta,
    ) -> None:
        """Start copies of the adapters in most demand; one for each busy engine."""
        spare = list(self._spare_engines(open_zones, now))
        if not spare:
            return
        models = {
            (entry.engine.upstream.service, model)
            for entry in spare
            for model in entry.engine.models
        }
        relieved = self._relieved_engines()
        adapters = list(self._busy_adapters(busy, now))
        adapters.sort(key=lambda found: (-found.share, found.service, found.adapter))
        examined = 0
        for found in adapters:
            if len(self._under_way) >= MAX_COPIES_UNDER_WAY:
                break
            if examined >= MAX_ADAPTERS_EXAMINED:
                break
            if (found.service, found.adapter.model) not in models:
                continue
            if relieved.intersection(engine.id for engine in found.serving):
                continue
            examined += 1
            order = self._start(found, spare, now)
            if order is None:
                continue
            spare = [entry for entry in spare if entry.engine is not order.copy.engine]
            plan.orders.append(order)
            plan.changes.append((order.copy, CopyResult.STARTED))
            relieved.update(engine.id for engine in found.serving)

    # Load of engines

    def _is_busy(self, engine: Engine, now: timedelta) -> bool:
        """Return whether further requests would be late or make running streams late.

        The prefill does not count where the batch is large.
        """
        if not has_batch(engine):
            return False
        if is_nearly_full(engine):
            return True
        if engine.batch >= LARGE_BATCH or not len(engine.inflight):
            return False
        return self._queued_prefill(engine, now) > ALLOWED_PAUSE

    def _queued_prefill(self, engine: Engine, now: timedelta) -> timedelta:
        idle_wait = BASE_LATENCY * engine.inflight.latency_factor
        return engine.inflight.time_to_first_token(0, now) - idle_wait

    def _any_has_spare_places(self) -> bool:
        return any(_has_spare_places(engine) for engine in self._engines.values())

    def _has_spare_capacity(self, engine: Engine, now: timedelta) -> bool:
        if not _has_spare_places(engine):
            return False
        if self._queued_prefill(engine, now) > ALLOWED_PAUSE / 2:
            return False
        return self._first_token_wait(engine, 0) <= MAX_SPARE_WAIT

    # Copies under way

    def _is_under_way(self, engine: Engine, copy: AdapterCopy, now: timedelta) -> bool:
        """Return whether the copy is loading, or the slot for it is being emptied."""
        if engine.is_loading(copy.adapter, copy.version, now):
            return True
        return engine.free_slots <= 0 and any(
            slot.state is SlotState.UNLOADING for slot in engine.adapter_slots.values()
        )

    def _is_needed(self, copy: AdapterCopy, now: timedelta) -> bool:
        serving = self._serving(copy.service, copy.adapter)
        return all(self._is_busy(engine, now) for engine in serving)

    def _relieved_engines(self) -> set[str]:
        """Return the busy engines that get less work once a copy is loaded."""
        return {
            engine.id
            for copy in self._under_way.values()
            for engine in self._serving(copy.service, copy.adapter)
        }

    # New copies

    def _serving(self, service: str, adapter: Adapter) -> list[Engine]:
        return [
            engine
            for engine in self._index.holding(adapter).values()
            if engine.upstream.service == service and engine.serves(adapter, 0)
        ]

    def _busy_adapters(
        self, busy: dict[str, Engine], now: timedelta
    ) -> Iterator[_BusyAdapter]:
        """Yield the adapters that only busy engines serve and that nobody loads."""
        loading = self._adapters_being_loaded(now)
        seen: set[tuple[str, Adapter]] = set()
        for engine in busy.values():
            for slot in engine.adapter_slots.values():
                key = (engine.upstream.service, slot.adapter)
                if slot.state is not SlotState.SERVING or key in seen:
                    continue
                seen.add(key)
                count = self._popularity.rate(slot.adapter)
                # At least one engine serves it, so that a copy takes half at most.
                if _gain(count / 2) < MIN_GAIN:
                    continue
                if key in loading or key in self._under_way:
                    continue
                serving = self._serving(*key)
                if not all(other.id in busy for other in serving):
                    continue
                version = max(
                    other.adapter_slots[slot.adapter].version for other in serving
                )
                share = count / (len(serving) + 1)
                found = _BusyAdapter(*key, version, tuple(serving), share)
                if found.gain >= MIN_GAIN:
                    yield found

    def _adapters_being_loaded(self, now: timedelta) -> set[tuple[str, Adapter]]:
        """Return the adapters that are being loaded, for requests or as a copy.

        An order that is repeated because the engine did not answer does not count.
        """
        found: set[tuple[str, Adapter]] = set()
        for engine in self._engines.values():
            service = engine.upstream.service
            order = engine.order_in_flight
            is_load = order is not None and order.kind is OrderKind.LOAD
            if order is not None and is_load and engine.unresolved_order is None:
                found.add((service, order.adapter))
            for slot in engine.adapter_slots.values():
                if slot.state is not SlotState.LOADING:
                    continue
                if engine.is_loading(slot.adapter, slot.version, now):
                    found.add((service, slot.adapter))
        return found

    def _start(
        self,
        found: _BusyAdapter,
        spare: Iterable[_SpareEngine],
        now: timedelta,
    ) -> CopyOrder | None:
        """Return the order that begins a copy, if a copy pays for itself somewhere."""
        best = self._cheapest(spare, found)
        if best is None:
            return None
        engine = best.engine
        copy = AdapterCopy(
            found.service,
            found.adapter,
            found.version,
            engine,
            now,
            not engine.has_copy(found.adapter, found.version),
            len(found.serving),
        )
        self._under_way[found.service, found.adapter] = copy
        return CopyOrder(copy, best.slot.evict)

    def _spare_engines(
        self, open_zones: set[str], now: timedelta
    ) -> Iterator[_SpareEngine]:
        """Yield the engines that can take a copy of some adapter."""
        targets = {copy.engine.id for copy in self._under_way.values()}
        for engine in self._engines.values():
            if engine.id in targets or not self._has_spare_capacity(engine, now):
                continue
            if engine.upstream.zone not in open_zones or not engine.can_order(now):
                continue
            if engine.loading_count >= MAX_CONCURRENT_LOADS:
                continue
            slot = find_spare_slot(engine, self._popularity, now)
            if slot is None:
                continue
            evicted = 0.0 if slot.evict is None else self._popularity.rate(slot.evict)
            cost = self._first_token_wait(engine, 0).total_seconds()
            cost += self._load.fill(engine, now) * BATCH_COST
            streams = self._load.demanded_streams(engine, now)
            yield _SpareEngine(engine, slot, evicted, streams, cost)

    def _cheapest(
        self, spare: Iterable[_SpareEngine], found: _BusyAdapter
    ) -> _SpareEngine | None:
        best: _SpareEngine | None = None
        min_cost = (math.inf, "")
        for entry in spare:
            engine = entry.engine
            if not self._is_suitable(entry, found):
                continue
            cost = entry.cost
            if not engine.has_copy(found.adapter, found.version):
                if found.gain < COLD_LOAD_PRICE:
                    continue
                cost += COLD_COST
            if (cost, engine.id) < min_cost:
                best, min_cost = entry, (cost, engine.id)
        return best

    def _is_suitable(self, entry: _SpareEngine, found: _BusyAdapter) -> bool:
        """Return whether an engine can take a copy without becoming busy itself.

        The adapter that it evicts must be in much less demand.
        """
        engine = entry.engine
        if engine.upstream.service != found.service:
            return False
        if found.adapter in engine.adapter_slots:
            return False
        if found.adapter.model not in engine.models:
            return False
        if entry.evicted_count * EVICTION_MARGIN > found.share:
            return False
        streams = entry.streams + self._load.streams_of_count(engine, found.share)
        return streams <= engine.batch * NEARLY_FULL_SHARE


def _gain(share: float) -> float:
    """Return the value of a copy that takes this part of a request count."""
    return requests_per_second(share) * COPY_LIFETIME.total_seconds() * REQUEST_BENEFIT


def _has_spare_places(engine: Engine) -> bool:
    used = len(engine.inflight) + engine.reserved_requests
    return has_batch(engine) and used < engine.batch * SPARE_FILL


def _has_refused(engine: Engine, now: timedelta) -> bool:
    """Return whether an engine takes no orders, and none will be repeated there."""
    return not engine.accepts_orders(now) and engine.unresolved_order is None
