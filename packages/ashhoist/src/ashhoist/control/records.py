"""Applies and relays the records of the shared log.

Instances that read the log push new records to the others. An instance that is behind a
peer pulls the missing records from it, and reads the log itself if that does not help.
"""

from collections.abc import Callable, Iterable, Mapping, Set
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..placement import Residency
from ..quarantine import Quarantine
from ..routing.active_configuration import ActiveConfiguration
from ..store import Position, ReadPacing, Record, Topic, era_of, position
from ..store.follower import FollowedRecords
from ..upstreams import Directory, Health
from . import messages
from .effects import Effects
from .error_monitor import ErrorMonitor
from .hubs import Hubs
from .peers import Peers
from .record_codec import unpack
from .record_lists import IncomingLists, make_list, make_relay
from .replica import (
    EMPTY_TOPIC,
    INCOMPLETE,
    MAX_RELAYED,
    NEEDED_TOPICS,
    PULL_PAUSE,
    HistoryBreak,
    Progress,
    Replica,
)
from .state_changes import Decode, StateChanges

ANSWER_GRACE = timedelta(milliseconds=700)
"""Time beyond a topic's round after which its next answer is overdue. Slow answers take
this long."""
MAX_PUSHED_BYTES = 2048
"""Maximum bytes of records that are pushed to others without a request."""
REWRITE_WITHIN = timedelta(seconds=3)
"""How long upstreams have to write records again that a restored log lacks. They take
about two seconds."""


