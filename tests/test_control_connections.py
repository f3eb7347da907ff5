"""Connections of control traffic, to the store and to engines: what replies state."""

import time
import unittest
from datetime import timedelta

from ashhoist.http.client import Client, Reply

from .loops import new_loop, run
from .platform_stand_ins.server import Call, Handler, Server

PATIENCE = timedelta(seconds=15)
SHORT = timedelta(milliseconds=50)
REST_S = 0.05
KEPT_S = 1
"""What replies state; a connection is not used in the last 0.7 s of it."""


class ControlConnectionTests(unittest.TestCase):
    def start(self, script: Handler) -> None:
        self.server = Server(script)
        self.addCleanup(self.server.close)
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.client = Client(self.server.address, self.loop)
        self.addCleanup(self.client.close)

    def call(self, patience: timedelta = PATIENCE) -> object:
        return run(self.loop, self.client.call("GET", "/", [], b"", patience))

    def check_calls(self, connections: tuple[int, ...]) -> None:
        """Check that calls are answered, and how many connections there were."""
        for number in connections:
            reply = self.call()
            self.assertIsInstance(reply, Reply)
            self.assertEqual(self.server.connections, number)
            time.sleep(REST_S)

    def test_a_connection_is_kept(self) -> None:
        self.start(lambda call: call.respond(200))
        self.check_calls((1, 1, 1))

    def test_a_stated_close(self) -> None:
        # Guards against a call on a connection that its other side closes.
        self.start(lambda call: call.respond(200, b"", {"Connection": "close"}))
        self.check_calls((1, 2, 3))

    def test_a_stated_time(self) -> None:
        stated = {"Keep-Alive": f"timeout={KEPT_S}"}
        self.start(lambda call: call.respond(200, b"", stated))
        self.check_calls((1,))
        time.sleep(KEPT_S / 2)
        self.check_calls((2,))

    def test_a_reply_to_no_call(self) -> None:
        # Guards against a 408 that is taken for the reply to the next call.
        def script(call: Call) -> None:
            call.respond(200)
            call.respond(408, b"", {"Connection": "close"})
            call.keep = False

        self.start(script)
        self.check_calls((1, 2, 3))

    def test_a_close_while_it_rests(self) -> None:
        def script(call: Call) -> None:
            call.respond(200)
            call.close()

        self.start(script)
        self.check_calls((1, 2, 3))

    def test_a_reply_that_comes_too_late(self) -> None:
        # Guards against a late reply that is taken for the one to the next call.
        def script(call: Call) -> None:
            if len(self.server.calls) == 1:
                time.sleep(2 * SHORT.total_seconds())
                call.respond(200, b"late")
                return
            call.respond(200, b"due")

        self.start(script)
        self.assertNotIsInstance(self.call(SHORT), Reply)
        time.sleep(2 * SHORT.total_seconds())
        reply = self.call()
        assert isinstance(reply, Reply)
        self.assertEqual((reply.body, self.server.connections), (b"due", 2))


if __name__ == "__main__":
    unittest.main()
