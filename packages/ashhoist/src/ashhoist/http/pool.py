"""Kept connections to upstreams, by address."""

from collections import deque
from concurrent.futures import Future
from datetime import timedelta

from ..loop import Loop, Steps, Task
from .upstream import NotSent, UpstreamConnection

MOST_KEPT = 32


class Pool:
    """Kept connections, newest used first so that the rest may expire.

    A connection that was taken belongs to its taker.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._by_key: dict[tuple[str, str], deque[UpstreamConnection]] = {}
        self.opened = 0

    def take(
        self, upstream: str, address: str, until: timedelta
    ) -> Steps[UpstreamConnection | NotSent]:
        """Return a connection, a kept one if there is one that may be used.

        Parameters
        ----------
        upstream : str
            Its id; a new life of the upstream gets new connections.
        until : timedelta
            When to give up connecting.
        """
        kept = self._kept(upstream, address)
        if kept is not None:
            return kept
        connection = UpstreamConnection(address, self._loop)
        failed = yield from connection.connect(until)
        if failed is not None:
            return failed
        self.opened += 1
        return connection

    def _kept(self, upstream: str, address: str) -> UpstreamConnection | None:
        while True:
            waiting = self._by_key.get((upstream, address))
            if not waiting:
                return None
            connection = waiting.pop()
            if connection.reusable():
                return connection
            connection.close()

    def give_back(self, upstream: str, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was whole, or close it."""
        if not connection.next():
            connection.close()
            return
        self._keep(upstream, connection)

    def open(
        self, upstream: str, address: str, until: timedelta
    ) -> "Future[UpstreamConnection | NotSent]":
        """Open a connection for the next request to an upstream, unless one is kept.

        Returns
        -------
        Future
            Gets the connection, which stays in the pool, or why there is none.
        """
        steps = self._open(upstream, address, until)
        return Task(self._loop, steps, "connection").result

    def _open(
        self, upstream: str, address: str, until: timedelta
    ) -> Steps[UpstreamConnection | NotSent]:
        connection = yield from self.take(upstream, address, until)
        if isinstance(connection, UpstreamConnection):
            self._keep(upstream, connection)
        return connection

    def _keep(self, upstream: str, connection: UpstreamConnection) -> None:
        key = (upstream, connection.address)
        kept = self._by_key.setdefault(key, deque())
        kept.append(connection)
        if len(kept) > MOST_KEPT:
            kept.popleft().close()

    def forget(self, upstream: str) -> None:
        """Close the kept connections of an upstream that has gone."""
        for key in [key for key in self._by_key if key[0] == upstream]:
            for connection in self._by_key.pop(key):
                connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        for upstream in {upstream for upstream, _ in self._by_key}:
            self.forget(upstream)
