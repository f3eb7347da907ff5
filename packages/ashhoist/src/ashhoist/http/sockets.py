"""Sockets as the loop uses them: never blocking, silence of the other side noticed."""

import socket
import struct
from datetime import timedelta

from ..loop import Loop, Steps, Wait

USER_TIMEOUT_MS = 3000
"""After so long without a sign of the other side a connection counts as broken."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""For `SO_LINGER`: what has not been sent is dropped, and the other side is told."""


def send_all(
    loop: Loop,
    peer: socket.socket,
    data: bytes,
    until: timedelta,
    stop_on_answer: bool = False,
) -> Steps[int]:
    """Send on a non-blocking socket until all is out or time is up.

    Parameters
    ----------
    until : timedelta
        On the monotonic clock.
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
    descriptor = peer.fileno()
    readable = (descriptor,) if stop_on_answer else ()
    while sent < len(data):
        try:
            sent += peer.send(view[sent:])
            continue
        except BlockingIOError:
            pass
        ready = yield Wait(until, readable, writable=descriptor)
        if ready is None:
            return sent
        if stop_on_answer and has_bytes(peer):
            return sent
    return sent


def tune(peer: socket.socket) -> None:
    """Set what every connection of ours has: no delay, silence noticed."""
    peer.setblocking(False)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def limit_unsent(peer: socket.socket, kept: timedelta) -> None:
    """Have the system drop what it has not sent when the connection or process ends.

    Parameters
    ----------
    kept : timedelta
        So long it tries to send on what the other side does not take.
    """
    kept_ms = int(kept / timedelta(milliseconds=1))
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, kept_ms)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


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


def connect(loop: Loop, address: str, until: timedelta) -> Steps[socket.socket | None]:
    """Open a connection to ``IP:PORT``; None if there is none in time.

    Parameters
    ----------
    until : timedelta
        On the monotonic clock.
    """
    host, _, port = address.rpartition(":")
    peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connected = False
    try:
        tune(peer)
        connected = yield from _connected(peer, (host, int(port)), until)
    except OSError:
        return None
    finally:
        if not connected:
            close(loop, peer)
    return peer if connected else None


def _connected(
    peer: socket.socket, address: tuple[str, int], until: timedelta
) -> Steps[bool]:
    try:
        peer.connect(address)
        return True
    except BlockingIOError:
        pass
    ready = yield Wait(until, writable=peer.fileno())
    if ready is None:
        return False
    return peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def close(loop: Loop, peer: socket.socket) -> None:
    """Close a socket, and drop what the loop keeps of it."""
    if peer.fileno() >= 0:
        loop.forget(peer.fileno())
    peer.close()


def reset(loop: Loop, peer: socket.socket) -> None:
    """Break a connection; what the operating system has not sent yet never arrives."""
    if peer.fileno() >= 0:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    close(loop, peer)


def has_bytes(peer: socket.socket) -> bool:
    """Return whether something has come or the other side is gone; reads nothing."""
    try:
        peer.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


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
