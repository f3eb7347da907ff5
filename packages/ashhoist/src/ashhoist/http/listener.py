"""Takes callers' connections, and answers what they ask, a task for each.

A connection that rests costs no more than its task; the loop wakes that task once
a request begins to arrive.
"""

import socket
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from ..clock import ZERO
from ..loop import Loop, Steps, Task, Wait, sleep_until
from .caller import MIN_ARRIVAL_TIME, CallerConnection, StoppingError
from .closed_connections import CloseRecorder, KeptClose, NoRecorder
from .read_limit import ReadLimit
from .sockets import close, listening_socket, tune

BACKLOG = 1024
ACCEPTED_AT_ONCE = 128
"""Connections that are taken in one turn of the loop."""
MAX_UNREAD = timedelta(milliseconds=400)
"""How long a new connection waits until its request is read; then it is closed, so that
its caller has time to ask another instance."""
MAX_PASS_AT_STOP = timedelta(milliseconds=300)
"""How long a planned stop reads on in the body of a refused request: a caller may send
one without a pause until the idle time is over."""
UNREAD_INTERVAL = timedelta(milliseconds=10)
"""Between two looks whether a waiting connection may be read."""


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
    closed : CloseRecorder or None
        Learns of connections that are closed between requests.

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
        closed: CloseRecorder | None = None,
    ) -> None:
        self._listening = listening_socket(address, BACKLOG)
        self._serve = serve
        self._idle_time = idle_time
        self._most = most
        self._loop = loop
        self._closed = closed or NoRecorder()
        self._read_limit = ReadLimit()
        self._tasks: dict[CallerConnection, Task] = {}
        self._resting: set[CallerConnection] = set()
        self._stopped = False
        self._pass_until = ZERO
        self._unread = 0
        self._serving = 0

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self._listening.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Begin to take connections."""
        self._loop.on_readable(self._listening.fileno(), self._accept)

    def _accept(self) -> None:
        """Take the connections that wait, up to a number for one turn of the loop."""
        self._accept_some(ACCEPTED_AT_ONCE)

    def _accept_some(self, most: int) -> None:
        for _ in range(most):
            if len(self._tasks) >= self._most:
                self._loop.off_readable(self._listening.fileno())
                return
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            if self._read_limit.is_crowded(self._unread):
                peer.close()
                self._closed.record_unread()
                continue
            self._take(peer)

    def _take(self, peer: socket.socket) -> None:
        try:
            tune(peer)
        except OSError:
            peer.close()
            return
        connection = CallerConnection(peer, self._loop)
        steps = self._run_connection(connection)
        self._tasks[connection] = Task(self._loop, steps, "caller")

    def _run_connection(self, connection: CallerConnection) -> Steps[None]:
        try:
            while True:
                self._resting.add(connection)
                reason = yield from self._rest(connection)
                if reason is not None:
                    self._record_close(connection, reason)
                    return
                if not (yield from self._may_read(connection)):
                    self._closed.record_unread()
                    return
                self._resting.remove(connection)
                kept = yield from self._answer(connection)
                if not kept:
                    return
        except StoppingError:
            self._record_interrupted(connection)
        finally:
            self._resting.discard(connection)
            connection.abort()
            self._ended(connection)

    def _rest(self, connection: CallerConnection) -> Steps[KeptClose | None]:
        """Wait for the next request; return why there is none, or None."""
        while True:
            if self._is_over(connection):
                return KeptClose.STOPPING
            until = self._idle_until(connection)
            ready = yield Wait(until, (connection.fileno(),))
            if ready is None:
                if self._loop.clock.monotonic() < self._idle_until(connection):
                    continue  # A longer time has come into force.
                return KeptClose.IDLE
            if not connection.has_body_left:
                return None
            if not connection.pass_body():
                return KeptClose.UNFINISHED_BODY
            if connection.has_more:
                return None

    def _is_over(self, connection: CallerConnection) -> bool:
        """Return whether a stop ends a connection that rests."""
        if not self._stopped:
            return False
        if not connection.has_bytes():
            return True
        now = self._loop.clock.monotonic()
        return connection.has_body_left and now >= self._pass_until

    def _idle_until(self, connection: CallerConnection) -> timedelta:
        idle_time = max(connection.kept_for, self._idle_time())
        if not connection.answered or connection.has_body_left:
            idle_time = max(idle_time, MIN_ARRIVAL_TIME)
        return connection.idle_since + idle_time

    def _may_read(self, connection: CallerConnection) -> Steps[bool]:
        """Wait until a request may be read; return False if that takes too long.

        Only the first request of a connection waits: a caller whose connection is kept
        has been served here.
        """
        if connection.answered:
            return True
        if self._take_read():
            return True
        self._unread += 1
        try:
            return (yield from self._await_read())
        finally:
            self._unread -= 1

    def _take_read(self) -> bool:
        return self._read_limit.take(self._loop.turns, self._loop.last_turn)

    def _await_read(self) -> Steps[bool]:
        now = self._loop.clock.monotonic()
        until = now + MAX_UNREAD
        while now < until:
            yield from sleep_until(now + UNREAD_INTERVAL)
            if self._take_read():
                return True
            now = self._loop.clock.monotonic()
        return False

    def _answer(self, connection: CallerConnection) -> Steps[bool]:
        self._serving += 1
        try:
            return (yield from self._serve(connection))
        finally:
            self._serving -= 1

    @property
    def busy(self) -> int:
        """Return how many connections have a request at work or, at a stop, unread."""
        return len(self._tasks) if self._stopped else self._serving

    def _record_close(self, connection: CallerConnection, reason: KeptClose) -> None:
        if connection.answered:
            self._closed.record_kept(reason)

    def _record_interrupted(self, connection: CallerConnection) -> None:
        """Record a connection that is closed before its next request is read."""
        if connection.answered:
            self._closed.record_kept(KeptClose.STOPPING)
            return
        self._closed.record_unread()

    def _ended(self, connection: CallerConnection) -> None:
        """Note that a connection has ended; there is room for another."""
        del self._tasks[connection]
        if len(self._tasks) == self._most - 1 and not self._stopped:
            self.start()

    def stop(self) -> None:
        """Take no further connections; serve what has arrived and what is under way.

        Connections on which nothing has arrived are closed at once: what a caller sends
        on one from now on is not read, and it asks another instance.
        """
        if self._stopped:
            return
        # The system resets those that wait in the listening socket when it is closed.
        self._accept_some(BACKLOG)
        self._stopped = True
        self._pass_until = self._loop.clock.monotonic() + MAX_PASS_AT_STOP
        close(self._loop, self._listening)
        for connection in list(self._resting):
            if connection.has_bytes():
                continue
            self._record_close(connection, KeptClose.STOPPING)
            self._tasks[connection].cancel()

    def interrupt(self) -> None:
        """End what is under way, in this turn of the loop or the next.

        `StoppingError` is raised in the tasks of connections. What is being sent goes
        on, and a request that has arrived unread is read, to be refused.
        """
        for connection in self._tasks:
            # A task that was started in this turn has begun by then.
            self._loop.call_soon(partial(self._interrupt, connection))

    def _interrupt(self, connection: CallerConnection) -> None:
        connection.is_interrupted = True
        if connection.is_sending:
            return
        unread = connection in self._resting and connection.has_bytes()
        if unread and not connection.has_body_left:
            return
        self._break_off(connection)

    def abort(self) -> None:
        """Break off all that is left, in this turn of the loop or the next."""
        for connection in self._tasks:
            self._loop.call_soon(partial(self._break_off, connection))

    def _break_off(self, connection: CallerConnection) -> None:
        task = self._tasks.get(connection)
        if task is not None:
            task.interrupt(StoppingError())
