"""What instances tell each other of the log, for those that can't read it.

Each keeps the newest record of each key as it was read. Beats say how far an
instance is; one that stays behind asks a peer for what it lacks.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import ZERO
from ..store import Record, Topic

SHARED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS)
BEHIND_FOR = {
    Topic.CONFIGURATION: timedelta(milliseconds=300),
    Topic.UPSTREAMS: timedelta(milliseconds=1100),
}
"""How long an instance may be behind a peer before it asks that peer."""
PULL_PAUSE = timedelta(milliseconds=400)
MOST_RELAYED = 2000


@dataclass(slots=True)
class _TopicState:
    """What is known of one topic."""

    by_key: dict[str, Record] = field(default_factory=dict)
    offset: int = -1
    read_at: timedelta = ZERO
    behind_since: timedelta | None = None
    pulled_at: timedelta | None = None


class Knowledge:
    """The newest records of the shared topics, and who is ahead."""

    def __init__(self) -> None:
        self._topics = {topic: _TopicState() for topic in SHARED_TOPICS}

    def offsets(self) -> dict[str, int]:
        """Return the newest offset of each topic, for a beat."""
        return {str(topic): state.offset for topic, state in self._topics.items()}

    def take(self, topic: Topic, record: Record) -> bool:
        """Take in a record; return whether it is newer than what was known."""
        state = self._topics[topic]
        known = state.by_key.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        state.by_key[record.key] = record
        state.offset = max(state.offset, record.offset)
        return True

    def reached(self, topic: Topic, end: int, now: timedelta) -> None:
        """Note that the log was read up to `end`."""
        state = self._topics[topic]
        state.offset = max(state.offset, end - 1)
        state.read_at = now
        state.behind_since = None

    def read_at(self, topic: Topic) -> timedelta:
        """Return when the log itself was last read."""
        return self._topics[topic].read_at

    def after(self, topic: Topic, offset: int) -> list[Record]:
        """Return the newest records of all keys behind an offset, in order."""
        found = [
            record
            for record in self._topics[topic].by_key.values()
            if record.offset > offset
        ]
        found.sort(key=lambda record: record.offset)
        return found[:MOST_RELAYED]

    def pull_due(self, topic: Topic, peer_offset: int, now: timedelta) -> int | None:
        """Return the offset to ask a peer from, if this instance lags for long.

        Parameters
        ----------
        peer_offset : int
            How far the peer is.
        """
        state = self._topics[topic]
        if peer_offset <= state.offset:
            return None
        if state.behind_since is None:
            state.behind_since = now
        if now - state.behind_since < BEHIND_FOR[topic]:
            return None
        if state.pulled_at is not None and now - state.pulled_at < PULL_PAUSE:
            return None
        state.pulled_at = now
        return state.offset

    def relayed(self, topic: Topic, now: timedelta) -> None:
        """Note that a peer has told what was lacking."""
        self._topics[topic].behind_since = None

    def drop_ended(self, topic: Topic, now_listed: set[str], end: int) -> None:
        """Forget keys that a whole list, as of `end`, does not name."""
        state = self._topics[topic]
        for key, record in list(state.by_key.items()):
            if key in now_listed or record.offset >= end or record.value is None:
                continue
            state.by_key[key] = Record(end - 1, key, None)
