"""Kept connections: what is stated about one is what happens to it.

Guards against whole requests that are read and get no response, as the connection is
closed though the last response on it did not say so.
"""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from datetime import timedelta

from ashhoist.customers import Customer, digest
from ashhoist.http.listener import ACCEPTED_AT_ONCE
from ashhoist.routing import Limits

from .platform_stand_ins.server import Call
from .request_caller import HEADER_NAMES, HOST, ID, Answer, Caller
from .request_harness import Harness, event, response_headers
from .request_scripts import RequestTestCase, good

BODY = b"x" * 40_000
"""Longer than one read of a new connection."""
PAUSES_S = (0.0, 0.02, 0.25)
KEY = HEADER_NAMES.key
ALICE = Customer("alice", frozenset({digest("alice-key")}))
LATE = 10.0
MINUTE = timedelta(minutes=1)
LONG_BODY = 1_000_000_000
"""More than is sent within a test."""


def head(path: str, *lines: str) -> bytes:
    text = "\r\n".join((f"POST {path} HTTP/1.1", f"Host: {HOST}", *lines, "", ""))
    return text.encode()


def request(path: str, id: str, *lines: str, body: bytes = b"body") -> bytes:
    return head(path, f"{ID}: {id}", f"Content-Length: {len(body)}", *lines) + body


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def is_kept(answer: Answer) -> bool:
    return answer.headers.get("connection") != "close"


