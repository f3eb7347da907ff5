"""Connections to upstreams: what a response states of one is what is done with it."""

import socket
import threading
import time
import unittest

import h11

from . import ports
from .platform_stand_ins.server import Call
from .request_harness import ID, Harness, event, response_headers
from .request_scripts import RequestTestCase, good

KEPT_S = 1
"""What responses state; a connection is not used in the last 0.7 s of it."""
LONG_BODY = b"x" * 2_000_000
NEXT_BODY = b"next"
SOON_S = 15.0


class UpstreamConnectionTests(RequestTestCase):
    def connections(self, harness: Harness) -> int:
        return harness.upstreams["upstream-0"].connections

    def check_next(self, harness: Harness, connections: int) -> None:
        """Check that a request that may run once is answered, and on which one."""
        self.assertEqual(harness.ask("/unsafe/").status, 200)
        self.assertEqual(self.connections(harness), connections)

    def test_a_connection_is_not_used_at_the_end_of_the_stated_time(self) -> None:
        # Guards against a request that crosses the close of its connection.
        def script(call: Call) -> None:
            stated = {"Keep-Alive": f"max=9, timeout={KEPT_S}"}
            call.respond(200, b"", response_headers(call) | stated)

        harness = self.start(script)
        self.check_next(harness, 1)
        time.sleep(KEPT_S / 2)
        self.check_next(harness, 2)

    def test_a_stated_close(self) -> None:
        # Guards against a request on a connection that its upstream closes.
        def script(call: Call) -> None:
            call.respond(200, b"", response_headers(call, Connection="close"))

        harness = self.start(script)
        for number in (1, 2, 3):
            self.check_next(harness, number)

    def test_a_stated_close_of_a_stream(self) -> None:
        def script(call: Call) -> None:
            call.start_stream(response_headers(call, Connection="close"))
            call.chunk(event(1))
            call.end_stream()

        harness = self.start(script)
        for number in (1, 2):
            self.assertTrue(harness.ask("/once/").complete)
            self.assertEqual(self.connections(harness), number)

    def test_a_response_to_no_request(self) -> None:
        # Guards against a 408 that is taken for the response to the next request.
        def script(call: Call) -> None:
            good(call)
            call.respond(408, b"", {"Connection": "close"})
            call.keep = False

        harness = self.start(script)
        for number in (1, 2, 3):
            self.assertEqual(harness.ask("/unsafe/").status, 200)
            time.sleep(0.05)
            self.assertEqual(self.connections(harness), number)

    def test_a_close_without_notice(self) -> None:
        def script(call: Call) -> None:
            good(call)
            call.close()

        harness = self.start(script)
        for number in (1, 2, 3):
            self.assertEqual(harness.ask("/unsafe/").status, 200)
            time.sleep(0.05)
            self.assertEqual(self.connections(harness), number)

    def test_interim_responses(self) -> None:
        # Guards against an interim response that counts as the response.
        def script(call: Call) -> None:
            for status in (100, 102, 103):
                call.raw(f"HTTP/1.1 {status} Wait\r\nLink: x\r\n\r\n".encode())
            good(call)

        harness = self.start(script)
        for _ in range(3):
            self.check_next(harness, 1)

    def test_a_response_before_a_long_body_is_read(self) -> None:
        # Guards against a next request where the rest of a body is due.
        listening = ports.listen()
        self.addCleanup(listening.close)
        harness = self.start(good, attempts=1)
        harness.upstreams["upstream-0"].close()
        harness.upstreams["upstream-0"] = _EarlyServer(
            listening, ports.address_of(listening)
        )
        server = harness.upstreams["upstream-0"]
        harness.list_upstreams()
        for path in ("/unsafe/", "/safe/"):
            answer = harness.ask(path, body=LONG_BODY)
            self.assertEqual((answer.status, answer.body), (200, b"early"))
            time.sleep(0.05)
            self.assertEqual(harness.ask(path, body=NEXT_BODY).status, 200)
        limit = time.monotonic() + SOON_S
        while server.bodies.count(NEXT_BODY) < 2 and time.monotonic() < limit:
            time.sleep(0.01)
        self.assertEqual(server.bodies.count(NEXT_BODY), 2)
        for body in server.bodies:
            self.assertTrue(body == NEXT_BODY or LONG_BODY.startswith(body))


class _EarlyServer:
    """Answers once it has a head; reads the body, and what follows, after that.

    Attributes
    ----------
    bodies : list of bytearray
        What came where a body was due.
    """

    def __init__(self, listening: socket.socket, address: str) -> None:
        self.address = address
        self.connections = 0
        self.bodies: list[bytearray] = []
        self._listening = listening
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: socket.socket) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request = self._request(http, peer)
                if request is None:
                    return
                headers = {
                    name.decode(): value.decode() for name, value in request.headers
                }
                peer.sendall(_early_response(headers))
                self._read_body(http, peer)
                left_over = http.trailing_data[0]
                http = h11.Connection(h11.SERVER)
                if left_over:
                    http.receive_data(left_over)
        except (OSError, h11.RemoteProtocolError):
            pass

    def _request(self, http: h11.Connection, peer: socket.socket) -> h11.Request | None:
        while True:
            found = http.next_event()
            if isinstance(found, h11.Request):
                return found
            if found is not h11.NEED_DATA:
                return None
            http.receive_data(peer.recv(300))

    def _read_body(self, http: h11.Connection, peer: socket.socket) -> None:
        body = bytearray()
        self.bodies.append(body)
        time.sleep(0.01)
        while True:
            found = http.next_event()
            if isinstance(found, h11.EndOfMessage):
                return
            if isinstance(found, h11.Data):
                body += found.data
                continue
            if found is not h11.NEED_DATA:
                return
            http.receive_data(peer.recv(65536))

    def close(self) -> None:
        self._listening.close()


def _early_response(headers: dict[str, str]) -> bytes:
    id = headers[ID.lower()]
    lines = ["HTTP/1.1 200 OK", f"{ID}: {id}", "Seal: seal", "Content-Length: 5"]
    return "\r\n".join([*lines, "", "early"]).encode()


if __name__ == "__main__":
    unittest.main()
