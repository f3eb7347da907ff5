"""A server that accepts no connections for a while, and then does."""

import socket
import threading

from .platform_stand_ins.server import Handler, Server

HELD_CONNECTIONS = 8
"""More than the listening socket of a `DeafServer` queues."""


class DeafServer(Server):
    """A server that accepts no connections while it is deaf.

    Its listening socket then has a full queue, so that the system drops the attempts to
    connect without an answer, as a silent network does.
    """

    def __init__(self, handler: Handler) -> None:
        self._hears = threading.Event()
        self._hears.set()
        self._accepts_none = threading.Event()
        self._held: list[socket.socket] = []
        super().__init__(handler)

    def _run(self) -> None:
        while True:
            self._hears.wait()
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            self._accepts_none.set()
            self._hears.wait()
            self.connections += 1
            self._peers.append(peer)
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def go_deaf(self) -> None:
        """Accept no connections until `hear`."""
        self._hears.clear()
        self._accepts_none.clear()
        self._listening.listen(0)
        self._hold_connection()
        self._accepts_none.wait()
        for _ in range(HELD_CONNECTIONS):
            self._hold_connection()

    def _hold_connection(self) -> None:
        host, _, port = self.address.rpartition(":")
        held = socket.socket()
        held.setblocking(False)
        held.connect_ex((host, int(port)))
        self._held.append(held)

    def hear(self) -> None:
        """Accept connections again."""
        self._listening.listen(128)
        self._hears.set()
        for held in self._held:
            held.close()
        self._held.clear()

    def close(self) -> None:
        self.hear()
        super().close()
