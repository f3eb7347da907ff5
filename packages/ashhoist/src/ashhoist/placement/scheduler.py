"""The leader's scheduler: decides what is loaded where and what is evicted.

It uses neither sockets nor threads: requests, answers and reports come in as method
calls; orders and decisions are emitted as actions.
"""

from collections.abc import Callable
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from ..orders.order import EngineReport, OrderAnswer, OrderKind
from ..routing import EngineSettings
from ..upstreams import Health, Upstream
from .actions import (
    DirectSend,
    Placed,
    Refused,
    RequestQueued,
    SchedulerAction,
    ServedAdaptersChanged,
)
from .adapter_copies import CopyOrder, ReplicationPlan
from .adapter_index import AdapterIndex
from .batch_load import BatchLoad
from .engine import Engine, EngineUpdate, SlotState
from .engine_orders import EngineOrders
from .limited_engines import LimitedEngines
from .messages import RequestOutcome
from .model_loads import ModelLoads
from .pending_requests import AdapterDemand, PendingRequest, PendingRequests
from .permits import EnginePermits
from .planning_round import PlanningRound, find_slot
from .popularity import Popularity
from .replication import Replication
from .residency import Residency

MILLISECOND = timedelta(milliseconds=1)
ORDER_TIMEOUT = timedelta(seconds=1)
ACCEPTABLE_WAIT = timedelta(milliseconds=550)
"""A request with a longer wait for its first token may be queued for a load instead."""
MIN_LOAD_BENEFIT = timedelta(milliseconds=250)
"""A request is queued for a load only if its first token comes earlier by this much."""
RETRY_AFTER = timedelta(milliseconds=300)
FAILURE_COST = timedelta(seconds=2)
"""What a failure costs the request that it happens to: about the time until it is sent
elsewhere, and often its only chance to be on time."""
UNREACHABLE_COST = timedelta(seconds=5)
"""Makes an unreachable engine the last choice, used only if there is no other."""
PLANNING_INTERVAL = timedelta(milliseconds=4)
"""Requests that arrive within this time are planned for together."""
MAX_PLANNING_FRACTION = 0.25
"""The part of the leader's time that is spent on planning at most. Without this limit,
rounds take longer the more requests are queued, and more requests are queued the longer
the rounds keep the leader from handling the answers to loads."""


