"""Loads of base models, of which an engine says only that an order is under way."""

import unittest
from datetime import timedelta

from ashhoist.orders import EngineReport, Order, OrderAnswer
from ashhoist.placement.actions import FetchReport

from .control_world import World
from .scheduler_world import MODEL, SECOND, SchedulerWorld
from .world_requests import want

LOAD_S = 4.3
ENGINES = 3
CHECKS_IN_LOAD = 6
"""Reports during one load: one a second, and one at each end."""


class AnswerTests(unittest.TestCase):
    """What an engine's refusals of orders for its base model are taken for."""

    def setUp(self) -> None:
        self.world = SchedulerWorld({})
        self.world.add_engine("engine")
        self.engine = self.world.scheduler.engines["engine"]
        self.engine.models.clear()

    def report(self, order_count: int, busy: bool, loaded: bool = False) -> None:
        models = (MODEL,) if loaded else ()
        report = EngineReport(order_count, models, busy=busy)
        self.world.scheduler.engine_reported("engine", report)

    def order(self) -> Order:
        """Let time pass until the engine gets an order, and return it."""
        for _ in range(200):
            orders = self.world.plan()
            if orders:
                return orders[0]
        raise AssertionError("no order")

    def reports_fetched(self) -> int:
        return sum(isinstance(one, FetchReport) for one in self.world.actions)

    def test_load_of_an_earlier_leader_is_not_counted_as_own(self) -> None:
        # Guards against polling with a wrong order count for good.
        self.report(0, busy=False)
        self.world.answer_order(self.order(), OrderAnswer.CONFLICT)
        self.assertIsNone(self.engine.loading_model)
        self.world.clock.advance(SECOND)
        self.world.plan()
        self.report(1, busy=True)
        self.assertFalse(self.engine.accepts_orders(self.world.clock.monotonic()))
        self.world.clock.advance(SECOND)
        self.assertEqual(self.world.plan(), [])
        self.report(1, busy=False, loaded=True)
        self.assertTrue(self.engine.can_order(self.world.clock.monotonic()))
        self.assertEqual(self.engine.order_count, 1)

    def test_own_load_is_polled_on_with_few_reports(self) -> None:
        # Guards against a report for each poll that is refused during a load.
        self.report(0, busy=False)
        self.world.answer_order(self.order(), OrderAnswer.ACCEPTED)
        before = self.reports_fetched()
        end = self.world.clock.monotonic() + timedelta(seconds=LOAD_S)
        while self.world.clock.monotonic() < end:
            for order in self.world.plan():
                self.assertEqual(order.expected, 1)
                self.world.answer_order(order, OrderAnswer.CONFLICT)
            if self.engine.report_in_flight:
                self.report(1, busy=True)
        self.assertLessEqual(self.reports_fetched() - before, CHECKS_IN_LOAD)
        self.world.answer_order(self.order(), OrderAnswer.ALREADY_DONE)
        self.assertIn(MODEL, self.engine.models)

    def test_load_that_a_report_does_not_confirm_is_ordered_again(self) -> None:
        # Guards against polling for good after the engine lost the order.
        self.report(0, busy=False)
        self.world.answer_order(self.order(), OrderAnswer.ACCEPTED)
        self.world.clock.advance(2 * SECOND)
        self.world.answer_order(self.order(), OrderAnswer.CONFLICT)
        self.world.plan()
        self.assertTrue(self.engine.report_in_flight)
        self.report(0, busy=False)
        self.assertEqual(self.order().expected, 0)

    def test_poll_that_is_fenced_waits_for_the_report(self) -> None:
        # Guards against an order without a count, while a report is on its way.
        self.report(0, busy=False)
        self.world.answer_order(self.order(), OrderAnswer.ACCEPTED)
        self.world.clock.advance(SECOND / 10)
        self.world.answer_order(self.order(), OrderAnswer.FENCED)
        self.world.clock.advance(SECOND)
        self.assertEqual(self.world.plan(), [])
        self.assertTrue(self.engine.report_in_flight)
        self.assertEqual(self.world.plan(), [])


class RestartTests(unittest.TestCase):
    """All engines restart empty, and all instances while the engines load."""

    def test_engines_serve_after_a_restart_of_all_during_loads(self) -> None:
        # Guards against a new leader that counts the orders of its predecessor.
        for killed_after_s in (0.7, 1.4, 2.5):
            with self.subTest(killed_after_s=killed_after_s):
                world = World(3, ENGINES)
                world.start()
                world.run(4.0)
                for name in world.engines:
                    world.restart_engine(name)
                    world.engines[name].models.clear()
                    world.engines[name].model_s = LOAD_S
                    world.engines[name].refuses_polls = True
                world.run(killed_after_s)
                for name in world.machines:
                    world.kill(name)
                world.run(0.5)
                world.start()
                world.run(25.0)
                self.assertTrue(all(one.models for one in world.engines.values()))
                answer = want(world, "instance-0", "a1")
                self.assertTrue(world.run(2.0, answer.done))


if __name__ == "__main__":
    unittest.main()
