"""Notices between instances about upstreams that must reject no more requests.

An upstream that rejects too many in a second crashes, whichever instances sent them.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..logs import Logger
from ..upstreams import Backoffs, UpstreamFull
from . import messages
from .hubs import Hubs
from .peers import Peers

MILLISECOND = timedelta(milliseconds=1)
MAX_PAUSE = timedelta(seconds=5)
"""Longer pauses that another instance names are reduced to this."""


class RejectionNotices:
    """Closes an upstream for a moment at all instances once it has rejected a request.

    Parameters
    ----------
    backoffs : Backoffs
        Where the pauses are kept.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        backoffs: Backoffs,
        peers: Peers,
        hubs: Hubs,
        send: Callable[[str, Any], None],
        log: Logger,
    ) -> None:
        self._backoffs = backoffs
        self._peers = peers
        self._hubs = hubs
        self._send = send
        self._log = log

    def noticed(self, full: UpstreamFull) -> None:
        """Handle a rejection of a request of this instance, and notify the others."""
        self._begin(full, "answer")
        self._notify(self._peers.linked(), full)

    def notice_received(self, peer: str, message: messages.RejectionNotice) -> None:
        """Handle another instance's notice; a hub relays it to its members."""
        pause = min(message.pause_ms * MILLISECOND, MAX_PAUSE)
        full = UpstreamFull(message.upstream, message.incarnation, pause)
        self._begin(full, peer)
        self._notify(self._hubs.members_except(peer), full)

    def _begin(self, full: UpstreamFull, source: str) -> None:
        self._backoffs.begin(full.upstream_id, full.incarnation, full.pause)
        self._log.info(
            "upstream must not reject more",
            upstream=full.upstream_id,
            life=full.incarnation,
            pause_ms=full.pause // MILLISECOND,
            source=source,
        )

    def _notify(self, receivers: list[str], full: UpstreamFull) -> None:
        message = messages.RejectionNotice(
            full.upstream_id, full.incarnation, full.pause // MILLISECOND
        )
        for receiver in receivers:
            self._send(receiver, message)
