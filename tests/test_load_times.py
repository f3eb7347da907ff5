"""Cold loads that slow each other down, and the limit that is learnt from them."""

import unittest
from datetime import timedelta

from ashhoist.orders import EngineReport, Order, OrderAnswer, OrderKind
from ashhoist.placement.engine import Engine, EngineUpdate
from ashhoist.placement.load_concurrency import (
    LIMIT_LIFETIME,
    MIN_LIMIT,
    RECENT_LOADS,
    LoadConcurrency,
)

from .scheduler_world import MODEL, SECOND, SchedulerWorld, adapter

MILLISECOND = timedelta(milliseconds=1)
FAST = 288 * MILLISECOND


def ended(took: timedelta, cold: bool = True) -> EngineUpdate:
    """Return the end of a load that was seen loading until shortly before."""
    seen = took - 20 * MILLISECOND
    return EngineUpdate(adapter(1), took, cold, True, seen)


def loading_engines(count: int) -> list[Engine]:
    """Return engines with one cold load each in progress."""
    world = SchedulerWorld({f"e{number}": [] for number in range(count)})
    for number in range(count):
        world.submit(number)
    for order in world.plan():
        world.answer_order(order, OrderAnswer.ACCEPTED)
    return list(world.scheduler.engines.values())


def slow_down(
    loads: LoadConcurrency, engines: list[Engine], now: timedelta, factor: float = 2.0
) -> None:
    """Record fast loads and then as many slow ones."""
    for _ in range(RECENT_LOADS):
        loads.record(ended(FAST), engines, now)
    for _ in range(RECENT_LOADS):
        loads.record(ended(FAST * factor), engines, now)


class LearningTests(unittest.TestCase):
    def test_loads_at_full_speed_set_no_limit(self) -> None:
        # Guards against holding back loads while the store has free capacity.
        loads = LoadConcurrency()
        engines = loading_engines(20)
        for number in range(100):
            now = number * SECOND / 10
            loads.record(ended(FAST * (1.0 + number % 4 / 10)), engines, now)
        self.assertIsNone(loads.limit)
        loads.begin_round(engines, 10 * SECOND)
        self.assertFalse(loads.holds_back(0.0, 10 * SECOND))

    def test_loads_that_slow_each_other_down_set_a_limit(self) -> None:
        # Guards against starting ever more loads that all end late.
        loads = LoadConcurrency()
        slow_down(loads, loading_engines(20), SECOND)
        assert loads.limit is not None
        self.assertLess(loads.limit, 20)
        self.assertGreater(loads.limit, MIN_LIMIT)

    def test_one_slow_engine_sets_no_limit(self) -> None:
        # Guards against taking a slow engine for a slow store.
        loads = LoadConcurrency()
        engines = loading_engines(20)
        for number in range(100):
            took = FAST * 5 if number % 4 == 0 else FAST
            loads.record(ended(took), engines, SECOND)
        self.assertIsNone(loads.limit)

    def test_a_load_that_is_polled_late_sets_no_limit(self) -> None:
        # Guards against a first poll that is due late because loads were slow before.
        loads = LoadConcurrency()
        for _ in range(RECENT_LOADS):
            loads.record(ended(FAST), [], SECOND)
        for _ in range(RECENT_LOADS):
            late = EngineUpdate(adapter(1), FAST * 3, True, True, timedelta())
            loads.record(late, loading_engines(20), SECOND)
        self.assertIsNone(loads.limit)

    def test_warm_loads_are_not_learnt_from(self) -> None:
        # Guards against cold loads that look slow next to loads from kept copies.
        loads = LoadConcurrency()
        for _ in range(RECENT_LOADS):
            loads.record(ended(25 * MILLISECOND, cold=False), [], SECOND)
        for _ in range(RECENT_LOADS):
            loads.record(ended(FAST), loading_engines(20), SECOND)
        self.assertIsNone(loads.limit)

    def test_a_load_that_a_report_contains_is_not_learnt_from(self) -> None:
        # Guards against a new leader that takes the rest of a load for a fast load, and
        # then all others for slow ones.
        world = SchedulerWorld({"one": []})
        report = EngineReport(0, (MODEL,), (), {}, {adapter(1): 1}, False, 0, 0)
        world.scheduler.engine_reported("one", report)
        [order] = world.plan()
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        loads = world.scheduler._cold_loads
        for _ in range(RECENT_LOADS):
            loads.record(ended(FAST), loading_engines(20), world.clock.monotonic())
        self.assertEqual(loads.fastest, FAST)
        self.assertIsNone(loads.limit)

    def test_the_limit_never_falls_below_a_minimum(self) -> None:
        # Guards against a store that is slow for another reason and gets no loads.
        loads = LoadConcurrency()
        engines = loading_engines(3)
        for number in range(1, 20):
            slow_down(loads, engines, number * 5 * SECOND, factor=20.0)
        self.assertEqual(loads.limit, MIN_LIMIT)

    def test_the_limit_rises_again_while_it_is_reached(self) -> None:
        # Guards against a limit that stays too low once loads are fast.
        loads = LoadConcurrency()
        engines = loading_engines(20)
        slow_down(loads, engines, SECOND)
        limit = loads.limit
        assert limit is not None
        now = 2 * SECOND
        for _ in range(100):
            now += FAST / 10
            loads.begin_round(engines, now)
            loads.holds_back(0.0, now)
            loads.record(ended(FAST), engines, now)
        assert loads.limit is not None
        self.assertGreater(loads.limit, limit + 2)

    def test_a_limit_that_is_not_reached_is_discarded(self) -> None:
        # Guards against a limit of a slow minute that holds for days.
        loads = LoadConcurrency()
        slow_down(loads, loading_engines(20), SECOND)
        loads.begin_round([], SECOND + LIMIT_LIFETIME + SECOND)
        self.assertIsNone(loads.limit)


