"""How a link begins: the websocket's handshake, then a hello from both sides."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from websockets.client import ClientProtocol
from websockets.frames import Frame
from websockets.http11 import Request, Response
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from .. import codec
from ..http.sockets import send_all
from ..loop import Loop, Steps, Wait
from .link import READ_SIZE

LEVEL_HEADER = "Ashhoist-Field-Level"
"""Tells the other side the `codec.FIELD_LEVEL`. Instances that do not send it take
messages without the fields that were added later."""
MAX_LEVEL_DIGITS = 6


@dataclass(frozen=True, slots=True)
class Greeted:
    """The other side's hello.

    Parameters
    ----------
    level : int
        The other side's `codec.FIELD_LEVEL`; 0 if it told none.
    frames : list
        What came right behind the hello.
    """

    protocol: Protocol
    hello: codec.Hello
    level: int
    frames: list[Any]


class HandshakeError(Exception):
    """The other side is gone, too slow, or none of ours."""


class Handshake:
    """One side's part in the beginning of a link.

    Parameters
    ----------
    until : timedelta
        When it has to be done, on the monotonic clock.
    level : int
        The field level that the other side is told.
    """

    def __init__(
        self,
        loop: Loop,
        peer: socket.socket,
        own: codec.Hello,
        until: timedelta,
        level: int = codec.FIELD_LEVEL,
    ) -> None:
        self._loop = loop
        self._peer = peer
        self._own = own
        self._until = until
        self._level = str(level)
        self._events: list[Any] = []

    def accept(self, is_token: Callable[[str], bool]) -> Steps[Greeted]:
        """Answer a websocket's beginning.

        Parameters
        ----------
        is_token : callable
            Returns whether the other side may link with the token it shows.

        Raises
        ------
        HandshakeError
            If there will be no link.
        """
        protocol = ServerProtocol(max_size=codec.MAX_FRAME_BYTES)
        request = yield from self._next_event(protocol)
        if not isinstance(request, Request):
            raise HandshakeError("no request")
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        allowed = scheme == "Bearer" and is_token(token)
        if allowed:
            response = protocol.accept(request)
        else:
            response = protocol.reject(HTTPStatus.UNAUTHORIZED, "wrong token\n")
        response.headers[LEVEL_HEADER] = self._level
        protocol.send_response(response)
        yield from self._send(protocol)
        if not allowed:
            raise HandshakeError("wrong token")
        if response.status_code != HTTPStatus.SWITCHING_PROTOCOLS:
            raise HandshakeError("not a websocket")
        return (yield from self._greet(protocol, _level(request)))

    def ask(self, address: str, token: str) -> Steps[Greeted]:
        """Begin a websocket. Raises as `accept` does."""
        uri = parse_uri(f"ws://{address}/")
        protocol = ClientProtocol(uri, max_size=codec.MAX_FRAME_BYTES)
        request = protocol.connect()
        request.headers["Authorization"] = f"Bearer {token}"
        request.headers[LEVEL_HEADER] = self._level
        protocol.send_request(request)
        yield from self._send(protocol)
        response = yield from self._next_event(protocol)
        if not isinstance(response, Response) or protocol.handshake_exc is not None:
            raise HandshakeError("refused")
        return (yield from self._greet(protocol, _level(response)))

    def _greet(self, protocol: Protocol, level: int) -> Steps[Greeted]:
        protocol.send_binary(codec.encode([self._own]))
        yield from self._send(protocol)
        frame = yield from self._next_event(protocol)
        return Greeted(protocol, _hello(frame), level, self._events)

    def _next_event(self, protocol: Protocol) -> Steps[Any]:
        while not self._events:
            ready = yield Wait(self._until, (self._peer.fileno(),))
            if ready is None:
                raise HandshakeError("too slow")
            try:
                data = self._peer.recv(READ_SIZE)
            except BlockingIOError:
                continue
            except OSError as error:
                raise HandshakeError(str(error)) from None
            if not data:
                raise HandshakeError("gone")
            protocol.receive_data(data)
            self._events = protocol.events_received()
            if protocol.parser_exc is not None:
                raise HandshakeError(str(protocol.parser_exc))
        return self._events.pop(0)

    def _send(self, protocol: Protocol) -> Steps[None]:
        data = b"".join(protocol.data_to_send())
        try:
            sent = yield from send_all(self._loop, self._peer, data, self._until)
        except OSError as error:
            raise HandshakeError(str(error)) from None
        if sent < len(data):
            raise HandshakeError("too slow")


def _level(head: Request | Response) -> int:
    """Return the other side's field level; 0 if it told none that can be read."""
    value = ",".join(head.headers.get_all(LEVEL_HEADER))
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_LEVEL_DIGITS:
        return 0
    return int(value)


def _hello(frame: Any) -> codec.Hello:
    """Return the hello in a frame. Raises `HandshakeError` if there is none."""
    try:
        items = codec.decode(bytes(frame.data) if isinstance(frame, Frame) else b"")
    except codec.FrameError as error:
        raise HandshakeError(str(error)) from None
    if len(items) != 1 or not isinstance(items[0], codec.Hello):
        raise HandshakeError("no hello")
    if items[0].protocol != codec.PROTOCOL:
        raise HandshakeError("another protocol")
    return items[0]
