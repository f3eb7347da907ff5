"""Requests that crash every upstream that begins to run them.

One request crashed an upstream some fifty milliseconds after it had begun. Its caller
sent it again, at another instance each time, and we sent it to a second upstream
ourselves. Every instance judged each attempt alone and forgot it; nobody counted, so
15 upstreams ended within thirteen seconds, and with each of them up to 24 requests of
others were cut:

    attempt ended  aalst-1 upstream=i-7eb9b32e0b send=1 reason=answer_cut
    attempt ended  aalst-1 upstream=i-0a3ba62db3 send=2 reason=answer_cut
    attempt ended  gent-b-2 upstream=i-4a71d8b224 send=2 reason=answer_cut

A caller's tries have different ids, but path, address and body in common.
"""

import time
import unittest
from typing import Any

from ashhoist.quarantine import Crash, RequestCut, RequestWhole, Whole

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.fleet import CrashingFleet
from .platform_stand_ins.server import Call, Handler
from .request_harness import Harness, event, sealed
from .request_scripts import good, refuse, reset

CRASHES = 3
"""So many upstreams may end under a request before it counts as one that crashes."""
FURTHER = 3
"""So many may be on their way, or meet an instance that has not been told yet."""
PATH = "/lobby/crash"


class TwoInstancesTests(ProcessTestCase):
    """Real processes, a store, and plain workers that start again."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = CrashingFleet(self.store, "plain-service", 4, "crash")
        self.addCleanup(self.fleet.close)

    def refused(self, process: PlatformProcess) -> bool:
        """Return whether the request is refused for what it does to upstreams."""
        answer = process.ask(PATH, f"try-{time.monotonic_ns()}")
        return answer == (503, b"crashes_upstreams\n")

    def test_it_is_kept_from_upstreams_at_every_instance(self) -> None:
        one, other = self.start("node-1"), self.start("node-2")
        self.wait(
            lambda: (
                len(self.fleet.crashed) > CRASHES + FURTHER
                or (self.refused(one) and self.refused(other))
            )
        )
        self.assertLessEqual(len(self.fleet.crashed), CRASHES + FURTHER)
        crashed = len(self.fleet.crashed)
        for _ in range(5):
            self.assertTrue(self.refused(one) and self.refused(other))
        self.assertEqual(len(self.fleet.crashed), crashed)
        for process in (one, other):
            self.wait(
                lambda process=process: process.ask("/lobby/well", "well")[0] == 200
            )

    def test_upstreams_that_keep_their_ids_count_each_time_they_start(self) -> None:
        # Counted by id alone, two upstreams that crash and start again in turn were
        # two for ever, and the request was sent on without end.
        self.fleet.close()
        for number in range(4):
            self.store.put("keyed.servers", f"i-plain-{number}", None)
        fleet = CrashingFleet(self.store, "plain-service", 2, "crash", keeps_ids=True)
        self.addCleanup(fleet.close)
        process = self.start("node-1")
        self.wait(
            lambda: len(fleet.crashed) > CRASHES + FURTHER or self.refused(process)
        )
        self.assertEqual(len(fleet.crashed), CRASHES)

    def test_one_that_starts_later_knows_it_too(self) -> None:
        one = self.start("node-1")
        self.wait(lambda: self.refused(one))
        crashed = len(self.fleet.crashed)
        self.assertEqual(crashed, CRASHES)
        later = self.start("node-2")
        self.assertTrue(self.refused(later))
        self.assertEqual(len(self.fleet.crashed), crashed)


class EntryTests(unittest.TestCase):
    """What one instance tells of its attempts, and what its callers are told."""

    def start(self, *scripts: Handler, **options: object) -> Harness:
        harness = Harness(*scripts, **options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness

    def told(self, harness: Harness, kind: type) -> list[Any]:
        """Return what the control task was told of a kind."""
        return [message for message in harness.charges if isinstance(message, kind)]

    def hold(self, harness: Harness, request: str) -> None:
        """Let three upstreams have ended under a request."""
        for life in ("a", "b", "c"):
            crash = Crash(life, "elsewhere", frozenset({request}))
            harness.quarantine.put(crash.key, crash, 1)

    def fingerprint(self, harness: Harness, path: str) -> str:
        """Return the fingerprint of a request, as a cut attempt tells it."""
        harness.ask(path)
        return self.told(harness, RequestCut)[-1].request

    def test_all_tries_of_a_caller_have_one_fingerprint(self) -> None:
        harness = self.start(reset, reset)
        for id in ("first", "second"):
            harness.ask("/safe/x", id=id)
        found = {message.request for message in self.told(harness, RequestCut)}
        self.assertEqual(len(found), 1)
        self.assertEqual(len(self.told(harness, RequestCut)), 4)

    def test_it_is_the_same_request_from_another_address(self) -> None:
        # A caller with one machine in each zone sent it on from all of them; counted
        # by address, three upstreams ended for each: 16 in all.
        harness = self.start(reset, attempts=1)
        for source in ("127.0.0.1", "127.0.0.2", "127.0.0.3"):
            harness.ask("/unsafe/x", source)
        found = {message.request for message in self.told(harness, RequestCut)}
        self.assertEqual(len(found), 1)

    def test_another_path_or_body_is_another_request(self) -> None:
        harness = self.start(reset, attempts=1)
        harness.ask("/safe/x")
        harness.ask("/safe/y")
        harness.ask("/safe/x", body=b"other")
        found = {message.request for message in self.told(harness, RequestCut)}
        self.assertEqual(len(found), 3)

    def test_a_request_that_is_held_back_reaches_nobody(self) -> None:
        harness = self.start(reset, attempts=1)
        self.hold(harness, self.fingerprint(harness, "/unsafe/x"))
        answer = harness.ask("/unsafe/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 60.0)
        self.assertEqual(len(harness.calls()), 1)
        self.assertEqual(harness.ask("/unsafe/y").status, 502)

    def test_one_that_has_run_is_not_told_as_not_run(self) -> None:
        harness = self.start(reset, good, attempts=2)
        request = self.fingerprint(harness, "/safe/x")
        harness.quarantine.put("whole", Whole(request), 0)

        def crash(call: Call) -> None:
            self.hold(harness, request)
            call.reset()

        harness.upstreams["upstream-0"].handler = crash
        self.assertEqual(harness.ask("/safe/x").status, 502)
        self.assertEqual(len(harness.calls(1)), 1)

    def test_a_stream_that_was_cut_midway_does_not_go_on_elsewhere(self) -> None:
        harness = self.start(good, good)
        request = ""

        def crash(call: Call) -> None:
            call.start_stream(sealed(call))
            call.chunk(event(1))
            if request:
                self.hold(harness, request)
            call.reset()

        for server in harness.upstreams.values():
            server.handler = crash
        request = self.fingerprint(harness, "/stream/x")
        self.assertEqual(len(harness.calls(1)), 1)
        self.assertFalse(harness.ask("/stream/x").whole)
        self.assertEqual(len(harness.calls(1)), 1)

    def test_refusals_and_failures_of_upstreams_are_no_crashes(self) -> None:
        def error(call: Call) -> None:
            call.respond(500, b"", sealed(call))

        harness = self.start(refuse, error, attempts=2)
        harness.ask("/safe/x")
        self.assertEqual(self.told(harness, RequestCut), [])

    def test_a_whole_answer_is_told_where_the_request_was_suspected(self) -> None:
        harness = self.start(reset, good)
        self.assertEqual(harness.ask("/safe/x").status, 200)
        self.assertEqual(self.told(harness, RequestWhole), [])
        [cut] = self.told(harness, RequestCut)
        crash = Crash("a", "elsewhere", frozenset({cut.request}))
        harness.quarantine.put(crash.key, crash, 1)
        self.assertEqual(harness.ask("/safe/x").status, 200)
        self.assertEqual(self.told(harness, RequestWhole), [RequestWhole(cut.request)])


if __name__ == "__main__":
    unittest.main()
