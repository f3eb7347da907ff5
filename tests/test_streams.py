"""Event streams, and upstreams that stay silent for long."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from ashhoist.position import Position

from .platform_stand_ins.server import Call
from .request_caller import TIMEOUT_S
from .request_harness import (
    HEADER_NAMES,
    ID,
    NEVER_SILENT,
    event,
    response_headers,
)
from .request_scripts import RequestTestCase, good, silent, stream

NOT_RUN = HEADER_NAMES.not_run
BUDGET_OF_ONE = 1.3
"""Allows one retry; part of a budget is kept back."""
SLOW_S = 1.5
"""Longer than the silence after which an upstream is abandoned."""


class SilenceTests(RequestTestCase):
    """A silent upstream is abandoned while there is another one to try."""

    def test_a_safe_request_goes_elsewhere(self) -> None:
        harness = self.start(silent, good)
        self.assertEqual(harness.ask("/safe/", deadline_ms=60_000).status, 200)

    def test_an_unsafe_request_waits_until_its_deadline(self) -> None:
        harness = self.start(silent, good, timeout=1.5)
        self.assertEqual(harness.ask("/unsafe/", deadline_ms=60_000).status, 504)
        self.assertEqual(harness.calls(1), [])

    def test_a_request_waits_for_the_only_upstream(self) -> None:
        # Guards against 502 for a request whose only upstream is merely slow.
        def slow(call: Call) -> None:
            time.sleep(SLOW_S)
            good(call)

        harness = self.start(slow)
        self.assertEqual(harness.ask("/safe/").status, 200)
        self.assertEqual(len(harness.calls()), 1)

    def test_a_request_waits_if_the_retry_budget_is_spent_meanwhile(self) -> None:
        # Guards against 502 for a request that may not go elsewhere any more.
        spent = threading.Event()

        def slow(call: Call) -> None:
            spent.wait()
            time.sleep(SLOW_S)
            good(call)

        def retried(call: Call) -> None:
            spent.set()
            good(call)

        harness = self.start(slow, retried, extra=BUDGET_OF_ONE)
        with ThreadPoolExecutor(2) as callers:
            answers = list(callers.map(harness.ask, ["/safe/"] * 2))
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual((len(harness.calls(0)), len(harness.calls(1))), (2, 1))

    def test_a_stalled_stream_continues_at_the_only_upstream(self) -> None:
        # Guards against cutting a stream off that cannot be resumed anywhere.
        def stall(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            time.sleep(SLOW_S)
            call.chunk(event(2))
            call.end_stream()

        harness = self.start(stall, event_gap=0.1)
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, event(1) + event(2))
        self.assertTrue(answer.complete)

    def test_a_silent_upstream_that_has_ended_is_abandoned(self) -> None:
        harness = self.start(silent)
        with harness.connect() as caller:
            caller.send("/safe/")
            while not harness.calls():
                time.sleep(0.005)
            harness.directory.end("upstream-0", Position(1), timedelta())
            self.assertEqual(caller.receive().status, 502)

    def test_a_request_waits_if_no_other_attempt_is_allowed(self) -> None:
        def slow(call: Call) -> None:
            time.sleep(1.5)
            good(call)

        harness = self.start(slow, good, attempts=1)
        self.assertEqual(harness.ask("/safe/").status, 200)
        self.assertEqual(harness.calls(1), [])

    def test_a_stalled_stream_is_resumed_at_another_upstream(self) -> None:
        def stall(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            silent(call)

        harness = self.start(stall, stream(2, 3), target_latency=TIMEOUT_S)
        answer = harness.ask("/stream/", deadline_ms=60_000)
        self.assertEqual(answer.body, event(1) + event(2) + event(3))
        self.assertTrue(answer.complete)


class StreamTests(RequestTestCase):
    def test_a_stream_without_the_marker_header_fails(self) -> None:
        def script(call: Call) -> None:
            call.start_stream({ID: call.headers[ID.lower()]})
            call.chunk(event(1))
            call.end_stream()

        answer = self.start(script).ask("/once/")
        self.assertEqual(answer.status, 502)

    def test_events_are_forwarded_unchanged(self) -> None:
        harness = self.start(stream(1, 2, 3))
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, event(1) + event(2) + event(3))
        self.assertTrue(answer.complete)
        self.assertEqual(answer.headers["seal"], "seal")

    def test_an_event_is_forwarded_before_the_next_arrives(self) -> None:
        resume = threading.Event()

        def script(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            resume.wait(10)
            call.chunk(event(2))
            call.end_stream()

        harness = self.start(script)
        with harness.connect() as caller:
            caller.send("/stream/")
            data = b""
            while b"data.1" not in data:
                data += caller.socket.recv(65536)
            resume.set()
            while b"data.2" not in data:
                data += caller.socket.recv(65536)

    def test_a_broken_stream_is_resumed_after_its_last_complete_event(self) -> None:
        def other(call: Call) -> None:
            call.start_stream(response_headers(call, Seal="other"))
            for number in (3, 4):
                call.chunk(event(number))
            call.end_stream()

        broken = stream(1, 2, end=False, cut=b"id: 3\ndata: ha")
        harness = self.start(broken, other, **NEVER_SILENT)
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, b"".join(map(event, (1, 2, 3, 4))))
        self.assertTrue(answer.complete)
        self.assertEqual(answer.headers["seal"], "seal")
        [call] = harness.calls(1)
        self.assertEqual(call.headers["last-event-id"], "2")

    def test_repeated_events_are_forwarded_once(self) -> None:
        harness = self.start(stream(1, 2, end=False), stream(1, 2, 3))
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, b"".join(map(event, (1, 2, 3))))

    def test_a_stream_with_a_gap_is_not_reported_as_complete(self) -> None:
        harness = self.start(stream(1, 2, end=False), stream(4, 5), **NEVER_SILENT)
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, event(1) + event(2))
        self.assertFalse(answer.complete)

    def test_a_stream_that_ends_within_an_event_is_incomplete(self) -> None:
        harness = self.start(stream(1, cut=b"id: 2\nda"), attempts=1)
        answer = harness.ask("/stream/")
        self.assertEqual(answer.body, event(1))
        self.assertFalse(answer.complete)

    def test_a_stream_that_is_not_resumable_ends_with_its_upstream(self) -> None:
        harness = self.start(stream(1, end=False), stream(2))
        answer = harness.ask("/once/")
        self.assertEqual(answer.body, event(1))
        self.assertFalse(answer.complete)
        self.assertEqual(harness.calls(1), [])

    def test_a_stream_without_any_event_may_restart_elsewhere(self) -> None:
        def other(call: Call) -> None:
            call.start_stream(response_headers(call, Seal="other"))
            call.chunk(event(1))
            call.end_stream()

        harness = self.start(stream(end=False), other)
        answer = harness.ask("/stream/")
        self.assertEqual((answer.body, answer.headers["seal"]), (event(1), "other"))

    def test_the_route_timeout_ends_a_stream(self) -> None:
        def script(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            call.keep = False
            call.wait_for_close()

        harness = self.start(script, timeout=0.4)
        answer = harness.ask("/stream/", deadline_ms=60_000)
        self.assertFalse(answer.complete)
        self.assertLess(answer.took, 3)


if __name__ == "__main__":
    unittest.main()
