"""Requests that crash every upstream that starts to run them.

One request crashed its upstream some fifty milliseconds after it had started. Its
caller retried it, each time at another instance, and the instances themselves retried
it at a second upstream. No instance kept count of the crashes, so 15 upstreams crashed
within thirteen seconds, and each crash cut off up to 24 requests of other callers:

    attempt ended  aalst-1 upstream=i-7eb9b32e0b send=1 reason=answer_cut
    attempt ended  aalst-1 upstream=i-0a3ba62db3 send=2 reason=answer_cut
    attempt ended  gent-b-2 upstream=i-4a71d8b224 send=2 reason=answer_cut

The retries of a caller have different request ids, but path, address and body in
common.
"""

import time
import unittest
from typing import Any

from ashhoist.quarantine import Completion, Crash, RequestCompleted, RequestInterrupted

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.fleet import CrashingFleet
from .platform_stand_ins.server import Call, Handler
from .request_caller import HEADER_NAMES, Answer
from .request_harness import NEVER_SILENT, Harness, event, response_headers
from .request_scripts import good, refuse, reset

CRASH_THRESHOLD = 3
"""Number of upstreams that a request may crash before it is held back."""
MAX_EXTRA_CRASHES = 3
"""Allowance for attempts that are in flight by then, or at instances that have not been
notified yet."""
PATH = "/lobby/crash"


