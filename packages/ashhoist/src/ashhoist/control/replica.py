"""Each instance's replica of the shared topics of the log.

The replica has the newest record of each key. Heartbeats carry the position of an
instance's replica; an instance that stays behind pulls the missing records from a peer,
so that it is kept up to date even where it can't read the log.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..clock import ZERO
from ..store import Position, Record, Topic, era_of, supersedes
from .history import BEFORE_ALL, Gap, History
from .messages import Relay

SHARED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS, Topic.CRASHES)
NEEDED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS)
"""Topics without which nothing can be served. The others are empty most of the time,
and peers relay nothing for an empty topic."""
OTHERS_AFTER = timedelta(milliseconds=150)
"""Time for a preferred peer to turn up before records are pulled from any other."""
PULL_PAUSE = timedelta(milliseconds=400)
"""Minimum time between two pulls, or two log reads, while a replica is behind."""
READ_LOG_AFTER = timedelta(milliseconds=600)
"""How long a replica may be behind those of peers before the log itself is read."""
MAX_RELAYED = 2000
"""Maximum number of records in one answer to a pull."""
INCOMPLETE = Position(-1)
"""Known position of a topic of which only some keys are known."""
EMPTY_TOPIC = Position(-2)
"""Known position of a complete topic that was never written to."""
MAX_ENDS = 4000
"""Maximum number of ended keys that are kept; half of them are dropped beyond it."""


class HistoryBreak(StrEnum):
    """Why relayed records do not continue a replica."""

    MISSING_RECORDS = "missing_records"
    """There are records between the known position and the relayed ones."""
    SENDER_LISTED = "sender_listed"
    """The sender may not know all ends since the known position."""
    NOT_STATED = "not_stated"
    """The sender's revision does not state its history."""


