"""Requests that are still at work when a planned stop has used up its time.

Guards against callers that get a bare close then: they can't tell a request that has
not run from one that has, or a stream that is cut from one that has ended.
"""

import socket
import threading
import time
import unittest
from collections.abc import Callable

from ashhoist.customers import Customer, Quota, digest
from ashhoist.customers.charges import Charge, TokenRefund
from ashhoist.forwarding import ForwardingInstance
from ashhoist.loop import Steps, Wait
from ashhoist.placement.messages import Target
from ashhoist.requests.call import Call as OpenCall
from ashhoist.requests.choosers import Choice, Chooser
from ashhoist.requests.waiting import CallerWatch

from . import ports
from .platform_stand_ins.server import Call
from .request_caller import HEADER_NAMES, HOST, ID, Answer, Caller
from .request_harness import (
    NEVER_SILENT,
    Harness,
    ListChooser,
    event,
    response_headers,
)
from .request_scripts import RequestTestCase, good

LATE = 10.0
KEY = "a-key"
CUSTOMER = Customer("customer", frozenset({digest(KEY)}), quota=Quota(10, 10))
LONG = 8_000_000
"""More bytes than the sockets between an instance and its caller hold."""
LONG_EVENTS = [event(number, "x" * (LONG // 20)) for number in range(1, 41)]
"""Twice as many bytes."""
UPSTREAMS = 5


class WaitingChooser(ListChooser):
    """Waits for an upstream that never comes."""

    def __init__(self, harness: Harness) -> None:
        super().__init__(harness)
        self.has_begun = threading.Event()
        self.has_ended = threading.Event()

    def choose(self, call: OpenCall, caller: CallerWatch) -> Steps[Choice]:
        self.has_begun.set()
        try:
            yield Wait()
        finally:
            self.has_ended.set()
        raise AssertionError("goes on without a reason")


class WaitingHarness(Harness):
    def _upstream_chooser(self) -> Chooser:
        self.waiting = WaitingChooser(self)
        return self.waiting


class AddressChooser(ListChooser):
    """Sends all requests to one address."""

    def __init__(self, harness: Harness, address: str) -> None:
        super().__init__(harness)
        self._address = address
        self.has_begun = threading.Event()

    def choose(self, call: OpenCall, caller: CallerWatch) -> Steps[Choice]:
        yield from ()
        self.has_begun.set()
        return Target("upstream-0", self._address)


class AddressHarness(Harness):
    address = ""

    def _upstream_chooser(self) -> Chooser:
        self.fixed = AddressChooser(self, self.address)
        return self.fixed


class Held:
    """An upstream that is at work on a request until the instance closes."""

    def __init__(self, *events: bytes) -> None:
        self._events = events
        self.has_begun = threading.Event()
        self.was_closed = threading.Event()

    def __call__(self, call: Call) -> None:
        if self._events:
            call.start_stream(response_headers(call))
        for data in self._events:
            call.chunk(data)
        self.has_begun.set()
        call.keep = False
        if call.wait_for_close(LATE):
            self.was_closed.set()


def sent_head(path: str, *lines: str) -> bytes:
    text = "\r\n".join((f"POST {path} HTTP/1.1", f"Host: {HOST}", *lines, "", ""))
    return text.encode()


class InterruptTestCase(RequestTestCase):
    def wait_until(self, condition: Callable[[], bool]) -> None:
        limit = time.monotonic() + LATE
        while not condition():
            self.assertLess(time.monotonic(), limit, "did not come true in time")
            time.sleep(0.005)

    def limit(self, harness: Harness) -> None:
        """Begin a planned stop and reach its limit."""
        harness.stop()
        harness.interrupt()

    def check_all_ended(self, harness: Harness) -> None:
        """Check that no connection is left."""
        self.wait_until(lambda: harness.listener.busy == 0)

    def check_refused(self, answer: Answer) -> None:
        """Check that a response says that the request has not run."""
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.body, b"stopping\n")
        self.assertEqual(answer.headers["connection"], "close")
        self.assertLess(float(answer.headers[HEADER_NAMES.retry_after.lower()]), 1.0)

    def is_sending(self, harness: Harness) -> bool:
        """Return whether a response waits for its caller to read."""
        found: list[bool] = []

        def look() -> None:
            connections = list(harness.listener._tasks)
            found.append(any(one.is_sending for one in connections))

        harness.on_loop(look)
        return all(found)

    def check_counted(self, harness: Harness, name: str) -> None:
        """Check that one request ended, as a failure or a refusal."""
        self.assertEqual(harness.handler.ended_by_stop, 1)
        counts = {one: harness.metrics.total(one) for one in ("refusals", "failures")}
        self.assertEqual(counts, {"refusals": 0, "failures": 0} | {name: 1})


class NotSentTests(InterruptTestCase):
    """Requests that no upstream has got."""

    def start_waiting(self, **options: object) -> WaitingHarness:
        harness = WaitingHarness(good, **options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness

    def test_a_request_that_waits_for_an_upstream_is_refused(self) -> None:
        for path in ("/safe/x", "/unsafe/x", "/stream/x", "/once/x"):
            with self.subTest(path):
                harness = self.start_waiting()
                with harness.connect() as caller:
                    caller.send(path)
                    self.assertTrue(harness.waiting.has_begun.wait(LATE))
                    self.limit(harness)
                    self.check_refused(caller.receive())
                self.assertTrue(harness.waiting.has_ended.is_set())
                self.check_all_ended(harness)
                self.assertEqual(harness.calls(), [])
                self.check_counted(harness, "refusals")

    def test_its_charge_is_given_back(self) -> None:
        harness = self.start_waiting(customers=(CUSTOMER,))
        with harness.connect() as caller:
            caller.send("/unsafe/x", headers={HEADER_NAMES.key: KEY})
            self.assertTrue(harness.waiting.has_begun.wait(LATE))
            self.limit(harness)
            self.check_refused(caller.receive())
        kinds = [type(message) for message in harness.control_messages]
        self.assertEqual(kinds.count(Charge), 1)
        self.assertEqual(kinds.count(TokenRefund), 1)

    def test_a_request_whose_connection_is_being_opened_is_refused(self) -> None:
        # A request counts as sent from before its connection is open.
        with ports.listen(backlog=0) as full:
            host, port = full.getsockname()
            for _ in range(4):
                filler = socket.socket()
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex((host, port))
            AddressHarness.address = f"{host}:{port}"
            harness = AddressHarness(good)
            self.addCleanup(harness.close)
            with harness.connect() as caller:
                caller.send("/unsafe/x")
                self.assertTrue(harness.fixed.has_begun.wait(LATE))
                self.limit(harness)
                self.check_refused(caller.receive())
            self.assertEqual(harness.fixed.ended_count, 1)
            self.check_all_ended(harness)


class SentTests(InterruptTestCase):
    """Requests that an upstream has got."""

    def test_a_request_that_may_have_run_gets_502(self) -> None:
        for path in ("/safe/x", "/unsafe/x", "/stream/x", "/once/x"):
            with self.subTest(path):
                upstream = Held()
                harness = self.start(upstream, good)
                with harness.connect() as caller:
                    caller.send(path)
                    self.assertTrue(upstream.has_begun.wait(LATE))
                    self.limit(harness)
                    answer = caller.receive()
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.body, b"stopping\n")
                self.assertNotIn(HEADER_NAMES.retry_after.lower(), answer.headers)
                self.assertTrue(upstream.was_closed.wait(LATE), "upstream goes on")
                self.check_all_ended(harness)
                self.assertEqual(harness.calls(1), [])
                self.check_counted(harness, "failures")

    def test_a_request_that_waits_for_another_try_gets_502(self) -> None:
        # It was sent once; the upstream that it waits for now is not asked.
        waits = threading.Event()

        class RetryHarness(WaitingHarness):
            def _upstream_chooser(self) -> Chooser:
                waiting = super()._upstream_chooser()
                waiting.choose = self._choose  # type: ignore[method-assign]
                return waiting

            def _choose(self, call: OpenCall, caller: CallerWatch) -> Steps[Choice]:
                if not call.sends:
                    return (yield from self.chooser.choose(call, caller))
                waits.set()
                yield Wait()
                raise AssertionError

        harness = RetryHarness(lambda call: call.reset())
        self.addCleanup(harness.close)
        with harness.connect() as caller:
            caller.send("/safe/x")
            self.assertTrue(waits.wait(LATE))
            self.limit(harness)
            self.assertEqual(caller.receive().status, 502)
        self.check_all_ended(harness)

    def test_the_search_of_a_request_for_another_upstream_is_withdrawn(self) -> None:
        class SearchHarness(WaitingHarness):
            def _upstream_chooser(self) -> Chooser:
                waiting = super()._upstream_chooser()
                search = waiting.choose
                waiting.choose = lambda call, caller: (  # type: ignore[method-assign]
                    search(call, caller)
                    if call.is_searching
                    else self.chooser.choose(call, caller)
                )
                return waiting

        upstream = Held()
        harness = SearchHarness(upstream, good, customers=(CUSTOMER,))
        self.addCleanup(harness.close)
        with harness.connect() as caller:
            caller.send("/safe/x", headers={HEADER_NAMES.key: KEY})
            self.assertTrue(harness.waiting.has_begun.wait(LATE))
            self.limit(harness)
            self.assertEqual(caller.receive().status, 502)
        self.assertTrue(harness.waiting.has_ended.is_set())
        self.assertTrue(upstream.was_closed.wait(LATE), "upstream goes on")
        self.check_all_ended(harness)
        kinds = [type(message) for message in harness.control_messages]
        self.assertEqual(kinds.count(TokenRefund), 0)

    def test_the_charge_of_a_request_that_may_have_run_is_kept(self) -> None:
        upstream = Held()
        harness = self.start(upstream, customers=(CUSTOMER,))
        with harness.connect() as caller:
            caller.send("/unsafe/x", headers={HEADER_NAMES.key: KEY})
            self.assertTrue(upstream.has_begun.wait(LATE))
            self.limit(harness)
            self.assertEqual(caller.receive().status, 502)
        kinds = [type(message) for message in harness.control_messages]
        self.assertEqual(kinds.count(TokenRefund), 0)

    def test_a_request_at_another_instance_gets_502(self) -> None:
        upstream = Held()
        harness = self.start(good)
        other = self.start(upstream)
        harness.connectivity.others_reach = lambda: True
        harness.connectivity.set_unreachable(UPSTREAMS)
        address = other.listener.address
        harness.instances[:] = [ForwardingInstance("instance", "zone", address)]
        with harness.connect() as caller:
            caller.send("/unsafe/x")
            self.assertTrue(upstream.has_begun.wait(LATE))
            self.limit(harness)
            self.assertEqual(caller.receive().status, 502)
        self.assertTrue(upstream.was_closed.wait(LATE), "upstream goes on")
        self.check_all_ended(harness)


class StreamTests(InterruptTestCase):
    """Streams that have begun."""

    def test_a_stream_is_broken_off_after_its_last_whole_event(self) -> None:
        for path in ("/stream/x", "/once/x"):
            with self.subTest(path):
                upstream = Held(event(1), event(2) + b"id: 3\ndata: ha")
                harness = self.start(upstream, good, **NEVER_SILENT)
                with harness.connect() as caller:
                    caller.send(path)
                    self.assertTrue(upstream.has_begun.wait(LATE))
                    self.wait_until(lambda: self.has_got(caller, event(2)))
                    self.limit(harness)
                    answer = caller.receive()
                self.assertEqual(answer.status, 200)
                self.assertFalse(answer.complete)
                self.assertEqual(answer.body, event(1) + event(2))
                self.assertTrue(upstream.was_closed.wait(LATE), "upstream goes on")
                self.check_all_ended(harness)
                self.check_counted(harness, "failures")
                self.assertEqual(harness.metrics.total("streams_cut"), 1)

    def has_got(self, caller: Caller, data: bytes) -> bool:
        return data in caller.socket.recv(65536, socket.MSG_PEEK)

    def test_a_stream_whose_caller_reads_late_is_broken_off_behind_an_event(
        self,
    ) -> None:
        # The task of the connection is in the middle of a write then.
        harness = self.start(Held(*LONG_EVENTS))
        with harness.connect() as caller:
            caller.send("/once/x")
            self.wait_until(lambda: self.is_sending(harness))
            self.limit(harness)
            answer = caller.receive()
        self.assertFalse(answer.complete)
        received = answer.body.split(b"\n\n")
        self.assertEqual(received.pop(), b"")
        self.assertGreater(len(received), 0)
        self.assertEqual(
            [one + b"\n\n" for one in received], LONG_EVENTS[: len(received)]
        )
        self.check_all_ended(harness)
        self.check_counted(harness, "failures")

    def test_a_stream_whose_caller_does_not_read_ends_with_the_stop(self) -> None:
        harness = self.start(Held(*LONG_EVENTS))
        with harness.connect() as caller:
            caller.send("/once/x")
            self.wait_until(lambda: self.is_sending(harness))
            self.limit(harness)
            self.assertEqual(harness.listener.busy, 1)
            harness.abort()
            self.check_all_ended(harness)
            self.check_counted(harness, "failures")
            self.assertFalse(caller.receive().complete)


class ResponseTests(InterruptTestCase):
    """Responses that are being sent at the limit."""

    def start_long(self) -> Harness:
        def answer(call: Call) -> None:
            call.respond(200, b"x" * LONG, response_headers(call))

        return self.start(answer)

    def test_a_response_that_is_being_sent_goes_on(self) -> None:
        harness = self.start_long()
        with harness.connect() as caller:
            caller.send("/unsafe/x")
            self.wait_until(lambda: self.is_sending(harness))
            self.limit(harness)
            answer = caller.receive()
        self.assertTrue(answer.complete)
        self.assertEqual(len(answer.body), LONG)
        self.check_all_ended(harness)
        self.assertEqual(harness.handler.ended_by_stop, 0)

    def test_a_response_that_its_caller_does_not_take_ends_with_the_stop(self) -> None:
        harness = self.start_long()
        with harness.connect() as caller:
            caller.send("/unsafe/x")
            self.wait_until(lambda: self.is_sending(harness))
            self.limit(harness)
            harness.abort()
            self.check_all_ended(harness)
            self.check_counted(harness, "failures")
            self.assertFalse(caller.receive().complete)

    def test_a_request_behind_such_a_response_is_refused(self) -> None:
        # The response began before the stop, so it says that the connection is kept.
        harness = self.start_long()
        with harness.connect() as caller:
            body = sent_head("/unsafe/x", f"{ID}: first", "Content-Length: 0")
            following = sent_head("/unsafe/x", f"{ID}: next", "Content-Length: 0")
            caller.socket.sendall(body + following)
            self.wait_until(lambda: self.is_sending(harness))
            self.limit(harness)
            first = caller.receive_raw()
            self.assertEqual(len(first.body), LONG)
            self.assertNotEqual(first.headers.get("connection"), "close")
            self.check_refused(caller.receive_raw())
        self.check_all_ended(harness)
        self.assertEqual(len(harness.calls()), 1)


class UnreadTests(InterruptTestCase):
    """Requests that are not in yet."""

    def test_a_request_whose_body_is_not_in_is_refused(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            caller.socket.sendall(sent_head("/unsafe/x", "Content-Length: 4") + b"bo")
            self.wait_until(lambda: harness.listener.busy == 1)
            self.limit(harness)
            self.check_refused(caller.receive_raw())
        self.check_all_ended(harness)
        self.assertEqual(harness.metrics.total("refusals"), 1)

    def test_a_request_whose_head_is_not_in_is_closed(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            caller.socket.sendall(b"POST /unsafe/x HTTP/1.1\r\n")
            self.wait_until(lambda: harness.listener.busy == 1)
            self.limit(harness)
            self.assertEqual(caller.receive_raw().status, 0)
        self.check_all_ended(harness)

    def test_a_request_that_arrives_in_the_turn_of_the_limit_is_refused(self) -> None:
        harness = self.start(good)
        callers: list[Caller] = []

        def arrive() -> None:
            callers.append(harness.connect())
            callers[0].send("/unsafe/x")
            harness.closing = True
            harness.listener.stop()
            harness.listener.interrupt()

        with harness.connect() as kept:
            self.assertEqual(kept.ask("/safe/x").status, 200)
            ran = len(harness.calls())
            kept.send("/unsafe/x")
            harness.on_loop(arrive)
            with callers[0] as fresh:
                for caller in (kept, fresh):
                    answer = caller.receive()
                    if answer.status == 503:
                        self.check_refused(answer)
                        continue
                    # It was read and sent before the limit.
                    self.assertIn(answer.status, (200, 502))
        self.check_all_ended(harness)
        self.assertLessEqual(len(harness.calls()), ran + 1)


if __name__ == "__main__":
    unittest.main()
