"""Takes callers' connections, and answers what they ask, a task for each.

A connection that rests costs no more than its task; the loop wakes that task once
a request begins to arrive.
"""

import socket
from collections.abc import Callable
from datetime import timedelta

from ..loop import Loop, Steps, Task, Wait
from .caller import CallerConnection
from .sockets import close, listening_socket, tune

BACKLOG = 1024
ACCEPTED_AT_ONCE = 64
"""Connections that are taken in one turn of the loop."""

Serve = Callable[[CallerConnection], Steps[bool]]
"""Answers what has come; returns whether the connection is kept."""


class Listener:
    """Owns the listening socket and all callers' connections.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    idle_time : callable
        Returns how long a connection may rest.
    most : int
        Connections that are open at once; further ones wait to be taken.

    Raises
    ------
    OSError
        If the address is taken.
    """

    def __init__(
        self,
        address: str,
        serve: Serve,
        idle_time: Callable[[], timedelta],
        most: int,
        loop: Loop,
    ) -> None:
        self._listening = listening_socket(address, BACKLOG)
        self._serve = serve
        self._idle_time = idle_time
        self._most = most
        self._loop = loop
        self._resting: dict[CallerConnection, Task] = {}
        self._stopped = False
        self._open = 0
        self.busy = 0

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self._listening.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Begin to take connections."""
        self._loop.on_readable(self._listening.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            if self._open >= self._most:
                self._loop.off_readable(self._listening.fileno())
                return
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            self._take(peer)

    def _take(self, peer: socket.socket) -> None:
        try:
            tune(peer)
        except OSError:
            peer.close()
            return
        self._open += 1
        connection = CallerConnection(peer, self._loop)
        steps = self._run_connection(connection)
        self._resting[connection] = Task(self._loop, steps, "caller")

    def _run_connection(self, connection: CallerConnection) -> Steps[None]:
        try:
            while (yield from self._rest(connection)):
                task = self._resting.pop(connection)
                kept = yield from self._answer(connection)
                if not kept or self._stopped:
                    return
                self._resting[connection] = task
        finally:
            self._resting.pop(connection, None)
            connection.abort()
            self._ended()

    def _rest(self, connection: CallerConnection) -> Steps[bool]:
        """Wait for the next request; return False if none comes in time."""
        until = connection.idle_since + self._idle_time()
        ready = yield Wait(until, (connection.fileno(),))
        return ready is not None

    def _answer(self, connection: CallerConnection) -> Steps[bool]:
        self.busy += 1
        try:
            return (yield from self._serve(connection))
        finally:
            self.busy -= 1

    def _ended(self) -> None:
        """Note that a connection has ended; there is room for another."""
        self._open -= 1
        if self._open == self._most - 1 and not self._stopped:
            self.start()

    def stop(self) -> None:
        """Take no further connections and requests; those under way go on.

        Connections that rest are closed at once: what a caller sends on one from
        now on is not read, and it asks another instance.
        """
        if self._stopped:
            return
        self._stopped = True
        close(self._loop, self._listening)
        for connection, task in list(self._resting.items()):
            task.cancel()
            connection.abort()