@dataclass(slots=True)
class _TopicState:
    """Replica of one topic.

    Records come from reads of the log and from peers; "received" means either.

    Parameters
    ----------
    offset : Position
        Position of the newest record that changed something, or that was the first of
        its key in an era.
    seen : Position
        Position up to which the topic was received without a gap.
    whole : bool
        Whether all keys were received once. A replica that lacks keys must not be
        treated as complete, here or by peers.
    era : int or None
        Latest era received; None before the first.
    era_since : timedelta
        When `era` first became known here.
    read_at : timedelta
        When the log itself was last read.
    behind_since : timedelta or None
        Since when a peer has been ahead; None if none is.
    pulled_at, log_asked_at : timedelta or None
        When a peer was last asked, and the log last read, in order to catch up.
    history : History
        Of which positions all later changes are known.
    ends : int
        Number of ended keys in `by_key`.
    """

    by_key: dict[str, Record] = field(default_factory=dict)
    history: History = field(default_factory=History)
    ends: int = 0
    offset: Position = INCOMPLETE
    seen: Position = INCOMPLETE
    whole: bool = False
    era: int | None = None
    era_since: timedelta = ZERO
    read_at: timedelta = ZERO
    behind_since: timedelta | None = None
    pulled_at: timedelta | None = None
    log_asked_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a topic is known at one moment.

    Parameters
    ----------
    offset, seen : Position
        See `Replica.offset` and `Replica.seen`.
    pushed_after : Position
        Position since which all changes can be told; `INCOMPLETE` if some keys are
        missing.
    """

    offset: Position
    seen: Position
    pushed_after: Position


class Replica:
    """Replica of the shared topics, and how far it is behind those of peers."""

    def __init__(self) -> None:
        self._topics = {topic: _TopicState() for topic in SHARED_TOPICS}

    def offset(self, topic: Topic) -> Position:
        """Return the position of the newest record kept."""
        return self._topics[topic].offset

    def seen(self, topic: Topic) -> Position:
        """Return the position up to which a topic was received without a gap."""
        return self._topics[topic].seen

    def progress(self, topic: Topic) -> Progress:
        """Return how far a topic is known now."""
        state = self._topics[topic]
        if not state.whole:
            return Progress(state.offset, state.seen, INCOMPLETE)
        covered = state.history.first_covered(min(state.offset, state.seen))
        return Progress(state.offset, state.seen, covered)

    def see(self, topic: Topic, offset: Position) -> None:
        """Record that a topic was received up to an offset."""
        state = self._topics[topic]
        state.seen = max(state.seen, offset)

    def read_after(self, topic: Topic) -> Position:
        """Return the offset after which to read the log; -1 to read all of it."""
        state = self._topics[topic]
        return state.seen if state.whole else INCOMPLETE

    def known_up_to(self, topic: Topic) -> Position:
        """Return the offset up to which all changes are known here.

        `INCOMPLETE` if some keys are missing, `EMPTY_TOPIC` if there are no records.
        """
        state = self._topics[topic]
        if not state.whole:
            return INCOMPLETE
        return EMPTY_TOPIC if state.seen < 0 else state.seen

    def history(self, topic: Topic) -> History:
        """Return of which positions all later changes are known here."""
        return self._topics[topic].history

    def is_complete(self, topic: Topic) -> bool:
        """Return whether all keys of a topic are known."""
        return self._topics[topic].whole

    def note_complete(self, topic: Topic) -> None:
        """Record that all keys of a topic were received."""
        state = self._topics[topic]
        if not state.whole:
            state.history.add(Gap(BEFORE_ALL, state.seen))
        state.whole = True

    def note_list(self, topic: Topic, as_of: Position) -> None:
        """Record that a list of all keys as of a position was received."""
        state = self._topics[topic]
        known_before = state.seen if state.whole else BEFORE_ALL
        state.history.add(Gap(known_before, as_of))
        state.whole = True
        self.see(topic, as_of)

    def find_break(self, topic: Topic, relay: Relay) -> HistoryBreak | None:
        """Return why relayed records do not continue this replica; None if they do."""
        state = self._topics[topic]
        if relay.after > state.seen:
            return HistoryBreak.MISSING_RECORDS
        if not state.whole:
            return None
        if not relay.states_history:
            return HistoryBreak.NOT_STATED
        if _gap_of(relay).contains(state.seen):
            return HistoryBreak.SENDER_LISTED
        return None

    def follow(self, topic: Topic, relay: Relay) -> None:
        """Record that relayed records, which continue this replica, were received."""
        state = self._topics[topic]
        if state.whole and relay.gap_until > state.seen:
            state.history.add(_gap_of(relay))
        self.see(topic, Position(relay.up_to))

    def note_era(self, topic: Topic, era: int, now: timedelta) -> bool:
        """Record the era of a topic; return whether a known era was superseded."""
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
        """Return when the latest era of a topic first became known here."""
        return self._topics[topic].era_since

    def note_empty(self, topic: Topic) -> None:
        """Record that a peer with a complete replica of a topic has found it empty."""
        if self._topics[topic].seen < 0:
            self.note_complete(topic)

    def offsets(self) -> dict[str, int]:
        """Return, for each topic, the offset up to which all changes are known here."""
        return {str(topic): self.known_up_to(topic) for topic in self._topics}

    def is_news(
        self, topic: Topic, record: Record, listed_as_of: Position = INCOMPLETE
    ) -> bool:
        """Return whether a record may be newer than what is known of its key.

        A record of an earlier era may be newer than a known one of a later era, unless
        the known one has the higher offset: the known one may come from the copy that
        the log was restored from.

        Parameters
        ----------
        listed_as_of : Position
            Position of the list that has the record; `INCOMPLETE` if none has.
        """
        known = self._topics[topic].by_key.get(record.key)
        if known is None:
            return not self._had_ended(topic, record, listed_as_of)
        if known.offset < record.offset:
            return True
        if known.offset == record.offset:
            return known.value != record.value
        return not supersedes(known.offset, record.offset)

    def _had_ended(self, topic: Topic, record: Record, listed_as_of: Position) -> bool:
        """Return whether a record of an unknown key is older than a list without it."""
        state = self._topics[topic]
        listed_at = min(state.history.listed_at, state.seen)
        if not state.whole or listed_as_of >= listed_at:
            return False
        return record.offset <= listed_at and era_of(record.offset) == era_of(listed_at)

    def keep(self, topic: Topic, record: Record) -> None:
        """Keep a record that has changed something, so that peers can pull it."""
        state = self._topics[topic]
        before = state.by_key.get(record.key)
        state.ends -= before is not None and before.value is None
        state.ends += record.value is None
        state.by_key[record.key] = record
        state.offset = max(state.offset, record.offset)
        if state.ends > MAX_ENDS:
            self._drop_oldest_ends(state)

    def _drop_oldest_ends(self, state: _TopicState) -> None:
        """Drop half of the ended keys; changes since before them can't be told then."""
        ends = [record for record in state.by_key.values() if record.value is None]
        ends.sort(key=lambda record: record.offset)
        dropped = ends[: len(ends) // 2]
        for record in dropped:
            del state.by_key[record.key]
        state.ends -= len(dropped)
        state.history.add(Gap(BEFORE_ALL, dropped[-1].offset))

    def update_position(self, topic: Topic, record: Record) -> bool:
        """Move the known value of a key to the position of its record in a later era.

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
        """Record that the log was read up to an offset."""
        self.see(topic, offset)
        state = self._topics[topic]
        state.read_at = now
        state.behind_since = None

    def read_at(self, topic: Topic) -> timedelta:
        """Return when the log itself was last read."""
        return self._topics[topic].read_at

    def newest(self, topic: Topic, key: str) -> Record | None:
        """Return the newest record of a key; None if none is kept."""
        return self._topics[topic].by_key.get(key)

    def after(self, topic: Topic, offset: Position) -> list[Record]:
        """Return the newest records with an offset after the given one, in order."""
        found = [
            record
            for record in self._topics[topic].by_key.values()
            if record.offset > offset
        ]
        found.sort(key=lambda record: record.offset)
        return found[:MAX_RELAYED]

    def live(self, topic: Topic) -> list[Record]:
        """Return the newest records of all keys that have not ended, in order."""
        records = self._topics[topic].by_key.values()
        found = [record for record in records if record.value is not None]
        found.sort(key=lambda record: record.offset)
        return found

    def note_peer_position(
        self, topic: Topic, peer_offset: Position, now: timedelta
    ) -> bool:
        """Process the position of a peer; return whether this instance is behind it."""
        state = self._topics[topic]
        if peer_offset <= state.seen:
            return False
        if state.behind_since is None:
            state.behind_since = now
        return True

    def note_caught_up(self, topic: Topic) -> None:
        """Record that no peer is known to be ahead."""
        self._topics[topic].behind_since = None

    def pull_due(self, topic: Topic, near: bool, now: timedelta) -> bool:
        """Return whether to pull from a peer that is ahead; if so, note the pull.

        Parameters
        ----------
        near : bool
            Whether the peer is a preferred one; see `Hubs.is_preferred_source`.
        """
        state = self._topics[topic]
        assert state.behind_since is not None
        if not near and now - state.behind_since < OTHERS_AFTER:
            return False
        if state.pulled_at is not None and now - state.pulled_at < PULL_PAUSE:
            return False
        state.pulled_at = now
        return True

    def read_due(self, topic: Topic, now: timedelta) -> bool:
        """Return whether to read the log, as pulls have not helped; note the read."""
        state = self._topics[topic]
        assert state.behind_since is not None
        if now - state.behind_since < READ_LOG_AFTER:
            return False
        if state.log_asked_at is not None and now - state.log_asked_at < PULL_PAUSE:
            return False
        state.log_asked_at = now
        return True

    def drop_ended(
        self, topic: Topic, now_listed: set[str], end: Position
    ) -> list[Record]:
        """Mark keys missing from a complete list as ended; return the end records.

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
        return ends


def _gap_of(relay: Relay) -> Gap:
    return Gap(Position(relay.gap_after), Position(relay.gap_until))
