"""Takes callers' connections and hands those that speak to a thread.

A connection that rests costs no thread: the listener watches it. Once a request
begins to arrive the connection goes to the executor, and it comes back when the
answer is out.
"""

import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta

from ..clock import Clock
from .caller import CallerConnection
from .sockets import Waker, listening_socket, tune

BACKLOG = 1024
LOOK_EVERY = timedelta(seconds=1)
ACCEPTED_AT_ONCE = 64
STOP_TIME = timedelta(seconds=2)

Serve = Callable[[CallerConnection], bool]
"""Answers what has come; returns whether the connection is kept."""


class Listener:
    """Owns the listening socket and all resting connections.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    serve : callable
        Runs on a thread of `executor`.
    idle_time : callable
        Returns how long a connection may rest.

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
        executor: Executor,
        clock: Clock,
    ) -> None:
        self._listening = listening_socket(address, BACKLOG)
        self._serve = serve
        self._idle_time = idle_time
        self._executor = executor
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._waker = Waker()
        self._back: deque[CallerConnection] = deque()
        self._resting: dict[int, CallerConnection] = {}
        self._stopping = False
        self._ended = threading.Event()
        self._counting = threading.Lock()
        self._looked_at = clock.monotonic()
        self.busy = 0

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self._listening.getsockname()
        return f"{host}:{port}"

    def run(self) -> None:
        """Watch until `stop`. Runs on its own thread."""
        self._selector.register(self._listening, selectors.EVENT_READ)
        self._selector.register(self._waker.fileno(), selectors.EVENT_READ)
        while not self._stopping:
            self._run_once()
        self._selector.close()
        self._listening.close()
        self._ended.set()

    def _run_once(self) -> None:
        for key, _ in self._selector.select(LOOK_EVERY.total_seconds()):
            if key.fd == self._waker.fileno():
                self._waker.clear()
                continue
            if key.fd == self._listening.fileno():
                self._accept()
                continue
            self._begin(self._resting.pop(key.fd))
        while self._back:
            self._rest(self._back.popleft())
        self._close_expired()

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
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
        self._rest(CallerConnection(peer, self._clock))

    def _rest(self, connection: CallerConnection) -> None:
        self._resting[connection.fileno()] = connection
        self._selector.register(connection.fileno(), selectors.EVENT_READ)

    def _begin(self, connection: CallerConnection) -> None:
        self._selector.unregister(connection.fileno())
        with self._counting:
            self.busy += 1
        self._executor.submit(self._run_connection, connection)

    def _run_connection(self, connection: CallerConnection) -> None:
        kept = False
        try:
            kept = self._serve(connection)
        finally:
            with self._counting:
                self.busy -= 1
            if kept:
                self._back.append(connection)
                self._waker.wake()

    def _close_expired(self) -> None:
        now = self._clock.monotonic()
        if now - self._looked_at < LOOK_EVERY:
            return
        self._looked_at = now
        limit = now - self._idle_time()
        for descriptor, connection in list(self._resting.items()):
            if connection.idle_since > limit:
                continue
            self._selector.unregister(descriptor)
            del self._resting[descriptor]
            connection.abort()

    def close_resting(self) -> None:
        """Close the connections that rest; used once the listener has ended."""
        for connection in list(self._resting.values()) + list(self._back):
            connection.abort()
        self._waker.close()
        self._resting.clear()
        self._back.clear()

    def stop(self, longest: timedelta = STOP_TIME) -> None:
        """Stop listening and watching; return once that is so."""
        self._stopping = True
        self._waker.wake()
        self._ended.wait(longest.total_seconds())
