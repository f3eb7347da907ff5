"""Connections within the process, and a poller that lets a manual clock run.

A loop with this poller never waits: where nothing is ready, its clock goes on to the
next timer. What is sent arrives at once.
"""

import itertools
import select
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

from ashhoist.clock import ManualClock
from ashhoist.http import NotSent, Pool, UpstreamConnection
from ashhoist.http.upstream import Why
from ashhoist.loop import Loop, Steps

FIRST_DESCRIPTOR = 1_000_000
"""Above the descriptors of the operating system."""


class VirtualSocket:
    """One end of a connection; as far as the code under test uses sockets."""

    def __init__(self, net: "VirtualPoller") -> None:
        self._net = net
        self._descriptor = net.add(self)
        self._received = bytearray()
        self._other: VirtualSocket | None = None
        self._resets = False
        self._ended = False
        self._was_reset = False
        self._closed = False

    @classmethod
    def pair(cls, net: "VirtualPoller") -> "tuple[VirtualSocket, VirtualSocket]":
        """Return the two ends of a new connection."""
        one, other = cls(net), cls(net)
        one._other, other._other = other, one
        return one, other

    @property
    def is_readable(self) -> bool:
        """Return whether `recv` would not block."""
        return bool(self._received) or self._ended or self._was_reset

    @property
    def is_closed_by_peer(self) -> bool:
        """Return whether the other side has closed, read or not."""
        return self._ended

    @property
    def unread_by_peer(self) -> int:
        """Return how many of the bytes that were sent the other side has not read."""
        assert self._other is not None
        return len(self._other._received)

    def fileno(self) -> int:
        return -1 if self._closed else self._descriptor

    def setblocking(self, flag: bool) -> None:
        """Do nothing: it never blocks."""

    def setsockopt(self, level: int, name: int, value: object) -> None:
        if name == socket.SO_LINGER:
            self._resets = True

    def send(self, data: Any) -> int:
        assert self._other is not None
        if self._closed or self._was_reset or self._other._closed:
            raise ConnectionResetError
        self._other._received += bytes(data)
        return len(data)

    def sendall(self, data: bytes) -> None:
        self.send(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self._closed or self._was_reset:
            raise ConnectionResetError
        if not self._received:
            if self._ended:
                return b""
            raise BlockingIOError
        data = bytes(self._received[:size])
        if not flags & socket.MSG_PEEK:
            del self._received[:size]
        return data

    def shutdown(self, how: int) -> None:
        assert self._other is not None
        self._other._ended = True

    def close(self) -> None:
        assert self._other is not None
        if self._closed:
            return
        self._closed = True
        self._net.remove(self._descriptor)
        self._other._ended = True
        self._other._was_reset = self._other._was_reset or self._resets


class VirtualListeningSocket:
    """Takes connections, as far as the code under test listens."""

    def __init__(self, net: "VirtualPoller") -> None:
        self._net = net
        self._descriptor = net.add(self)
        self._arrived: list[VirtualSocket] = []

    @property
    def is_readable(self) -> bool:
        """Return whether a connection waits to be accepted."""
        return bool(self._arrived)

    def connect(self) -> VirtualSocket:
        """Return the caller's end of a new connection."""
        own, other = VirtualSocket.pair(self._net)
        self._arrived.append(other)
        return own

    def accept(self) -> tuple[VirtualSocket, tuple[str, int]]:
        if not self._arrived:
            raise BlockingIOError
        return self._arrived.pop(0), ("virtual", 0)

    def fileno(self) -> int:
        return self._descriptor

    def close(self) -> None:
        self._net.remove(self._descriptor)
        for peer in self._arrived:
            peer.close()


class VirtualPoller:
    """Polls virtual sockets; sets the clock forward where a loop would wait."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._descriptors = itertools.count(FIRST_DESCRIPTOR)
        self._by_descriptor: dict[int, VirtualSocket | VirtualListeningSocket] = {}
        self._masks: dict[int, int] = {}

    def add(self, one: "VirtualSocket | VirtualListeningSocket") -> int:
        """Return the descriptor of a new socket."""
        descriptor = next(self._descriptors)
        self._by_descriptor[descriptor] = one
        return descriptor

    def remove(self, descriptor: int) -> None:
        """Drop a socket that was closed."""
        del self._by_descriptor[descriptor]

    def register(self, fd: int, eventmask: int) -> None:
        self._masks[fd] = eventmask

    def modify(self, fd: int, eventmask: int) -> None:
        self._masks[fd] = eventmask

    def unregister(self, fd: int) -> None:
        del self._masks[fd]

    def poll(self, timeout: float | None, maxevents: int) -> list[tuple[int, int]]:
        ready = [(fd, mask) for fd in self._masks if (mask := self._ready(fd))]
        if not ready and timeout is None:
            raise AssertionError("nothing is left to wait for")
        if not ready and timeout:
            self._clock.advance(timedelta(seconds=timeout))
        return ready[:maxevents]

    def _ready(self, descriptor: int) -> int:
        found = self._by_descriptor.get(descriptor)
        if found is None:
            return 0
        readable = select.EPOLLIN if found.is_readable else 0
        return self._masks[descriptor] & (readable | select.EPOLLOUT)


class VirtualPool(Pool):
    """Opens virtual connections.

    Parameters
    ----------
    accept : callable
        Gives the other end of a new connection to the server of an address; returns
        False if there is none.
    """

    def __init__(
        self,
        loop: Loop,
        net: VirtualPoller,
        accept: Callable[[str, VirtualSocket], bool],
    ) -> None:
        super().__init__(loop)
        self._net = net
        self._accept = accept

    def take(
        self, upstream: str, address: str, until: timedelta
    ) -> Steps[UpstreamConnection | NotSent]:
        yield from ()
        kept = self._kept(upstream, address)
        if kept is not None:
            return kept
        own, other = VirtualSocket.pair(self._net)
        if not self._accept(address, other):
            return NotSent(Why.CONNECT)
        connection = UpstreamConnection(address, self._loop)
        connection._peer = cast(socket.socket, own)
        self.opened += 1
        return connection
