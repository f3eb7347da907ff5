"""The caller's side of a request: one kept connection, many requests."""

import socket
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import h11

from ..clock import ZERO
from ..loop import Loop, Steps, Wait
from .headers import encoded
from .numbers import parse_number
from .read_size import ReadSize
from .request import (
    CallerGoneError,
    CallerLimits,
    Headers,
    MalformedRequestError,
    Request,
    StoppingError,
)
from .sockets import close, has_bytes, has_left, reset, send_all

READ_SIZE = 65536
HEADER_ROOM = 65536
LINGER = timedelta(milliseconds=300)
MIN_ARRIVAL_TIME = timedelta(seconds=1)
"""The least time for a first request or a body to arrive, however short the idle time
is."""
IDLE_MARGIN = timedelta(seconds=1)
"""A kept connection is said to rest for so much less than it may: a request that is
sent at the end of the time has to arrive."""
SECOND = timedelta(seconds=1)
KEPT_FROM_VERSION = b"1.1"
"""The first version of HTTP whose connections are kept."""
ENDED = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
"""States of a caller whose request is whole."""


class CallerConnection:
    """One connection of a caller; used by one task.

    Parameters
    ----------
    peer : socket.socket
        Non-blocking.

    Attributes
    ----------
    answered : int
        Number of responses sent on it.
    discarded_bytes : int
        Bytes that were read behind the last request and dropped.
    kept_for : timedelta
        How long it may rest by what the last response stated.
    keep : bool
        False if the next response states that the connection is closed.
    is_closing : callable
        Returns whether connections are not kept any more. Asked when a response begins.
    is_interrupted : bool
        Whether the instance ends: no further request is served.
    is_sending : bool
        Whether a part of a response is on its way to the caller.
    """

    def __init__(self, peer: socket.socket, loop: Loop) -> None:
        self._peer = peer
        self._loop = loop
        self._clock = loop.clock
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_ROOM)
        self._read_size = ReadSize()
        self._limits = CallerLimits()
        self._content_length = ""
        self._passed_bytes = 0
        self._drain_limit: int | None = None
        self._has_read = False
        self._watched = True
        self._is_head_request = False
        self.idle_since = loop.clock.monotonic()
        self.answered = 0
        self.discarded_bytes = 0
        self.kept_for = ZERO
        self.keep = True
        self.is_closing: Callable[[], bool] = lambda: False
        self.is_interrupted = False
        self.is_sending = False

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._peer.fileno()

    # Reading

    def read_request(self, limits: CallerLimits) -> Steps[Request]:
        """Read the next request whole. Raises as `read_head` does."""
        head = yield from self.read_head(limits)
        return (yield from self.read_body(head, limits))

    def read_head(self, limits: CallerLimits) -> Steps[Request]:
        """Read the next request up to its body; see `read_body`.

        Raises
        ------
        CallerGoneError
            If the connection ends first.
        MalformedRequestError
            If it is none, too large, or too slow.
        """
        self._limits = limits
        begun = self._clock.monotonic()
        if self.has_more:
            # A caller may send refused requests without end, which need no wait.
            yield from self._yield_turn(begun)
        else:
            self._has_read = False
        until = begun + limits.header_time
        head = yield from self._read_head(until)
        if sum(len(name) + len(value) for name, value in head.headers) > (
            limits.header_bytes
        ):
            raise MalformedRequestError(431, "headers too large")
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ]
        values = {name.lower(): value for name, value in pairs}
        self._is_head_request = head.method == b"HEAD"
        is_old = head.http_version < KEPT_FROM_VERSION
        if is_old or "close" in values.get("connection", "").lower():
            self.keep = False
        self._content_length = values.get("content-length", "")
        return Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            pairs,
            b"",
            begun,
            values,
        )

    def _yield_turn(self, now: timedelta) -> Steps[None]:
        """Wait for the next turn of the loop, also if the instance ends.

        What has been read may be a whole request, which has to be responded to.
        """
        try:
            yield Wait(now)
        except StoppingError:
            pass

    def _read_head(self, until: timedelta) -> Steps[h11.Request]:
        event = yield from self._next_event(until)
        if isinstance(event, h11.Request):
            return event
        raise CallerGoneError

    def read_body(self, request: Request, limits: CallerLimits) -> Steps[Request]:
        """Read the body that belongs to a head, and return both.

        Raises
        ------
        CallerGoneError, MalformedRequestError
            As for `read_head`.
        """
        body = yield from self._read_body(limits)
        return replace(request, body=body) if body else request

    def _read_body(self, limits: CallerLimits) -> Steps[bytes]:
        time = max(limits.idle_time, MIN_ARRIVAL_TIME)
        until = self._clock.monotonic() + time
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            yield from self._send(self._http.send(go_on), until)
            self._check_interrupted()
        body = bytearray()
        while True:
            event = yield from self._next_event(until)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            body += event.data
            if len(body) > limits.body_bytes:
                raise MalformedRequestError(413, "body too large")

    def _next_event(self, until: timedelta) -> Steps[h11.Event]:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(
                    error.error_status_hint, str(error)
                ) from None
            if event is h11.NEED_DATA:
                yield from self._receive(until)
                continue
            self._read_size.parsed()
            if isinstance(event, type) or isinstance(event, h11.ConnectionClosed):
                raise CallerGoneError
            return event

    def _receive(self, until: timedelta) -> Steps[None]:
        """Read once, in a turn of the loop of its own unless the request begins.

        Otherwise a caller that sends fast would hold up the loop, and no time would end
        its request.
        """
        if self._has_read and (yield Wait(until, (self.fileno(),))) is None:
            raise MalformedRequestError(408, "request came too slowly")
        self._has_read = True
        try:
            data = self._peer.recv(self._read_size.take())
        except BlockingIOError:
            return
        except OSError:
            raise CallerGoneError from None
        self._read_size.received(len(data))
        self._http.receive_data(data)

    @property
    def has_more(self) -> bool:
        """Return whether bytes of a next request have been read already."""
        return bool(self._http.trailing_data[0]) and not self.has_body_left

    def has_bytes(self) -> bool:
        """Return whether something has arrived that has not been read."""
        return has_bytes(self._peer)

    # Passing over a body

    @property
    def has_body_left(self) -> bool:
        """Return whether the body of a request that was responded to has not ended."""
        if self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state is h11.SEND_BODY

    def pass_body(self) -> bool:
        """Read on in a body that nobody needs; return False if it is none any more."""
        try:
            data = self._peer.recv(self._read_size.take())
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._read_size.received(len(data))
        self._http.receive_data(data)
        return self._pass_received_body()

    def _pass_received_body(self) -> bool:
        """Drop what has been read of a body; begin anew once it has ended.

        A body beyond the limit is given up only where it has not ended in what has been
        read: bytes of the next request may have been read with its end.
        """
        try:
            while self.has_body_left:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return self._passed_bytes <= self._limits.body_bytes
                self._read_size.parsed()
                if isinstance(event, h11.Data):
                    self._passed_bytes += len(event.data)
        except h11.RemoteProtocolError:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._passed_bytes = 0
        self.idle_since = self._clock.monotonic()
        return True

    # Watching

    @property
    def watched(self) -> int | None:
        """Return the descriptor to watch for the caller's leaving, or None."""
        return self.fileno() if self._watched else None

    def left(self) -> bool:
        """Return whether the caller has closed the connection.

        Bytes of a next request that came early are no sign of leaving; from
        then on the connection is not watched, as it would stay readable.
        """
        if has_left(self._peer):
            return True
        self._watched = False
        return False

    # Answering

    @property
    def awaits_response(self) -> bool:
        """Return whether a request was read whose response has not begun."""
        return self._http.our_state is h11.SEND_RESPONSE

    def respond(
        self, status: int, headers: Headers, body: bytes, until: timedelta
    ) -> Steps[None]:
        """Send a whole answer, also if the instance ends meanwhile.

        An answer to a `HEAD` request only states the body's length.

        Raises
        ------
        CallerGoneError
            If the connection is gone.
        """
        framed = [*headers, ("Content-Length", str(len(body)))]
        self._begin(status, framed)
        data = self._head_bytes
        if body and not self._is_head_request:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        yield from self._send(data, until)

    def start(self, status: int, headers: Headers, until: timedelta) -> Steps[None]:
        """Send the head of an answer whose length is not known.

        Raises
        ------
        StoppingError
            If the instance ends meanwhile; the head is sent.
        """
        self._begin(status, [*headers, ("Transfer-Encoding", "chunked")])
        yield from self._send(self._head_bytes, until)
        self._check_interrupted()

    def send(self, data: bytes, until: timedelta) -> Steps[None]:
        """Send a piece of the answer.

        Raises
        ------
        StoppingError
            If the instance ends meanwhile; the piece is sent whole.
        """
        yield from self._send(self._http.send(h11.Data(data=data)) or b"", until)
        self._check_interrupted()

    def finish(self, until: timedelta) -> Steps[None]:
        """Send the end of the answer."""
        yield from self._send(self._http.send(h11.EndOfMessage()) or b"", until)

    def _begin(self, status: int, headers: Headers) -> None:
        if self._http.they_are_waiting_for_100_continue:
            # Its body may come, or be left out: nobody could tell the next request.
            self.keep = False
        if self.keep and self._has_long_body_left:
            self.keep = False
            self._drain_limit = self._limits.body_bytes
        self.keep = self.keep and not self.is_closing()
        self.keep = self.keep and self._limits.idle_time > ZERO
        headers = [*headers, *self._connection_headers()]
        event = h11.Response(status_code=status, headers=encoded(headers))
        try:
            self._head_bytes = self._http.send(event) or b""
        except h11.LocalProtocolError:
            raise CallerGoneError from None

    @property
    def _has_long_body_left(self) -> bool:
        """Return whether a body has not ended that is known to exceed the limit."""
        if self._http.their_state is not h11.SEND_BODY:
            return False
        length = parse_number(self._content_length)
        return length is not None and length > self._limits.body_bytes

    def _connection_headers(self) -> Headers:
        """Return the headers that state what becomes of the connection."""
        if not self.keep:
            return [("Connection", "close")]
        self.kept_for = self._limits.idle_time
        seconds = (self.kept_for - IDLE_MARGIN) // SECOND
        return [("Keep-Alive", f"timeout={seconds}")] if seconds > 0 else []

    def _send(self, data: bytes | None, until: timedelta) -> Steps[None]:
        if not data:
            return
        self.is_sending = True
        try:
            sent = yield from send_all(self._loop, self._peer, data, until)
        except OSError:
            raise CallerGoneError from None
        finally:
            self.is_sending = False
        if sent < len(data):
            raise CallerGoneError

    def _check_interrupted(self) -> None:
        if self.is_interrupted:
            raise StoppingError

    # Ending

    def next(self) -> bool:
        """Make ready for the next request; return False if there is none."""
        self.answered += 1
        self._watched = True
        if self.fileno() < 0 or not self.keep or self._http.our_state is not h11.DONE:
            return False
        self.idle_since = self._clock.monotonic()
        # A body beyond the limit ends the connection once more of it arrives, as what
        # is read while a connection is closed may be the next request.
        return self._pass_received_body() or self.has_body_left

    def close(self) -> Steps[None]:
        """Close in order: what was sent still arrives."""
        self.is_sending = True
        try:
            self._peer.shutdown(socket.SHUT_WR)
            self.discarded_bytes = self._early_bytes
            yield from self._drain()
        except OSError:
            pass
        self.abort()

    @property
    def _early_bytes(self) -> int:
        """Return how many bytes were read behind the end of the last request."""
        if self._http.their_state not in ENDED:
            return 0
        return len(self._http.trailing_data[0])

    def _drain(self) -> Steps[None]:
        """Read what came too much, so that the close is not a reset."""
        until = self._clock.monotonic() + LINGER
        limit = self._drain_limit
        while (yield Wait(until, (self.fileno(),))) is not None:
            data = self._peer.recv(READ_SIZE)
            if not data:
                return
            self.discarded_bytes += len(data)
            if limit is not None and self.discarded_bytes > limit:
                return

    def abort(self) -> None:
        """Break the connection so that the answer can't be taken for whole."""
        end = reset if self._ends_by_close else close
        end(self._loop, self._peer)

    @property
    def _ends_by_close(self) -> bool:
        """Return whether an orderly close would end a response that is under way.

        Responses without a length to HTTP/1.0 requests have no other end.
        """
        if self._http.our_state is not h11.SEND_BODY:
            return False
        version = self._http.their_http_version
        return version is not None and version < KEPT_FROM_VERSION
