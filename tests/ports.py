"""Addresses on loopback that no other test is given.

The system gives out a port again as soon as it is free, also to another process of
tests. Who still connects to the old address, such as an instance that dials another one
that its test has killed, then reaches a stand-in of that process. Each process of tests
therefore has a loopback address of its own, and does not give out again the ports that
it gave out last.
"""

import os
import socket
import threading
from collections import deque

FIRST_BLOCK = 64
"""Second octet of the lowest address: 127.0 and those near it are used by others."""
REMEMBERED_PORTS = 4096
"""Ports that are not given out again: several times what a test uses, and less than a
third of those that the system chooses from by default."""
BACKLOG = 128
"""Connections that wait to be accepted, as `socket.create_server` has it."""

_recent: deque[str] = deque(maxlen=REMEMBERED_PORTS)
_lock = threading.Lock()


def own_host() -> str:
    """Return the loopback address of this process, which no other live process has.

    Made of the process id, which has up to 22 bits on Linux.
    """
    pid = os.getpid()
    return f"127.{FIRST_BLOCK + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def address_of(bound: socket.socket) -> str:
    """Return ``IP:PORT`` of a socket."""
    host, port = bound.getsockname()
    return f"{host}:{port}"


def reserve() -> socket.socket:
    """Return a socket that keeps a port for a process which this test starts.

    A port that is only looked up is free until the process has started: another test
    at the same time may be given it. This socket does not listen, so a process that
    reuses addresses may.
    """
    passed_over = []
    with _lock:
        held = _bound()
        while address_of(held) in _recent:
            passed_over.append(held)
            held = _bound()
        _recent.append(address_of(held))
    for other in passed_over:
        other.close()
    return held


def _bound() -> socket.socket:
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((own_host(), 0))
    return held


def free_address() -> str:
    """Return ``IP:PORT`` of a port that only this process may be given."""
    with reserve() as held:
        return address_of(held)


def listen(backlog: int = BACKLOG) -> socket.socket:
    """Return a socket that listens on a port of this process."""
    listening = reserve()
    listening.listen(backlog)
    return listening
