"""Engines that fail or stall get fewer requests until they have recovered."""

import unittest

from ashhoist.placement.messages import RequestOutcome

from .scheduler_world import SECOND, SERVICE, SchedulerWorld


class EngineHealthTests(unittest.TestCase):
    """Two engines serve the same adapter."""

    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": [1], "two": [1]})
        self.scheduler = self.world.scheduler
        self.clock = self.world.clock

    def place(self) -> tuple[str, str]:
        """Place a request; return its id and engine."""
        return self.world.place_request(1)

    def finish(
        self, sent: tuple[str, str], outcome: RequestOutcome, started: bool = True
    ) -> None:
        """End a request, by default after its first token."""
        request_id, upstream = sent
        if started:
            self.scheduler.record_first_token(upstream, request_id)
        self.scheduler.record_end(upstream, request_id, outcome)

    def chosen_engines(self, count: int = 8) -> set[str]:
        """Place and finish requests one after another; return their engines."""
        found = set()
        for _ in range(count):
            sent = self.place()
            found.add(sent[1])
            self.clock.advance(SECOND / 20)
            self.finish(sent, RequestOutcome.SUCCEEDED)
        return found

    def fail(self, outcome: RequestOutcome, times: int = 2) -> str:
        """Make requests at one engine fail; return that engine."""
        for number in range(times):
            self.scheduler.record_end("one", f"failed-{number}", outcome)
        return "one"

    def test_an_engine_that_fails_is_passed_over(self) -> None:
        failing = self.fail(RequestOutcome.FAILED)
        self.assertNotIn(failing, self.chosen_engines())

    def test_an_engine_that_cannot_be_reached_is_passed_over_at_once(self) -> None:
        failing = self.fail(RequestOutcome.UNREACHABLE, 1)
        self.assertNotIn(failing, self.chosen_engines())

    def test_an_engine_that_failed_is_tried_again_after_a_while(self) -> None:
        failing = self.fail(RequestOutcome.FAILED)
        self.clock.advance(30 * SECOND)
        sent = [self.place(), self.place()]
        self.assertIn(failing, {upstream for _, upstream in sent})

    def test_an_unknown_outcome_changes_nothing(self) -> None:
        first = self.place()
        self.finish(first, RequestOutcome.UNKNOWN, started=False)
        sent = [self.place(), self.place()]
        self.assertEqual({upstream for _, upstream in sent}, {"one", "two"})

    def test_an_engine_with_an_overdue_first_token_gets_no_request(self) -> None:
        stalled = self.place()[1]
        self.clock.advance(2 * SECOND)
        self.assertNotIn(stalled, self.chosen_engines())

    def test_a_stalled_engine_is_chosen_again_after_its_first_token(self) -> None:
        first = self.place()
        self.clock.advance(2 * SECOND)
        self.finish(first, RequestOutcome.SUCCEEDED)
        sent = [self.place(), self.place()]
        self.assertIn(first[1], {upstream for _, upstream in sent})

    def test_a_failing_engine_is_used_if_there_is_no_other(self) -> None:
        self.fail(RequestOutcome.UNREACHABLE, 3)
        only = self.world.upstreams[:1]
        self.scheduler.set_upstreams({SERVICE: self.world.settings}, only)
        self.assertEqual(self.place()[1], "one")


if __name__ == "__main__":
    unittest.main()
