"""The other instances: which exist, which are linked, what they last said."""

import functools
import hashlib
from dataclasses import dataclass, field
from datetime import timedelta

import cbor2

from ..store import Record
from .messages import Beat

SILENT_AFTER = timedelta(seconds=3)
FORGET_AFTER = timedelta(hours=6)
"""Longer than zones and regions lose each other for."""
MOST_RANKS = 4096
OVERDUE_AFTER = timedelta(microseconds=2400)
"""For each millisecond between the beats of an instance: 2.4 times as long."""


@dataclass(slots=True)
class Peer:
    """One other instance.

    Parameters
    ----------
    capacity : float
        Processor cores it may use.
    linked_at : timedelta
        When the last link came up.
    unlinked_since : timedelta or None
        Since when there should be a link, but is none.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0
    linked: bool = False
    heard_at: timedelta | None = None
    linked_at: timedelta = timedelta()
    unlinked_since: timedelta | None = None
    beat: Beat | None = None
    beat_at: timedelta = timedelta()
    """When the last beat came; `heard_at` may be later."""

    @property
    def stops(self) -> bool:
        """Return whether it has said that it stops."""
        return self.beat is not None and self.beat.stopping

    @property
    def leads(self) -> bool:
        """Return whether it has said that it schedules."""
        return self.beat is not None and self.beat.leads

    def is_silent(self, now: timedelta) -> bool:
        """Return whether it is linked, but has given no sign of life for long."""
        if not self.linked or self.heard_at is None:
            return False
        patience = SILENT_AFTER
        if self.beat is not None:
            patience = max(patience, self.beat.every_ms * OVERDUE_AFTER)
        return now - self.heard_at > patience

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether it is linked and its last beat is not overdue."""
        if not self.linked or self.beat is None or self.heard_at is None:
            return False
        return now - self.heard_at <= self.beat.every_ms * OVERDUE_AFTER


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance as it registers itself."""

    name: str
    zone: str
    address: str
    capacity: float = 1.0

    def encode(self) -> bytes:
        """Return the form on the log."""
        return cbor2.dumps([self.zone, self.address, self.capacity])

    @classmethod
    def decode(cls, record: Record) -> "InstanceRecord | None":
        """Return the instance in a record, or None if it is none."""
        try:
            zone, address, capacity = cbor2.loads(record.value or b"")
        except (ValueError, TypeError, cbor2.CBORDecodeError):
            return None
        return cls(record.key, zone, address, capacity)


@dataclass(slots=True)
class Peers:
    """All other instances, by name.

    Parameters
    ----------
    revision : int
        Rises whenever an instance comes, goes, stops, or is linked or not.
    """

    own: str
    by_name: dict[str, Peer] = field(default_factory=dict)
    revision: int = 0

    def registered(self, record: InstanceRecord) -> None:
        """Take in an instance from the log; a link knows better."""
        if record.name == self.own:
            return
        self.revision += 1
        known = self.by_name.get(record.name)
        if known is None:
            self.by_name[record.name] = Peer(
                record.name, record.zone, record.address, record.capacity
            )
            return
        if not known.linked:
            known.address = record.address
            known.capacity = record.capacity

    def introduced(self, record: InstanceRecord, now: timedelta) -> None:
        """Take in what an instance says of itself over its link."""
        self.revision += 1
        name = record.name
        peer = self.by_name.setdefault(name, Peer(name, record.zone, record.address))
        peer.zone = record.zone
        peer.address = record.address
        peer.capacity = record.capacity
        peer.heard_at = now

    def up(self, name: str, now: timedelta) -> None:
        """Note that there is a link."""
        self.revision += 1
        peer = self.by_name.setdefault(name, Peer(name, "", ""))
        peer.linked = True
        peer.linked_at = now
        peer.heard_at = now
        peer.unlinked_since = None

    def down(self, name: str, now: timedelta) -> None:
        """Note that the link is gone."""
        peer = self.by_name.get(name)
        if peer is not None:
            self.revision += 1
            peer.linked = False
            peer.unlinked_since = now

    def beat(self, name: str, beat: Beat, now: timedelta) -> bool:
        """Take in a sign of life; return whether it says something new of itself."""
        peer = self.by_name.get(name)
        if peer is None:
            return False
        before, peer.beat = peer.beat, beat
        peer.beat_at = now
        peer.heard_at = now
        if before is not None and _says_the_same(before, beat):
            return False
        self.revision += 1
        return True

    def leads(self, name: str) -> bool:
        """Return whether an instance has said that it schedules."""
        peer = self.by_name.get(name)
        return peer is not None and peer.leads

    def rows(self) -> list[list[object]]:
        """Return all instances as an `Instances` message has them."""
        return [
            [peer.name, peer.zone, peer.address, peer.capacity]
            for peer in self.by_name.values()
        ]

    def fresh(self, now: timedelta) -> list[Peer]:
        """Return the instances that are linked and were heard of lately."""
        return [peer for peer in self.by_name.values() if peer.is_fresh(now)]

    def linked(self) -> list[str]:
        """Return the names of the linked instances."""
        return [peer.name for peer in self.by_name.values() if peer.linked]

    def readers(self) -> list[str]:
        """Return the linked instances that the log answers, as they say."""
        return [
            peer.name
            for peer in self.by_name.values()
            if peer.linked
            and peer.beat is not None
            and peer.beat.reads_log
            and not peer.beat.stopping
        ]

    def has_recent_reader(self, now: timedelta) -> bool:
        """Return whether a linked instance still passes for a reader of the log."""
        return any(
            peer.linked
            and peer.beat is not None
            and now < peer.beat_at + timedelta(milliseconds=peer.beat.reads_for_ms)
            for peer in self.by_name.values()
        )

    def silent(self, now: timedelta) -> list[str]:
        """Return the linked instances that have not been heard for long."""
        return [peer.name for peer in self.by_name.values() if peer.is_silent(now)]

    def forget_lost(self, now: timedelta) -> None:
        """Forget instances that have been gone for long."""
        for peer in list(self.by_name.values()):
            if peer.linked or peer.unlinked_since is None:
                continue
            if now - peer.unlinked_since > FORGET_AFTER:
                self.revision += 1
                del self.by_name[peer.name]


def _says_the_same(one: Beat, other: Beat) -> bool:
    return one.stopping == other.stopping and one.leads == other.leads


@functools.lru_cache(maxsize=MOST_RANKS)
def rank(one: str, other: str) -> bytes:
    """Return a number for a pair of names that every instance agrees on."""
    pair = "\n".join(sorted((one, other)))
    return hashlib.blake2b(pair.encode(), digest_size=8).digest()
