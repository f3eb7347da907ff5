"""What instances tell each other of the log, for those that can't read it.

Each keeps the newest record of each key as it was read. Beats say how far an
instance is; one that stays behind asks a peer for what it lacks.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import ZERO
from ..store import Position, Record, Topic, era_of, supersedes

SHARED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS, Topic.CRASHES)
NEEDED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS)
"""Without these nothing can be served. The others are empty for most of the time, and
peers have nothing to tell of what is empty."""
FAR_PATIENCE = timedelta(milliseconds=150)
"""So long a nearer peer may still come before one of another zone is asked."""
PULL_PAUSE = timedelta(milliseconds=400)
"""Between two questions, or two reads of the log, while an instance is behind."""
PULL_PATIENCE = timedelta(milliseconds=600)
"""How long an instance may be behind its peers before it reads the log itself."""
MOST_RELAYED = 2000
NOT_WHOLE = Position(-1)
"""How far a topic is known of which only some keys are."""
EMPTY = Position(-2)
"""How far a topic is known, whole, in which nothing was ever written."""


@dataclass(slots=True)
class _TopicState:
    """What is known of one topic.

    Parameters
    ----------
    offset : Position
        Position of the newest record that changed something, or that was the first of
        its key in an era.
    seen : Position
        How far the topic was read, or told, without a gap.
    whole : bool
        Whether all keys were read, or told, once. Who knows but some of them must
        not pass for one that knows all, here or to others.
    era : int or None
        The latest era that was read, or told; None before the first.
    era_since : timedelta
        When `era` was first known here.
    """

    by_key: dict[str, Record] = field(default_factory=dict)
    offset: Position = NOT_WHOLE
    seen: Position = NOT_WHOLE
    whole: bool = False
    era: int | None = None
    era_since: timedelta = ZERO
    read_at: timedelta = ZERO
    behind_since: timedelta | None = None
    pulled_at: timedelta | None = None
    looked_at: timedelta | None = None


class Knowledge:
    """The newest records of the shared topics, and who is ahead."""

    def __init__(self) -> None:
        self._topics = {topic: _TopicState() for topic in SHARED_TOPICS}

    def offset(self, topic: Topic) -> Position:
        """Return the position of the newest record that was kept."""
        return self._topics[topic].offset

    def seen(self, topic: Topic) -> Position:
        """Return how far a topic was read, or told."""
        return self._topics[topic].seen

    def see(self, topic: Topic, offset: Position) -> None:
        """Note that a topic was read, or told, up to an offset."""
        state = self._topics[topic]
        state.seen = max(state.seen, offset)

    def told_to(self, topic: Topic) -> Position:
        """Return up to which offset nothing need be read; -1 if all must be."""
        state = self._topics[topic]
        return state.seen if state.whole else NOT_WHOLE

    def known_to(self, topic: Topic) -> Position:
        """Return up to which offset all changes are known here.

        `NOT_WHOLE` if not all are, `EMPTY` if there are none.
        """
        state = self._topics[topic]
        if not state.whole:
            return NOT_WHOLE
        known = min(state.offset, state.seen)
        return EMPTY if known < 0 else known

    def is_whole(self, topic: Topic) -> bool:
        """Return whether all keys of a topic are known."""
        return self._topics[topic].whole

    def note_whole(self, topic: Topic) -> None:
        """Note that all keys of a topic were read, or told."""
        self._topics[topic].whole = True

    def note_era(self, topic: Topic, era: int, now: timedelta) -> bool:
        """Note the era of a topic; return whether it is later than a known one."""
        state = self._topics[topic]
        before = state.era
        if before is not None and era <= before:
            return False
        state.era = era
        state.era_since = now
        return before is not None

    def era(self, topic: Topic) -> int:
        """Return the latest known era of a topic, or 0 if none is known."""
        return self._topics[topic].era or 0

    def era_since(self, topic: Topic) -> timedelta:
        """Return when the latest era of a topic was first known here."""
        return self._topics[topic].era_since

    def note_empty(self, topic: Topic) -> None:
        """Note that a peer that knows a whole topic has found nothing in it."""
        if self._topics[topic].seen < 0:
            self.note_whole(topic)

    def offsets(self) -> dict[str, int]:
        """Return for each topic up to which offset all changes are known here."""
        return {str(topic): self.known_to(topic) for topic in self._topics}

    def is_news(self, topic: Topic, record: Record) -> bool:
        """Return whether a record may be newer than what is known of its key.

        A record of an earlier era may be newer than a known one of a later era, unless
        the known one has the higher offset: the known one may be a copy.
        """
        known = self._topics[topic].by_key.get(record.key)
        if known is None or known.offset < record.offset:
            return True
        if known.offset == record.offset:
            return known.value != record.value
        return not supersedes(known.offset, record.offset)

    def keep(self, topic: Topic, record: Record) -> None:
        """Keep a record that has changed something, for those that lack it."""
        state = self._topics[topic]
        state.by_key[record.key] = record
        state.offset = max(state.offset, record.offset)

    def update_position(self, topic: Topic, record: Record) -> bool:
        """Keep the known value of a key at the position of its record in a later era.

        Returns
        -------
        bool
            False if the key is unknown, or known in that era or a later one.
        """
        known = self._topics[topic].by_key.get(record.key)
        if known is None or era_of(record.offset) <= era_of(known.offset):
            return False
        self.keep(topic, Record(record.offset, record.key, known.value))
        return True

    def reached(self, topic: Topic, offset: Position, now: timedelta) -> None:
        """Note that the log was read up to an offset."""
        self.see(topic, offset)
        state = self._topics[topic]
        state.read_at = now
        state.behind_since = None

    def read_at(self, topic: Topic) -> timedelta:
        """Return when the log itself was last read."""
        return self._topics[topic].read_at

    def after(self, topic: Topic, offset: Position) -> list[Record]:
        """Return the newest records of all keys behind an offset, in order."""
        found = [
            record
            for record in self._topics[topic].by_key.values()
            if record.offset > offset
        ]
        found.sort(key=lambda record: record.offset)
        return found[:MOST_RELAYED]

    def note_peer(self, topic: Topic, peer_offset: Position, now: timedelta) -> bool:
        """Take in how far a peer is; return whether this instance is behind it."""
        state = self._topics[topic]
        if peer_offset <= state.seen:
            state.behind_since = None
            return False
        if state.behind_since is None:
            state.behind_since = now
        return True

    def pull_due(self, topic: Topic, near: bool, now: timedelta) -> bool:
        """Return whether to ask a peer that knows more; it counts as asked.

        Parameters
        ----------
        near : bool
            Whether it is a peer to ask first.
        """
        state = self._topics[topic]
        assert state.behind_since is not None
        if not near and now - state.behind_since < FAR_PATIENCE:
            return False
        if state.pulled_at is not None and now - state.pulled_at < PULL_PAUSE:
            return False
        state.pulled_at = now
        return True

    def read_due(self, topic: Topic, now: timedelta) -> bool:
        """Return whether to read the log, as peers have not helped."""
        state = self._topics[topic]
        assert state.behind_since is not None
        if now - state.behind_since < PULL_PATIENCE:
            return False
        if state.looked_at is not None and now - state.looked_at < PULL_PAUSE:
            return False
        state.looked_at = now
        return True

    def drop_ended(
        self, topic: Topic, now_listed: set[str], end: Position
    ) -> list[Record]:
        """Mark keys missing from a whole list as ended; return the end records.

        The list is as of `end`, and the end records are at the offset before it. Keys
        last recorded in an earlier era are kept, because the restore may have lost
        their newer records.
        """
        last_offset = Position(end - 1)
        ends = []
        for key, record in self._topics[topic].by_key.items():
            if key in now_listed or record.offset >= end or record.value is None:
                continue
            if era_of(record.offset) == era_of(end):
                ends.append(Record(last_offset, key, None))
        for ended in ends:
            self.keep(topic, ended)
        if ends:
            self.see(topic, last_offset)
        return ends
