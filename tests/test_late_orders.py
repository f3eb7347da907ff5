"""An order that arrives late has no lower token than one that came before it.

An engine got an order with token 16 from an instance 139 ms after one with token 18
from the same instance. Its lease had lapsed and was claimed anew by the same process,
with nobody in between, under a new token: ``lease no longer held`` at 33.589 s and
``lease held token=12`` at 34.604 s, both on one instance, where the token had been 0.
Nothing tied the first order under the new token to the end of what had been sent under
the old one: an order that is held up on its way is given up by its sender, and arrives
when the next one has overtaken it on another connection. The same happens to what a
process sent before it was killed and started again. Now a machine that finds its own
claim the newest goes on under its token: its orders may overtake each other, and are
told apart by the engine's order count.
"""

import os
import socket
import subprocess
import sys
import unittest
from datetime import timedelta
from pathlib import Path
from queue import Queue
from typing import Any

from ashhoist_platform.engines import WorkerProtocol

from ashhoist.adapter import Adapter
from ashhoist.control.engines import EngineControl, order_client
from ashhoist.http.client import Client, Reply
from ashhoist.http.upstream import Broken, Why
from ashhoist.orders import LeaseTiming, Order, OrderAnswer, OrderKind

from .control_world import TICK, TIMING, World
from .loops import LONGEST, new_loop, run
from .platform_stand_ins.server import Call, Handler, Server
from .world_requests import started, want

ORDERING_PROCESS = """
from datetime import timedelta
from ashhoist.control.engines import order_client
from tests.loops import new_loop, run
loop = new_loop()
client = order_client("{address}", loop)
run(loop, client.call("POST", "/order", [], b"", timedelta(seconds={seconds})))
"""
ROOT = Path(__file__).parent.parent
SEND_MARGIN_S = TIMING.send_margin.total_seconds() + TICK


class LateOrderTests(unittest.TestCase):
    """The store is away until the lease has lapsed; orders are held up meanwhile.

    What has left already is dropped by nobody, and may wait unread at the engine.
    """

    def start(self) -> World:
        world = started(3, 1)
        world.held_up.drops_unsent = False
        return world

    def lapse(self, world: World, held_up_s: float) -> None:
        """Let the lease of the only holder lapse with an order on its way."""
        [holder] = world.holders()
        world.store.is_down = True
        world.run(1.5)
        world.held_up.seconds.append(held_up_s)
        want(world, holder, "late")
        self.assertTrue(world.run(4.0, lambda: not world.holders()))
        world.run(SEND_MARGIN_S)
        self.assertFalse(world.held_up.seconds)

    def test_a_lease_that_lapsed_goes_on_under_its_token(self) -> None:
        for held_up_s in (1.5, 2.0, 3.0, 4.0):
            with self.subTest(held_up_s=held_up_s):
                world = self.start()
                self.lapse(world, held_up_s)
                world.store.is_down = False
                for number in range(20):
                    want(world, "instance-0", f"a{number}")
                    world.run(0.25)
                self.assertEqual(world.broken_turns(), [])

    def test_so_does_one_whose_process_has_started_again(self) -> None:
        for held_up_s in (0.6, 1.0, 2.0):
            with self.subTest(held_up_s=held_up_s):
                world = self.start()
                [holder] = world.holders()
                world.held_up.seconds.append(held_up_s)
                want(world, holder, "late")
                self.assertTrue(
                    world.run(1.0, lambda world=world: not world.held_up.seconds)
                )
                world.kill(holder)
                world.start(holder)
                for number in range(20):
                    want(world, holder, f"a{number}")
                    world.run(0.25)
                self.assertEqual(world.broken_turns(), [])


