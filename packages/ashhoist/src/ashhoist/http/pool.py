"""Kept connections to upstreams, by address."""

import threading
from collections import deque
from datetime import timedelta

from ..clock import Clock
from .upstream import NotSent, UpstreamConnection

MOST_KEPT = 32


class Pool:
    """Kept connections, newest used first so that the rest may expire.

    Notes
    -----
    Used from many threads; a connection that was taken belongs to its taker.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._by_key: dict[tuple[str, str], deque[UpstreamConnection]] = {}
        self.opened = 0

    def take(
        self, upstream: str, address: str, until: timedelta
    ) -> UpstreamConnection | NotSent:
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
        connection = UpstreamConnection(address, self._clock)
        failed = connection.connect(until)
        if failed is not None:
            return failed
        self.opened += 1
        return connection

    def _kept(self, upstream: str, address: str) -> UpstreamConnection | None:
        while True:
            with self._lock:
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
        key = (upstream, connection.address)
        with self._lock:
            kept = self._by_key.setdefault(key, deque())
            kept.append(connection)
            surplus = kept.popleft() if len(kept) > MOST_KEPT else None
        if surplus is not None:
            surplus.close()

    def forget(self, upstream: str) -> None:
        """Close the kept connections of an upstream that has gone."""
        with self._lock:
            keys = [key for key in self._by_key if key[0] == upstream]
            gone = [self._by_key.pop(key) for key in keys]
        for connections in gone:
            for connection in connections:
                connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        with self._lock:
            everything = list(self._by_key.values())
            self._by_key.clear()
        for connections in everything:
            for connection in connections:
                connection.close()
