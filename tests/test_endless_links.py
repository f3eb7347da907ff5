"""Other sides of a link that send without end, before and after its handshake."""

import random
import socket
import threading
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from ashhoist import codec, logs
from ashhoist.links import Links, news
from ashhoist.types import Endpoint

from . import ports
from .endless_senders import BLOCK_BYTES, SEND_BUFFER, TIMEOUT_S
from .loops import new_loop

TOKEN = "token"
TIMEOUT = timedelta(seconds=20)
MAX_BYTES = 33_554_432
"""What the other side may get rid of: the limits of 4 MiB for a frame and 8 MiB for
answers to pings, and what the operating system buffers on both sides."""
PING = Frame(Opcode.PING, b"x" * 125).serialize(mask=True)
EMPTY = Frame(Opcode.BINARY, b"").serialize(mask=True)
PART = Frame(Opcode.BINARY, b"x" * 100, fin=False).serialize(mask=True)
TEXT = Frame(Opcode.TEXT, b"x" * 100).serialize(mask=True)
PONG = Frame(Opcode.PONG, b"").serialize(mask=True)
ENDLESS_FRAME = b"\x82\xff" + (codec.MAX_FRAME_BYTES).to_bytes(8, "big") + bytes(4)
ABSURD_FRAME = b"\x82\xff" + (1 << 62).to_bytes(8, "big") + bytes(4)
FRAMES = {
    "pings whose answers are not read": (b"", PING),
    "empty frames": (b"", EMPTY),
    "parts of a message": (b"", PART),
    "texts": (b"", TEXT),
    "a frame of the largest size": (ENDLESS_FRAME, b"x"),
    "a frame of an absurd size": (ABSURD_FRAME, b"x"),
}
REQUESTS = {
    "request line": (b"GET /", b"a"),
    "header line": (b"GET / HTTP/1.1\r\nX: ", b"a"),
    "header lines": (b"GET / HTTP/1.1\r\n", b"X-Many: a\r\n"),
}
RESPONSES = {
    "status line": (b"HTTP/1.1 101 ", b"a"),
    "header lines": (b"HTTP/1.1 101 Switching\r\n", b"X-Many: a\r\n"),
    "body": (b"HTTP/1.1 401 No\r\n\r\n", b"a"),
    "chunks": (b"HTTP/1.1 401 No\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
}


class Sender:
    """The other side: runs on a thread, and sends until the connection ends.

    Attributes
    ----------
    sent : int
        Bytes that the operating system took.
    closed : bool
        Whether the instance has closed the connection.
    """

    def __init__(
        self, peer: socket.socket, begin: Callable[[socket.socket], None], unit: bytes
    ) -> None:
        self.sent = 0
        self.closed = False
        self._peer = peer
        self._begin = begin
        self._block = unit * max(BLOCK_BYTES // len(unit), 1)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        peer.settimeout(TIMEOUT_S)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._begin(self._peer)
            while True:
                self._peer.sendall(self._block)
                self.sent += len(self._block)
        except TimeoutError:
            return
        except OSError:
            self.closed = True


def raw(data: bytes) -> Callable[[socket.socket], None]:
    return lambda peer: peer.sendall(data)


def greeted(protocol: Protocol, rest: bytes) -> Callable[[socket.socket], None]:
    """Return what makes a link, as the side of `protocol`, and sends some bytes."""

    def begin(peer: socket.socket) -> None:
        if isinstance(protocol, ClientProtocol):
            request = protocol.connect()
            request.headers["Authorization"] = f"Bearer {TOKEN}"
            protocol.send_request(request)
        else:
            protocol.receive_data(peer.recv(65536))
            [request] = protocol.events_received()
            protocol.send_response(protocol.accept(request))
        hello = codec.encode([codec.Hello(codec.PROTOCOL, "other", "life")])
        if isinstance(protocol, ClientProtocol):
            peer.sendall(b"".join(protocol.data_to_send()))
            while not protocol.events_received():
                protocol.receive_data(peer.recv(65536))
        protocol.send_binary(hello)
        peer.sendall(b"".join(protocol.data_to_send()) + rest)

    return begin


class EndlessLinkTests(unittest.TestCase):
    def setUp(self) -> None:
        logs.configure(level="error")
        self.loop = new_loop()
        self.addCleanup(self.loop.close)

    def links(self) -> Links:
        self.events: list[Any] = []
        own = Endpoint("own", "zone", "region", ports.free_address())
        links = Links(
            self.loop,
            own,
            "own-life",
            frozenset({TOKEN}),
            self.events.append,
            lambda *_, **__: None,
            random.Random(1),
            logs.get("links"),
        )
        self.addCleanup(links.close)
        links.start()
        return links

    def sender_to(
        self, links: Links, begin: Callable[[socket.socket], None], unit: bytes
    ) -> Sender:
        """Return another side that has connected to `links`."""
        host, _, port = links.address.rpartition(":")
        peer = socket.create_connection((host, int(port)))
        self.addCleanup(peer.close)
        return Sender(peer, begin, unit)

    def dialled(
        self, links: Links, begin: Callable[[socket.socket], None], unit: bytes
    ) -> Sender:
        """Return another side that `links` has connected to."""
        listening = ports.listen()
        self.addCleanup(listening.close)
        address = ports.address_of(listening)
        links.set_peers([Endpoint("other", "", "", address)], True)
        listening.settimeout(0)
        peers: list[socket.socket] = []

        def connected() -> bool:
            try:
                peers.append(listening.accept()[0])
            except OSError:
                return False
            return True

        self.wait(connected)
        links.set_peers([], True)
        self.addCleanup(peers[0].close)
        return Sender(peers[0], begin, unit)

    def wait(self, condition: Callable[[], bool]) -> None:
        until = self.loop.clock.monotonic() + TIMEOUT
        while not condition():
            now = self.loop.clock.monotonic()
            self.assertLess(now, until, "condition not met in time")
            self.loop.call_at(now + timedelta(milliseconds=5), lambda: None)
            self.loop.run_turn()

    @property
    def linked(self) -> bool:
        kinds = [type(item) for item in self.events]
        return kinds.count(news.PeerUp) > kinds.count(news.PeerDown)

    def assert_closed(self, sender: Sender) -> None:
        self.wait(lambda: sender.closed)
        self.assertLess(sender.sent, MAX_BYTES)

    def test_requests_without_end(self) -> None:
        # Guards against a request that is read until the memory is full.
        for name, (start, unit) in REQUESTS.items():
            with self.subTest(name):
                links = self.links()
                self.assert_closed(self.sender_to(links, raw(start), unit))
                self.assertEqual(self.events, [])

    def test_responses_without_end(self) -> None:
        # Guards against a response that is read until the memory is full.
        for name, (start, unit) in RESPONSES.items():
            with self.subTest(name):
                links = self.links()
                self.assert_closed(self.dialled(links, raw(start), unit))
                self.assertEqual(self.events, [])

    def test_frames_without_end(self) -> None:
        # Guards against frames that are kept until the memory is full.
        for name, (rest, unit) in FRAMES.items():
            with self.subTest(name):
                links = self.links()
                protocol = ClientProtocol(parse_uri(f"ws://{links.address}/"))
                sender = self.sender_to(links, greeted(protocol, rest), unit)
                self.assert_closed(sender)
                self.wait(lambda: not self.linked)

    def test_pings_to_the_side_that_has_dialled(self) -> None:
        # Guards against answers that are kept for a side that does not read them.
        links = self.links()
        unit = Frame(Opcode.PING, b"x" * 125).serialize(mask=False)
        self.assert_closed(self.dialled(links, greeted(ServerProtocol(), b""), unit))
        self.wait(lambda: not self.linked)

    def test_frames_in_place_of_a_hello(self) -> None:
        # Guards against a handshake that waits for a hello behind other frames.
        for unit in (PING, PONG, EMPTY):
            with self.subTest(unit=unit[:1]):
                links = self.links()
                client = ClientProtocol(parse_uri(f"ws://{links.address}/"))
                request = client.connect()
                request.headers["Authorization"] = f"Bearer {TOKEN}"
                client.send_request(request)
                data = b"".join(client.data_to_send())
                self.assert_closed(self.sender_to(links, raw(data), unit))
                self.assertEqual(self.events, [])


if __name__ == "__main__":
    unittest.main()
