"""Upstreams that say in their answers that they leave: known here, told to all.

An upstream writes on the log that it leaves, but the log may be away for as long as it
takes to leave. Its answers say so too, to whoever gets one; the others, and whoever
places requests, have to be told.
"""

from collections.abc import Callable
from typing import Any

from ..logs import Logger
from ..upstreams import Directory, UpstreamLeaves
from . import messages
from .hubs import Hubs
from .peers import Peers


class Departures:
    """What this instance knows of leaving beside the log.

    Parameters
    ----------
    upstreams_changed : callable
        Called when which upstreams take work has changed.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        hubs: Hubs,
        upstreams_changed: Callable[[], None],
        tell: Callable[[str, Any], None],
        log: Logger,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._hubs = hubs
        self._upstreams_changed = upstreams_changed
        self._tell = tell
        self._log = log

    def noticed(self, notice: UpstreamLeaves) -> None:
        """Take in what an answer to this instance said."""
        if self._take([notice], "answer"):
            self._tell_all(self._peers.linked(), [notice])

    def told(self, peer: str, message: messages.Leaving) -> None:
        """Take in what another instance knows; a hub tells its members."""
        notices = [UpstreamLeaves(*row) for row in message.rows]
        news = self._take(notices, peer)
        self._tell_all(self._hubs.others_to_tell(peer), news)

    def greet(self, peer: str) -> None:
        """Tell a newly linked instance what the log does not say."""
        self._tell_all([peer], self._directory.leaving_unwritten())

    def _take(self, notices: list[UpstreamLeaves], source: str) -> list[UpstreamLeaves]:
        """Take in notices; return those that were news."""
        news = [notice for notice in notices if self._directory.leaves(notice)]
        for notice in news:
            self._log.info(
                "upstream leaves",
                upstream=notice.upstream_id,
                life=notice.life,
                source=source,
            )
        if news:
            self._upstreams_changed()
        return news

    def _tell_all(self, receivers: list[str], notices: list[UpstreamLeaves]) -> None:
        if not notices:
            return
        rows = [[notice.upstream_id, notice.life] for notice in notices]
        for receiver in receivers:
            self._tell(receiver, messages.Leaving(rows))
