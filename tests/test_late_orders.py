"""A delayed order must not arrive with a lower token than an earlier one had.

An engine got an order with token 16 from an instance 139 ms after one with token 18
from the same instance. The lease had expired, and the same process claimed it again
under a new token with no other holder in between: ``lease no longer held`` at 33.589 s
and ``lease held token=12`` at 34.604 s on one instance, where the token had been 0. An
order that was delayed under the old token was given up by its sender, and arrived after
the first order under the new token, which went on another connection. The same happens
to the orders that a process sent before it was killed and restarted. So a machine whose
own claim is the newest keeps its token: its orders may overtake each other, and the
engine's order count tells them apart.
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

from . import ports
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
    """Orders are delayed while the lease expires or its holder restarts.

    The lease expires because the store is down. Nothing drops an order that was sent
    already: it may wait unread at the engine.
    """

    def started_world(self) -> World:
        world = started(3, 1)
        world.delayed_orders.drops_unsent = False
        return world

    def expire_lease(self, world: World, delay_s: float) -> None:
        """Let the only holder's lease expire while an order of it is delayed."""
        [holder] = world.holders()
        world.store.is_down = True
        world.run(1.5)
        world.delayed_orders.seconds.append(delay_s)
        want(world, holder, "late")
        self.assertTrue(world.run(4.0, lambda: not world.holders()))
        world.run(SEND_MARGIN_S)
        self.assertFalse(world.delayed_orders.seconds)

    def test_a_lease_that_expired_is_claimed_again_with_its_token(self) -> None:
        for delay_s in (1.5, 2.0, 3.0, 4.0):
            with self.subTest(delay_s=delay_s):
                world = self.started_world()
                self.expire_lease(world, delay_s)
                world.store.is_down = False
                for number in range(20):
                    want(world, "instance-0", f"a{number}")
                    world.run(0.25)
                self.assertEqual(world.broken_turns(), [])

    def test_a_lease_keeps_its_token_when_its_process_restarts(self) -> None:
        for delay_s in (0.6, 1.0, 2.0):
            with self.subTest(delay_s=delay_s):
                world = self.started_world()
                [holder] = world.holders()
                world.delayed_orders.seconds.append(delay_s)
                want(world, holder, "late")
                self.assertTrue(
                    world.run(1.0, lambda world=world: not world.delayed_orders.seconds)
                )
                world.kill(holder)
                world.start(holder)
                for number in range(20):
                    want(world, holder, f"a{number}")
                    world.run(0.25)
                self.assertEqual(world.broken_turns(), [])


class GivenUpCallTests(unittest.TestCase):
    """A call that timed out must not arrive later.

    Its connection used to be closed like an idle one, so the operating system went on
    sending what a partition or packet loss had delayed, while the next order was sent
    on another connection.
    """

    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.endings = Queue[str]()

    def call(self, handler: Handler, timeout: timedelta) -> object:
        """Make a call in the way orders are sent, then close its client."""
        server = Server(handler)
        self.addCleanup(server.close)
        client = Client(server.address, self.loop)
        result = run(self.loop, client.call("POST", "/order", [], b"{}", timeout))
        client.close()
        return result

    def record_ending(self, call: Call) -> None:
        """Record how the connection of a call ends, as seen by the engine."""
        try:
            self.endings.put("more" if call.peer.recv(1) else "closed")
        except ConnectionResetError:
            self.endings.put("reset")

    def test_the_connection_of_a_call_that_timed_out_is_reset(self) -> None:
        result = self.call(self.record_ending, timedelta(milliseconds=50))
        self.assertEqual(result, Broken(Why.TIMEOUT))
        self.assertEqual(self.endings.get(timeout=LONGEST), "reset")

    def test_the_connection_of_an_answered_call_is_closed_normally(self) -> None:
        def answer(call: Call) -> None:
            call.respond(200, b"", {})
            self.record_ending(call)

        self.assertIsInstance(self.call(answer, timedelta(seconds=LONGEST)), Reply)
        self.assertEqual(self.endings.get(timeout=LONGEST), "closed")


class UnsentOrderTests(unittest.TestCase):
    """An order must not arrive when the next holder may already send orders.

    An instance was killed while an order was being sent. The operating system went on
    sending it for three seconds; by then the availability zone had another holder with
    a higher token.
    """

    def test_what_a_killed_instance_has_not_sent_is_dropped(self) -> None:
        endings = Queue[str]()
        killed: list[subprocess.Popen[bytes]] = []

        def kill(call: Call) -> None:
            killed[0].kill()
            try:
                endings.put("more" if call.peer.recv(1) else "closed")
            except ConnectionResetError:
                endings.put("reset")

        engine = Server(kill)
        self.addCleanup(engine.close)
        code = ORDERING_PROCESS.format(address=engine.address, seconds=LONGEST)
        killed.append(subprocess.Popen([sys.executable, "-c", code], cwd=ROOT))
        self.assertEqual(endings.get(timeout=LONGEST), "reset")
        killed[0].wait()

    def test_unsent_data_is_kept_no_longer_than_the_next_holder_waits(self) -> None:
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
    """Whether an order may be sent is checked right before it is sent.

    The check used to be made before a connection was opened. An instance that was
    frozen while connecting then sent an order under a token that had expired.
    """

    def test_no_order_is_sent_if_the_token_expires_while_connecting(self) -> None:
        loop = new_loop()
        self.addCleanup(loop.close)
        engine = ports.listen()
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
        address = ports.address_of(engine)
        control.order(Order("e", address, OrderKind.LOAD, Adapter("base", "a1"), 0))
        while not done:
            loop.run_turn()
        self.assertEqual(done[0].reply.answer, OrderAnswer.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