class SharedRecords:
    """Applies the records of the shared topics, and replicates them to other instances.

    Parameters
    ----------
    paces : mapping
        For each topic, the pace at which this instance reads it if it does.
    upstreams_changed : callable
        Called when the upstreams or the configuration in force have changed.
    log_restored : callable
        Called once for each new era of the log.
    versions_recorded : callable
        Takes a record of the software versions of a service.
    """

    def __init__(
        self,
        decode: Decode,
        active_configuration: ActiveConfiguration,
        directory: Directory,
        residency: Residency,
        health: Health,
        quarantine: Quarantine,
        peers: Peers,
        hubs: Hubs,
        effects: Effects,
        paces: Mapping[Topic, ReadPacing],
        upstreams_changed: Callable[[], None],
        log_restored: Callable[[], None],
        versions_recorded: Callable[[Record], None],
        errors: ErrorMonitor,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._in_force = active_configuration
        self._quarantine = quarantine
        self._peers = peers
        self._hubs = hubs
        self._effects = effects
        self._paces = paces
        self._upstreams_changed = upstreams_changed
        self._log_restored = log_restored
        self._restored_era = 0
        self._errors = errors
        self._unapplied: dict[tuple[Topic, str], Record] = {}
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self.replica = Replica()
        self._changes = StateChanges(
            decode,
            active_configuration,
            directory,
            residency,
            health,
            quarantine,
            self.replica,
            effects,
            upstreams_changed,
            versions_recorded,
            clock,
            metrics,
            log,
        )
        self._log_unread_at = ZERO
        self._version_pulled_at: timedelta | None = None
        self._peers_ahead: dict[Topic, tuple[str, Position]] = {}
        self._incoming_lists = IncomingLists()

    @property
    def reads_log(self) -> bool:
        """Return whether the log has recently answered reads of every topic here."""
        return self.reads_for > ZERO

    @property
    def reads_for(self) -> timedelta:
        """Return how much longer this instance counts as a reader of the log.

        Requires recent reads of every topic: others leave all topics to a reader.
        """
        if not self.knows_all:
            return ZERO
        expected_at = min(
            self.replica.read_at(topic) + pace.idle_interval
            for topic, pace in self._paces.items()
        )
        overdue_at = expected_at + ANSWER_GRACE
        return max(overdue_at - self._clock.monotonic(), ZERO)

    @property
    def knows_all(self) -> bool:
        """Return whether all topics needed for serving are completely known."""
        return all(self.replica.is_complete(topic) for topic in NEEDED_TOPICS)

    def knows_latest(self, topic: Topic) -> bool:
        """Return whether a topic is completely known and no peer is ahead."""
        return self.replica.is_complete(topic) and topic not in self._peers_ahead

    @property
    def lacks_configuration(self) -> bool:
        """Return whether a linked instance has a configuration that can't be applied.

        It is known here, so that no peer needs to be asked for it.
        """
        if not any(topic is Topic.CONFIGURATION for topic, _ in self._unapplied):
            return False
        return self._peers.newest_configuration() > self._in_force.version

    # Records received

    def followed(self, followed: FollowedRecords) -> None:
        """Apply records that were read from the log, and relay the new ones."""
        now = self._clock.monotonic()
        topic = followed.topic
        before = self.replica.progress(topic)
        self._note_era(topic, followed.end)
        if followed.is_snapshot and followed.end <= before.offset:
            self._log.warning(
                "log ends before newest known record",
                topic=topic,
                end=followed.end,
                known_offset=before.offset,
                records=len(followed.records),
            )
        if followed.is_snapshot:
            as_of = Position(followed.end - 1)
            applied = self._apply_list(topic, list(followed.records), set(), as_of)
        else:
            applied = self._process_records(topic, followed.records)
        self.replica.reached(topic, followed.read_to, now)
        self._finish_batch(topic)
        if applied or self.replica.seen(topic) > before.seen:
            self._pass_on(topic, before, applied)

    def _note_era(self, topic: Topic, at: Position) -> None:
        """Process the era of a position; a later era may lack known upstreams."""
        if at < 0:  # no position, hence no era
            return
        now = self._clock.monotonic()
        is_restored = self.replica.note_era(topic, era_of(at), now)
        self._metrics.gauge("log_era", self.replica.era(topic), topic)
        if not is_restored:
            return
        self._log.info("log restored", topic=topic, era=era_of(at))
        if topic is Topic.UPSTREAMS:
            self._changes.log_may_lack_upstreams = True
        if era_of(at) > self._restored_era:
            self._restored_era = era_of(at)
            self._log_restored()

    def _finish_batch(self, topic: Topic) -> None:
        """Apply the ends of upstreams in a batch, which may have lapsed together."""
        if topic is not Topic.UPSTREAMS:
            return
        self._changes.settle_ends()
        self._upstreams_changed()

    def tick(self) -> None:
        """End upstreams whose lapse is final, and catch up with peers where due."""
        if not self._has_log_reader():
            self._log_unread_at = self._clock.monotonic()
        for topic, (peer, offset) in list(self._peers_ahead.items()):
            self.catch_up(peer, topic, offset)
        self._retry_unapplied()
        have_lapsed = self._changes.end_lapsed()
        returned = self._apply_held_back()
        if self._end_lost_upstreams() or have_lapsed or returned:
            self._upstreams_changed()

    def _has_log_reader(self) -> bool:
        """Return whether this instance or a linked one currently reads the log."""
        return self.reads_log or self._peers.has_recent_reader(self._clock.monotonic())

    def _apply_held_back(self) -> list[Record]:
        """Apply and return the held-back records that are due.

        Returns none while neither this instance nor a linked one reads the log.
        """
        if not self._has_log_reader():
            return []
        returned = self._changes.restored.due()
        for record in returned:
            self._apply(Topic.UPSTREAMS, record)
            self.replica.keep(Topic.UPSTREAMS, record)
        return returned

    def _end_lost_upstreams(self) -> bool:
        """End upstreams that a restored log still lacks; return whether there were any.

        Waits until the latest era has been known, and the log continuously read, for
        `REWRITE_WITHIN`, so that live upstreams can write their records again.
        """
        topic = Topic.UPSTREAMS
        followed_since = self.followed_since(topic)
        if not self._changes.log_may_lack_upstreams or followed_since is None:
            return False
        log_read_since = max(self.replica.era_since(topic), followed_since)
        if self._clock.monotonic() - log_read_since < REWRITE_WITHIN:
            return False
        self._changes.log_may_lack_upstreams = False
        era = self.replica.era(topic)
        ended_at = Position(position(era, 0) - 1)
        ends = self._changes.end_recorded_before(era, ended_at)
        for end in ends:
            self.replica.keep(topic, end)
        return bool(ends)

    def followed_since(self, topic: Topic) -> timedelta | None:
        """Return since when a topic has been followed, here or by linked instances.

        None if a peer is ahead, or not all of the topic is known.
        """
        return self._log_unread_at if self.knows_latest(topic) else None

    def _process_records(
        self,
        topic: Topic,
        records: Iterable[Record],
        listed_as_of: Position = INCOMPLETE,
    ) -> list[Record]:
        """Apply the records that are new; return those to relay to peers.

        Parameters
        ----------
        listed_as_of : Position
            Position of the list that has the records; `INCOMPLETE` if none has.
        """
        return [
            record
            for record in records
            if self.replica.is_news(topic, record, listed_as_of)
            and self._process_record(topic, record)
        ]

    def _process_record(self, topic: Topic, record: Record) -> bool:
        """Apply a new record; return whether to relay it to peers.

        True if it changed something, ended its key, or moved it to a position in a
        later era. An end matters to peers even if its key is unknown here. A record
        that raises an error is relayed, too: peers may be able to apply it.
        """
        changed = self._apply(topic, record)
        if changed is not False or record.value is None:
            self.replica.keep(topic, record)
            return True
        return self.replica.update_position(topic, record)

    def _apply(self, topic: Topic, record: Record) -> bool | None:
        """Apply a record; return whether it changed anything, None after an error.

        An error must not stop the other records of a batch: they are not read again.
        """
        results: list[bool] = []
        applied = self._errors.run(
            f"records of {topic}",
            lambda: results.append(self._changes.apply_record(topic, record)),
            affects_readiness=False,
        )
        if not applied:
            self._unapplied[topic, record.key] = record
            return None
        self._unapplied.pop((topic, record.key), None)
        return results[0]

    def _retry_unapplied(self) -> None:
        """Apply the records again that raised an error."""
        for (topic, key), record in list(self._unapplied.items()):
            if self.replica.newest(topic, key) != record:
                del self._unapplied[topic, key]
                continue
            if self._apply(topic, record) is None:
                continue
            self._log.info("record applied late", topic=topic, key=key)
            self._finish_batch(topic)
            self._upstreams_changed()

    def _apply_list(
        self, topic: Topic, records: list[Record], undecided: Set[str], as_of: Position
    ) -> list[Record]:
        """Apply a list of all keys; return the records to relay to peers.

        Parameters
        ----------
        undecided : set of str
            Keys that have not ended although they are not listed.
        as_of : Position
            Position of which this is the list.
        """
        applied = self._process_records(topic, records, as_of)
        listed = {record.key for record in records} | undecided
        applied += self._drop_unlisted(topic, listed, Position(as_of + 1))
        self.replica.note_list(topic, as_of)
        return applied

    def _pass_on(self, topic: Topic, before: Progress, applied: list[Record]) -> None:
        """Push what a read has changed to the linked instances.

        Large records are announced. If nothing changed, only the new position is sent,
        so that others do not count as behind.
        """
        peers = self._peers.linked()
        if before.pushed_after == INCOMPLETE:
            self._push_list(topic, peers)
            return
        if before.offset > before.pushed_after:
            # Some of these records came from peers, ahead of the ones read now.
            applied = self.replica.after(topic, before.pushed_after)
        if _size(applied) > MAX_PUSHED_BYTES:
            self._announce(topic, peers)
            return
        seen = self.replica.seen(topic)
        relay = make_relay(self.replica, topic, before.pushed_after, seen, applied)
        for peer in peers:
            self._effects.send_to(peer, relay)

    def _push_list(self, topic: Topic, peers: list[str]) -> None:
        """Push a list of all keys, or announce it if it is large."""
        if _size(self.replica.live(topic)) > MAX_PUSHED_BYTES:
            self._announce(topic, peers)
            return
        for part in self._make_list(topic):
            for peer in peers:
                self._effects.send_to(peer, part)

    def _make_list(self, topic: Topic) -> list[messages.RecordList]:
        held_back = self._changes.restored.all_held_back()
        undecided = held_back if topic is Topic.UPSTREAMS else []
        return make_list(self.replica, topic, undecided)

    def _announce(self, topic: Topic, peers: list[str]) -> None:
        """Announce to others that there are new records to pull."""
        message = messages.LargeRecordsNotice(str(topic), self.replica.seen(topic))
        for peer in peers:
            self._effects.send_to(peer, message)

    def _drop_unlisted(
        self, topic: Topic, listed: set[str], end: Position
    ) -> list[Record]:
        """End keys missing from a complete list; return the end records to relay."""
        ends = self.replica.drop_ended(topic, listed, end)
        if topic is Topic.CRASHES:
            self._quarantine.keep_only(listed, end)
        if topic is Topic.UPSTREAMS:
            held_back_ends = self._changes.end_unlisted(listed, end)
            for end_record in held_back_ends:
                self.replica.keep(topic, end_record)
            ends += held_back_ends
        return ends

    # Replication between instances

    def handle_announcement(
        self, peer: str, message: messages.LargeRecordsNotice
    ) -> None:
        """Handle a peer's announcement of records that are too large to push."""
        self.catch_up(peer, Topic(message.topic), Position(message.offset))

    def catch_up(self, peer: str, topic: Topic, offset: Position) -> None:
        """Pull the records that a peer is ahead by, or read the log if that fails."""
        now = self._clock.monotonic()
        if offset == EMPTY_TOPIC:
            self.replica.note_empty(topic)
        if not self.replica.note_peer_position(topic, offset, now):
            self._forget_reached_peer(topic)
            return
        self._peers_ahead[topic] = (peer, offset)
        if self.replica.pull_due(topic, self._hubs.is_preferred_source(peer), now):
            after = self.replica.seen(topic)
            self._log.info(
                "records pulled", topic=topic, peer=peer, after=after, to=offset
            )
            self._effects.send_to(peer, messages.Pull(str(topic), after))
        if self.replica.read_due(topic, now):
            self._effects.read_now(topic)

    def _forget_reached_peer(self, topic: Topic) -> None:
        """Forget the peer that was ahead once this instance knows as much.

        Another peer that is behind, too, says nothing about the one ahead.
        """
        ahead = self._peers_ahead.get(topic)
        if ahead is not None:
            name, offset = ahead
            peer = self._peers.by_name.get(name)
            is_linked = peer is not None and peer.linked
            if is_linked and offset > self.replica.seen(topic):
                return
            del self._peers_ahead[topic]
        self.replica.note_caught_up(topic)

    def pull_newer_version(self, peer: str, version: int) -> None:
        """Pull the configuration from a peer that has a newer version in force.

        Offsets do not show this: both may have read a restored log up to its end, while
        the log holds an older version than the peer has.
        """
        topic = Topic.CONFIGURATION
        if version <= self._in_force.version or topic in self._peers_ahead:
            return
        now = self._clock.monotonic()
        pulled_at = self._version_pulled_at
        if pulled_at is not None and now - pulled_at < PULL_PAUSE:
            return
        self._version_pulled_at = now
        self._log.info("newer configuration pulled", peer=peer, version=version)
        self._effects.send_to(peer, messages.Pull(str(topic), INCOMPLETE))

    def pulled(self, peer: str, pull: messages.Pull) -> None:
        """Answer a peer's pull with the records that it lacks, or with a list."""
        topic = Topic(pull.topic)
        after = Position(pull.after)
        up_to = self.replica.known_up_to(topic)
        if after >= up_to:
            # The peer would treat a partial replica as a complete one.
            return
        if not self.replica.history(topic).covers(after):
            # Not sent to earlier revisions: these read the log themselves.
            for part in self._make_list(topic):
                self._effects.send_to(peer, part)
            return
        records = self.replica.after(topic, after)
        if len(records) == MAX_RELAYED:
            up_to = min(up_to, records[-1].offset)
        relay = make_relay(self.replica, topic, after, up_to, records)
        self._effects.send_to(peer, relay)

    def handle_relay(self, peer: str, relay: messages.Relay) -> None:
        """Apply records that a peer has relayed."""
        topic = Topic(relay.topic)
        self._note_era(topic, Position(relay.up_to))
        records = unpack(relay.records, relay.compressed)
        applied = self._process_records(topic, records)
        seen = self.replica.seen(topic)
        history_break = self.replica.find_break(topic, relay)
        if history_break is None:
            self.replica.follow(topic, relay)
            self._continue_pull(peer, topic, seen)
        else:
            self._note_break(peer, relay, seen, history_break)
            self.catch_up(peer, topic, Position(relay.up_to))
        self._finish_relayed(topic, applied)

    def _note_break(
        self, peer: str, relay: messages.Relay, seen: Position, why: HistoryBreak
    ) -> None:
        if relay.up_to <= seen:
            return
        self._metrics.count("relay_breaks", relay.topic, why)
        self._log.info(
            "relayed records do not continue the known ones",
            topic=relay.topic,
            peer=peer,
            why=why,
            known=seen,
            after=relay.after,
            up_to=relay.up_to,
        )

    def handle_list(self, peer: str, message: messages.RecordList) -> None:
        """Apply a list that a peer has sent, once all its parts have arrived."""
        listed = self._incoming_lists.add(peer, message)
        if listed is None:
            return
        topic = Topic(message.topic)
        seen = self.replica.seen(topic)
        self._note_era(topic, listed.as_of)
        if self.replica.is_complete(topic) and listed.as_of <= seen:
            applied = self._process_records(topic, listed.records, listed.as_of)
        else:
            applied = self._apply_list(
                topic, listed.records, listed.undecided, listed.as_of
            )
        self._metrics.count("record_lists", topic)
        self._log.info(
            "record list received",
            topic=topic,
            peer=peer,
            known=seen,
            as_of=listed.as_of,
            records=len(listed.records),
            changed=len(applied),
        )
        self._continue_pull(peer, topic, seen)
        self._finish_relayed(topic, applied)

    def _finish_relayed(self, topic: Topic, applied: list[Record]) -> None:
        """Apply the ends of a batch, and announce large records to a hub's members."""
        self._finish_batch(topic)
        if _size(applied) > MAX_PUSHED_BYTES:
            self._announce(topic, self._hubs.members())

    def _continue_pull(self, peer: str, topic: Topic, seen_before: Position) -> None:
        """Pull the next records of a peer, or note that there are no more."""
        seen = self.replica.seen(topic)
        _, peer_offset = self._peers_ahead.get(topic, (peer, INCOMPLETE))
        if peer_offset > seen:
            if seen > seen_before:
                self._effects.send_to(peer, messages.Pull(str(topic), seen))
            return
        self._peers_ahead.pop(topic, None)
        self.replica.note_complete(topic)


def _size(records: Iterable[Record]) -> int:
    """Return the bytes of the values of records."""
    return sum(len(record.value or b"") for record in records)
