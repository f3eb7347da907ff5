"""Who reads the log: few do, and tell the others.

The leader reads, and one deputy. Only while none of these two has been heard of
lately as reading do the other hubs read, and after a while all others too. So a lost
reader costs about a second, and calls to the log do not grow with the number of
instances.
"""

from datetime import timedelta

from ..clock import Clock
from .hubs import Hubs
from .peers import Peers, rank

READERS = "readers"
MILLISECOND = timedelta(milliseconds=1)
LEADER_AWAITED = timedelta(milliseconds=1500)
"""How long an instance that has just started, and read once, waits for a leader."""
HUBS_TURN = timedelta(milliseconds=1500)
"""How long those that are no hubs leave it to the hubs to read."""
NEWS_OF_READER_AWAITED = timedelta(milliseconds=300)
"""How long a reader whose answers are overdue by its last beat still passes for one: a
beat that tells of newer ones may be on its way."""
PEERS_AWAITED = timedelta(milliseconds=600)
"""How long an instance that has just started waits for peers to tell it what the log
says: they need some tens of milliseconds where any of them knows."""
CRASHES_AWAITED = timedelta(milliseconds=300)
"""How long an instance that has just started waits to know which requests crash
upstreams, and to be told by another what the log does not say yet: it asks for the one
with all else, and is told the other as soon as it is linked."""


class FirstRead:
    """Decides when an instance that knows nothing yet reads the log.

    Where instances are many, only hubs do so at once: of 195 that start together each
    would read the whole configuration, which the log hands out at a limited rate.
    """

    def __init__(self, hubs: Hubs, clock: Clock) -> None:
        self._hubs = hubs
        self._clock = clock
        self._pause = PEERS_AWAITED
        self._next_at = clock.monotonic() + PEERS_AWAITED
        self._hub_has_read = False
        self._needed_known_at: timedelta | None = None
        self._knew_crashes = False

    def suffices(self, knows_needed: bool, knows_crashes: bool) -> bool:
        """Return whether what is known is enough to serve.

        Parameters
        ----------
        knows_needed : bool
            Whether it knows a configuration and the upstreams.
        knows_crashes : bool
            Whether it knows which requests crash upstreams; it waits for that, so
            that such a request does not crash one more with each instance that starts.
        """
        if not knows_needed:
            return False
        now = self._clock.monotonic()
        if self._needed_known_at is None:
            self._needed_known_at = now
        # A peer that is ahead for a moment does not make it unready again.
        self._knew_crashes = self._knew_crashes or knows_crashes
        return self._knew_crashes or now - self._needed_known_at >= CRASHES_AWAITED

    def due(self, knows_others: bool) -> bool:
        """Return whether to read now; it counts as read.

        Parameters
        ----------
        knows_others : bool
            Whether it is known which instances there are.
        """
        now = self._clock.monotonic()
        if knows_others and not self._hub_has_read and self._hubs.reads_first():
            self._hub_has_read = True
            return True
        if now < self._next_at:
            return False
        self._pause *= 2
        self._next_at = now + self._pause
        return True


class Readers:
    """Decides whether this instance reads the log itself.

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
        self._unread_since: timedelta | None = None

    def reads_itself(self, leader: str | None) -> bool:
        """Return whether this instance should read the log.

        Parameters
        ----------
        leader : str or None
            The instance that schedules.
        """
        now = self._clock.monotonic()
        if leader is None:
            return now - self._began >= LEADER_AWAITED
        if leader == self._own:
            return True
        readers = (leader, self._deputy(leader))
        if self._own in readers:
            return True
        if any(self._is_heard_reading(name) for name in readers):
            self._unread_since = None
            return False
        if self._unread_since is None:
            self._unread_since = now
        if self._hubs.is_hub(self._own):
            return True
        return now - self._unread_since >= HUBS_TURN

    def _deputy(self, leader: str) -> str:
        now = self._clock.monotonic()
        names = [self._own] + [peer.name for peer in self._peers.fresh(now)]
        others = [name for name in names if name != leader]
        return min(others, key=self._order)

    def _order(self, name: str) -> tuple[bool, bytes]:
        return (not self._hubs.is_hub(name), rank(READERS, name))

    def _is_heard_reading(self, name: str) -> bool:
        now = self._clock.monotonic()
        peer = self._peers.by_name.get(name)
        if peer is None or peer.beat is None or not peer.is_fresh(now):
            return False
        if peer.stops or not peer.beat.reads_log:
            return False
        reads_until = peer.beat_at + peer.beat.reads_for_ms * MILLISECOND
        # Else a change that it missed would wait for its word to end as well.
        return now < reads_until + NEWS_OF_READER_AWAITED