class TwoInstancesTests(ProcessTestCase):
    """Real processes, a store, and plain workers that restart after a crash."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = CrashingFleet(self.store, "plain-service", 4, "crash")
        self.addCleanup(self.fleet.close)

    def refused(self, process: PlatformProcess) -> bool:
        """Return whether the request is refused because it crashes upstreams."""
        answer = process.ask(PATH, f"try-{time.monotonic_ns()}")
        return answer == (503, b"crashes_upstreams\n")

    def test_the_request_is_held_back_at_every_instance(self) -> None:
        one, other = self.start("node-1"), self.start("node-2")
        self.wait(
            lambda: (
                len(self.fleet.crashed) > CRASH_THRESHOLD + MAX_EXTRA_CRASHES
                or (self.refused(one) and self.refused(other))
            )
        )
        self.assertLessEqual(
            len(self.fleet.crashed), CRASH_THRESHOLD + MAX_EXTRA_CRASHES
        )
        crashed = len(self.fleet.crashed)
        for _ in range(5):
            self.assertTrue(self.refused(one) and self.refused(other))
        self.assertEqual(len(self.fleet.crashed), crashed)
        for process in (one, other):
            self.wait(
                lambda process=process: process.ask("/lobby/well", "well")[0] == 200
            )

    def test_upstreams_that_restart_under_the_same_id_count_each_time(self) -> None:
        # Crashes used to be counted by upstream id alone. With two upstreams that crash
        # and restart in turn, the count stayed at two, and the request was never held
        # back.
        self.fleet.close()
        for number in range(4):
            self.store.put("keyed.servers", f"i-plain-{number}", None)
        fleet = CrashingFleet(self.store, "plain-service", 2, "crash", keeps_ids=True)
        self.addCleanup(fleet.close)
        process = self.start("node-1")
        self.wait(
            lambda: (
                len(fleet.crashed) > CRASH_THRESHOLD + MAX_EXTRA_CRASHES
                or self.refused(process)
            )
        )
        self.assertEqual(len(fleet.crashed), CRASH_THRESHOLD)

    def test_an_instance_that_starts_later_holds_it_back_too(self) -> None:
        one = self.start("node-1")
        self.wait(lambda: self.refused(one))
        crashed = len(self.fleet.crashed)
        self.assertEqual(crashed, CRASH_THRESHOLD)
        later = self.start("node-2")
        self.assertTrue(self.refused(later))
        self.assertEqual(len(self.fleet.crashed), crashed)


class RequestHandlingTests(unittest.TestCase):
    """What request handling reports to the control task and answers to callers."""

    def start(self, *scripts: Handler, **options: object) -> Harness:
        harness = Harness(*scripts, **options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness

    def sent(self, harness: Harness, kind: type) -> list[Any]:
        """Return the messages of one type that were sent to the control task."""
        return [
            message for message in harness.control_messages if isinstance(message, kind)
        ]

    def hold(self, harness: Harness, request: str) -> None:
        """Record three crashes for a request, so that it is held back."""
        for incarnation in ("a", "b", "c"):
            crash = Crash(incarnation, "elsewhere", frozenset({request}))
            harness.quarantine.put(crash.key, crash, 1)
            harness.quarantine.decide(incarnation, is_recorded=False)

    def fingerprint(self, harness: Harness, path: str) -> str:
        """Return the fingerprint of a request, as reported for its cut attempt."""
        harness.ask(path)
        return self.sent(harness, RequestInterrupted)[-1].request

    def test_all_retries_of_a_caller_have_one_fingerprint(self) -> None:
        harness = self.start(reset, reset, **NEVER_SILENT)
        for id in ("first", "second"):
            harness.ask("/safe/x", id=id)
        found = {message.request for message in self.sent(harness, RequestInterrupted)}
        self.assertEqual(len(found), 1)
        self.assertEqual(len(self.sent(harness, RequestInterrupted)), 4)

    def test_the_fingerprint_is_the_same_from_another_address(self) -> None:
        # A caller with one machine in each zone sent the request from all of them. When
        # crashes were counted by address, three upstreams crashed for each, 16 in all.
        harness = self.start(reset, attempts=1)
        for source in ("127.0.0.1", "127.0.0.2", "127.0.0.3"):
            harness.ask("/unsafe/x", source)
        found = {message.request for message in self.sent(harness, RequestInterrupted)}
        self.assertEqual(len(found), 1)

    def test_another_path_or_body_has_another_fingerprint(self) -> None:
        harness = self.start(reset, attempts=1)
        harness.ask("/safe/x")
        harness.ask("/safe/y")
        harness.ask("/safe/x", body=b"other")
        found = {message.request for message in self.sent(harness, RequestInterrupted)}
        self.assertEqual(len(found), 3)

    def test_a_request_that_is_held_back_reaches_no_upstream(self) -> None:
        harness = self.start(reset, attempts=1)
        self.hold(harness, self.fingerprint(harness, "/unsafe/x"))
        answer = harness.ask("/unsafe/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 60.0)
        self.assertEqual(len(harness.calls()), 1)
        self.assertEqual(harness.ask("/unsafe/y").status, 502)

    def ask_with_parts(self, harness: Harness, number: int, parts: str) -> Answer:
        headers = {HEADER_NAMES.prompt_parts: parts}
        return harness.ask("/safe/x", body=b"%d" % number, headers=headers)

    def test_parts_that_are_broken_off_are_reported_but_for_the_last(self) -> None:
        harness = self.start(reset, attempts=1)
        self.ask_with_parts(harness, 1, "aa:10,bb:20,cc:30")
        [cut] = self.sent(harness, RequestInterrupted)
        self.assertEqual(cut.parts, ("part:aa", "part:bb"))

    def test_a_part_that_is_held_back_reaches_no_upstream(self) -> None:
        # Guards against requests that crash upstreams with one part, each another one.
        harness = self.start(reset, attempts=1)
        for incarnation in ("a", "b", "c", "d"):
            crash = Crash(incarnation, "elsewhere", frozenset({"part:bb"}))
            harness.quarantine.put(crash.key, crash, 1)
        held = self.ask_with_parts(harness, 1, "aa:10,bb:20,cc:30")
        self.assertEqual((held.status, len(harness.calls())), (503, 0))
        for parts in ("aa:10,dd:20,cc:30", "aa:10,bb:20"):
            self.assertEqual(self.ask_with_parts(harness, 2, parts).status, 502)

    def test_an_answer_clears_the_parts_of_its_prompt(self) -> None:
        harness = self.start(good)
        for incarnation in ("a", "b"):
            crash = Crash(incarnation, "elsewhere", frozenset({"part:aa"}))
            harness.quarantine.put(crash.key, crash, 1)
        self.ask_with_parts(harness, 1, "aa:10,cc:30")
        self.assertEqual(
            self.sent(harness, RequestCompleted), [RequestCompleted("part:aa")]
        )

    def test_a_request_that_has_run_is_not_reported_as_not_run(self) -> None:
        harness = self.start(reset, good, attempts=2, **NEVER_SILENT)
        request = self.fingerprint(harness, "/safe/x")
        harness.quarantine.put("whole", Completion(request), 0)

        def crash(call: Call) -> None:
            self.hold(harness, request)
            call.reset()

        harness.upstreams["upstream-0"].handler = crash
        self.assertEqual(harness.ask("/safe/x").status, 502)
        self.assertEqual(len(harness.calls(1)), 1)

    def test_a_stream_that_was_cut_midway_does_not_continue_elsewhere(self) -> None:
        harness = self.start(good, good, **NEVER_SILENT)
        request = ""

        def crash(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            if request:
                self.hold(harness, request)
            call.reset()

        for server in harness.upstreams.values():
            server.handler = crash
        request = self.fingerprint(harness, "/stream/x")
        self.assertEqual(len(harness.calls(1)), 1)
        self.assertFalse(harness.ask("/stream/x").complete)
        self.assertEqual(len(harness.calls(1)), 1)

    def test_refusals_and_error_answers_are_not_crashes(self) -> None:
        def error(call: Call) -> None:
            call.respond(500, b"", response_headers(call))

        harness = self.start(refuse, error, attempts=2)
        harness.ask("/safe/x")
        self.assertEqual(self.sent(harness, RequestInterrupted), [])

    def test_a_complete_answer_is_reported_only_for_a_suspect_request(self) -> None:
        harness = self.start(reset, good, **NEVER_SILENT)
        self.assertEqual(harness.ask("/safe/x").status, 200)
        self.assertEqual(self.sent(harness, RequestCompleted), [])
        [cut] = self.sent(harness, RequestInterrupted)
        crash = Crash("a", "elsewhere", frozenset({cut.request}))
        harness.quarantine.put(crash.key, crash, 1)
        self.assertEqual(harness.ask("/safe/x").status, 200)
        self.assertEqual(
            self.sent(harness, RequestCompleted), [RequestCompleted(cut.request)]
        )


if __name__ == "__main__":
    unittest.main()
