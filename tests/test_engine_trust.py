"""Engines that fail, or say nothing, get fewer requests; and get them back."""

import unittest
from datetime import timedelta

from ashhoist import logs
from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.metrics import Metrics
from ashhoist.orders import EngineReport
from ashhoist.placement import Residency, Want
from ashhoist.placement.actions import Placed, SchedulerAction
from ashhoist.placement.asks import UseEnd
from ashhoist.placement.scheduler import Scheduler
from ashhoist.routing import EngineModel, EngineSettings
from ashhoist.upstreams import Upstream

MODEL, SERVICE = "base", "engines"
ADAPTER = Adapter(MODEL, "a1")
SECOND = timedelta(seconds=1)
TOKENS = 800


class TrustTests(unittest.TestCase):
    """Two engines serve the same adapter."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        self.actions: list[SchedulerAction] = []
        self.scheduler = Scheduler(
            lambda zone: True,
            self.actions.append,
            Residency(),
            self.clock,
            Metrics(),
            logs.get("control"),
        )
        model = EngineModel(MODEL, 16000, SECOND, 100, 14)
        settings = EngineSettings({MODEL: model}, 96, 16500, 6, 2.0)
        upstreams = [
            Upstream(name, SERVICE, f"{name}:1", "zone", slots=96, models=(MODEL,))
            for name in ("one", "two")
        ]
        self.scheduler.set_upstreams({SERVICE: settings}, upstreams)
        report = EngineReport(0, (MODEL,), (), {ADAPTER: 1}, {}, False, 0, 0)
        for upstream in upstreams:
            self.scheduler.reported(upstream.id, report)
        self.number = 0

    def place(self) -> tuple[str, str]:
        """Place a request; return its id and engine."""
        self.number += 1
        now = self.clock.monotonic()
        want = Want(
            f"r{self.number}",
            "instance",
            SERVICE,
            ADAPTER,
            0,
            TOKENS,
            1.0,
            0.3,
            now,
            now + SECOND,
            now + 5 * SECOND,
            now + 2 * SECOND,
        )
        self.scheduler.want(want)
        [placed] = [action for action in self.actions if isinstance(action, Placed)]
        self.actions.clear()
        return want.id, placed.upstream

    def finish(self, use: tuple[str, str], end: UseEnd, started: bool = True) -> None:
        use_id, upstream = use
        if started:
            self.scheduler.started(upstream, use_id)
        self.scheduler.ended(upstream, use_id, end)

    def chosen(self, count: int = 8) -> set[str]:
        """Return the engines of some requests, one after the other."""
        found = set()
        for _ in range(count):
            use = self.place()
            found.add(use[1])
            self.clock.advance(SECOND / 20)
            self.finish(use, UseEnd.WELL)
        return found

    def fail(self, end: UseEnd, times: int = 2) -> str:
        """Let requests at one engine fail; return that engine."""
        for number in range(times):
            self.scheduler.ended("one", f"failed-{number}", end)
        return "one"

    def test_an_engine_that_fails_is_passed_over(self) -> None:
        failing = self.fail(UseEnd.FAILED)
        self.assertNotIn(failing, self.chosen())

    def test_an_engine_that_cannot_be_reached_is_passed_over_at_once(self) -> None:
        failing = self.fail(UseEnd.UNREACHABLE, 1)
        self.assertNotIn(failing, self.chosen())

    def test_an_engine_that_failed_is_tried_again_after_a_while(self) -> None:
        failing = self.fail(UseEnd.FAILED)
        self.clock.advance(30 * SECOND)
        held = [self.place(), self.place()]
        self.assertIn(failing, {upstream for _, upstream in held})

    def test_an_end_that_says_nothing_changes_nothing(self) -> None:
        use = self.place()
        self.finish(use, UseEnd.UNKNOWN, started=False)
        held = [self.place(), self.place()]
        self.assertEqual({upstream for _, upstream in held}, {"one", "two"})

    def test_an_engine_that_keeps_a_request_waiting_gets_no_other(self) -> None:
        silent = self.place()[1]
        self.clock.advance(2 * SECOND)
        self.assertNotIn(silent, self.chosen())

    def test_a_silent_engine_is_chosen_again_once_it_has_begun(self) -> None:
        use = self.place()
        self.clock.advance(2 * SECOND)
        self.finish(use, UseEnd.WELL)
        held = [self.place(), self.place()]
        self.assertIn(use[1], {upstream for _, upstream in held})

    def test_a_failing_engine_is_better_than_none(self) -> None:
        self.fail(UseEnd.UNREACHABLE, 3)
        only = self.scheduler.engines["one"].upstream
        self.scheduler.set_upstreams(self.scheduler._settings, [only])
        self.assertEqual(self.place()[1], "one")


if __name__ == "__main__":
    unittest.main()
