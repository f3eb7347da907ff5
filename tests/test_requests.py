"""Requests to misbehaving upstreams: what may be retried, and what callers receive."""

import socket
import threading
import time
import unittest
from datetime import timedelta

from ashhoist.http import CallerConnection, CallerGoneError
from ashhoist.http.request import CallerLimits
from ashhoist.routing import Limits

from . import ports
from .loops import new_loop, run
from .platform_stand_ins.server import Call
from .request_harness import HEADER_NAMES, HOST, ID, Harness, event, response_headers
from .request_scripts import RequestTestCase, good, refuse, reset, silent

NOT_RUN = HEADER_NAMES.not_run


class ForwardingTests(RequestTestCase):
    def test_method_path_query_body_and_headers_arrive_unchanged(self) -> None:
        harness = self.start(good)
        answer = harness.ask(
            "/safe/a%20b/?x=1&y=%2F",
            method="PUT",
            body=b"\x00\xffbytes",
            headers={"X-Custom": "Value", "Cookie": "a=b"},
        )
        [call] = harness.calls()
        self.assertEqual(answer.status, 200)
        self.assertEqual((call.method, call.target), ("PUT", "/safe/a%20b/?x=1&y=%2F"))
        self.assertEqual(call.body, b"\x00\xffbytes")
        self.assertEqual(call.headers["x-custom"], "Value")
        self.assertEqual(call.headers["cookie"], "a=b")
        self.assertEqual(call.headers["host"], HOST)
        self.assertEqual(call.headers[ID.lower()], "id-1")

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        harness = self.start(good)
        harness.ask(
            "/safe/",
            headers={"Connection": "X-Mine", "X-Mine": "1", "Keep-Alive": "timeout=5"},
        )
        [call] = harness.calls()
        for name in ("connection", "x-mine", "keep-alive"):
            self.assertNotIn(name, call.headers)

    def test_system_headers_are_not_accepted_from_callers(self) -> None:
        harness = self.start(good)
        forged = {
            HEADER_NAMES.expect_instance: "another",
            HEADER_NAMES.expect_version: "9",
            HEADER_NAMES.urgency: "0",
        }
        harness.ask("/safe/", headers=forged)
        [call] = harness.calls()
        self.assertEqual(
            call.headers[HEADER_NAMES.expect_instance.lower()], "upstream-0"
        )
        self.assertNotIn(HEADER_NAMES.expect_version.lower(), call.headers)
        self.assertNotIn(HEADER_NAMES.urgency.lower(), call.headers)

    def test_the_forwarded_deadline_is_the_remaining_time(self) -> None:
        harness = self.start(good)
        harness.ask("/safe/", deadline_ms=2000)
        [call] = harness.calls()
        remaining_ms = int(call.headers[HEADER_NAMES.deadline_ms.lower()])
        self.assertLessEqual(remaining_ms, 2000)
        self.assertGreater(remaining_ms, 1000)

    def test_the_forwarded_deadline_is_limited_by_the_route(self) -> None:
        harness = self.start(good, timeout=1.0)
        harness.ask("/safe/", deadline_ms=60_000)
        [call] = harness.calls()
        self.assertLessEqual(int(call.headers[HEADER_NAMES.deadline_ms.lower()]), 1000)

    def test_a_chunked_body_arrives_complete(self) -> None:
        harness = self.start(good)
        answer = harness.ask("/safe/", body=b"x" * 100_000, chunked=True)
        [call] = harness.calls()
        self.assertEqual(call.body, b"x" * 100_000)
        self.assertEqual(answer.body, b"answer to " + b"x" * 100_000)

    def test_status_body_and_marker_of_a_failure_are_forwarded(self) -> None:
        harness = self.start(
            lambda call: call.respond(500, b"why", response_headers(call)), attempts=1
        )
        answer = harness.ask("/safe/")
        self.assertEqual((answer.status, answer.body), (500, b"why"))
        self.assertEqual(answer.headers["seal"], "seal")

    def test_the_only_upstream_keeps_its_answer_if_there_is_no_other(self) -> None:
        # Guards against a 503 that says the request has not run, although an upstream
        # has run it and answered, and only the retry found no other upstream.
        harness = self.start(
            lambda call: call.respond(500, b"why", response_headers(call)), attempts=2
        )
        answer = harness.ask("/safe/")
        self.assertEqual((answer.status, answer.body), (500, b"why"))

    def test_many_requests_share_connections(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            for number in range(5):
                body = f"body {number}".encode()
                answer = caller.ask("/safe/", body=body)
                self.assertEqual(answer.body, b"answer to " + body)
        self.assertEqual(harness.upstreams["upstream-0"].connections, 1)


class EntryTests(RequestTestCase):
    def test_a_request_without_a_route_gets_404(self) -> None:
        harness = self.start(good)
        self.assertEqual(harness.ask("/elsewhere/").status, 404)
        self.assertEqual(harness.ask("/safe/", host="other.example").status, 404)

    def test_without_a_configuration_requests_get_503_with_retry_after(self) -> None:
        harness = self.start(good)
        harness.table = None
        answer = harness.ask("/safe/")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    def test_a_body_beyond_the_limit_is_refused(self) -> None:
        harness = self.start(good, limits=Limits(body_bytes=1000))
        self.assertEqual(harness.ask("/safe/", body=b"x" * 2000).status, 413)
        self.assertEqual(harness.calls(), [])

    def test_headers_beyond_the_limit_are_refused(self) -> None:
        harness = self.start(good, limits=Limits(header_bytes=500))
        answer = harness.ask("/safe/", headers={"X-Long": "x" * 1000})
        self.assertEqual(answer.status, 431)

    def test_a_request_that_arrives_too_slowly_is_refused(self) -> None:
        limits = Limits(header_timeout=timedelta(milliseconds=200))
        harness = self.start(good, limits=limits)
        with harness.connect() as caller:
            caller.socket.sendall(b"GET /safe/ HTTP/1.1\r\nHost: ")
            answer = caller.receive()
        self.assertEqual(answer.status, 408)

    def test_a_malformed_request_is_refused_and_the_connection_closed(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            caller.socket.sendall(b"nonsense\r\n\r\n")
            answer = caller.receive()
            self.assertEqual(answer.status, 400)
            self.assertEqual(caller.socket.recv(1), b"")

    def test_pipelined_requests_are_all_answered(self) -> None:
        harness = self.start(good)
        head = f"POST /safe/ HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
        with harness.connect() as caller:
            for number in range(3):
                text = f"{head}{ID}: ahead-{number}\r\n\r\n{number}"
                caller.socket.sendall(text.encode())
            data = b""
            while data.count(b"answer to ") < 3:
                data += caller.socket.recv(65536)
        self.assertEqual(
            [call.headers[ID.lower()] for call in harness.calls()],
            ["ahead-0", "ahead-1", "ahead-2"],
        )

    def test_a_stopping_entry_closes_the_connection_after_its_response(self) -> None:
        harness = self.start(good)
        harness.closing = True
        with harness.connect() as caller:
            answer = caller.ask("/safe/")
            self.assertEqual(answer.headers["connection"], "close")
            self.assertEqual(caller.socket.recv(1), b"")


class StopTests(RequestTestCase):
    """Which requests a planned stop leaves to other instances, and which it serves."""

    def test_an_idle_kept_connection_is_closed(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            caller.ask("/safe/")
            harness.stop()
            self.assertEqual(caller.socket.recv(1), b"")
        self.assertEqual(len(harness.calls()), 1)

    def test_a_running_request_is_completed_and_its_connection_closed(self) -> None:
        resume = threading.Event()

        def script(call: Call) -> None:
            resume.wait(10)
            good(call)

        harness = self.start(script)
        with harness.connect() as caller:
            caller.send("/safe/")
            while not harness.calls():
                time.sleep(0.005)
            harness.stop()
            resume.set()
            self.assertEqual(caller.receive().body, b"answer to body")
            self.assertEqual(caller.socket.recv(1), b"")

    def test_no_more_connections_than_allowed_are_served_at_once(self) -> None:
        harness = self.start(good, max_connections=2)
        with harness.connect() as first, harness.connect() as second:
            self.assertEqual(first.ask("/safe/").status, 200)
            self.assertEqual(second.ask("/safe/").status, 200)
            third = harness.connect()
            third.send("/safe/")
            first.close()
            self.assertEqual(third.receive().status, 200)
            third.close()


class CallerConnectionTests(unittest.TestCase):
    def test_a_connection_that_broke_during_its_answer_is_not_kept(self) -> None:
        loop = new_loop()
        self.addCleanup(loop.close)
        here, there = socket.socketpair()
        here.setblocking(False)
        caller = CallerConnection(here, loop)
        there.sendall(b"GET /safe/ HTTP/1.1\r\nHost: a\r\n\r\n")
        run(loop, caller.read_request(CallerLimits()))
        there.close()
        until = loop.clock.monotonic() + timedelta(seconds=5)
        with self.assertRaises(CallerGoneError):
            run(loop, caller.respond(200, [], b"x", until))
        caller.abort()
        self.assertFalse(caller.next())


class ResponseTests(RequestTestCase):
    """Only a complete response that the upstream itself sent counts as a success."""

    def assert_failed(self, harness: Harness, path: str = "/unsafe/") -> None:
        answer = harness.ask(path)
        self.assertEqual(answer.status, 502)
        self.assertNotIn("seal", answer.headers)

    def test_a_success_without_the_marker_header_is_a_failure(self) -> None:
        script = lambda call: call.respond(  # noqa: E731
            200, b"x", {ID: call.headers[ID.lower()]}
        )
        self.assert_failed(self.start(script))

    def test_an_encoded_success_is_a_failure(self) -> None:
        script = lambda call: call.respond(  # noqa: E731
            200, b"x", response_headers(call, **{"Content-Encoding": "gzip"})
        )
        self.assert_failed(self.start(script))

    def test_a_truncated_response_is_a_failure(self) -> None:
        def script(call: Call) -> None:
            head = f"HTTP/1.1 200 OK\r\n{ID}: id-1\r\nSeal: s\r\nContent-Length: 10\r\n"
            call.raw(head.encode() + b"\r\nhalf")
            call.close()

        self.assert_failed(self.start(script))

    def test_a_response_without_length_ends_with_its_connection(self) -> None:
        def script(call: Call) -> None:
            call.respond(200, b"all of it", response_headers(call), length=False)
            call.close()

        answer = self.start(script).ask("/unsafe/")
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    def test_a_response_without_length_that_is_reset_is_a_failure(self) -> None:
        def script(call: Call) -> None:
            call.respond(200, b"not all", response_headers(call), length=False)
            time.sleep(0.1)
            call.reset()

        self.assert_failed(self.start(script))

    def test_a_malformed_response_is_a_failure(self) -> None:
        def script(call: Call) -> None:
            call.raw(b"\x00\x01garbage\r\n\r\n")
            call.close()

        self.assert_failed(self.start(script))

    def test_a_surplus_response_before_the_right_one_is_skipped(
        self,
    ) -> None:
        def script(call: Call) -> None:
            call.respond(200, b"of another", {ID: "other", "Seal": "other"})
            good(call)

        answer = self.start(script).ask("/unsafe/")
        self.assertEqual(answer.body, b"answer to body")

    def test_a_surplus_response_on_a_kept_connection_is_dropped(self) -> None:
        def script(call: Call) -> None:
            good(call)
            call.respond(200, b"surplus", response_headers(call))

        harness = self.start(script)
        with harness.connect() as caller:
            for number in range(4):
                body = f"{number}".encode()
                answer = caller.ask("/unsafe/", body=body)
                self.assertEqual(answer.body, b"answer to " + body)

    def test_a_connection_answered_before_the_body_was_sent_is_not_reused(
        self,
    ) -> None:
        listening = ports.listen()
        self.addCleanup(listening.close)
        seen: list[bytes] = []

        def respond_early() -> None:
            while True:
                try:
                    peer, _ = listening.accept()
                except OSError:
                    return
                seen.append(peer.recv(300))
                head = f"HTTP/1.1 503 Busy\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n"
                peer.sendall(head.encode() + b"\r\n")
                self.addCleanup(peer.close)

        threading.Thread(target=respond_early, daemon=True).start()
        harness = self.start(good, attempts=1)
        harness.upstreams["upstream-0"].close()
        harness.upstreams = {"early": _AddressOnly(ports.address_of(listening))}  # type: ignore[dict-item]
        harness.list_upstreams()
        for _ in range(2):
            self.assertEqual(harness.ask("/unsafe/", body=b"x" * 2_000_000).status, 503)
        self.assertEqual(len(seen), 2)

    def test_a_503_without_the_not_run_header_may_have_run(self) -> None:
        script = lambda call: call.respond(503, b"", response_headers(call))  # noqa: E731
        harness = self.start(script, good)
        self.assert_failed(harness)
        self.assertEqual(harness.calls(1), [])


class RetryTests(RequestTestCase):
    """Which requests run at most once, and which may be sent again."""

    def test_an_unsafe_request_is_not_sent_again_after_a_reset(self) -> None:
        harness = self.start(reset, good)
        self.assertEqual(harness.ask("/unsafe/").status, 502)
        self.assertEqual(len(harness.calls(0)) + len(harness.calls(1)), 1)

    def test_a_broken_kept_connection_does_not_send_twice(self) -> None:
        def script(call: Call) -> None:
            if call.body == b"first":
                good(call)
                return
            call.reset()

        harness = self.start(script)
        with harness.connect() as caller:
            self.assertEqual(caller.ask("/unsafe/", body=b"first").status, 200)
            self.assertEqual(caller.ask("/unsafe/", body=b"next").status, 502)
        self.assertEqual(len(harness.calls()), 2)

    def test_an_unsafe_request_goes_elsewhere_after_an_express_refusal(self) -> None:
        harness = self.start(refuse, good)
        self.assertEqual(harness.ask("/unsafe/").status, 200)

    def test_an_unsafe_request_goes_elsewhere_if_nothing_was_sent(self) -> None:
        harness = self.start(good, good)
        harness.upstreams["upstream-0"].close()
        self.assertEqual(harness.ask("/unsafe/").status, 200)

    def test_a_request_refused_everywhere_gets_503_with_retry_after(
        self,
    ) -> None:
        harness = self.start(refuse, refuse)
        answer = harness.ask("/unsafe/")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_another_incarnation_at_the_address_has_not_run_it(self) -> None:
        harness = self.start(lambda call: call.respond(421), good)
        self.assertEqual(harness.ask("/unsafe/").status, 200)

    def test_a_safe_request_goes_elsewhere_after_a_reset(self) -> None:
        harness = self.start(reset, good)
        self.assertEqual(harness.ask("/safe/").status, 200)

    def test_a_safe_request_goes_elsewhere_after_a_server_error(self) -> None:
        harness = self.start(
            lambda call: call.respond(500, b"", response_headers(call)), good
        )
        self.assertEqual(harness.ask("/safe/").status, 200)

    def test_a_safe_request_runs_at_no_more_upstreams_than_allowed(self) -> None:
        harness = self.start(reset, reset, good, attempts=2)
        self.assertEqual(harness.ask("/safe/").status, 502)
        self.assertEqual(harness.calls(2), [])

    def test_a_repeatable_request_that_may_have_run_does_not_get_503(
        self,
    ) -> None:
        harness = self.start(reset, refuse)
        self.assertEqual(harness.ask("/safe/").status, 502)

    def test_without_budget_nothing_is_sent_again(self) -> None:
        harness = self.start(reset, good, extra=0)
        self.assertEqual(harness.ask("/safe/").status, 502)
        self.assertEqual(harness.calls(1), [])


class DeadlineTests(RequestTestCase):
    def test_the_route_timeout_ends_a_request_with_a_response(self) -> None:
        harness = self.start(silent, timeout=0.3)
        answer = harness.ask("/unsafe/", deadline_ms=60_000)
        self.assertEqual(answer.status, 504)

    def test_the_callers_deadline_ends_a_request_with_a_response(self) -> None:
        harness = self.start(silent)
        self.assertEqual(harness.ask("/unsafe/", deadline_ms=300).status, 504)

    def test_the_upstream_is_disconnected_when_the_caller_leaves(self) -> None:
        disconnected = threading.Event()

        def script(call: Call) -> None:
            call.keep = False
            if call.wait_for_close():
                disconnected.set()

        harness = self.start(script)
        for path in ("/safe/", "/unsafe/", "/stream/"):
            with self.subTest(path):
                disconnected.clear()
                seen = len(harness.calls())
                caller = harness.connect()
                caller.send(path)
                while len(harness.calls()) == seen:
                    time.sleep(0.005)
                caller.close()
                self.assertTrue(disconnected.wait(5))

    def test_a_stream_is_disconnected_when_its_caller_leaves_midway(self) -> None:
        disconnected = threading.Event()

        def script(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            call.keep = False
            if call.wait_for_close():
                disconnected.set()

        harness = self.start(script)
        caller = harness.connect()
        caller.send("/stream/")
        while b"data.1" not in caller.socket.recv(65536):
            continue
        caller.close()
        self.assertTrue(disconnected.wait(5))
        self.assertEqual(len(harness.calls()), 1)


class _AddressOnly:
    """An upstream that the test itself serves; only its address is known."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.calls: list[Call] = []

    def close(self) -> None:
        """Do nothing: the test closes its own socket."""


if __name__ == "__main__":
    unittest.main()