class Scheduler:
    """The state of all engines, and the requests that wait for adapters.

    Parameters
    ----------
    may_order : callable
        Takes an availability zone; returns whether orders may be sent to its engines
        now.
    execute : callable
        Carries out an action.
    permits : EnginePermits
        How many more requests the engines with a rate limit accept.
    residency : Residency
        What engines serve according to the previous leader, and the copies that they
        probably have.
    bears_few_rejections : callable
        Returns whether the engines of a service crash if they reject too many
        requests.
    """

    def __init__(
        self,
        may_order: Callable[[str], bool],
        execute: Callable[[SchedulerAction], None],
        permits: EnginePermits,
        residency: Residency,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        bears_few_rejections: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._bears_few_rejections = bears_few_rejections
        self._may_order = may_order
        self._execute = execute
        self._permits = permits
        self._residency = residency
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._settings: dict[str, EngineSettings] = {}
        self._model_loads = ModelLoads(clock)
        self._health = Health(clock)
        self._orders = EngineOrders(execute, clock)
        self._next_plan_at = -PLANNING_INTERVAL
        self._has_changes = True
        self._index = AdapterIndex()
        self.engines: dict[str, Engine] = {}
        self.pending_requests = PendingRequests()
        self._limited = LimitedEngines(
            permits,
            self.pending_requests,
            self._engines_serving,
            self._first_token_wait,
            self._send_to,
        )
        self.popularity = Popularity(clock)
        self._batch_load = BatchLoad(self.popularity, self._index)
        self._replication = Replication(
            self.engines,
            self._index,
            self.popularity,
            self._batch_load,
            self._first_token_wait,
        )

    @property
    def busy(self) -> bool:
        """Return whether loads or unloads are in progress or requests are queued."""
        if len(self.pending_requests):
            return True
        return any(engine.has_pending_changes for engine in self.engines.values())

    @property
    def has_order_in_flight(self) -> bool:
        """Return whether an order is in flight."""
        return any(
            engine.order_in_flight is not None for engine in self.engines.values()
        )

    # Input

    def set_upstreams(
        self, settings: dict[str, EngineSettings], found: list[Upstream]
    ) -> None:
        """Set the engines that accept requests now.

        Parameters
        ----------
        settings : dict
            The settings of engines, by service.
        """
        self._settings = settings
        self._has_changes = True
        incarnation_by_id = {upstream.id: upstream.incarnation for upstream in found}
        for engine in list(self.engines.values()):
            if engine.upstream.incarnation == incarnation_by_id.get(engine.id):
                continue
            del self.engines[engine.id]
            self._index.remove_engine(engine)
            self._health.forget(engine.id)
            self._batch_load.forget(engine.id)
            if engine.id in incarnation_by_id:
                # It was restarted: it holds nothing until it reports.
                self._residency.forget(engine.id)
                self._execute(ServedAdaptersChanged(engine.id, {}))
        for upstream in found:
            known = self.engines.get(upstream.id)
            batch = settings[upstream.service].batch
            if known is not None:
                known.upstream = upstream
                known.batch = batch
            else:
                capacity = settings[upstream.service].adapter_slot_count
                copies = self._residency.copies(upstream.id)
                engine = Engine(upstream, capacity, copies, self._index, batch=batch)
                served = self._residency.served_by(upstream.id)
                engine.assume_serving(served, self._clock.monotonic())
                self.engines[upstream.id] = engine

    def submit(self, request: PendingRequest) -> None:
        """Send a request to an engine that serves its adapter, or queue it."""
        self.popularity.record_request(request.adapter)
        engine = self._engine_to_send_to(request)
        if engine is None:
            self.pending_requests.add(request)
            self._has_changes = True
            self._execute(RequestQueued(request))
            return
        self._send_to(engine, request)

    def cancel(self, request_id: str) -> None:
        """Remove a request from the queue, if it is queued."""
        self.pending_requests.remove(request_id)

    def record_direct_send(
        self, request_id: str, instance: str, send: DirectSend
    ) -> None:
        """Record a request that an instance has sent without asking the scheduler."""
        engine = self.engines.get(send.upstream)
        self.popularity.record_request(send.adapter)
        if engine is None:
            return
        now = self._clock.monotonic()
        engine.inflight.add(request_id, instance, send.adapter, send.tokens, now)
        engine.touch(send.adapter, now)

    def record_first_token(
        self, upstream: str, request_id: str, observed: bool = True
    ) -> None:
        """Record that a request has received its first token.

        Parameters
        ----------
        observed : bool
            False if it was received at an unknown time before.
        """
        engine = self.engines.get(upstream)
        if engine is not None:
            now = self._clock.monotonic()
            engine.inflight.record_first_token(request_id, now, observed)

    def record_end(
        self, upstream: str, request_id: str, outcome: RequestOutcome
    ) -> None:
        """Record that a request has ended at an engine, and its outcome."""
        engine = self.engines.get(upstream)
        if engine is None:
            return
        if outcome is RequestOutcome.SUCCEEDED:
            self._health.answered(upstream)
        elif outcome is not RequestOutcome.UNKNOWN:
            self._health.failed(upstream, outcome is RequestOutcome.UNREACHABLE)
        now = self._clock.monotonic()
        if outcome is RequestOutcome.SUCCEEDED:
            adapter = engine.inflight.complete(request_id, now)
        else:
            adapter = engine.inflight.remove(request_id)
        if adapter is not None:
            engine.touch(adapter, now)

    def remove_instance(self, instance: str) -> None:
        """Remove the queued and running requests of an unreachable instance."""
        for request in self.pending_requests.of_instance(instance):
            self.cancel(request.id)
        for engine in self.engines.values():
            engine.inflight.remove_instance(instance)

    def order_answered(self, upstream: str, number: int, answer: OrderAnswer) -> None:
        """Apply the answer to an order; ignore it if the order is not in flight."""
        engine = self.engines.get(upstream)
        order = engine.order_in_flight if engine is not None else None
        if engine is None or order is None or order.number != number:
            return
        now = self._clock.monotonic()
        update = engine.order_answered(answer, now)
        if answer is not OrderAnswer.ACCEPTED or order.kind is OrderKind.UNLOAD:
            self._log.info(
                "order ended",
                upstream=upstream,
                kind=order.kind,
                adapter=str(order.adapter),
                version=order.version,
                expected=order.expected,
                answer=answer,
                took_ms=round(update.duration / timedelta(milliseconds=1)),
                cold=update.cold,
            )
        self._metrics.count("orders", order.kind, answer)
        self._apply(engine, update)

    def engine_reported(self, upstream: str, report: EngineReport | None) -> None:
        """Apply an engine's report of what it holds; None if it did not answer."""
        engine = self.engines.get(upstream)
        if engine is None:
            return
        update = engine.apply_report(report, self._clock.monotonic())
        self._log.info(
            "engine reported",
            upstream=upstream,
            answered=report is not None,
            order_count=engine.order_count,
            held=len(engine.adapter_slots),
        )
        self._apply(engine, update)

    def _apply(self, engine: Engine, update: EngineUpdate) -> None:
        self._has_changes = True
        self._batch_load.forget(engine.id)
        if update.serving_changed:
            self._execute(ServedAdaptersChanged(engine.id, engine.served_adapters()))
        if update.loaded is not None:
            # The requests for the loaded adapter are sent now; the next round reserves
            # anew for the others.
            engine.clear_reservations()
            self._metrics.count("loads", "cold" if update.cold else "warm")
        self._send_pending(engine, update)

    def _send_pending(self, engine: Engine, update: EngineUpdate) -> None:
        """Send the queued requests for the adapters that an engine serves now."""
        load_began = self._clock.monotonic() - update.duration
        for adapter in engine.served_adapters():
            for request in self._pending_for(engine, adapter):
                # A request waits for one load only: that load was made for it, and the
                # next one would end even later.
                loaded_for_it = (
                    adapter == update.loaded and request.asked_at <= load_began
                )
                chosen = self._best_serving(request)
                if not loaded_for_it:
                    chosen = self._engine_to_send_to(request)
                if chosen is not None:
                    self.pending_requests.remove(request.id)
                    self._send_to(chosen, request)

    def _pending_for(self, engine: Engine, adapter: Adapter) -> list[PendingRequest]:
        """Return the queued requests for an adapter that an engine may run."""
        return [
            request
            for demand in self.pending_requests.demands_for(engine.upstream, adapter)
            for request in demand.by_id.values()
        ]

    def _send_to(self, engine: Engine, request: PendingRequest) -> None:
        now = self._clock.monotonic()
        permitted = self._permits.is_limited(engine.id) and self._permits.take(
            engine.id
        )
        version = engine.served_adapters()[request.adapter]
        expected = engine.inflight.add(
            request.id,
            request.instance,
            request.adapter,
            request.tokens,
            now,
            request.gap_ms,
        )
        engine.touch(request.adapter, now)
        self._metrics.observe("batch_fill", len(engine.inflight) / max(engine.batch, 1))
        self._execute(Placed(request, engine.id, version, expected, permitted))

    def _engine_to_send_to(self, request: PendingRequest) -> Engine | None:
        """Return the engine to send a request to now; None if it should be queued.

        It is queued if no engine serves its adapter, or if its first token would come
        much earlier from an engine that has to load the adapter first.
        """
        best = self._best_serving(request)
        if best is None:
            return None
        wait = self._expected_wait(best, request.tokens)
        if wait <= ACCEPTABLE_WAIT:
            return best
        if self._is_sooner_with_load(request, wait - MIN_LOAD_BENEFIT):
            return None
        return best

    def _best_serving(self, request: PendingRequest) -> Engine | None:
        """Return the engine with the earliest first token that serves the adapter.

        Of equal ones, it is the one with the smallest share of its batch in use.
        Engines whose rate limit permits no request now are left out, and so are full
        ones that must not reject a request.
        """
        permitted = [
            engine
            for engine in self._engines_serving(request)
            if not self._permits.wait(engine.id) and not self._may_reject(engine)
        ]
        if len(permitted) == 1:
            return permitted[0]
        return min(
            permitted,
            key=lambda engine: (
                self._first_token_wait(engine, request.tokens),
                engine.batch_share,
            ),
            default=None,
        )

    def _may_reject(self, engine: Engine) -> bool:
        """Return whether an engine that must not reject a request has a full batch."""
        is_full = engine.batch > 0 and len(engine.inflight) >= engine.batch
        return is_full and self._bears_few_rejections(engine.upstream.service)

    def _engines_serving(self, request: PendingRequest) -> list[Engine]:
        """Return the engines that serve the adapter of a request."""
        holding = (
            self._index.holding(request.adapter)
            if request.adapter.name
            else self.engines
        )
        return [
            engine
            for engine in holding.values()
            if request.accepts(engine.upstream)
            and engine.serves(request.adapter, request.oldest_version)
        ]

    def _first_token_wait(self, engine: Engine, tokens: int) -> timedelta:
        """Return the expected wait for a first token, and the cost to other requests.

        Engines are compared by it; see `_expected_wait` for what is included.
        """
        cost = engine.inflight.cost_to_others(tokens, engine.reserved_tokens)
        return self._expected_wait(engine, tokens) + cost

    def _expected_wait(self, engine: Engine, tokens: int) -> timedelta:
        """Return the expected wait for a first token.

        Includes the wait for a permit and penalties for an engine that fails.
        """
        now = self._clock.monotonic()
        wait = engine.inflight.time_to_first_token(tokens + engine.reserved_tokens, now)
        wait += self._limited.permit_wait(engine)
        wait += FAILURE_COST * self._health.share_failing(engine.id)
        if not self._health.usable(engine.id):
            wait += UNREACHABLE_COST
        return wait

    def _engines_for(self, request: PendingRequest) -> list[Engine]:
        return [
            engine
            for engine in self.engines.values()
            if request.accepts(engine.upstream)
        ]

    def _is_sooner_with_load(self, request: PendingRequest, wait: timedelta) -> bool:
        """Return whether the wait is shorter where the adapter is not served yet.

        Stops at the first such engine: with hundreds of engines, a visit of all of them
        takes milliseconds for each request.
        """
        now = self._clock.monotonic()
        for engine in self._engines_for(request):
            if engine.serves(request.adapter, request.oldest_version):
                continue
            slot = engine.adapter_slots.get(request.adapter)
            if slot is not None and slot.state is SlotState.LOADING:
                load_time = max(slot.poll_at - now, timedelta())
            elif self._could_load(engine, request.adapter, now):
                load_time = engine.expected_load_time(
                    request.adapter, request.oldest_version
                )
            else:
                continue
            if load_time + self._expected_wait(engine, request.tokens) < wait:
                return True
        return False

    def log_state(self) -> None:
        """Log the state of the engines and the number of queued requests."""
        now = self._clock.monotonic()
        for engine in self.engines.values():
            slots = engine.adapter_slots.values()
            self._log.info(
                "engine state",
                upstream=engine.id,
                known=engine.state_known,
                sending=engine.order_in_flight is not None,
                free=engine.free_slots,
                coming=engine.loading_count,
                going=sum(slot.state is SlotState.UNLOADING for slot in slots),
                used=sum(engine.inflight.count(slot.adapter) > 0 for slot in slots),
                running=len(engine.inflight),
                permit_ms=round(self._permits.wait(engine.id) / MILLISECOND),
                pace=round(engine.inflight.latency_factor, 2),
                batch=engine.batch,
                run_ms=round(engine.inflight.batch.run_time / MILLISECOND),
                place_ms=round(engine.inflight.wait_for_place(now) / MILLISECOND),
                copies=len(engine.copies),
            )
        self._log.info(
            "requests wait",
            requests=len(self.pending_requests),
            adapters=len(list(self.pending_requests.demands())),
        )

    # Planning

    def plan(self, on_timer: bool = False) -> None:
        """Send the orders that are due, most valuable first.

        Parameters
        ----------
        on_timer : bool
            True if something may be due because time has passed. Otherwise a round is
            planned only after a request was queued or an engine has changed.
        """
        now = self._clock.monotonic()
        if not (on_timer or self._has_changes) or now < self._next_plan_at:
            return
        self._has_changes = False
        self._plan_round(now)
        took = self._clock.monotonic() - now
        self._next_plan_at = now + max(PLANNING_INTERVAL, took / MAX_PLANNING_FRACTION)

    def _plan_round(self, now: timedelta) -> None:
        open_zones = self._find_open_zones()
        for engine in self.engines.values():
            engine.clear_reservations()
            engine.inflight.remove_expired(now)
            self._time_out_order(engine, now)
            self._orders.follow_up(engine, open_zones, now)
        self._load_models(open_zones)
        self._order_copies(self._replication.continue_copies(open_zones, now), now)
        if len(self.pending_requests):
            self._load_for_requests(open_zones, now)
        plan = self._replication.plan(open_zones, now)
        self._order_copies(plan, now)

    def _load_for_requests(self, open_zones: set[str], now: timedelta) -> None:
        """Load the adapters that requests wait for, the most valuable first."""
        self._limited.begin_round(self.engines.values())
        round_ = PlanningRound(
            self.engines.values(),
            self._index,
            open_zones,
            self.popularity,
            self.pending_requests.demands(),
            self._first_token_wait,
            self._limited.permit_wait,
            now,
            self._batch_load,
        )
        self._end_overdue_waits(round_, now)
        demands = [
            demand for demand in self.pending_requests.demands() if demand.adapter.name
        ]
        for demand in sorted(demands, key=round_.value_per_second, reverse=True):
            self._load_adapter(round_, demand, now)

    def _order_copies(self, plan: ReplicationPlan, now: timedelta) -> None:
        """Send the orders for further copies of busy adapters."""
        for copy, result in plan.changes:
            self._metrics.count("copies", result)
            self._log.info(
                "adapter copy",
                result=result,
                upstream=copy.engine.id,
                adapter=str(copy.adapter),
                cold=copy.cold,
                served_by=copy.served_by,
                took_ms=round((now - copy.started_at) / MILLISECOND),
            )
        for order in plan.orders:
            self._order_copy(order)

    def _order_copy(self, order: CopyOrder) -> None:
        copy = order.copy
        if order.evict is not None:
            self._orders.unload(copy.engine, order.evict)
        else:
            self._orders.load(copy.engine, copy.adapter, copy.version)

    def _find_open_zones(self) -> set[str]:
        zones = {engine.upstream.zone for engine in self.engines.values()}
        return {zone for zone in zones if self._may_order(zone)}

    def _end_overdue_waits(self, round_: PlanningRound, now: timedelta) -> None:
        """End the waits of requests past their deadline or their give-up time.

        At its give-up time, a request is sent to an engine that serves its adapter if
        there is one. Otherwise the time does not apply while the adapter is being
        loaded.
        """
        for request in self.pending_requests.remove_expired(now):
            self._execute(Refused(request, Reason.NO_PLACE, RETRY_AFTER))
        self._refuse_versions_gone()
        for demand in self.pending_requests.demands():
            for request in list(demand.by_id.values()):
                if now < request.give_up_at:
                    continue
                best = self._best_serving(request)
                if best is None and round_.is_being_loaded(demand):
                    continue
                self.pending_requests.remove(request.id)
                if best is not None:
                    self._send_to(best, request)
                else:
                    self._execute(Refused(request, Reason.NO_PLACE, RETRY_AFTER))

    def _refuse_versions_gone(self) -> None:
        """Refuse the requests that need a software version which no engine has left."""
        for demand in self.pending_requests.demands():
            if not demand.software_version:
                continue
            for request in list(demand.by_id.values()):
                if self._engines_for(request):
                    continue
                self.pending_requests.remove(request.id)
                reason = Reason.NO_UPSTREAM_OF_VERSION
                self._execute(Refused(request, reason, RETRY_AFTER))

    def _time_out_order(self, engine: Engine, now: timedelta) -> None:
        """Treat an order without an answer after the timeout as unresolved."""
        order = engine.order_in_flight
        if order is not None and now - engine.order_sent_at > ORDER_TIMEOUT:
            self.order_answered(engine.id, order.number, OrderAnswer.UNKNOWN)

    def _load_models(self, open_zones: set[str]) -> None:
        """Load a base model on engines that hold none."""
        reachable = {
            engine.id: engine
            for engine in self.engines.values()
            if engine.upstream.zone in open_zones
        }
        for load in self._model_loads.due(reachable, self._settings, self.popularity):
            engine = self.engines[load.upstream]
            self._orders.load(engine, Adapter(load.model), 0)

    def _load_adapter(
        self, round_: PlanningRound, demand: AdapterDemand, now: timedelta
    ) -> None:
        """Load an adapter for its queued requests, or first evict another one."""
        if round_.is_being_loaded(demand):
            return
        engine = round_.best_engine(demand)
        if engine is None or self._limited.serve_sooner(demand, engine):
            self._send_to_serving(demand, now)
            return
        if not engine.can_order(now):
            return
        slot = round_.slot_for(engine, demand.adapter)
        assert slot is not None
        if slot.evict is not None:
            self._orders.unload(engine, slot.evict)
        else:
            self._orders.load(engine, demand.adapter, demand.oldest_version)
        round_.record_order(engine, demand)

    def _could_load(self, engine: Engine, adapter: Adapter, now: timedelta) -> bool:
        if not engine.accepts_orders(now) or not self._may_order(engine.upstream.zone):
            return False
        return find_slot(engine, adapter, self.popularity, now) is not None

    def _send_to_serving(self, demand: AdapterDemand, now: timedelta) -> None:
        """Send requests that no load is started for to engines that serve already.

        If all engines are rate-limited, refuses those whose permit would come too late.
        """
        for ahead, request in enumerate(list(demand.by_id.values())):
            best = self._best_serving(request)
            if best is not None:
                self.pending_requests.remove(request.id)
                self._send_to(best, request)
                continue
            engines = self._engines_for(request)
            wait = self._limited.wait_if_all_limited(request, ahead, engines)
            if wait is not None and now + wait > request.give_up_at:
                self.pending_requests.remove(request.id)
                self._execute(Refused(request, Reason.UPSTREAMS_LIMITED, wait))
