"""Leader election: the hub with the lowest rank among those with recent heartbeats.

A leader stays the leader while it is a hub. Only hubs are linked to all instances, so
the others would never hear of a leader that is not a hub, and would send their requests
to a hub that does not lead.

Scheduling needs no mutual exclusion: orders go through the holder of a zone's lease,
and each names the only order sequence number at which it is valid. Two leaders at the
same time, on the two sides of a network partition or for a moment, are therefore
harmless, and a lost leader can be replaced without the store.

An instance that reaches no upstream does not lead while others reach some: it could not
get the reports of engines.
"""

from datetime import timedelta

from ..clock import Clock
from .hubs import Hubs
from .peers import Peers

LISTEN_BEFORE_LEADING = timedelta(milliseconds=400)
"""How long a newly started instance listens for a leader before it may lead."""
LISTEN_BEFORE_LINKED = timedelta(milliseconds=1500)
"""The same for an instance that knows of hubs but is not linked to any yet."""


class Election:
    """Chooses the leader from the point of view of one instance.

    Parameters
    ----------
    own : str
        This instance's name.
    """

    def __init__(
        self,
        own: str,
        peers: Peers,
        hubs: Hubs,
        clock: Clock,
    ) -> None:
        self._own = own
        self._peers = peers
        self._hubs = hubs
        self._clock = clock
        self._started_at = clock.monotonic()

    def choose(self, leads: bool, stopping: bool, cut_off: bool) -> str | None:
        """Return the leader, or None if no instance can lead yet.

        Parameters
        ----------
        leads, stopping : bool
            Whether this instance currently leads, or is stopping.
        cut_off : bool
            Whether it reaches no upstream.
        """
        fresh = self._peers.fresh(self._clock.monotonic())
        candidates = [peer for peer in fresh if not peer.stops]
        connected = [peer for peer in candidates if not peer.is_cut_off]
        if connected or not (cut_off or self._hubs.awaits_link()):
            # Among all that reach upstreams, which may be this instance alone.
            candidates = connected
            stopping = stopping or cut_off
        leading = [peer.name for peer in candidates if peer.leads]
        if leads and not stopping:
            leading.append(self._own)
        best_leader = self._lowest(leading) if leading else None
        if best_leader is not None and self._hubs.is_hub(best_leader):
            return best_leader
        names = [peer.name for peer in candidates]
        if not stopping:
            names.append(self._own)
        if not names:
            return None
        lowest = self._lowest(names)
        if best_leader is not None and not self._hubs.is_hub(lowest):
            return best_leader
        if lowest == self._own and not leads and self._is_listening(bool(candidates)):
            return best_leader
        return lowest

    def _lowest(self, names: list[str]) -> str:
        return min(names, key=self._hubs.order)

    def _is_listening(self, linked: bool) -> bool:
        is_connected = self._hubs.all_linked or linked
        listen_for = LISTEN_BEFORE_LEADING if is_connected else LISTEN_BEFORE_LINKED
        return self._clock.monotonic() - self._started_at < listen_for
