"""Engines that fail, or say nothing, get fewer requests; and get them back."""

import unittest

from ashhoist.placement.asks import UseEnd

from .scheduler_world import SECOND, SERVICE, SchedulerWorld


class TrustTests(unittest.TestCase):
    """Two engines serve the same adapter."""

    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": [1], "two": [1]})
        self.scheduler = self.world.scheduler
        self.clock = self.world.clock

    def place(self) -> tuple[str, str]:
        """Place a request; return its id and engine."""
        return self.world.place(1)

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
        only = self.world.upstreams[:1]
        self.scheduler.set_upstreams({SERVICE: self.world.settings}, only)
        self.assertEqual(self.place()[1], "one")


if __name__ == "__main__":
    unittest.main()
