"""Who reads the log: few do, and tell the others.

The holder of the lease reads, and one deputy. All others read only while none of
these two has been heard of lately as reading, so a lost reader costs about a
second, and calls to the log do not grow with the number of instances.
"""

from datetime import timedelta

from ..clock import Clock
from .peers import Peers, rank

FRESH = timedelta(milliseconds=1200)
"""A beat older than this says nothing any more."""
READERS = "readers"


class Readers:
    """Decides whether this instance reads the log itself.

    Parameters
    ----------
    own : str
        This instance's name.
    """

    def __init__(self, own: str, peers: Peers, clock: Clock) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock

    def reads_itself(self, leader: str | None) -> bool:
        """Return whether this instance should read the log.

        Parameters
        ----------
        leader : str or None
            The holder of the lease.
        """
        if leader is None or leader == self._own:
            return True
        readers = (leader, self._deputy(leader))
        if self._own in readers:
            return True
        return not any(self._is_heard_reading(name) for name in readers)

    def _deputy(self, leader: str) -> str:
        names = [self._own] + [
            name for name in self._peers.linked() if self._is_fresh(name)
        ]
        others = [name for name in names if name != leader]
        return min(others, key=lambda name: rank(READERS, name))

    def _is_heard_reading(self, name: str) -> bool:
        peer = self._peers.by_name.get(name)
        if peer is None or peer.beat is None or not self._is_fresh(name):
            return False
        return peer.beat.reads_log and not peer.beat.stopping

    def _is_fresh(self, name: str) -> bool:
        peer = self._peers.by_name.get(name)
        if peer is None or not peer.linked or peer.heard_at is None:
            return False
        return self._clock.monotonic() - peer.heard_at <= FRESH
