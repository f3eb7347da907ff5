"""Waiting on several sockets at once, with a limit and a way to be woken."""

import select
import socket
from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock

READ = select.POLLIN | select.POLLPRI
GONE = select.POLLHUP | select.POLLERR | select.POLLNVAL
LONGEST_WAIT = timedelta(seconds=60)
USER_TIMEOUT_MS = 3000


class Waker:
    """Lets another thread end a wait on sockets.

    Notes
    -----
    A wake-up that comes before the wait ends that wait at once.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable on a wake-up."""
        return self._reader.fileno()

    def wake(self) -> None:
        """End the current or the next wait."""
        try:
            self._writer.send(b"w")
        except (BlockingIOError, OSError):
            return

    def clear(self) -> None:
        """Forget all wake-ups so far."""
        try:
            while self._reader.recv(64):
                continue
        except (BlockingIOError, OSError):
            return

    def close(self) -> None:
        """Close both ends."""
        self._reader.close()
        self._writer.close()


def milliseconds(span: timedelta) -> int:
    """Return a wait for ``poll``, rounded up, never negative."""
    if span <= timedelta():
        return 0
    return int(min(span, LONGEST_WAIT) / timedelta(milliseconds=1)) + 1


def wait_readable(
    descriptors: Iterable[int], until: timedelta, clock: Clock
) -> set[int]:
    """Wait until a descriptor is readable or its peer is gone.

    Parameters
    ----------
    descriptors : iterable of int
        What to watch.
    until : timedelta
        On the monotonic clock.

    Returns
    -------
    set of int
        The descriptors that have something to say; empty when time is up.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, READ)
    while True:
        ready = poll.poll(milliseconds(until - clock.monotonic()))
        if ready:
            return {descriptor for descriptor, _ in ready}
        if clock.monotonic() >= until:
            return set()


def send_all(
    peer: socket.socket,
    data: bytes,
    until: timedelta,
    clock: Clock,
    stop_on_answer: bool = False,
) -> int:
    """Send on a non-blocking socket until all is out or time is up.

    Parameters
    ----------
    stop_on_answer : bool
        True to stop once the other side says something while it takes no more.

    Returns
    -------
    int
        How many bytes the operating system took.

    Raises
    ------
    OSError
        If the connection is gone.
    """
    view = memoryview(data)
    sent = 0
    while sent < len(data):
        try:
            sent += peer.send(view[sent:])
            continue
        except BlockingIOError:
            pass
        left = until - clock.monotonic()
        if left <= timedelta():
            return sent
        poll = select.poll()
        watched = select.POLLOUT | (select.POLLIN if stop_on_answer else 0)
        poll.register(peer.fileno(), watched)
        for _, events in poll.poll(milliseconds(left)):
            if events & select.POLLIN and not events & select.POLLOUT:
                return sent
    return sent


def tune(peer: socket.socket) -> None:
    """Set what every connection of ours has: no delay, silence noticed."""
    peer.setblocking(False)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def listening_socket(address: str, backlog: int) -> socket.socket:
    """Return a socket that listens on ``IP:PORT``.

    Raises
    ------
    OSError
        If the address is taken.
    """
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((host, int(port)))
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    listening.setblocking(False)
    return listening


def has_left(peer: socket.socket) -> bool:
    """Return whether the other side has closed; reads nothing.

    Bytes that wait to be read do not count as leaving.
    """
    try:
        return peer.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
