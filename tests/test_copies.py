"""Further copies of busy adapters on engines with spare capacity."""

import unittest
from datetime import timedelta
from unittest import mock

from ashhoist import logs
from ashhoist.metrics import Metrics
from ashhoist.orders import EngineReport, Order, OrderAnswer, OrderKind
from ashhoist.placement import replication
from ashhoist.placement.actions import FetchReport
from ashhoist.placement.inflight_requests import BASE_LATENCY
from ashhoist.placement.messages import RequestOutcome
from ashhoist.placement.permits import NoLimits
from ashhoist.placement.planning_round import find_spare_slot
from ashhoist.placement.replication import MAX_COPIES_UNDER_WAY, MAX_COPY_TIME
from ashhoist.placement.scheduler import Scheduler

from .scheduler_world import MODEL, SECOND, SERVICE, SchedulerWorld, adapter

BATCH = 16
NEARLY_FULL = 12
"""Streams from which on the batch is nearly full."""
SHORT = 10
"""Tokens of a prompt whose prefill does not matter."""


def run_streams(
    world: SchedulerWorld, number: int, count: int, tokens: int = SHORT
) -> list[str]:
    """Start streams for an adapter; return their ids."""
    started = [world.place_request(number, tokens) for _ in range(count)]
    world.clock.advance(BASE_LATENCY)
    for request_id, upstream in started:
        world.scheduler.record_first_token(upstream, request_id)
    return [request_id for request_id, _ in started]


def end_streams(world: SchedulerWorld, streams: list[str]) -> None:
    """Let streams end."""
    placed = world.placed()
    for request_id in streams:
        world.scheduler.record_end(
            placed[request_id], request_id, RequestOutcome.SUCCEEDED
        )


def plan_for(world: SchedulerWorld, seconds: float) -> list[Order]:
    """Plan rounds for some time; return the orders that they emit."""
    until = world.clock.monotonic() + seconds * SECOND
    orders: list[Order] = []
    while world.clock.monotonic() < until:
        orders += world.plan()
    return orders


def loads(orders: list[Order], number: int) -> list[str]:
    """Return the engines that were ordered to load an adapter."""
    return [
        order.upstream
        for order in orders
        if order.kind is OrderKind.LOAD and order.adapter == adapter(number)
    ]


