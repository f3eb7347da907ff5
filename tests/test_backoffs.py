"""Back-off periods that upstreams request from this instance."""

import random
import unittest
from datetime import timedelta
from typing import Any

from ashhoist.clock import ManualClock
from ashhoist.failures import Reason
from ashhoist.placement.messages import PlacementRequest, Refusal, Target
from ashhoist.upstreams import (
    Backoffs,
    Balancer,
    Directory,
    Health,
    Upstream,
    UpstreamLeaving,
)

from .platform_stand_ins.server import Call
from .request_harness import HEADER_NAMES, response_headers
from .request_scripts import RequestTestCase, good
from .test_lookups import ChooserTestCase

SECOND = timedelta(seconds=1)
BACKOFF = 3 * SECOND
MANY = 20


def refuse_with_backoff(call: Call) -> None:
    """Refuse a request and ask the instance to back off for a minute."""
    call.respond(503, b"", {HEADER_NAMES.not_run: "1", HEADER_NAMES.retry_after: "60"})


class BackoffsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.incarnation = "one@1"
        self.backoffs = Backoffs(lambda _: self.incarnation, self.clock)
        self.backoffs.begin("one", "one@1", BACKOFF)

    def test_a_backoff_lasts_as_long_as_requested(self) -> None:
        self.clock.advance(BACKOFF - SECOND / 10)
        self.assertTrue(self.backoffs.is_backing_off("one"))
        self.assertEqual(self.backoffs.backing_off(), ["one"])
        self.clock.advance(SECOND / 10)
        self.assertFalse(self.backoffs.is_backing_off("one"))
        self.assertEqual(self.backoffs.backing_off(), [])

    def test_a_shorter_backoff_does_not_shorten_a_current_one(self) -> None:
        self.backoffs.begin("one", "one@1", SECOND)
        self.clock.advance(2 * SECOND)
        self.assertTrue(self.backoffs.is_backing_off("one"))

    def test_a_backoff_does_not_apply_to_the_next_incarnation(self) -> None:
        self.incarnation = "one@2"
        self.assertFalse(self.backoffs.is_backing_off("one"))

    def test_a_backoff_does_not_apply_to_other_upstreams(self) -> None:
        self.assertFalse(self.backoffs.is_backing_off("two"))

    def test_ended_backoffs_are_removed(self) -> None:
        self.clock.advance(BACKOFF)
        self.backoffs.begin("two", "two@1", BACKOFF)
        self.assertEqual(list(self.backoffs._by_id), ["two"])


class BalancerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory()
        for name in ("one", "two"):
            self.directory.put(Upstream(name, "s", f"{name}:1", "zone", offset=1))
        self.backoffs = Backoffs(self.directory.incarnation_of, self.clock)
        health = Health(self.clock)
        self.balancer = Balancer("zone", health, self.backoffs, random.Random(1))

    def choose(self, *tried: str) -> Upstream | Reason:
        return self.balancer.choose(self.directory.view.of("s"), tried)

    def test_an_upstream_in_backoff_is_not_chosen_even_as_the_last_one(self) -> None:
        self.backoffs.begin("one", "one", BACKOFF)
        for _ in range(MANY):
            chosen = self.choose()
            assert isinstance(chosen, Upstream)
            self.assertEqual(chosen.id, "two")
        self.assertIs(self.choose("two"), Reason.UPSTREAMS_REST)

    def test_the_reason_differs_if_all_upstreams_were_tried(self) -> None:
        self.assertIs(self.choose("one", "two"), Reason.NO_UPSTREAM)


class EngineChooserTests(ChooserTestCase):
    def test_the_leader_is_told_which_engines_are_in_backoff(self) -> None:
        self.leader_known = True
        self.backoffs.begin("one", "one", BACKOFF)
        self.choose()
        [request] = [item for item in self.sent if isinstance(item, PlacementRequest)]
        self.assertEqual(request.tried, ("one",))

    def test_without_a_leader_an_engine_in_backoff_is_skipped(self) -> None:
        self.serve("one", "two")
        self.backoffs.begin("one", "one", BACKOFF)
        chosen: Any = self.choose()
        assert isinstance(chosen, Target)
        self.assertEqual(chosen.upstream, "two")

    def test_a_request_is_refused_at_once_if_all_engines_are_in_backoff(self) -> None:
        for name in ("one", "two"):
            self.backoffs.begin(name, name, BACKOFF)
        self.assertEqual(self.choose(), Refusal(Reason.UPSTREAMS_REST))
        self.assertEqual(self.sent, [])

    def test_a_silent_engine_is_kept_if_the_others_are_in_backoff(self) -> None:
        # Guards against 502 for a request whose only engine is merely slow.
        self.assertTrue(self.has_alternative("one"))
        self.backoffs.begin("two", "two", BACKOFF)
        self.assertFalse(self.has_alternative("one"))
        self.clock.advance(BACKOFF)
        self.assertTrue(self.has_alternative("one"))

    def test_a_silent_engine_is_kept_if_the_others_leave(self) -> None:
        self.directory.mark_leaving(UpstreamLeaving("two", "two"))
        self.assertFalse(self.has_alternative("one"))


class ServingTests(RequestTestCase):
    """Requests whose upstream was chosen before it requested a back-off.

    The chooser of these tests ignores back-off periods. It stands for a leader that
    assigned the upstream before it learned of the period.
    """

    def test_a_place_at_an_upstream_that_now_is_in_backoff_is_given_back(
        self,
    ) -> None:
        harness = self.start(refuse_with_backoff, good)
        for number in range(MANY):
            answer = harness.ask("/unsafe/", id=f"id-{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(harness.calls(0)), 1)
        self.assertEqual(len(harness.calls(1)), MANY)
        self.assertEqual(harness.chooser.ended_count, 2 * MANY)

    def test_a_place_at_an_upstream_that_leaves_or_is_gone_is_given_back(self) -> None:
        for gone in (False, True):
            with self.subTest(gone=gone):
                harness = self.start(good, good)
                if gone:
                    harness.directory.end("upstream-0", 7, SECOND)
                else:
                    incarnation = harness.directory.incarnation_of("upstream-0")
                    harness.directory.mark_leaving(
                        UpstreamLeaving("upstream-0", incarnation)
                    )
                self.assertEqual(harness.ask("/unsafe/").status, 200)
                self.assertEqual(len(harness.calls(0)), 0)

    def test_the_backoff_is_not_passed_on_to_the_caller(self) -> None:
        # The caller's retry reaches another instance, to which the back-off does not
        # apply.
        def fail_with_backoff(call: Call) -> None:
            call.respond(
                503, b"", response_headers(call, **{HEADER_NAMES.retry_after: "60"})
            )

        harness = self.start(fail_with_backoff, attempts=1)
        answer = harness.ask("/safe/")
        self.assertEqual((answer.status, answer.headers["seal"]), (503, "seal"))
        self.assertEqual(answer.headers[HEADER_NAMES.retry_after.lower()], "0.250")
        self.assertEqual(harness.ask("/safe/").status, 503)
        self.assertEqual(len(harness.calls(0)), 1)

    def test_requests_are_refused_as_not_run_if_all_upstreams_back_off(self) -> None:
        harness = self.start(refuse_with_backoff, refuse_with_backoff)
        answers = [harness.ask("/unsafe/", id=f"id-{n}") for n in range(3)]
        self.assertEqual([answer.status for answer in answers], [503] * 3)
        for index in range(2):
            self.assertEqual(len(harness.calls(index)), 1)


if __name__ == "__main__":
    unittest.main()
