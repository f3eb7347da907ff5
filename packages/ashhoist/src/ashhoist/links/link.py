"""One link to another instance: frames of messages, in batches.

Messages that are sent in one turn of the loop leave in one frame.
"""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol

from .. import codec
from ..http.sockets import close
from ..logs import Logger
from ..loop import Loop

READ_SIZE = 65536
MOST_QUEUED = 20_000
"""Messages that may wait for a peer that takes none."""
BATCH = 512
BATCH_BYTES = 262_144
MAX_UNSENT_BYTES = 8_388_608
"""Twice the largest frame. No frame is begun before the last one is sent, but each ping
is answered at once, whether or not the peer takes the answers."""

Deliver = Callable[["Link", list[Any]], None]


class Link:
    """An open link.

    Parameters
    ----------
    peer : socket.socket
        Non-blocking.
    protocol : Protocol
        The side of the websocket, its handshake done.
    name, incarnation : str
        Who the other side said it is.
    dialled_by : str
        The name of the side that opened the link.
    revision : int
        The revision of the messages that both sides know.
    deliver : callable
        Takes the messages that came, in their order.
    closed : callable
        Called once when the link has closed, on either side's wish.
    """

    def __init__(
        self,
        loop: Loop,
        peer: socket.socket,
        protocol: Protocol,
        name: str,
        incarnation: str,
        dialled_by: str,
        revision: int,
        deliver: Deliver,
        closed: Callable[["Link"], None],
        count: Callable[..., None],
        log: Logger,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.dialled_by = dialled_by
        self.revision = revision
        self.opened_at = loop.clock.monotonic()
        self._loop = loop
        self._peer = peer
        self._protocol = protocol
        self._deliver = deliver
        self._closed = closed
        self._count = count
        self._log = log
        self._queue: deque[bytes] = deque()
        self._unsent = b""
        self._flushes = False
        self._open = True

    def start(self, frames: list[Any]) -> None:
        """Begin to read; `frames` came right behind the handshake."""
        self._loop.on_readable(self._peer.fileno(), self._readable)
        self._take(frames)

    # Sending

    def send(self, encoded: bytes) -> bool:
        """Queue an encoded message; return False if the link is closed.

        A peer that takes so little that the queue grows past its bound loses
        the link.
        """
        if not self._open:
            return False
        if len(self._queue) > MOST_QUEUED:
            self._count("links_closed", "queue_full")
            self.close()
            return False
        self._queue.append(encoded)
        if not self._flushes:
            self._flushes = True
            self._loop.call_at_end_of_turn(self._flush)
        return True

    def _flush(self) -> None:
        """Send what is queued, unless the peer has yet to take what was sent."""
        self._flushes = False
        while self._open and self._queue and not self._unsent:
            frame = codec.join(self._batch())
            self._count("link_bytes", "sent", amount=len(frame))
            self._protocol.send_binary(frame)
            self._send_data()

    def _batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._queue and len(batch) < BATCH and size < BATCH_BYTES:
            batch.append(self._queue.popleft())
            size += len(batch[-1])
        return batch

    def _send_data(self) -> None:
        """Send what the websocket has made, after what is still unsent."""
        self._unsent += b"".join(self._protocol.data_to_send())
        if self._unsent:
            self._write()

    def _write(self) -> None:
        try:
            sent = self._peer.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._count("links_closed", "unsent")
            self.close()
            return
        descriptor = self._peer.fileno()
        if self._unsent:
            self._loop.on_writable(descriptor, self._write)
            return
        self._loop.off_writable(descriptor)
        if self._queue and not self._flushes:
            self._flushes = True
            self._loop.call_at_end_of_turn(self._flush)

    # Receiving

    def _readable(self) -> None:
        try:
            data = self._peer.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._protocol.receive_data(data)
        self._take(self._protocol.events_received())
        if self._open:
            self._send_data()

    def _take(self, frames: list[Any]) -> None:
        """Deliver the messages of some frames; garbage closes the link."""
        try:
            for frame in frames:
                self._take_frame(frame)
        except codec.FrameError as error:
            self._count("bad_frames", "malformed")
            self._log.warning("bad frame, link closed", peer=self.name, why=str(error))
            self.close()
        if self._protocol.close_expected():
            self.close()

    def _take_frame(self, frame: Frame) -> None:
        if frame.opcode is Opcode.CLOSE:
            self.close()
        if frame.opcode in (Opcode.CLOSE, Opcode.PING, Opcode.PONG):
            return
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise codec.FrameError("not one binary frame")
        self._count("link_bytes", "received", amount=len(frame.data))
        items = codec.decode(bytes(frame.data))
        if self._open:
            self._deliver(self, items)

    def close(self) -> None:
        """Close the link."""
        if not self._open:
            return
        self._open = False
        self._queue.clear()
        close(self._loop, self._peer)
        self._closed(self)
