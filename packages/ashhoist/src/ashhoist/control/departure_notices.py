"""Notices between instances about upstreams that are leaving.

An upstream announces on the log that it is leaving, but the log may be unavailable
until it has gone. Its answers announce it as well, but only to the instance that
receives them; that instance notifies the others, including the leader, which places
requests.
"""

from collections.abc import Callable
from typing import Any

from ..logs import Logger
from ..upstreams import Directory, UpstreamLeaving
from . import messages
from .hubs import Hubs
from .peers import Peers

Row = list[Any]
"""A notice as it stands in a message; see `messages.DepartureNotice`."""


class DepartureNotices:
    """Learns of leaving upstreams from answers and other instances, and relays that.

    Parameters
    ----------
    upstreams_changed : callable
        Called when the set of upstreams that take work has changed.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        hubs: Hubs,
        upstreams_changed: Callable[[], None],
        send: Callable[[str, Any], None],
        log: Logger,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._hubs = hubs
        self._upstreams_changed = upstreams_changed
        self._send = send
        self._log = log

    def noticed(self, notice: UpstreamLeaving) -> None:
        """Handle a notice in an upstream's answer to this instance."""
        if self._apply([notice], "answer"):
            self._notify(self._peers.linked(), [notice])

    def notices_received(self, peer: str, message: messages.DepartureNotice) -> None:
        """Handle another instance's notices; a hub relays new ones to its members."""
        notices = [UpstreamLeaving(*row) for row in message.rows]
        new_notices = self._apply(notices, peer)
        self._notify(self._hubs.members_except(peer), new_notices)

    def greet(self, peer: str) -> None:
        """Send a newly linked instance the notices that are not on the log."""
        self._notify([peer], self._directory.unrecorded_leaving())

    def _apply(
        self, notices: list[UpstreamLeaving], source: str
    ) -> list[UpstreamLeaving]:
        """Apply notices; return those that were new."""
        new_notices = [
            notice for notice in notices if self._directory.mark_leaving(notice)
        ]
        for notice in new_notices:
            self._log.info(
                "upstream leaves",
                upstream=notice.upstream_id,
                life=notice.incarnation,
                source=source,
            )
        if new_notices:
            self._upstreams_changed()
        return new_notices

    def _notify(self, receivers: list[str], notices: list[UpstreamLeaving]) -> None:
        for rows in _rows(notices):
            for receiver in receivers:
                self._send(receiver, messages.DepartureNotice(rows))


def _rows(notices: list[UpstreamLeaving]) -> list[list[Row]]:
    """Return the rows of up to two messages.

    Instances of a release without positions refuse a message that has any; they still
    take the other one.
    """
    announced: list[Row] = []
    recorded: list[Row] = []
    for notice in notices:
        if notice.recorded_at is None:
            announced.append([notice.upstream_id, notice.incarnation])
            continue
        recorded.append([notice.upstream_id, notice.incarnation, notice.recorded_at])
    return [rows for rows in (announced, recorded) if rows]
