"""The links to all other instances: who dials whom, and what is sent where.

Of each pair the instance with the smaller name dials, so both sides agree on
whether there is a link. The other side dials too once it has waited for a while:
the first may not know of it.
"""

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
from ..logs import Logger
from ..tasks import Task, handles
from ..types import Endpoint
from . import news
from ._link import Link

TICK = timedelta(milliseconds=400)
DIAL_TIMEOUT = timedelta(seconds=2)
HELLO_TIMEOUT = timedelta(seconds=3)
FINISH_TIMEOUT = timedelta(seconds=2)
FINISH_LOOK_SECONDS = 0.01
RETRY_FIRST = timedelta(milliseconds=200)
RETRY_LONGEST = timedelta(seconds=3)
OTHERS_TURN = timedelta(seconds=1.5)
"""How long the side that need not dial waits for the other side to do so."""


class Peers:
    """The instances that there should be links to, as a message.

    An endpoint without a name is an address to ask, of an instance not yet known.

    Parameters
    ----------
    dials_all : bool
        Whether this side dials whatever the names: the others do not look for it.
    """

    def __init__(self, endpoints: list[Endpoint], dials_all: bool = False) -> None:
        self.by_address = {endpoint.address: endpoint for endpoint in endpoints}
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
        self._random = random_source
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()
        self._peers: dict[str, Endpoint] = {}
        self._dials_all = False
        self._names: dict[str, str] = {}
        self._unlinked_since: dict[str, timedelta] = {}
        self._dialling: set[str] = set()
        self._retry_at: dict[str, timedelta] = {}
        self._failures: dict[str, int] = {}
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
        self._peers = peers.by_address
        self._dials_all = peers.dials_all

    def tick(self) -> None:
        """Dial the peers to which there is no link."""
        now = self._clock.monotonic()
        for address, endpoint in self._peers.items():
            if not self._due(address, endpoint, now):
                continue
            self._dialling.add(address)
            threading.Thread(target=self._dial, args=(endpoint,), daemon=True).start()

    def _due(self, address: str, endpoint: Endpoint, now: timedelta) -> bool:
        name = endpoint.name or self._names.get(address, "")
        if name in self._links or name == self._own.name:
            self._unlinked_since.pop(address, None)
            return False
        since = self._unlinked_since.setdefault(address, now)
        if address in self._dialling or self._retry_at.get(address, now) > now:
            return False
        if self._dials_all or not name or name > self._own.name:
            return True
        return now - since >= OTHERS_TURN

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
        address = dialled.address
        self._dialling.discard(address)
        if dialled.peer:
            self._names[address] = dialled.peer
            self._failures.pop(address, None)
            return
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        wait = min(RETRY_FIRST * 2 ** min(failures, 6), RETRY_LONGEST)
        wait *= self._random.uniform(0.5, 1.0)
        self._retry_at[address] = self._clock.monotonic() + wait
