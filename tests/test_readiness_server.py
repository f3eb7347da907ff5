"""The server of readiness and metrics: what it states of connections, and keeps."""

import unittest

from ashhoist.metrics import Metrics
from ashhoist.probes import ProbeServer

from . import ports
from .loops import ThreadLoop
from .request_caller import HOST, Caller


class ReadinessTests(unittest.TestCase):
    def setUp(self) -> None:
        self.thread = ThreadLoop()
        self.addCleanup(self.thread.close)
        held = ports.reserve()
        self.addCleanup(held.close)
        self.address = ports.address_of(held)
        self.server = ProbeServer(
            self.address, None, "/ready", lambda: True, Metrics(), self.thread.loop
        )
        self.thread.call(self.server.start)
        self.addCleanup(lambda: self.thread.call(self.server.close))

    def test_a_health_check_by_head(self) -> None:
        # Guards against a ready instance whose health check gets no response.
        with Caller(self.address) as caller:
            answer = caller.ask("/ready", method="HEAD", body=b"")
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(caller.ask("/ready", method="GET").status, 200)

    def test_health_checks_that_arrive_together(self) -> None:
        # Guards against a whole request that is read with the one before and left.
        request = f"GET /ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        with Caller(self.address) as caller:
            caller.socket.sendall(request * 3)
            for _ in range(3):
                answer = caller.receive_raw()
                self.assertEqual((answer.status, answer.complete), (200, True))
                self.assertNotIn("connection", answer.headers)

    def test_a_stated_close(self) -> None:
        # Guards against a response that states a time for which it is not kept.
        request = f"GET /ready HTTP/1.0\r\nHost: {HOST}\r\n\r\n".encode()
        with Caller(self.address) as caller:
            caller.socket.sendall(request)
            answer = caller.receive_raw()
            self.assertEqual(answer.headers["connection"], "close")
            self.assertNotIn("keep-alive", answer.headers)
            self.assertEqual(caller.socket.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
