"""One link: a reader and a writer thread that own one websocket."""

import queue
import socket
from collections.abc import Callable
from typing import Any

from websockets.exceptions import ConnectionClosed
from websockets.sync.connection import Connection

from .. import messages
from ..logs import Logger

MOST_QUEUED = 20_000
BATCH = 512
BATCH_BYTES = 262_144

Deliver = Callable[[str, str, list[Any]], None]


class Link:
    """A link to one instance.

    Parameters
    ----------
    peer, incarnation : str
        Who the other side said it is.
    deliver : callable
        Takes the peer, its incarnation and its messages, in their order.
    """

    def __init__(
        self,
        connection: Connection,
        peer: str,
        incarnation: str,
        deliver: Deliver,
        count: Callable[..., None],
        log: Logger,
    ) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self._connection = connection
        self._deliver = deliver
        self._count = count
        self._log = log
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._open = True

    def send(self, message: Any) -> bool:
        """Queue a message; return False if the link is closed.

        A peer that takes so little that the queue grows past its bound loses
        the link: the requests on it are then settled as lost.
        """
        if not self._open:
            return False
        if self._queue.qsize() > MOST_QUEUED:
            self._count("links_closed", "queue_full")
            self.close()
            return False
        self._queue.put(message)
        return True

    def write(self) -> None:
        """Send what is queued until the link closes. Runs on its own thread."""
        while self._open:
            batch = [self._queue.get()]
            size = 0
            while len(batch) < BATCH and size < BATCH_BYTES:
                try:
                    batch.append(self._queue.get_nowait())
                except queue.Empty:
                    break
                size += len(getattr(batch[-1], "data", b""))
            last = None in batch
            batch = [item for item in batch if item is not None]
            try:
                if batch:
                    self._write(batch)
                if last:
                    self._connection.close()
                    return
            except (ConnectionClosed, OSError):
                self.close()
                return

    def _write(self, batch: list[Any]) -> None:
        frame = messages.encode(batch)
        self._count("link_bytes", "sent", amount=len(frame))
        self._connection.send(frame)

    def finish(self) -> None:
        """Close the link once all that is queued has been sent."""
        self._queue.put(None)

    def read(self) -> None:
        """Deliver what comes until the link closes. Runs on its own thread."""
        try:
            for frame in self._connection:
                if not isinstance(frame, bytes):
                    raise messages.FrameError("a text frame")
                self._count("link_bytes", "received", amount=len(frame))
                self._deliver(self.peer, self.incarnation, messages.decode(frame))
        except messages.FrameError as error:
            self._count("bad_frames", "malformed")
            self._log.warning("bad frame, link closed", peer=self.peer, why=str(error))
        except (ConnectionClosed, OSError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the link; both threads end."""
        if not self._open:
            return
        self._open = False
        self._queue.put(None)
        try:
            self._connection.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
