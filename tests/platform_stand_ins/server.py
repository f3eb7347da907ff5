"""A small HTTP server whose answers are under full control, byte by byte."""

import contextlib
import socket
import struct
import threading
from collections.abc import Callable

import h11

from .. import ports


class Call:
    """One request at a stand-in, and its connection."""

    def __init__(self, peer: socket.socket, request: h11.Request, body: bytes) -> None:
        self.peer = peer
        self.method = request.method.decode()
        self.target = request.target.decode()
        self.headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in request.headers
        }
        self.body = body
        self.keep = True

    def raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.peer.sendall(data)

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        length: bool = True,
    ) -> None:
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if length:
            lines.append(f"Content-Length: {len(body)}")
        self.raw("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def start_stream(self, headers: dict[str, str]) -> None:
        """Send the head of a chunked answer."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        self.raw("\r\n".join(lines).encode() + b"\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        """Send a piece of a chunked answer."""
        self.raw(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_stream(self) -> None:
        """Send the end of a chunked answer."""
        self.raw(b"0\r\n\r\n")

    def close(self) -> None:
        """End the connection in order."""
        self.keep = False
        self.peer.close()

    def reset(self) -> None:
        """Break the connection."""
        self.keep = False
        linger = struct.pack("ii", 1, 0)
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.peer.close()

    def wait_for_close(self, seconds: float = 10.0) -> bool:
        """Return whether the caller closes the connection in time."""
        self.peer.settimeout(seconds)
        try:
            return self.peer.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


Handler = Callable[[Call], None]


class Server:
    """Answers every request with `handler`, a thread for each connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.calls: list[Call] = []
        self.connections = 0
        self._listening = ports.listen()
        self.address = ports.address_of(self._listening)
        self._peers: list[socket.socket] = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            self.connections += 1
            self._peers.append(peer)
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: socket.socket) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                call = self._read(http, peer)
                if call is None:
                    break
                self.calls.append(call)
                self.handler(call)
                if not call.keep:
                    return
                left_over = http.trailing_data[0]
                http = h11.Connection(h11.SERVER)
                http.receive_data(left_over) if left_over else None
        except (OSError, h11.RemoteProtocolError):
            pass
        peer.close()

    def _read(self, http: h11.Connection, peer: socket.socket) -> Call | None:
        request = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(peer.recv(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Call(peer, request, body)
            else:
                return None

    def close(self) -> None:
        """Stop listening and break all connections."""
        try:
            self._listening.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listening.close()
        for peer in self._peers:
            peer.close()

    def crash(self) -> None:
        """Stop listening and reset all connections, those in use included."""
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        for peer in self._peers:
            with contextlib.suppress(OSError):
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                peer.shutdown(socket.SHUT_RDWR)
            peer.close()