class HoldingBackTests(unittest.TestCase):
    """A scheduler whose four loads in progress are all that run at full speed."""

    def world(self, worth: float) -> SchedulerWorld:
        world = SchedulerWorld({f"e{number}": [] for number in range(8)})
        for number in range(4):
            world.submit(number, worth=worth)
        for order in world.plan():
            world.answer_order(order, OrderAnswer.ACCEPTED)
        loads = world.scheduler._cold_loads
        loads.limit = 4.0
        loads._reached_at = world.clock.monotonic()
        return world

    def loaded(self, orders: list[Order]) -> set[int]:
        """Return the numbers of the adapters that are loaded."""
        return {
            int(order.adapter.name.removeprefix("a"))
            for order in orders
            if order.kind is OrderKind.LOAD
        }

    def test_a_load_of_less_value_is_held_back(self) -> None:
        # Guards against slowing down valuable loads with less valuable ones.
        world = self.world(worth=3.0)
        world.submit(10, worth=2.0)
        self.assertEqual(self.loaded(world.plan()), set())
        self.assertEqual(world.metrics._counts["loads_held_back"], {(): 1})
        world.plan()
        self.assertEqual(world.metrics._counts["loads_held_back"], {(): 1})

    def test_a_load_of_more_value_is_started(self) -> None:
        # Guards against urgent requests that wait behind less valuable loads.
        world = self.world(worth=2.0)
        world.submit(10, worth=1.9)
        world.submit(11, worth=5.0)
        self.assertEqual(self.loaded(world.plan()), {11})

    def test_a_load_from_a_kept_copy_is_started(self) -> None:
        # Guards against holding back loads that do not use the store.
        world = self.world(worth=3.0)
        world.report("e7", [10])
        world.report("e7", [])
        world.submit(10, worth=1.0)
        self.assertEqual(self.loaded(world.plan()), {10})

    def test_a_load_that_was_held_back_is_started_once_others_have_ended(self) -> None:
        # Guards against holding a load back for longer than the store is busy.
        world = self.world(worth=3.0)
        world.submit(10, worth=2.0)
        self.assertEqual(self.loaded(world.plan()), set())
        engines = world.scheduler.engines.values()
        [first, *_] = [engine for engine in engines if engine.loading_count]
        world.clock.advance(FAST)
        [order] = [item for item in world.plan() if item.upstream == first.id]
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        self.assertIn(10, self.loaded(world.plan()))


if __name__ == "__main__":
    unittest.main()
