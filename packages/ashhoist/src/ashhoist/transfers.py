"""HTTP to the outside: one task that owns one multi handle of libcurl.

The packages of the peers build `Transfer` values and bring the sinks that make
sense of the answers; everything here is plumbing.
"""

import selectors
import socket
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import pycurl

from .logs import Logger
from .tasks import Task, handles

CONNECT_TIMEOUT = timedelta(seconds=2)
MAX_CONNECTIONS = 512
POLL_LONGEST = 1.0
NO_BYTE_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


@dataclass(frozen=True, slots=True)
class TransferEnd:
    """How a transfer ended.

    Parameters
    ----------
    ok : bool
        True if a whole HTTP answer came, whatever its status.
    sent : bool
        False only if surely no byte of the request reached the peer.
    detail : str
        libcurl's words for an error.
    """

    ok: bool
    sent: bool
    status: int
    detail: str = ""


class Sink(Protocol):
    """Takes the answer of one transfer, on the transfer task's thread."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers."""

    def data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def flush(self) -> None:
        """Pass on what was collected; called once per round of the loop."""

    def done(self, end: TransferEnd) -> None:
        """Take the end; nothing follows."""


@dataclass(frozen=True, slots=True)
class Transfer:
    """A request to make.

    Parameters
    ----------
    timeout : timedelta
        For the whole transfer.
    once : bool
        True makes sure that libcurl sends it at most once: it never resends
        on a dead reused connection, as the connection is new and not kept.
    """

    id: Hashable
    method: str
    url: str
    sink: Sink
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout: timedelta = timedelta(seconds=30)
    once: bool = False
    may_start: Any = None

    @property
    def kind(self) -> str:
        """Return what the transfer is for, as a metric's label."""
        return self.id[0] if isinstance(self.id, tuple) else str(self.id)


@dataclass(frozen=True, slots=True)
class Abort:
    """End a transfer; its sink gets no more calls."""

    id: Hashable


@dataclass(frozen=True, slots=True)
class Pause:
    """Stop or go on reading a transfer's answer."""

    id: Hashable
    paused: bool


