"""The upstream's side of a request: what was sent, what came, what is sure.

Three ends are told apart, as only the first allows another try of a request
that must not run twice: no byte of the request has left (`NotSent`), the
connection ended or spoke nonsense after that (`Broken`), and an answer came.
"""

import socket
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

import h11

from ..loop import Loop, Steps, Wait
from .headers import encoded
from .numbers import parse_number
from .read_size import ReadSize
from .sockets import close, connect, has_bytes, limit_unsent, reset, send_all

HEAD_ROOM = 65536
LONG_REQUEST = 32_768
FIRST_FAILURE = 400
MAX_INTERIM_RESPONSES = 16
"""Interim responses (1xx) that are read before the response to a request; an upstream
may send them without end."""
ENDED = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
"""States of an upstream whose answer is whole."""
NO_EXPIRY = timedelta(days=1)
EXPIRY_MARGIN = timedelta(milliseconds=700)
"""A kept connection is not used in the last part of the time the peer states."""


class Why(StrEnum):
    """Why an exchange ended without a whole answer."""

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    CUT = "cut"
    WITHDRAWN = "withdrawn"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request has left this process."""

    why: Why


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent, at least in part, and no whole answer came."""

    why: Why


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: list[tuple[str, str]]
    values: dict[str, str] = field(default_factory=dict)

    def value(self, name: str) -> str:
        """Return a header's value by its name in lower case, or nothing."""
        return self.values.get(name, "")


@dataclass(frozen=True, slots=True)
class Piece:
    """Bytes of an answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The end of a whole answer."""


class Waiting:
    """Nothing has come yet."""


WAITING = Waiting()
Event = Head | Piece | End | Broken | Waiting


class UpstreamConnection:
    """One connection to an upstream; used by one task at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    unsent_kept : timedelta or None
        How long the system may go on sending what the upstream does not take, if this
        process runs; None leaves it at what all connections have.
    """

    def __init__(
        self, address: str, loop: Loop, unsent_kept: timedelta | None = None
    ) -> None:
        self.address = address
        self._unsent_kept = unsent_kept
        self._loop = loop
        self._clock = loop.clock
        self._peer: socket.socket | None = None
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_ROOM)
        self._request: h11.Request | None = None
        self._sent_whole = True
        self._long = False
        self._failure = False
        self._framed = True
        self._interim_responses = 0
        self._read_size = ReadSize()
        self.used = 0
        self.is_closed_by_peer = False
        self.expires_at = loop.clock.monotonic() + NO_EXPIRY

    def fileno(self) -> int:
        """Return the socket's descriptor, or -1."""
        return self._peer.fileno() if self._peer is not None else -1

    def connect(self, until: timedelta) -> Steps[NotSent | None]:
        """Open the connection.

        Parameters
        ----------
        until : timedelta
            On the monotonic clock.
        """
        self._peer = yield from connect(self._loop, self.address, until)
        if self._peer is None:
            return NotSent(Why.CONNECT)
        if self._unsent_kept is not None:
            limit_unsent(self._peer, self._unsent_kept)
        return None

    # Sending

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        until: timedelta,
    ) -> Steps[NotSent | Broken | None]:
        """Send a request whole."""
        assert self._peer is not None
        fields = encoded(headers)
        request = h11.Request(method=method, target=target, headers=fields)
        self._request = request
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.used += 1
        try:
            sent = yield from send_all(self._loop, self._peer, data, until, True)
        except OSError:
            return Broken(Why.RESET)
        self._sent_whole = sent == len(data)
        self._long = len(data) > LONG_REQUEST
        if self._sent_whole or self._clock.monotonic() < until:
            # What was not taken is not wanted: the answer is there already.
            return None
        return Broken(Why.TIMEOUT) if sent else NotSent(Why.TIMEOUT)

    # Receiving

    def next_event(self) -> Event:
        """Return the next part of the answer that was received, without waiting."""
        try:
            event = self._http.next_event()
            while isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    return Broken(Why.MALFORMED)
                event = self._http.next_event()
        except h11.RemoteProtocolError:
            rest, closed = self._http.trailing_data
            return Broken(Why.CLOSED if closed and not rest else Why.MALFORMED)
        if event is h11.NEED_DATA:
            return WAITING
        self._read_size.parsed()
        if isinstance(event, h11.Data):
            return Piece(bytes(event.data))
        if isinstance(event, h11.Response):
            return self._head(event)
        if isinstance(event, h11.EndOfMessage):
            return End()
        return Broken(Why.CLOSED)

    def receive(self) -> Broken | None:
        """Take in what has come, once the descriptor is readable."""
        assert self._peer is not None
        try:
            data = self._peer.recv(self._read_size.take())
        except BlockingIOError:
            return None
        except OSError:
            return Broken(Why.RESET)
        self._read_size.received(len(data))
        self.is_closed_by_peer = not data
        try:
            self._http.receive_data(data)
        except RuntimeError:
            return Broken(Why.CLOSED)
        return None

    def _head(self, event: h11.Response) -> Head:
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        values = {name.lower(): value for name, value in pairs}
        self._interim_responses = 0
        self._framed = "content-length" in values or "transfer-encoding" in values
        self._failure = event.status_code >= FIRST_FAILURE
        self._keep_until(values.get("keep-alive", ""))
        return Head(event.status_code, pairs, values)

    def _keep_until(self, keep_alive: str) -> None:
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_number(value) if name.lower() == "timeout" else None
            if seconds is None:
                continue
            kept = timedelta(seconds=seconds) - EXPIRY_MARGIN
            self.expires_at = self._clock.monotonic() + kept

    def wait(self, until: timedelta) -> Steps[Broken | None]:
        """Wait until something has come, and take it in."""
        ready = yield Wait(until, (self.fileno(),))
        return Broken(Why.TIMEOUT) if ready is None else self.receive()

    def expect_another(self) -> bool:
        """Read on for the answer that is due, behind one that was too much.

        Returns
        -------
        bool
            False if the connection can't carry another answer.
        """
        if not self._sent_whole or not self._framed:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        assert self._request is not None
        left_over, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_ROOM)
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[("Host", "again"), ("Content-Length", "0")],
            )
        )
        self._http.send(h11.EndOfMessage())
        if left_over:
            self._http.receive_data(left_over)
        return True

    # Keeping

    def reusable(self) -> bool:
        """Return whether the connection may carry a next request.

        Bytes that are there already belong to no request of ours.
        """
        if self._peer is None or self._http.trailing_data[0]:
            return False
        if self._clock.monotonic() >= self.expires_at:
            return False
        return not has_bytes(self._peer)

    def next(self) -> bool:
        """Make ready for a next request; return False if that can't be."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or not self._framed or not self._sent_whole:
            return False
        if self._long and self._failure:
            # It may have been answered before it was read; who knows what the
            # upstream still expects here.
            return False
        self._http.start_next_cycle()
        return self.reusable()

    def close(self) -> None:
        """Close; an upstream that still works on a request drops it.

        What was given up is reset: held up on its way it would arrive late, behind what
        was sent after it.
        """
        if self._peer is None:
            return
        end = close if self._rests else reset
        end(self._loop, self._peer)
        self._peer = None

    @property
    def _rests(self) -> bool:
        """Return whether no exchange is under way."""
        if self._http.our_state is h11.IDLE:
            return True
        return self._http.their_state in ENDED
