"""Selection of the instances that read the log and relay its records to the others.

The leader and one deputy read. The other hubs read only while neither of these two has
recently reported that it reads, and after a while all other instances do too. So the
loss of the readers costs about a second, and the number of calls to the log does not
grow with the number of instances.
"""

from datetime import timedelta

from ..clock import Clock
from .hubs import Hubs
from .peers import Peers, rank

READERS = "readers"
MILLISECOND = timedelta(milliseconds=1)
LEADER_WAIT = timedelta(milliseconds=1500)
"""How long a newly started instance, which has read once, waits for a leader."""
HUBS_ONLY_FOR = timedelta(milliseconds=1500)
"""How long instances that are not hubs leave reading to the hubs."""
READER_GRACE = timedelta(milliseconds=300)
"""How long an instance still counts as a reader after the time that its last heartbeat
granted: a heartbeat that extends this time may be on its way."""
PEERS_WAIT = timedelta(milliseconds=600)
"""How long a newly started instance waits for peers to relay the log's records. This
takes some tens of milliseconds if any of them has the records."""
CRASHES_WAIT = timedelta(milliseconds=300)
"""How long a newly started instance waits until it knows which requests crash
upstreams, from the log and from what peers know beyond the log. It requests the former
along with all other records, and is sent the latter as soon as it is linked."""


class InitialRead:
    """Decides when a newly started instance reads the log.

    In a large deployment only hubs do so at once. Otherwise, if for example 195
    instances start together, each would read the whole configuration, which the log
    serves at a limited rate.
    """

    def __init__(self, hubs: Hubs, clock: Clock) -> None:
        self._hubs = hubs
        self._clock = clock
        self._pause = PEERS_WAIT
        self._next_at = clock.monotonic() + PEERS_WAIT
        self._has_read_as_hub = False
        self._needed_known_at: timedelta | None = None
        self._has_known_crashes = False

    def suffices(self, knows_needed: bool, knows_crashes: bool) -> bool:
        """Return whether enough is known to serve requests.

        Parameters
        ----------
        knows_needed : bool
            Whether this instance knows a configuration and the upstreams.
        knows_crashes : bool
            Whether this instance knows which requests crash upstreams. It waits for
            that, so that such a request does not crash another upstream with each
            instance that starts.
        """
        if not knows_needed:
            return False
        now = self._clock.monotonic()
        if self._needed_known_at is None:
            self._needed_known_at = now
        # A peer that is ahead for a moment does not make the instance unready again.
        self._has_known_crashes = self._has_known_crashes or knows_crashes
        return self._has_known_crashes or now - self._needed_known_at >= CRASHES_WAIT

    def due(self, knows_others: bool) -> bool:
        """Return whether to read the log now; if so, note the read.

        Parameters
        ----------
        knows_others : bool
            Whether the list of registered instances is known.
        """
        now = self._clock.monotonic()
        if knows_others and not self._has_read_as_hub and self._hubs.is_expected_hub():
            self._has_read_as_hub = True
            return True
        if now < self._next_at:
            return False
        self._pause *= 2
        self._next_at = now + self._pause
        return True


class LogReaderSelection:
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
        self._started_at = clock.monotonic()
        self._no_reader_since: timedelta | None = None

    def is_log_reader(self, leader: str | None) -> bool:
        """Return whether this instance should read the log.

        Parameters
        ----------
        leader : str or None
            The current leader.
        """
        now = self._clock.monotonic()
        if leader is None:
            return now - self._started_at >= LEADER_WAIT
        if leader == self._own:
            return True
        readers = (leader, self._deputy(leader))
        if self._own in readers:
            return True
        if any(self._is_active_reader(name) for name in readers):
            self._no_reader_since = None
            return False
        if self._no_reader_since is None:
            self._no_reader_since = now
        if self._hubs.is_hub(self._own):
            return True
        return now - self._no_reader_since >= HUBS_ONLY_FOR

    def _deputy(self, leader: str) -> str:
        now = self._clock.monotonic()
        names = [self._own] + [peer.name for peer in self._peers.fresh(now)]
        others = [name for name in names if name != leader]
        return min(others, key=self._rank_key)

    def _rank_key(self, name: str) -> tuple[bool, bytes]:
        return (not self._hubs.is_hub(name), rank(READERS, name))

    def _is_active_reader(self, name: str) -> bool:
        now = self._clock.monotonic()
        peer = self._peers.by_name.get(name)
        if peer is None or peer.heartbeat is None or not peer.is_recent(now):
            return False
        if peer.stops or not peer.heartbeat.reads_log:
            return False
        reads_until = peer.heartbeat_at + peer.heartbeat.reader_for_ms * MILLISECOND
        # The time that the heartbeat granted limits this, not only the age of the
        # heartbeat. Otherwise the two times would add up before a change that the
        # reader has missed is read by others.
        return now < reads_until + READER_GRACE
