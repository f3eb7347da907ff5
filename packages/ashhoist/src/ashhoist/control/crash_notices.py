"""What instances tell each other of requests that were cut off, beside the log.

A crash is written to the log together with others, and the log may be away. Whoever
starts meanwhile, or is linked anew, would send the request on to one more upstream.
"""

from collections.abc import Callable
from typing import Any

from ..quarantine import Crash, Quarantine
from . import messages
from .hubs import Hubs
from .peers import Peers

MOST_GREETED = 4096
"""Requests cut at this instance that a new link is told: some 100 kB. With a log that
is away for long, and zones that are cut, all of them would be many times as much."""


class CrashNotices:
    """Crashes that links tell, as long as they do not stand on the log.

    Parameters
    ----------
    own : str
        This instance's name.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        own: str,
        quarantine: Quarantine,
        peers: Peers,
        hubs: Hubs,
        tell: Callable[[str, Any], None],
    ) -> None:
        self._own = own
        self._quarantine = quarantine
        self._peers = peers
        self._hubs = hubs
        self._tell = tell

    def tell_held(self, requests: list[str]) -> None:
        """Tell all why requests are held back: others may lack what the log says."""
        if not requests:
            return
        self._tell_all(self._peers.linked(), self._quarantine.behind(requests))

    def greet(self, peer: str) -> None:
        """Tell a newly linked instance what the log does not say.

        That is what was seen here, and what holds requests back, wherever seen. Passed
        on from link to link, all that was seen anywhere would grow with instances.
        """
        held = self._quarantine.behind(self._quarantine.held_unwritten())
        self._tell_all([peer], [*held, *self._seen_here()])

    def _seen_here(self) -> list[Crash]:
        """Return what was seen here and is not written, as much as is told."""
        found: list[Crash] = []
        requests = 0
        for crash in self._quarantine.unwritten(self._own):
            requests += len(crash.requests)
            if requests > MOST_GREETED:
                break
            found.append(crash)
        return found

    def told(self, peer: str, message: messages.CrashesSeen) -> None:
        """Take in what another instance knows; a hub tells its members what counts."""
        crashes = [
            Crash(life, instance, frozenset(requests))
            for life, instance, requests in message.rows
        ]
        held_before = self._quarantine.held
        for crash in crashes:
            self._quarantine.seen(crash)
        newly_held = self._quarantine.held - held_before
        told_on = self._quarantine.behind(sorted(newly_held))
        self._tell_all(self._hubs.others_to_tell(peer), told_on)

    def _tell_all(self, receivers: list[str], crashes: list[Crash]) -> None:
        if not crashes:
            return
        rows = [
            [crash.life, crash.instance, sorted(crash.requests)] for crash in crashes
        ]
        for receiver in receivers:
            self._tell(receiver, messages.CrashesSeen(rows))
