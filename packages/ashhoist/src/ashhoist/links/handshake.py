"""How a link begins: the websocket's handshake, then a hello from both sides."""

import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from websockets.client import ClientProtocol
from websockets.frames import Frame
from websockets.http11 import Request, Response
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.typing import Subprotocol
from websockets.uri import parse_uri

from .. import codec
from ..http.sockets import send_all
from ..loop import Loop, Steps, Wait
from .link import READ_SIZE

REVISION_PROTOCOLS = {
    Subprotocol(f"ashhoist.{revision}"): revision
    for revision in range(codec.REVISION, codec.FIRST_REVISION, -1)
}
"""Revisions of the messages by websocket subprotocol, the newest first.
Instances of the first revision neither offer nor select a subprotocol."""


@dataclass(frozen=True, slots=True)
class Greeted:
    """The other side's hello.

    Parameters
    ----------
    frames : list
        What came right behind the hello.
    """

    protocol: Protocol
    hello: codec.Hello
    frames: list[Any]

    @property
    def revision(self) -> int:
        """Return the revision of the messages that both sides know."""
        if self.protocol.subprotocol is None:
            return codec.FIRST_REVISION
        return REVISION_PROTOCOLS[self.protocol.subprotocol]


class HandshakeError(Exception):
    """The other side is gone, too slow, or none of ours."""


class Handshake:
    """One side's part in the beginning of a link.

    Parameters
    ----------
    until : timedelta
        When it has to be done, on the monotonic clock.
    """

    def __init__(
        self,
        loop: Loop,
        peer: socket.socket,
        own: codec.Hello,
        until: timedelta,
    ) -> None:
        self._loop = loop
        self._peer = peer
        self._own = own
        self._until = until
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
        protocol = ServerProtocol(
            select_subprotocol=_select_subprotocol, max_size=codec.MAX_FRAME_BYTES
        )
        request = yield from self._next_event(protocol)
        if not isinstance(request, Request):
            raise HandshakeError("no request")
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        allowed = scheme == "Bearer" and is_token(token)
        if allowed:
            response = protocol.accept(request)
        else:
            response = protocol.reject(HTTPStatus.UNAUTHORIZED, "wrong token\n")
        protocol.send_response(response)
        yield from self._send(protocol)
        if not allowed:
            raise HandshakeError("wrong token")
        if response.status_code != HTTPStatus.SWITCHING_PROTOCOLS:
            raise HandshakeError("not a websocket")
        return (yield from self._greet(protocol))

    def ask(self, address: str, token: str) -> Steps[Greeted]:
        """Begin a websocket. Raises as `accept` does."""
        uri = parse_uri(f"ws://{address}/")
        protocol = ClientProtocol(
            uri,
            subprotocols=list(REVISION_PROTOCOLS),
            max_size=codec.MAX_FRAME_BYTES,
        )
        request = protocol.connect()
        request.headers["Authorization"] = f"Bearer {token}"
        protocol.send_request(request)
        yield from self._send(protocol)
        response = yield from self._next_event(protocol)
        if not isinstance(response, Response) or protocol.handshake_exc is not None:
            raise HandshakeError("refused")
        return (yield from self._greet(protocol))

    def _greet(self, protocol: Protocol) -> Steps[Greeted]:
        protocol.send_binary(codec.encode([self._own]))
        yield from self._send(protocol)
        frame = yield from self._next_event(protocol)
        return Greeted(protocol, _hello(frame), self._events)

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
            if protocol.handshake_exc is not None and not self._events:
                # From here on the protocol discards what it receives.
                raise HandshakeError(str(protocol.handshake_exc))
        return self._events.pop(0)

    def _send(self, protocol: Protocol) -> Steps[None]:
        data = b"".join(protocol.data_to_send())
        try:
            sent = yield from send_all(self._loop, self._peer, data, self._until)
        except OSError as error:
            raise HandshakeError(str(error)) from None
        if sent < len(data):
            raise HandshakeError("too slow")


def _select_subprotocol(
    _: ServerProtocol, offered: Sequence[Subprotocol]
) -> Subprotocol | None:
    """Return the first known subprotocol; None continues with the first revision."""
    for subprotocol in offered:
        if subprotocol in REVISION_PROTOCOLS:
            return subprotocol
    return None


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