class EarlyResponseTests(RequestTestCase):
    """Responses that are given by the head, before the body is in."""

    def entries(self) -> dict[int, tuple[Harness, str]]:
        """Return entries that refuse by the head, by status, and the path to ask."""
        unknown = self.start(good)
        keyed = self.start(good, customers=(ALICE,))
        unsettled = self.start(good)
        unsettled.table = None
        return {
            404: (unknown, "/elsewhere/x"),
            401: (keyed, "/safe/x"),
            503: (unsettled, "/safe/x"),
        }

    def check(self, first: Callable[[str], tuple[bytes, bytes]]) -> None:
        """Check the next request on a connection with an early response.

        Parameters
        ----------
        first : callable
            Returns the two parts in which the refused request is sent, by its path.
        """
        for status, (harness, path) in self.entries().items():
            for pause_s in PAUSES_S:
                with self.subTest(status=status, pause_s=pause_s):
                    start, rest = first(path)
                    with harness.connect() as caller:
                        caller.socket.sendall(start)
                        answer = caller.receive_raw()
                        self.assertEqual(answer.status, status)
                        time.sleep(pause_s)
                        self.check_next(caller, answer, rest, path, status)

    def check_next(
        self, caller: Caller, answer: Answer, rest: bytes, path: str, status: int
    ) -> None:
        if not is_kept(answer):
            self.assertEqual(caller.socket.recv(1), b"")
            return
        caller.socket.sendall(rest + request(path, "next"))
        following = caller.receive_raw()
        self.assertEqual(following.status, status)
        self.assertEqual(following.headers[ID.lower()], "next")

    def test_the_rest_of_a_body_comes_after_the_response(self) -> None:
        lines = (f"{ID}: first", f"Content-Length: {len(BODY)}")
        half = len(BODY) // 2
        self.check(lambda path: (head(path, *lines) + BODY[:half], BODY[half:]))

    def test_a_body_longer_than_one_read(self) -> None:
        lines = (f"{ID}: first", f"Content-Length: {len(BODY)}")
        self.check(lambda path: (head(path, *lines) + BODY, b""))

    def test_a_request_after_a_refused_body_beyond_the_limit(self) -> None:
        # The end of such a body was read together with the next request.
        harness = self.start(good, limits=Limits(body_bytes=len(BODY) // 2))
        bodies = {
            f"Content-Length: {len(BODY)}": BODY,
            "Transfer-Encoding: chunked": chunk(BODY) + b"0\r\n\r\n",
        }
        path = "/elsewhere/x"
        for line, body in bodies.items():
            for pause_s in PAUSES_S:
                with self.subTest(line, pause_s=pause_s), harness.connect() as caller:
                    caller.socket.sendall(head(path, f"{ID}: first", line) + body)
                    answer = caller.receive_raw()
                    self.assertEqual(answer.status, 404)
                    time.sleep(pause_s)
                    self.check_next(caller, answer, b"", path, 404)

    def test_a_chunked_body_that_ends_after_the_response(self) -> None:
        lines = (f"{ID}: first", "Transfer-Encoding: chunked")
        start = chunk(BODY[:100])
        rest = chunk(BODY[100:]) + b"0\r\n\r\n"
        self.check(lambda path: (head(path, *lines) + start, rest))

    def test_no_body_after_the_response_to_an_expectation(self) -> None:
        # What follows may be the body or the next request: nobody can tell.
        lines = (f"{ID}: first", "Content-Length: 4", "Expect: 100-continue")
        for status, (harness, path) in self.entries().items():
            with self.subTest(status), harness.connect() as caller:
                caller.socket.sendall(head(path, *lines))
                answer = caller.receive_raw()
                self.assertEqual(answer.status, status)
                self.assertFalse(is_kept(answer))

    def test_a_rest_that_never_comes_ends_the_connection_in_time(self) -> None:
        limits = Limits(idle_timeout=timedelta(milliseconds=300))
        harness = self.start(good, limits=limits)
        with harness.connect() as caller:
            caller.socket.sendall(head("/elsewhere/x", "Content-Length: 40000") + b"x")
            self.assertEqual(caller.receive_raw().status, 404)
            caller.socket.settimeout(LATE)
            try:
                self.assertEqual(caller.socket.recv(1), b"")
            except ConnectionResetError:
                pass

    def test_a_rest_beyond_the_limit_is_not_read_to_its_end(self) -> None:
        harness = self.start(good, limits=Limits(body_bytes=len(BODY)))
        with harness.connect() as caller:
            length = 1000 * len(BODY)
            caller.socket.sendall(head("/elsewhere/x", f"Content-Length: {length}"))
            self.assertEqual(caller.receive_raw().status, 404)
            with self.assertRaises(OSError):
                for _ in range(1000):
                    caller.socket.sendall(BODY)

    def test_a_caller_that_ends_its_body_early_and_asks_again(self) -> None:
        # The rest may also come in pieces, each a moment after the other.
        harness = self.start(good)
        with harness.connect() as caller:
            caller.socket.sendall(head("/elsewhere/x", "Content-Length: 300"))
            answer = caller.receive_raw()
            self.assertTrue(is_kept(answer))
            for _ in range(3):
                caller.socket.sendall(b"x" * 100)
                time.sleep(0.02)
            caller.socket.sendall(request("/safe/x", "next"))
            self.assertEqual(caller.receive_raw().body, b"answer to body")


class StopTests(RequestTestCase):
    """Requests on kept connections while an instance stops."""

    def test_a_response_after_the_stop_began_states_the_close(self) -> None:
        began: list[Harness] = []

        def stop_and_respond(call: Call) -> None:
            began[0].stop()
            good(call)

        harness = self.start(stop_and_respond)
        began.append(harness)
        with harness.connect() as caller:
            answer = caller.ask("/safe/x")
            self.assertEqual(answer.body, b"answer to body")
            self.assertFalse(is_kept(answer))

    def test_a_request_that_has_arrived_when_the_stop_begins(self) -> None:
        for path in ("/safe/x", "/unsafe/x"):
            with self.subTest(path):
                harness = self.start(good)
                with harness.connect() as caller:
                    self.assertTrue(is_kept(caller.ask(path)))
                    self.send_and_stop(harness, caller, path)
                    answer = caller.receive()
                    self.assertEqual(answer.body, b"answer to body")
                    self.assertFalse(is_kept(answer))
                    self.assertEqual(caller.socket.recv(1), b"")

    def await_end(self, harness: Harness) -> None:
        """Return once no connection is left."""
        limit = time.monotonic() + LATE
        while harness.listener.busy:
            self.assertLess(time.monotonic(), limit, "did not end in time")
            time.sleep(0.005)

    def test_a_request_read_behind_one_whose_response_states_the_close(self) -> None:
        # Guards against requests that are read and dropped without a trace.
        def stop_and_respond(call: Call) -> None:
            harness.stop()
            good(call)

        harness = self.start(stop_and_respond)
        with harness.connect() as caller:
            caller.socket.sendall(request("/safe/x", "1") + request("/safe/x", "2"))
            self.assertFalse(is_kept(caller.receive_raw()))
            self.assertEqual(caller.socket.recv(1), b"")
        self.await_end(harness)
        self.assertEqual(len(harness.calls()), 1)
        lines = harness.metrics.render().splitlines()
        name = b"ashhoist_connections_discarding_total "
        counted = [line for line in lines if line.startswith(name)]
        self.assertEqual(counted, [name + b"1.0"])

    def send_and_stop(self, harness: Harness, caller: Caller, path: str) -> None:
        """Send a request and begin the stop before the loop has read it."""

        def send_and_stop() -> None:
            caller.send(path)
            harness.closing = True
            harness.listener.stop()

        harness.on_loop(send_and_stop)

    def test_a_new_connection_that_has_arrived_when_the_stop_begins(self) -> None:
        harness = self.start(good)
        callers: list[Caller] = []

        def connect_and_stop() -> None:
            callers.append(harness.connect())
            callers[0].send("/safe/x")
            harness.closing = True
            harness.listener.stop()

        harness.on_loop(connect_and_stop)
        with callers[0] as caller:
            self.assertEqual(caller.receive().body, b"answer to body")

    def test_a_refused_body_without_a_pause_does_not_hold_up_the_stop(self) -> None:
        limits = Limits(body_bytes=LONG_BODY, idle_timeout=2 * MINUTE)
        harness = self.start(good, limits=limits)
        # Small chunks take longer to read than to send.
        part = chunk(b"x") * 2000
        ended = threading.Event()

        def send_on(caller: Caller) -> None:
            try:
                while not ended.is_set():
                    caller.socket.sendall(part)
            except OSError:
                return

        with harness.connect() as caller:
            caller.socket.sendall(head("/elsewhere/x", "Transfer-Encoding: chunked"))
            self.assertEqual(caller.receive_raw().status, 404)
            sender = threading.Thread(target=send_on, args=(caller,))
            sender.start()
            self.addCleanup(sender.join)
            self.addCleanup(ended.set)
            harness.stop()
            self.await_end(harness)

    def test_more_new_connections_than_are_taken_in_one_turn(self) -> None:
        # Guards against requests in the listening socket that the stop resets.
        harness = self.start(good)
        callers: list[Caller] = []

        def connect_and_stop() -> None:
            for _ in range(ACCEPTED_AT_ONCE + 20):
                callers.append(harness.connect())
                callers[-1].send("/elsewhere/x")
            harness.closing = True
            harness.listener.stop()

        harness.on_loop(connect_and_stop)
        statuses = [caller.receive().status for caller in callers]
        for caller in callers:
            caller.close()
        self.assertEqual(set(statuses), {404})

    def test_connections_without_a_request_do_not_hold_up_the_stop(self) -> None:
        harness = self.start(good)
        callers: list[Caller] = []

        def connect_and_stop() -> None:
            callers.append(harness.connect())
            harness.listener.stop()

        with harness.connect() as resting:
            resting.ask("/safe/x")
            harness.on_loop(connect_and_stop)
            for caller in (resting, *callers):
                self.assertEqual(caller.socket.recv(1), b"")
                caller.close()
            harness.on_loop(lambda: None)
            self.assertEqual(harness.listener.busy, 0)

    def test_a_request_behind_a_stream_that_ends_after_the_stop_began(self) -> None:
        # The head of the stream said that the connection is kept.
        began: list[Harness] = []
        begun = threading.Event()

        def stop_in_between(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            begun.wait(LATE)
            began[0].stop()
            call.chunk(event(2))
            call.end_stream()

        harness = self.start(stop_in_between)
        began.append(harness)
        with harness.connect() as caller:
            caller.socket.sendall(
                request("/stream/x", "first") + request("/elsewhere/x", "next")
            )
            caller.socket.recv(1, socket.MSG_PEEK)
            begun.set()
            answer = caller.receive_raw()
            self.assertTrue(is_kept(answer))
            self.assertEqual(answer.body, event(1) + event(2))
            following = caller.receive_raw()
            self.assertEqual(following.status, 404)
            self.assertFalse(is_kept(following))


class IdleTests(RequestTestCase):
    """How long kept connections rest."""

    def test_a_response_states_for_how_long_its_connection_is_kept(self) -> None:
        harness = self.start(good, limits=Limits(idle_timeout=timedelta(seconds=9)))
        with harness.connect() as caller:
            stated = caller.ask("/safe/x").headers["keep-alive"]
        name, _, seconds = stated.partition("=")
        self.assertEqual(name, "timeout")
        self.assertLess(int(seconds), 9)
        self.assertGreater(int(seconds), 9 * 0.8)

    def test_a_response_states_no_time_for_a_connection_that_its_caller_closes(
        self,
    ) -> None:
        harness = self.start(good)
        answer = harness.ask("/safe/x", headers={"Connection": "close"})
        self.assertEqual(answer.headers["connection"], "close")
        self.assertNotIn("keep-alive", answer.headers)

    def test_a_connection_outlasts_a_longer_time_that_comes_into_force(self) -> None:
        # It was closed by the time that was in force when its last response was sent.
        harness = self.start(
            good, limits=Limits(idle_timeout=timedelta(milliseconds=300))
        )
        with harness.connect() as caller:
            self.assertEqual(caller.ask("/safe/x").status, 200)
            harness.on_loop(lambda: None)  # The connection rests by then.
            harness.set_limits(Limits(idle_timeout=timedelta(seconds=20)))
            time.sleep(0.6)
            self.assertEqual(caller.ask("/safe/x").status, 200)

    def test_connections_under_an_idle_time_of_nothing(self) -> None:
        # New ones were closed before their first request was read.
        harness = self.start(good, limits=Limits(idle_timeout=timedelta()))
        with harness.connect() as caller:
            time.sleep(0.1)
            answer = caller.ask("/safe/x")
            self.assertEqual(answer.status, 200)
            self.assertFalse(is_kept(answer))

    def test_a_connection_outlasts_a_shorter_time_from_within_its_request(self) -> None:
        # It was closed by the time that came into force before its response ended.
        began: list[Harness] = []

        def shorten_and_respond(call: Call) -> None:
            limits = Limits(idle_timeout=timedelta(milliseconds=300))
            began[0].set_limits(limits)
            good(call)

        limits = Limits(idle_timeout=timedelta(seconds=20))
        harness = self.start(shorten_and_respond, limits=limits)
        began.append(harness)
        with harness.connect() as caller:
            stated = caller.ask("/safe/x").headers["keep-alive"]
            self.assertEqual(stated, "timeout=19")
            time.sleep(0.6)
            self.assertEqual(caller.ask("/safe/x").status, 200)

    def test_a_connection_without_requests_is_closed(self) -> None:
        harness = self.start(
            good, limits=Limits(idle_timeout=timedelta(milliseconds=300))
        )
        with harness.connect() as caller:
            caller.socket.settimeout(LATE)
            self.assertEqual(caller.socket.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
