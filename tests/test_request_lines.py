"""Each end of a request whose head was read has a line and a counter.

Guards against requests that end without a trace.
"""

import struct
import time
import unittest
import unittest.mock
from collections.abc import Callable
from datetime import timedelta
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

from ashhoist.http import CallerGoneError
from ashhoist.loop import Steps
from ashhoist.requests.call import Call as OpenCall
from ashhoist.requests.results import Choice
from ashhoist.requests.waiting import CallerWatch
from ashhoist.routing import Limits

from .request_caller import HOST, ID
from .request_harness import Harness
from .request_scripts import RequestTestCase, good

LATE = 10.0
DEFECT = KeyError("defect")


def start_of(path: str, *lines: str) -> bytes:
    """Return the head of a request, and the start of its body."""
    named = (f"Host: {HOST}", f"{ID}: the-id", *lines)
    text = "\r\n".join((f"POST {path} HTTP/1.1", *named, "", ""))
    return text.encode() + b"start"


class RequestLineTests(RequestTestCase):
    def start_logged(self, *scripts: Any, **options: Any) -> Harness:
        harness = self.start(*scripts, **options)
        patch = unittest.mock.patch.object(harness.handler, "_log")
        self.log = patch.start()
        self.addCleanup(patch.stop)
        return harness

    def refused(self) -> dict[str, Any]:
        """Return the fields of the one line of a refused request."""
        [line] = self.log.info.call_args_list
        self.assertEqual(line.args, ("request refused",))
        fields: dict[str, Any] = line.kwargs
        return fields

    def wait_until(self, condition: Callable[[], bool]) -> None:
        limit = time.monotonic() + LATE
        while not condition():
            self.assertLess(time.monotonic(), limit, "did not come true in time")
            time.sleep(0.005)

    def leave_early(self, resets: bool) -> Harness:
        """Leave while the body is being sent; return once that has been noticed."""
        harness = self.start_logged(good)
        with harness.connect() as caller:
            caller.socket.sendall(start_of("/unsafe/x", "Content-Length: 100"))
            self.wait_until(lambda: harness.listener.busy == 1)
            if resets:
                linger = struct.pack("ii", 1, 0)
                caller.socket.setsockopt(SOL_SOCKET, SO_LINGER, linger)
        self.wait_until(lambda: harness.listener.busy == 0)
        return harness

    def test_a_caller_that_leaves_while_it_sends_the_body(self) -> None:
        for resets, reason in ((True, "caller_left"), (False, "bad_request")):
            with self.subTest(reason):
                harness = self.leave_early(resets)
                self.assertEqual(self.refused()["request"], "the-id")
                self.assertEqual(self.refused()["reason"], reason)
                self.assertEqual(harness.metrics.total("refusals"), 1)

    def test_a_body_that_is_too_long_or_too_slow(self) -> None:
        limits = Limits(body_bytes=10, idle_timeout=timedelta(milliseconds=300))
        for length, status in ((100, 413), (9, 408)):
            with self.subTest(status):
                harness = self.start_logged(good, limits=limits)
                lines = (f"Content-Length: {length}",)
                with harness.connect() as caller:
                    body = b"x" * (length - 6)
                    caller.socket.sendall(start_of("/unsafe/x", *lines) + body)
                    answer = caller.receive_raw()
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.headers[ID.lower()], "the-id")
                self.assertEqual(self.refused()["request"], "the-id")
                self.assertEqual(harness.metrics.total("refusals"), 1)

    def test_a_connection_that_is_found_broken_while_a_call_runs(self) -> None:
        harness = self.start(good)

        def choose(call: OpenCall, caller: CallerWatch) -> Steps[Choice]:
            yield from ()
            raise CallerGoneError

        with unittest.mock.patch.object(harness.chooser, "choose", choose):
            self.assertEqual(harness.ask("/unsafe/x").status, 0)
            self.wait_until(lambda: harness.listener.busy == 0)
        self.assertEqual(harness.metrics.total("customer_requests"), 1)
        self.assertEqual(harness.metrics.total("failures"), 1)


if __name__ == "__main__":
    unittest.main()