class CopyTests(unittest.TestCase):
    def test_a_busy_adapter_gets_a_second_copy_before_its_batch_is_full(self) -> None:
        # Guards against waiting until requests are late: none is queued here.
        world = SchedulerWorld({"one": [1], "two": []}, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL - 1)
        self.assertEqual(plan_for(world, 0.2), [])
        run_streams(world, 1, 1)
        orders = plan_for(world, 0.2)
        self.assertEqual(loads(orders, 1), ["two"])
        self.assertLess(len(world.scheduler.engines["one"].inflight), BATCH)
        self.assertEqual(world.metrics._counts["copies"], {("started",): 1})

    def test_requests_are_not_queued_for_a_copy(self) -> None:
        # Guards against waiting for the load while the serving engine has capacity.
        world = SchedulerWorld({"one": [1], "two": []}, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        [order] = plan_for(world, 0.2)
        world.answer_order(order, OrderAnswer.ACCEPTED)
        _, upstream = world.place_request(1, SHORT)
        self.assertEqual(upstream, "one")

    def test_a_copy_that_serves_takes_requests(self) -> None:
        # Guards against copies that are loaded and stay without work.
        world = SchedulerWorld({"one": [1], "two": []}, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        [order] = plan_for(world, 0.2)
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        self.assertEqual(plan_for(world, 0.2), [])
        world.scheduler.engines["one"].reserve(9000, 1)
        _, upstream = world.place_request(1, SHORT)
        self.assertEqual(upstream, "two")
        self.assertEqual(world.metrics._counts["copies"][("served",)], 1)

    def test_a_long_prefill_leads_to_a_copy(self) -> None:
        # Guards against streams that pause while a prompt of half a second is read.
        world = SchedulerWorld({"one": [1], "two": []}, batch=BATCH)
        for _ in range(3):
            end_streams(world, run_streams(world, 1, 8))
        run_streams(world, 1, 3)
        self.assertEqual(plan_for(world, 0.2), [])
        world.place_request(1, tokens=6000)
        self.assertEqual(loads(plan_for(world, 0.2), 1), ["two"])

    def test_one_copy_of_an_adapter_is_under_way_at_a_time(self) -> None:
        # Guards against a copy in each round until the first one serves.
        served: dict[str, list[int]] = {"one": [1], "two": [], "three": [], "four": []}
        world = SchedulerWorld(served, batch=BATCH)
        run_streams(world, 1, BATCH)
        orders = plan_for(world, 0.5)
        self.assertEqual(len(loads(orders, 1)), 1)

    def test_there_are_no_copies_while_a_large_batch_has_room(self) -> None:
        # Guards against changes where batches are large; a long prefill is no reason.
        for batch, streams in ((96, 70), (64, 46)):
            with self.subTest(batch=batch):
                world = SchedulerWorld({"one": [1], "two": []}, batch=batch)
                run_streams(world, 1, streams)
                world.place_request(1, tokens=6000)
                self.assertEqual(plan_for(world, 0.2), [])

    def test_there_are_no_copies_without_a_batch(self) -> None:
        # Guards against taking a batch of 0 or 1 for a full one.
        for batch in (0, 1):
            with self.subTest(batch=batch):
                world = SchedulerWorld({"one": [1], "two": []}, batch=batch)
                run_streams(world, 1, 40)
                self.assertEqual(plan_for(world, 0.2), [])

    def test_there_are_no_copies_where_no_engine_has_spare_capacity(self) -> None:
        # Guards against loads that only move the lack of capacity.
        world = SchedulerWorld({"one": [1], "two": [2]}, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        run_streams(world, 2, NEARLY_FULL - 2)
        self.assertEqual(plan_for(world, 0.2), [])

    def test_a_copy_that_does_not_pay_for_its_load_is_not_made(self) -> None:
        # Guards against loads from the weight store for an adapter that fills no batch.
        world = SchedulerWorld({"one": [1, 2], "two": []}, batch=BATCH)
        run_streams(world, 1, 2)
        run_streams(world, 2, NEARLY_FULL)
        orders = plan_for(world, 0.5)
        self.assertEqual(loads(orders, 1), [])
        self.assertEqual(loads(orders, 2), ["two"])

    def test_a_kept_copy_is_loaded_for_less_demand(self) -> None:
        # Guards against asking the price of the weight store for a load that spares it.
        for kept in ([], [1]):
            with self.subTest(kept=kept):
                world = SchedulerWorld({"one": [1, 2], "two": []}, batch=BATCH)
                world.report("two", kept)
                world.report("two", [])
                for number in (1, 2):
                    run_streams(world, number, NEARLY_FULL // 2)
                orders = plan_for(world, 0.5)
                self.assertEqual(
                    [order.adapter for order in orders], list(map(adapter, kept))
                )

    def test_few_copies_are_under_way_at_a_time(self) -> None:
        # Guards against copies that use up the loads of the weight store.
        served: dict[str, list[int]] = {f"e{number}": [number] for number in range(5)}
        served.update({f"idle{number}": [] for number in range(5)})
        world = SchedulerWorld(served, batch=BATCH)
        for number in range(5):
            run_streams(world, number, NEARLY_FULL)
        self.assertEqual(len(plan_for(world, 0.5)), MAX_COPIES_UNDER_WAY)


class EvictionTests(unittest.TestCase):
    def world(self, held: list[int]) -> SchedulerWorld:
        return SchedulerWorld({"one": [1], "two": held}, capacity=2, batch=BATCH)

    def test_a_copy_takes_the_slot_of_an_adapter_without_demand(self) -> None:
        # Guards against copies that need a free slot, and so are never made.
        world = self.world([2, 3])
        run_streams(world, 3, 1)
        run_streams(world, 1, NEARLY_FULL)
        [unload] = plan_for(world, 0.2)
        self.assertEqual((unload.kind, unload.adapter), (OrderKind.UNLOAD, adapter(2)))
        world.answer_order(unload, OrderAnswer.ALREADY_DONE)
        self.assertEqual(loads(plan_for(world, 0.2), 1), ["two"])

    def test_the_slot_is_kept_for_the_copy_that_it_was_emptied_for(self) -> None:
        # Guards against evictions for copies whose slot a queued request then takes.
        world = self.world([2, 3])
        run_streams(world, 3, 1)
        run_streams(world, 1, NEARLY_FULL)
        [unload] = plan_for(world, 0.2)
        world.submit(5, SHORT)
        world.answer_order(unload, OrderAnswer.ALREADY_DONE)
        orders = [order for order in world.plan() if order.upstream == "two"]
        self.assertEqual(loads(orders, 1), ["two"])

    def test_a_copy_never_evicts_an_adapter_in_use(self) -> None:
        # Guards against an unload under running streams.
        world = self.world([2, 3])
        run_streams(world, 2, 1)
        run_streams(world, 3, 1)
        run_streams(world, 1, NEARLY_FULL)
        self.assertEqual(plan_for(world, 0.5), [])

    def test_a_copy_never_evicts_an_adapter_in_more_demand(self) -> None:
        # Guards against trading an adapter that is idle for a moment for a copy.
        world = self.world([2, 3])
        for number in (2, 3):
            streams = run_streams(world, number, 7)
            end_streams(world, streams)
        run_streams(world, 1, NEARLY_FULL)
        self.assertEqual(plan_for(world, 0.5), [])

    def test_an_evicted_adapter_does_not_take_its_slot_back(self) -> None:
        # Guards against two adapters that evict each other in turn.
        world = self.world([2, 3])
        run_streams(world, 3, 1)
        run_streams(world, 1, NEARLY_FULL)
        for order in (*plan_for(world, 0.2), *plan_for(world, 0.2)):
            world.answer_order(order, OrderAnswer.ALREADY_DONE)
        for order in plan_for(world, 0.2):
            world.answer_order(order, OrderAnswer.ALREADY_DONE)
        self.assertIn(adapter(1), world.scheduler.engines["two"].served_adapters())
        self.assertEqual(plan_for(world, 2.0), [])


class DemandChangeTests(unittest.TestCase):
    def test_no_copy_is_loaded_for_demand_that_has_moved_away(self) -> None:
        # Guards against a load that nobody needs once its slot is free.
        world = SchedulerWorld({"one": [1], "two": [2]}, capacity=1, batch=BATCH)
        streams = run_streams(world, 1, NEARLY_FULL)
        [unload] = plan_for(world, 0.2)
        end_streams(world, streams)
        world.answer_order(unload, OrderAnswer.ALREADY_DONE)
        self.assertEqual(plan_for(world, 1.0), [])
        self.assertEqual(world.metrics._counts["copies"][("abandoned",)], 1)

    def test_copies_do_not_follow_demand_that_alternates(self) -> None:
        # Guards against loads and evictions with each swing of the demand.
        world = SchedulerWorld({"one": [1], "two": [2]}, capacity=2, batch=BATCH)
        orders: list[Order] = []
        for _ in range(10):
            for number in (1, 2):
                streams = run_streams(world, number, NEARLY_FULL)
                for order in plan_for(world, 0.5):
                    orders.append(order)
                    world.answer_order(order, OrderAnswer.ALREADY_DONE)
                end_streams(world, streams)
        self.assertLessEqual(len(orders), 2)

    def test_a_copy_that_is_no_longer_needed_gives_way_to_demand(self) -> None:
        # Guards against copies that keep slots from adapters that are asked for.
        world = SchedulerWorld({"one": [1], "two": []}, capacity=1, batch=BATCH)
        streams = run_streams(world, 1, NEARLY_FULL)
        [order] = plan_for(world, 0.2)
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        plan_for(world, 0.2)
        end_streams(world, streams)
        world.clock.advance(60 * SECOND)
        world.submit(5, SHORT)
        [unload] = world.plan()
        self.assertEqual((unload.kind, unload.adapter), (OrderKind.UNLOAD, adapter(1)))


class FailureTests(unittest.TestCase):
    def test_an_engine_that_is_lost_while_a_copy_loads_is_replaced(self) -> None:
        # Guards against waiting for a copy on an engine that no longer exists.
        served: dict[str, list[int]] = {"one": [1], "two": [], "three": []}
        world = SchedulerWorld(served, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        [first] = plan_for(world, 0.2)
        world.answer_order(first, OrderAnswer.ACCEPTED)
        left = [entry for entry in world.upstreams if entry.id != first.upstream]
        world.scheduler.set_upstreams({SERVICE: world.settings}, left)
        [second] = plan_for(world, 0.2)
        self.assertEqual(second.adapter, adapter(1))
        self.assertNotIn(second.upstream, ("one", first.upstream))

    def test_a_copy_that_is_refused_is_loaded_elsewhere(self) -> None:
        # Guards against waiting for an engine that takes no orders.
        served: dict[str, list[int]] = {"one": [1], "two": [], "three": []}
        world = SchedulerWorld(served, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        [first] = plan_for(world, 0.2)
        world.answer_order(first, OrderAnswer.REFUSED)
        others = {"two", "three"} - {first.upstream}
        self.assertEqual(set(loads(plan_for(world, 0.2), 1)), others)

    def test_a_copy_without_an_answer_does_not_block_others_for_long(self) -> None:
        # Guards against an engine that never answers, while its adapter stays busy.
        served: dict[str, list[int]] = {"one": [1], "two": [], "three": []}
        world = SchedulerWorld(served, batch=BATCH)
        for _ in range(5):
            end_streams(world, run_streams(world, 1, 8))
        run_streams(world, 1, NEARLY_FULL)
        [first] = plan_for(world, 0.2)
        others = {"two", "three"} - {first.upstream}
        orders = plan_for(world, MAX_COPY_TIME / SECOND + 0.5)
        self.assertEqual(set(loads(orders, 1)) - {first.upstream}, others)

    def test_a_new_leader_does_not_load_a_copy_that_is_being_loaded(self) -> None:
        # Guards against two copies where the leader changes during a replication.
        served: dict[str, list[int]] = {"one": [1], "two": [], "three": []}
        world = SchedulerWorld(served, batch=BATCH)
        run_streams(world, 1, NEARLY_FULL)
        [order] = plan_for(world, 0.2)
        self.change_leader(world, order)
        run_streams(world, 1, NEARLY_FULL)
        orders = [item for item in plan_for(world, 0.5) if item.kind is OrderKind.LOAD]
        self.assertEqual({item.upstream for item in orders}, {order.upstream})

    def change_leader(self, world: SchedulerWorld, order: Order) -> None:
        """Replace the leader; an engine reports the load that the old one ordered."""
        world.scheduler = Scheduler(
            lambda zone: True,
            world.actions.append,
            NoLimits(),
            world.residency,
            world.clock,
            Metrics(),
            logs.get("control"),
        )
        world.scheduler.set_upstreams({SERVICE: world.settings}, world.upstreams)
        world.plan()
        self.assertIsInstance(world.actions[-1], FetchReport)
        for upstream in world.upstreams:
            served = {adapter(1): 1} if upstream.id == "one" else {}
            loading = {adapter(1): 1} if upstream.id == order.upstream else {}
            report = EngineReport(0, (MODEL,), (), served, loading, False, 0, 0)
            world.scheduler.engine_reported(upstream.id, report)


class PlanningTests(unittest.TestCase):
    def test_the_decision_depends_on_its_input_only(self) -> None:
        # Guards against a choice that depends on the order in which engines were found.
        chosen = set()
        for names in (("one", "two", "three"), ("three", "two", "one")):
            served: dict[str, list[int]] = {name: [] for name in names}
            served["one"] = [1, 2, 3]
            world = SchedulerWorld(served, batch=BATCH)
            for number in (1, 2, 3):
                run_streams(world, number, 5)
            orders = plan_for(world, 0.5)
            chosen.add(tuple((item.upstream, item.adapter) for item in orders))
        self.assertEqual(len(chosen), 1)

    def test_engines_are_examined_once_for_all_busy_adapters(self) -> None:
        # Guards against a leader that visits each engine for each of thousands of busy
        # adapters, which took seconds with 610 engines.
        served = {f"busy{number}": [number] for number in range(20)}
        served.update({f"spare{number}": [100 + number] for number in range(5)})
        world = SchedulerWorld(served, capacity=1, batch=BATCH)
        for number in range(100, 105):
            end_streams(world, run_streams(world, number, 8))
        for number in range(20):
            run_streams(world, number, NEARLY_FULL)
        with mock.patch.object(
            replication, "find_spare_slot", wraps=find_spare_slot
        ) as examined:
            orders = world.plan()
        self.assertEqual(orders, [])
        self.assertEqual(examined.call_count, 5)

    def test_copies_are_planned_seldom(self) -> None:
        # Guards against a leader that visits 610 engines in each round.
        world = SchedulerWorld({"one": [1], "two": []}, batch=BATCH)
        calls = 0
        is_busy = world.scheduler._replication._is_busy

        def counted(*arguments: object) -> bool:
            nonlocal calls
            calls += 1
            return is_busy(*arguments)  # type: ignore[arg-type]

        world.scheduler._replication._is_busy = counted  # type: ignore[method-assign]
        for _ in range(100):
            world.clock.advance(timedelta(milliseconds=10))
            world.scheduler.plan(on_timer=True)
        self.assertLessEqual(calls, 2 * 21)


if __name__ == "__main__":
    unittest.main()