class GivenUpCallTests(unittest.TestCase):
    """A call that was given up must not arrive any more.

    Its connection was closed as one that rests: the system went on sending what was
    held up, behind a cut or a loss, while the next order went on another connection.
    """

    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.ends = Queue[str]()

    def call(self, handler: Handler, patience: timedelta) -> object:
        """Make a call as an order is sent, and close its connection."""
        server = Server(handler)
        self.addCleanup(server.close)
        client = Client(server.address, self.loop)
        result = run(self.loop, client.call("POST", "/order", [], b"{}", patience))
        client.close()
        return result

    def note_end(self, call: Call) -> None:
        """Note how the connection of a call ends, as the engine sees it."""
        try:
            self.ends.put("more" if call.peer.recv(1) else "closed")
        except ConnectionResetError:
            self.ends.put("reset")

    def test_its_connection_is_reset(self) -> None:
        result = self.call(self.note_end, timedelta(milliseconds=50))
        self.assertEqual(result, Broken(Why.TIMEOUT))
        self.assertEqual(self.ends.get(timeout=LONGEST), "reset")

    def test_the_connection_of_one_that_was_answered_ends_in_order(self) -> None:
        def answer(call: Call) -> None:
            call.respond(200, b"", {})
            self.note_end(call)

        self.assertIsInstance(self.call(answer, timedelta(seconds=LONGEST)), Reply)
        self.assertEqual(self.ends.get(timeout=LONGEST), "closed")


class UnsentOrderTests(unittest.TestCase):
    """An order must not arrive when its successor may already order.

    An instance was killed with an order on its way. The system went on sending it for
    three seconds; its zone had another holder by then, whose token was higher.
    """

    def test_what_a_killed_instance_has_not_sent_is_dropped(self) -> None:
        ends = Queue[str]()
        killed: list[subprocess.Popen[bytes]] = []

        def kill(call: Call) -> None:
            killed[0].kill()
            try:
                ends.put("more" if call.peer.recv(1) else "closed")
            except ConnectionResetError:
                ends.put("reset")

        engine = Server(kill)
        self.addCleanup(engine.close)
        code = ORDERING_PROCESS.format(address=engine.address, seconds=LONGEST)
        killed.append(subprocess.Popen([sys.executable, "-c", code], cwd=ROOT))
        self.assertEqual(ends.get(timeout=LONGEST), "reset")
        killed[0].wait()

    def test_the_system_keeps_it_no_longer_than_a_successor_waits(self) -> None:
        loop = new_loop()
        self.addCleanup(loop.close)
        engine = Server(lambda call: call.respond(200))
        self.addCleanup(engine.close)
        client = order_client(engine.address, loop)
        self.addCleanup(client.close)
        run(loop, client.call("GET", "/report", [], b"", timedelta(seconds=LONGEST)))
        assert client._connection is not None
        with socket.socket(fileno=os.dup(client._connection.fileno())) as peer:
            kept_ms = peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        timing = LeaseTiming()
        self.assertLessEqual(
            timedelta(milliseconds=kept_ms), timing.send_margin + timing.clock_margin
        )


class OrderCheckTests(unittest.TestCase):
    """Whether an order may leave is asked when it leaves.

    It was asked before a connection was opened: an instance that stood still meanwhile
    sent an order under a token that had lapsed, once it went on.
    """

    def test_a_token_that_lapses_while_connecting_sends_no_order(self) -> None:
        loop = new_loop()
        self.addCleanup(loop.close)
        engine = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(engine.close)
        engine.setblocking(False)

        def may_order(order: Order) -> bool:
            """Return whether the engine has no connection yet."""
            try:
                peer, _ = engine.accept()
            except BlockingIOError:
                return True
            self.addCleanup(peer.close)
            return False

        done: list[Any] = []
        control = EngineControl(WorkerProtocol(), may_order, done.append, loop)
        self.addCleanup(control.forget, "e")
        address = f"127.0.0.1:{engine.getsockname()[1]}"
        control.order(Order("e", address, OrderKind.LOAD, Adapter("base", "a1"), 0))
        while not done:
            loop.run_turn()
        self.assertEqual(done[0].reply.answer, OrderAnswer.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
