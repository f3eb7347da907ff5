"""The links to all other instances: dialled, accepted and kept."""

import random
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from .. import codec
from ..exceptions import AddressInUseError
from ..http.sockets import close, connect, listening_socket, tune
from ..logs import Logger
from ..loop import Loop, Steps, Task, Timer
from ..types import Endpoint
from . import news
from .dialling import Dialling
from .handshake import Greeted, Handshake, HandshakeError
from .link import Link

BACKLOG = 512
ACCEPTED_AT_ONCE = 64
DIAL_TIME = timedelta(seconds=2)
HELLO_TIME = timedelta(seconds=3)
TOGETHER = timedelta(seconds=3)
"""Two links to one peer that open within so long were dialled from both sides."""


class Links:
    """All links of this instance.

    Parameters
    ----------
    own : Endpoint
        This instance; its address is where it listens.
    tokens : frozenset of str
        Tokens that the other side may show; one of them is shown by this side.
    tell : callable
        Takes what is in `links.news`.
    count : callable
        Adds to a counter of the metrics.

    Raises
    ------
    AddressInUseError
        If the address is taken.
    """

    def __init__(
        self,
        loop: Loop,
        own: Endpoint,
        incarnation: str,
        tokens: frozenset[str],
        tell: Callable[[Any], None],
        count: Callable[..., None],
        random_source: random.Random,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._hello = codec.Hello(codec.PROTOCOL, own.name, incarnation)
        self._tokens = tokens
        self._tell = tell
        self._count = count
        self._log = log
        self._dialling = Dialling(own.name, random_source)
        self._dial_timer: Timer | None = None
        self._by_name: dict[str, Link] = {}
        self._last_encoded: tuple[Any, bytes] = (None, b"")
        try:
            self._listening = listening_socket(own.address, BACKLOG)
        except OSError as error:
            why = f"cannot listen on {own.address}: {error}"
            raise AddressInUseError(why) from None

    @property
    def address(self) -> str:
        """Return the address that is listened on."""
        host, port = self._listening.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Begin to accept links."""
        self._loop.on_readable(self._listening.fileno(), self._accept)

    def close(self) -> None:
        """Close all links."""
        close(self._loop, self._listening)
        self._dialling.set_peers([], False)
        for link in list(self._by_name.values()):
            link.close()

    def send_to(self, name: str, message: Any) -> bool:
        """Send a message to an instance.

        Returns
        -------
        bool
            False if there is no link, or the instance does not know the message.
        """
        link = self._by_name.get(name)
        if link is None or link.revision < codec.revisions_by_type[type(message)]:
            return False
        return link.send(self._encode(message, link.revision))

    def _encode(self, message: Any, revision: int) -> bytes:
        """Return a message encoded; one that goes to many is encoded once."""
        if revision < codec.REVISION:
            return codec.encode_one(message, revision)
        last, encoded = self._last_encoded
        if message is not last:
            encoded = codec.encode_one(message)
            self._last_encoded = (message, encoded)
        return encoded

    def drop(self, name: str, reason: str) -> None:
        """Close the link to an instance that is silent, or not needed any more."""
        link = self._by_name.get(name)
        if link is not None:
            self._count("links_closed", reason)
            link.close()

    def set_peers(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Take in which links there should be; see `Dialling.set_peers`."""
        self._dialling.set_peers(endpoints, dials_all)
        self._plan_dials()

    # Accepting

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                peer, _ = self._listening.accept()
                tune(peer)
            except OSError:
                return
            Task(self._loop, self._accepted(peer), "link")

    def _accepted(self, peer: socket.socket) -> Steps[None]:
        greeted = yield from self._shake(
            peer, lambda shake: shake.accept(self._is_token)
        )
        if greeted is not None:
            self._open(peer, greeted, greeted.hello.name)

    def _is_token(self, token: str) -> bool:
        known = token in self._tokens
        if not known:
            self._count("refusals", "unauthorized")
        return known

    # Dialling

    def _plan_dials(self) -> None:
        """Dial the peers to which there is no link, or wait until one is due."""
        now = self._loop.clock.monotonic()
        for endpoint in self._dialling.begin(self._by_name, now):
            Task(self._loop, self._dial(endpoint.address), "dial")
        if self._dial_timer is not None:
            self._dial_timer.cancel()
        at = self._dialling.next_at(self._by_name, now)
        plan = self._plan_dials
        self._dial_timer = None if at is None else self._loop.call_at(at, plan)

    def _dial(self, address: str) -> Steps[None]:
        until = self._loop.clock.monotonic() + DIAL_TIME
        peer = yield from connect(self._loop, address, until)
        greeted: Greeted | None = None
        if peer is not None:
            token = min(self._tokens)
            greeted = yield from self._shake(
                peer, lambda shake: shake.ask(address, token)
            )
        if peer is not None and greeted is not None:
            self._dialling.succeeded(address, greeted.hello.name)
            self._open(peer, greeted, self._hello.name)
        else:
            self._dialling.failed(address, self._loop.clock.monotonic())
        self._plan_dials()

    # Both

    def _shake(
        self, peer: socket.socket, begin: Callable[[Handshake], Steps[Greeted]]
    ) -> Steps[Greeted | None]:
        """Return who is there; None if nobody of ours is, and the socket closed."""
        until = self._loop.clock.monotonic() + HELLO_TIME
        try:
            greeted = yield from begin(Handshake(self._loop, peer, self._hello, until))
        except HandshakeError as error:
            self._count("bad_frames", "hello")
            self._log.info("no link", why=str(error))
            close(self._loop, peer)
            return None
        if greeted.hello.name != self._hello.name:
            return greeted
        self._count("bad_frames", "protocol")
        close(self._loop, peer)
        return None

    def _open(self, peer: socket.socket, greeted: Greeted, dialled_by: str) -> None:
        """Serve a link until it closes, unless there is a better one to that peer."""
        hello = greeted.hello
        link = Link(
            self._loop,
            peer,
            greeted.protocol,
            hello.name,
            hello.incarnation,
            dialled_by,
            greeted.revision,
            self._deliver,
            self._closed,
            self._count,
            self._log,
        )
        before = self._by_name.get(link.name)
        if before is not None and self._outranks(before, link):
            self._count("links_closed", "twice")
            link.close()
            return
        # In its place before the other is closed: so none is looked for anew.
        self._by_name[link.name] = link
        if before is not None:
            before.close()
            self._tell(news.PeerDown(link.name))
        self._tell(news.PeerUp(link.name, link.incarnation))
        link.start(greeted.frames)

    def _outranks(self, before: Link, new: Link) -> bool:
        """Return whether the link that is there stays, and the new one goes.

        The newest stays, as the other may be dead without a sign. But two that
        began together, because both sides dialled, must not each close the other's:
        both sides keep the one that the smaller name has dialled.
        """
        if before.incarnation != new.incarnation:
            return False
        age = self._loop.clock.monotonic() - before.opened_at
        return age < TOGETHER and before.dialled_by < new.dialled_by

    def _deliver(self, link: Link, items: list[Any]) -> None:
        self._tell(news.PeerMessages(link.name, link.incarnation, items))

    def _closed(self, link: Link) -> None:
        if self._by_name.get(link.name) is not link:
            return
        del self._by_name[link.name]
        self._tell(news.PeerDown(link.name))
        now = self._loop.clock.monotonic()
        self._dialling.closed(link.name, now - link.opened_at, now)
        self._plan_dials()
