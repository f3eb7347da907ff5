"""More new connections than an instance can answer, on a manual clock."""

import socket
import unittest
from dataclasses import dataclass
from datetime import timedelta

from ashhoist import logs
from ashhoist.clock import ManualClock
from ashhoist.http import CallerConnection, CallerGoneError, Listener
from ashhoist.http.request import CallerLimits
from ashhoist.loop import Loop, Steps

from . import ports

WORK = timedelta(milliseconds=40)
"""Processor time of a request: 25 can be answered in a second."""
ARRIVAL_INTERVAL = timedelta(milliseconds=10)
CONTACT = timedelta(seconds=3)
END = timedelta(seconds=6)
IN_TIME = timedelta(milliseconds=800)
SERVED_SHARE = 3 / 4
MIN_ANSWERED = 20
LONG = timedelta(seconds=60)
REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


@dataclass
class Client:
    """A connection with one request."""

    peer: socket.socket
    sent_at: timedelta
    answered_at: timedelta | None = None
    closed_at: timedelta | None = None

    def look(self, now: timedelta) -> None:
        """Record what has come by now."""
        if self.answered_at or self.closed_at:
            return
        try:
            data = self.peer.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.answered_at = now
        else:
            self.closed_at = now


class NewConnectionsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = Loop(self.clock, logs.get("loop"))
        self.listener = Listener(
            ports.free_address(), self.serve, lambda: LONG, 4096, self.loop
        )
        self.listener.start()
        self.addCleanup(self.loop.close)
        self.addCleanup(self.listener.stop)
        self.clients: list[Client] = []
        self.next_at = self.clock.monotonic()

    def serve(self, connection: CallerConnection) -> Steps[bool]:
        """Answer a request, which takes processor time."""
        try:
            yield from connection.read_request(CallerLimits())
            self.clock.advance(WORK)
            until = self.clock.monotonic() + LONG
            yield from connection.respond(200, [], b"served", until)
        except CallerGoneError:
            return False
        return connection.next()

    def connect(self) -> Client:
        host, port = self.listener.address.split(":")
        peer = socket.create_connection((host, int(port)))
        peer.setblocking(False)
        self.addCleanup(peer.close)
        peer.sendall(REQUEST)
        client = Client(peer, self.clock.monotonic())
        self.clients.append(client)
        return client

    def turn(self) -> None:
        """Let the loop do what is due; time passes if that takes none."""
        began = self.clock.monotonic()
        self.loop.call_soon(lambda: None)
        self.loop.run_turn()
        for client in self.clients:
            client.look(self.clock.monotonic())
        if self.clock.monotonic() == began:
            self.clock.advance(ARRIVAL_INTERVAL)

    def flood(self, until: timedelta) -> None:
        """Let new connections come until a moment."""
        while self.clock.monotonic() < until:
            while self.next_at <= self.clock.monotonic():
                self.connect()
                self.next_at += ARRIVAL_INTERVAL
            self.turn()

    def test_requests_that_are_read_are_answered_in_time(self) -> None:
        # Guards against an instance that reads all and answers none in time.
        self.flood(END)
        while any(not one.answered_at and not one.closed_at for one in self.clients):
            self.turn()
        judged = [one for one in self.clients if one.sent_at >= CONTACT]
        waited = [one.answered_at - one.sent_at for one in judged if one.answered_at]
        self.assertGreater(len(waited), MIN_ANSWERED)
        in_time = sum(wait <= IN_TIME for wait in waited)
        self.assertGreaterEqual(in_time, len(waited) * SERVED_SHARE)

    def test_connections_that_are_not_read_are_closed_soon(self) -> None:
        self.flood(END)
        judged = [one for one in self.clients if one.closed_at]
        self.assertGreater(len(judged), MIN_ANSWERED)
        for client in judged:
            if client.closed_at and client.sent_at >= CONTACT:
                self.assertLessEqual(client.closed_at - client.sent_at, IN_TIME)

    def test_kept_connections_are_read_all_the_same(self) -> None:
        kept = self.connect()
        while not kept.answered_at:
            self.turn()
        self.flood(CONTACT)
        kept.answered_at = None
        kept.peer.sendall(REQUEST)
        sent_at = self.clock.monotonic()
        self.flood(sent_at + IN_TIME)
        self.assertIsNotNone(kept.answered_at)

    def test_all_are_read_again_afterwards(self) -> None:
        self.flood(CONTACT)
        for _ in range(200):
            self.turn()
        late = [self.connect() for _ in range(3)]
        for _ in range(20):
            self.turn()
        self.assertTrue(all(one.answered_at for one in late))


if __name__ == "__main__":
    unittest.main()
