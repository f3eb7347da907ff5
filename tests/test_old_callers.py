"""Callers that speak HTTP/1.0.

A response without a length ends with its connection, so callers take one that is cut
for whole unless the connection is reset.
"""

import unittest

from .request_caller import HOST, ID, Caller
from .request_harness import Harness, event
from .request_scripts import RequestTestCase, stream
from .test_interrupted_requests import Held


class CutStreamTests(RequestTestCase):
    def send(self, harness: Harness) -> Caller:
        caller = harness.connect()
        self.addCleanup(caller.close)
        lines = ("POST /once/x HTTP/1.0", f"Host: {HOST}", f"{ID}: id", "", "")
        caller.socket.sendall("\r\n".join(lines).encode())
        return caller

    def read(self, caller: Caller, until: bytes = b"") -> bytes:
        data = b""
        while not until or until not in data:
            part = caller.socket.recv(65536)
            if not part:
                break
            data += part
        return data

    def test_by_its_upstream(self) -> None:
        harness = self.start(stream(1, 2, end=False))
        with self.assertRaises(ConnectionResetError):
            self.read(self.send(harness))

    def test_at_the_limit_of_a_planned_stop(self) -> None:
        harness = self.start(Held(event(1)))
        caller = self.send(harness)
        self.assertIn(event(1), self.read(caller, event(1)))
        harness.stop()
        harness.interrupt()
        with self.assertRaises(ConnectionResetError):
            self.read(caller)

    def test_a_whole_stream_is_not_reset(self) -> None:
        harness = self.start(stream(1, 2))
        self.assertTrue(self.read(self.send(harness)).endswith(event(2)))


if __name__ == "__main__":
    unittest.main()
