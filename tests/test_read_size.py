"""How much is read at once from those who send their bytes in tiny parts."""

import socket
import threading
import unittest
from collections.abc import Callable
from datetime import timedelta
from unittest import mock

from ashhoist.http import CallerConnection, MalformedRequestError, UpstreamConnection
from ashhoist.http.read_size import LARGE, MAX_EVENTS, SMALL, ReadSize
from ashhoist.http.request import CallerLimits
from ashhoist.http.upstream import Head, Piece, Waiting
from ashhoist.loop import Steps

from .endless_senders import Endless
from .loops import new_loop, run
from .platform_stand_ins.server import Server

CHUNK = b"1\r\na\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
PATIENCE = timedelta(seconds=20)
READS = 30


class ReadSizeTests(unittest.TestCase):
    """Guards against a read whose parsing holds up all other requests."""

    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)

    def test_reads_are_large_unless_they_have_many_parts(self) -> None:
        size = ReadSize()
        for received, events, expected in (
            (0, 0, SMALL),
            (SMALL - 1, 0, SMALL),
            (SMALL, MAX_EVENTS, LARGE),
            (1, MAX_EVENTS, LARGE),
            (LARGE, MAX_EVENTS + 1, SMALL),
            (SMALL, MAX_EVENTS + 1, SMALL),
        ):
            size.received(received)
            for _ in range(events):
                size.parsed()
            self.assertEqual(size.take(), expected)

    def _events_by_read(self, connection: UpstreamConnection) -> Steps[list[int]]:
        """Return how many events each of some reads of an answer has."""
        until = self.loop.clock.monotonic() + PATIENCE
        yield from connection.connect(until)
        yield from connection.send("GET", "/", [("Host", "x")], b"", until)
        counts = [0]
        while len(counts) < READS:
            event = connection.next_event()
            if isinstance(event, Waiting):
                yield from connection.wait(until)
                counts.append(0)
                continue
            self.assertIsInstance(event, Head | Piece)
            counts[-1] += 1
        return counts

    def test_an_answer_in_tiny_chunks(self) -> None:
        endless = Endless(CHUNKED, CHUNK)
        server = Server(endless)
        self.addCleanup(server.close)
        connection = UpstreamConnection(server.address, self.loop)
        counts = run(self.loop, self._events_by_read(connection))
        connection.close()
        self.assertLessEqual(max(counts), SMALL // len(CHUNK) + 2)
        self.assertTrue(endless.closed.wait(30))

    def _read_refused(
        self, caller: CallerConnection, limits: CallerLimits
    ) -> Steps[None]:
        with self.assertRaises(MalformedRequestError):
            yield from caller.read_request(limits)

    def test_a_request_in_tiny_chunks(self) -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        self.addCleanup(theirs.close)

        def send() -> None:
            try:
                theirs.sendall(REQUEST)
                while True:
                    theirs.sendall(CHUNK * 1000)
            except OSError:
                return

        threading.Thread(target=send, daemon=True).start()
        caller = CallerConnection(ours, self.loop)
        sizes: list[int] = []
        turns: list[int] = []
        take: Callable[[ReadSize], int] = ReadSize.take

        def recorded(size: ReadSize) -> int:
            sizes.append(take(size))
            turns.append(self.loop.turns)
            return sizes[-1]

        limits = CallerLimits(body_bytes=READS * SMALL // len(CHUNK))
        with mock.patch.object(ReadSize, "take", recorded):
            run(self.loop, self._read_refused(caller, limits))
        caller.abort()
        self.assertEqual(set(sizes), {SMALL})
        # Each read has a turn of the loop of its own, so that others go on.
        self.assertGreaterEqual(len(set(turns)), READS)
        self.assertEqual(len(set(turns)), len(turns))


if __name__ == "__main__":
    unittest.main()
