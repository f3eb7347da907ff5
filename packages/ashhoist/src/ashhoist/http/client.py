"""Calls with a whole answer, for control traffic: one connection, one at a time."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..loop import Loop, Steps
from .upstream import (
    Broken,
    End,
    Head,
    NotSent,
    Piece,
    UpstreamConnection,
    Waiting,
    Why,
)

CONNECT_TIME = timedelta(seconds=1)
MAX_REPLY_BYTES = 16_777_216
"""A page of the shared log has some 1.4 MB, unless a single record is larger."""


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    head: Head
    body: bytes

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.head.status


class Client:
    """One kept connection to one address. Used by one task at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    unsent_kept : timedelta or None
        See `UpstreamConnection`.
    max_reply_bytes : int
        A reply with a larger body counts as broken.
    """

    def __init__(
        self,
        address: str,
        loop: Loop,
        unsent_kept: timedelta | None = None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        self.address = address
        self._max_reply_bytes = max_reply_bytes
        self._unsent_kept = unsent_kept
        self._loop = loop
        self._clock = loop.clock
        self._connection: UpstreamConnection | None = None

    def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        patience: timedelta,
        may_send: Callable[[], bool] = _always,
    ) -> Steps[Reply | NotSent | Broken]:
        """Make a call; a connection that fails is not used again.

        Parameters
        ----------
        may_send : callable
            Returns whether the call may leave; asked once there is a connection.
        """
        until = self._clock.monotonic() + patience
        connection = yield from self._open(until)
        if isinstance(connection, NotSent):
            return connection
        if not may_send():
            return NotSent(Why.WITHDRAWN)
        full = [("Host", self.address), *headers, ("Content-Length", str(len(body)))]
        result: Reply | NotSent | Broken | None
        result = yield from connection.send(method, target, full, body, until)
        if result is None:
            result = yield from self._receive(connection, until)
        if not isinstance(result, Reply) or not connection.next():
            self.close()
        return result

    def _open(self, until: timedelta) -> Steps[UpstreamConnection | NotSent]:
        if self._connection is not None and self._connection.reusable():
            return self._connection
        self.close()
        connection = UpstreamConnection(self.address, self._loop, self._unsent_kept)
        limit = min(until, self._clock.monotonic() + CONNECT_TIME)
        failed = yield from connection.connect(limit)
        if failed is not None:
            return failed
        self._connection = connection
        return connection

    def _receive(
        self, connection: UpstreamConnection, until: timedelta
    ) -> Steps[Reply | Broken]:
        head: Head | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if isinstance(event, Head):
                head = event
            elif isinstance(event, Piece):
                body += event.data
                if len(body) > self._max_reply_bytes:
                    return Broken(Why.TOO_LARGE)
            elif isinstance(event, End):
                assert head is not None
                return Reply(head, bytes(body))
            elif isinstance(event, Waiting):
                broken = yield from connection.wait(until)
                if broken is not None:
                    return broken
            else:
                return event

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