class _Handle:
    """One transfer under way."""

    def __init__(self, transfer: Transfer, dirty: dict["_Handle", None]) -> None:
        self.transfer = transfer
        self.headers: dict[str, str] = {}
        self.headed = False
        self.status = 0
        self.bytes_moved = 0
        self.curl = pycurl.Curl()
        self._dirty = dirty
        self._set_up(transfer)

    def _set_up(self, transfer: Transfer) -> None:
        curl = self.curl
        curl.setopt(pycurl.URL, transfer.url)
        curl.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        headers = [f"{name}: {value}" for name, value in transfer.headers.items()]
        curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if transfer.body is not None:
            curl.setopt(pycurl.POSTFIELDS, transfer.body)
        elif transfer.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        limit = min(CONNECT_TIMEOUT, transfer.timeout)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, _milliseconds(limit))
        curl.setopt(pycurl.TIMEOUT_MS, _milliseconds(transfer.timeout))
        if transfer.once:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, self._header)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)

    def _header(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers = {}
            self.status = int(text.split(" ")[1])
            return
        name, separator, value = text.partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()

    def _write(self, data: bytes) -> None:
        self._head()
        self._dirty[self] = None
        self.transfer.sink.data(data)

    def _head(self) -> None:
        if self.headed:
            return
        self.headed = True
        self.transfer.sink.head(self.status, self.headers)

    def finish(self, code: int, detail: str) -> None:
        """Tell the sink how it ended."""
        if code == 0:
            self._head()
        unsent = code in NO_BYTE_SENT or (
            code != 0 and self.curl.getinfo(pycurl.REQUEST_SIZE) == 0
        )
        self.bytes_moved = int(
            self.curl.getinfo(pycurl.REQUEST_SIZE)
            + self.curl.getinfo(pycurl.HEADER_SIZE)
            + self.curl.getinfo(pycurl.SIZE_DOWNLOAD_T)
            + self.curl.getinfo(pycurl.SIZE_UPLOAD_T)
        )
        self.transfer.sink.flush()
        self.transfer.sink.done(TransferEnd(code == 0, not unsent, self.status, detail))


class TransferTask(Task):
    """Owns the multi handle and all its connections.

    Parameters
    ----------
    count : callable or None
        Counts the bytes of transfers by kind.
    """

    def __init__(self, log: Logger, count: Callable[..., None] | None = None) -> None:
        super().__init__("transfers", log, timedelta(seconds=1))
        self._count = count
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ)
        self._woken = False
        self._due: float | None = None
        self._handles: dict[Hashable, _Handle] = {}
        self._by_curl: dict[pycurl.Curl, _Handle] = {}
        self._dirty: dict[_Handle, None] = {}

    def send(self, message: Any) -> None:
        """Put a message into the mailbox and wake the loop."""
        super().send(message)
        if self._woken:
            return
        self._woken = True
        try:
            self._wake_write.send(b"w")
        except (BlockingIOError, OSError):
            pass

    def _run_once(self) -> None:
        events = self._selector.select(self._wait())
        for key, mask in events:
            if key.fileobj is self._wake_read:
                continue
            flags = 0
            if mask & selectors.EVENT_READ:
                flags |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                flags |= pycurl.CSELECT_OUT
            self._multi.socket_action(key.fd, flags)
        if self._due is not None and time.monotonic() >= self._due:
            self._due = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._drain_mailbox()
        self._finish_ended()
        dirty = list(self._dirty)
        self._dirty.clear()
        for handle in dirty:
            self.guarded(handle.transfer.sink.flush)

    def _wait(self) -> float:
        if self._due is None:
            return POLL_LONGEST
        return max(0.0, min(POLL_LONGEST, self._due - time.monotonic()))

    def _drain_mailbox(self) -> None:
        try:
            self._wake_read.recv(4096)
        except BlockingIOError:
            pass
        self._woken = False
        while not self._mailbox.empty():
            self.handle(self._mailbox.get_nowait())

    @handles(Transfer)
    def _start(self, transfer: Transfer) -> None:
        if transfer.may_start is not None and not transfer.may_start():
            transfer.sink.done(TransferEnd(False, False, 0, "not sent"))
            return
        handle = _Handle(transfer, self._dirty)
        self._handles[transfer.id] = handle
        self._by_curl[handle.curl] = handle
        self._multi.add_handle(handle.curl)

    @handles(Abort)
    def _abort(self, abort: Abort) -> None:
        handle = self._handles.pop(abort.id, None)
        if handle is None:
            return
        self._dirty.pop(handle, None)
        self._remove(handle)

    @handles(Pause)
    def _pause(self, pause: Pause) -> None:
        handle = self._handles.get(pause.id)
        if handle is None:
            return
        flags = pycurl.PAUSE_RECV if pause.paused else pycurl.PAUSE_CONT
        handle.curl.pause(flags)

    def _finish_ended(self) -> None:
        while True:
            left, good, bad = self._multi.info_read()
            for curl in good:
                self._finish(curl, 0, "")
            for curl, code, detail in bad:
                self._finish(curl, code, detail)
            if not left:
                return

    def _finish(self, curl: pycurl.Curl, code: int, detail: str) -> None:
        handle = self._by_curl[curl]
        self._handles.pop(handle.transfer.id, None)
        self._dirty.pop(handle, None)
        self.guarded(handle.finish, code, detail)
        if self._count is not None:
            kind = handle.transfer.kind
            self._count("transfer_bytes", kind, amount=handle.bytes_moved)
        self._remove(handle)

    def _remove(self, handle: _Handle) -> None:
        del self._by_curl[handle.curl]
        self._multi.remove_handle(handle.curl)
        handle.curl.close()

    def _watch(self, event: int, fd: int, _multi: Any, _data: Any) -> None:
        if event == pycurl.POLL_REMOVE:
            if fd in self._selector.get_map():
                self._selector.unregister(fd)
            return
        mask = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        if fd in self._selector.get_map():
            self._selector.modify(fd, mask)
        else:
            self._selector.register(fd, mask)

    def _set_timer(self, milliseconds: int) -> None:
        self._due = None
        if milliseconds >= 0:
            self._due = time.monotonic() + milliseconds / 1000

    def closed(self) -> None:
        """Close all connections."""
        for handle in list(self._handles.values()):
            self._remove(handle)
        self._handles.clear()
        self._multi.close()
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()


def _milliseconds(duration: timedelta) -> int:
    return max(1, duration // timedelta(milliseconds=1))


class WholeSink:
    """Collects a whole answer of bounded size and passes it on once.

    Parameters
    ----------
    finished : callable
        Takes the end, the headers and the body.
    """

    def __init__(self, finished: Any, limit: int = 16_777_216) -> None:
        self._finished = finished
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0
        self._headers: dict[str, str] = {}

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers."""
        self._headers = headers

    def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._size += len(data)
        if self._size <= self._limit:
            self._parts.append(data)

    def flush(self) -> None:
        """Do nothing: the answer is passed on whole."""

    def done(self, end: TransferEnd) -> None:
        """Pass the answer on."""
        if self._size > self._limit:
            end = TransferEnd(False, True, end.status, "answer too large")
        self._finished(end, self._headers, b"".join(self._parts))
