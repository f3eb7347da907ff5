"""The links to all other instances, a reader and a writer thread for each."""

import random
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.http11 import Request, Response
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection, serve

from .. import messages
from ..clock import Clock
from ..exceptions import AddressInUseError
from ..links import news
from ..links.dialling import Dialling
from ..logs import Logger
from ..tasks import Task, handles
from ..types import Endpoint
from ._link import Link

TICK = timedelta(milliseconds=400)
DIAL_TIMEOUT = timedelta(seconds=2)
HELLO_TIMEOUT = timedelta(seconds=3)
FINISH_TIMEOUT = timedelta(seconds=2)
FINISH_LOOK_SECONDS = 0.01


class Peers:
    """The instances that there should be links to, as a message.

    See `Dialling.set_peers`.
    """

    def __init__(self, endpoints: list[Endpoint], dials_all: bool = False) -> None:
        self.endpoints = endpoints
        self.dials_all = dials_all


class _Dialled:
    """The end of a dial; `peer` is who answered, or empty."""

    def __init__(self, address: str, peer: str) -> None:
        self.address = address
        self.peer = peer


class Links(Task):
    """Dials, accepts and keeps the links.

    Parameters
    ----------
    own : Endpoint
        This instance; its address is where it listens.
    tokens : frozenset of str
        Tokens that the other side may show; one of them is shown by this side.
    send_core : callable
        Takes the messages to the core task.
    """

    def __init__(
        self,
        log: Logger,
        own: Endpoint,
        incarnation: str,
        tokens: frozenset[str],
        send_core: Callable[[Any], None],
        count: Callable[..., None],
        clock: Clock,
        executor: ThreadPoolExecutor,
        random_source: random.Random,
    ) -> None:
        super().__init__("links", log, TICK)
        self._own = own
        self._incarnation = incarnation
        self._tokens = tokens
        self._send_core = send_core
        self._count = count
        self._clock = clock
        self._executor = executor
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()
        self._dialling = Dialling(own.name, random_source)
        self._server = self._listen(own.address)

    @property
    def address(self) -> str:
        """Return the address that is listened on."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def _listen(self, address: str) -> Server:
        host, _, port = address.rpartition(":")
        try:
            return serve(
                self._accept,
                host.strip("[]"),
                int(port),
                compression=None,
                max_size=messages.MAX_FRAME_BYTES,
                process_request=self._authenticate,
                ping_interval=None,
                server_header=None,
            )
        except OSError as error:
            raise AddressInUseError(f"cannot listen on {address}: {error}") from None

    def opened(self) -> None:
        """Begin to accept links."""
        self._executor.submit(self._server.serve_forever)

    def closed(self) -> None:
        """Close all links once what is queued on them has been sent."""
        links = list(self._links.values())
        for link in links:
            link.finish()
        limit = self._clock.monotonic() + FINISH_TIMEOUT
        while self._links and self._clock.monotonic() < limit:
            time.sleep(FINISH_LOOK_SECONDS)
        for link in links:
            link.close()
        self._server.shutdown()

    def abort(self) -> None:
        """Break all links at once."""
        for link in list(self._links.values()):
            link.close()

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; return False if there is no link."""
        link = self._links.get(peer)
        return link is not None and link.send(message)

    def drop(self, peer: str, reason: str = "silent") -> None:
        """Close the link to an instance that is silent, or not needed any more."""
        link = self._links.get(peer)
        if link is not None:
            self._count("links_closed", reason)
            link.close()

    # Accepting

    def _authenticate(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme == "Bearer" and token in self._tokens:
            return None
        self._count("refusals", "unauthorized")
        return connection.respond(HTTPStatus.UNAUTHORIZED, "wrong token\n")

    def _accept(self, connection: ServerConnection) -> None:
        link = self._greet(connection)
        if link is not None:
            self._run(link)

    def _greet(self, connection: Connection) -> Link | None:
        connection.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hello = messages.Hello(messages.PROTOCOL, self._own.name, self._incarnation)
        try:
            connection.send(messages.encode([hello]))
            frame = connection.recv(HELLO_TIMEOUT.total_seconds())
            first = messages.decode(frame if isinstance(frame, bytes) else b"")
        except (ConnectionClosed, TimeoutError, OSError, messages.FrameError):
            self._count("bad_frames", "hello")
            return None
        if len(first) != 1 or not isinstance(first[0], messages.Hello):
            self._count("bad_frames", "hello")
            return None
        other = first[0]
        if other.protocol != messages.PROTOCOL or other.name == self._own.name:
            self._count("bad_frames", "protocol")
            return None
        return Link(
            connection,
            other.name,
            other.incarnation,
            self._deliver,
            self._count,
            self.log,
        )

    def _deliver(self, peer: str, incarnation: str, items: list[Any]) -> None:
        self._send_core(news.PeerMessages(peer, incarnation, items))

    def _run(self, link: Link) -> None:
        """Serve a link until it closes; the newest link to a peer stays."""
        with self._lock:
            before = self._links.get(link.peer)
            self._links[link.peer] = link
        if before is not None:
            before.close()
            self._send_core(news.PeerDown(link.peer))
        self._send_core(news.PeerUp(link.peer, link.incarnation))
        writer = threading.Thread(target=link.write, daemon=True)
        writer.start()
        link.read()
        with self._lock:
            current = self._links.get(link.peer) is link
            if current:
                del self._links[link.peer]
        if current:
            self._send_core(news.PeerDown(link.peer))

    # Dialling

    @handles(Peers)
    def _peers_changed(self, peers: Peers) -> None:
        self._dialling.set_peers(peers.endpoints, peers.dials_all)

    def tick(self) -> None:
        """Dial the peers to which there is no link."""
        for endpoint in self._dialling.begin(self._links, self._clock.monotonic()):
            threading.Thread(target=self._dial, args=(endpoint,), daemon=True).start()

    def _dial(self, endpoint: Endpoint) -> None:
        token = min(self._tokens)
        peer = ""
        try:
            with connect(
                f"ws://{endpoint.address}/",
                additional_headers={"Authorization": f"Bearer {token}"},
                open_timeout=DIAL_TIMEOUT.total_seconds(),
                compression=None,
                max_size=messages.MAX_FRAME_BYTES,
                ping_interval=None,
                proxy=None,
                user_agent_header=None,
            ) as connection:
                link = self._greet(connection)
                peer = link.peer if link is not None else ""
                self.send(_Dialled(endpoint.address, peer))
                if link is not None:
                    self._run(link)
        except (OSError, TimeoutError, WebSocketException):
            if not peer:
                self.send(_Dialled(endpoint.address, ""))

    @handles(_Dialled)
    def _dialled(self, dialled: _Dialled) -> None:
        if dialled.peer:
            self._dialling.succeeded(dialled.address, dialled.peer)
            return
        self._dialling.failed(dialled.address, self._clock.monotonic())
