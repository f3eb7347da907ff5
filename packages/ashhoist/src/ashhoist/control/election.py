"""Who schedules: the hub with the lowest rank among those heard of lately.

Whoever leads goes on to, unless it is no hub: only hubs are linked to all, so the
others would never hear of it, and would ask a hub that does not lead.

Scheduling needs no exclusive right: orders go through the holder of a zone's
lease, and each names the count at which alone it is valid. So two instances that
schedule at once, on the two sides of a cut or for a moment, do no harm, and no
store is needed to follow one that is lost.
"""

from datetime import timedelta

from ..clock import Clock
from .hubs import Hubs
from .peers import Peers

FIRST_PATIENCE = timedelta(milliseconds=400)
"""How long an instance that has just started listens before it leads."""
LINK_PATIENCE = timedelta(milliseconds=1500)
"""How long it does while it knows of hubs, but is linked to none yet."""


class Election:
    """Chooses the leader as one instance sees it.

    Parameters
    ----------
    own : str
        This instance's name.
    """

    def __init__(self, own: str, peers: Peers, hubs: Hubs, clock: Clock) -> None:
        self._own = own
        self._peers = peers
        self._hubs = hubs
        self._clock = clock
        self._began = clock.monotonic()

    def choose(self, leads: bool, stopping: bool) -> str | None:
        """Return the leader, or None if nobody can be it yet.

        Parameters
        ----------
        leads, stopping : bool
            What this instance does now.
        """
        fresh = self._peers.fresh(self._clock.monotonic())
        candidates = [peer for peer in fresh if not peer.stops]
        leading = [peer.name for peer in candidates if peer.leads]
        if leads and not stopping:
            leading.append(self._own)
        best = self._lowest(leading) if leading else None
        if best is not None and self._hubs.is_hub(best):
            return best
        names = [peer.name for peer in candidates]
        if not stopping:
            names.append(self._own)
        if not names:
            return None
        lowest = self._lowest(names)
        if best is not None and not self._hubs.is_hub(lowest):
            return best
        if lowest == self._own and not leads and self._is_new(bool(candidates)):
            return best
        return lowest

    def _lowest(self, names: list[str]) -> str:
        return min(names, key=self._hubs.order)

    def _is_new(self, linked: bool) -> bool:
        alone = self._hubs.all_linked or linked
        patience = FIRST_PATIENCE if alone else LINK_PATIENCE
        return self._clock.monotonic() - self._began < patience
