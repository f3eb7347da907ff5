"""The other instances: which exist, which are linked, and their last heartbeats."""

import functools
import hashlib
from dataclasses import dataclass, field
from datetime import timedelta

import cbor2

from ..store import Record
from .messages import Heartbeat

SILENT_AFTER = timedelta(seconds=3)
"""Minimum silence of a linked instance after which its link is dropped."""
REMOVE_AFTER = timedelta(hours=6)
"""Longer than network partitions between zones or regions last."""
RANK_CACHE_SIZE = 4096
"""Size of the cache of `rank`."""
OVERDUE_PER_MS = timedelta(microseconds=2400)
"""Per millisecond of an instance's heartbeat interval: overdue after 2.4 intervals."""


@dataclass(slots=True)
class Peer:
    """One other instance.

    Parameters
    ----------
    capacity : float
        Processor cores that it may use.
    heard_at : timedelta or None
        When it was last heard of: link up, introduction or heartbeat.
    linked_at : timedelta
        When the last link came up.
    unlinked_since : timedelta or None
        Since when there has been no link, although there should be one.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0
    linked: bool = False
    heard_at: timedelta | None = None
    linked_at: timedelta = timedelta()
    unlinked_since: timedelta | None = None
    heartbeat: Heartbeat | None = None
    is_cut_off: bool = False
    """Whether it has said that it reaches no upstream."""
    heartbeat_at: timedelta = timedelta()
    """When the last heartbeat arrived; `heard_at` may be later."""

    @property
    def stops(self) -> bool:
        """Return whether its last heartbeat says that it is stopping."""
        return self.heartbeat is not None and self.heartbeat.stopping

    @property
    def leads(self) -> bool:
        """Return whether its last heartbeat says that it is the leader."""
        return self.heartbeat is not None and self.heartbeat.leads

    def is_silent(self, now: timedelta) -> bool:
        """Return whether it is linked but has not been heard of for too long."""
        if not self.linked or self.heard_at is None:
            return False
        silent_after = SILENT_AFTER
        if self.heartbeat is not None:
            silent_after = max(
                silent_after, self.heartbeat.next_heartbeat_ms * OVERDUE_PER_MS
            )
        return now - self.heard_at > silent_after

    def is_recent(self, now: timedelta) -> bool:
        """Return whether it is linked and its next heartbeat is not overdue."""
        if not self.linked or self.heartbeat is None or self.heard_at is None:
            return False
        return now - self.heard_at <= self.heartbeat.next_heartbeat_ms * OVERDUE_PER_MS


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Registration of an instance on the log."""

    name: str
    zone: str
    address: str
    capacity: float = 1.0

    def encode(self) -> bytes:
        """Return the value of the record on the log."""
        return cbor2.dumps([self.zone, self.address, self.capacity])

    @classmethod
    def decode(cls, record: Record) -> "InstanceRecord | None":
        """Return the registration in a record, or None if the record is not valid."""
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
        Incremented whenever an instance is added, updated, removed, linked or unlinked,
        begins or ceases to reach upstreams, or its heartbeats begin or cease to say
        that it leads or stops.
    """

    own: str
    by_name: dict[str, Peer] = field(default_factory=dict)
    revision: int = 0

    def add_registered(self, record: InstanceRecord) -> None:
        """Add an instance of the register; what a link says takes precedence."""
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

    def update_introduced(self, record: InstanceRecord, now: timedelta) -> None:
        """Update an instance from its introduction over a link."""
        self.revision += 1
        name = record.name
        peer = self.by_name.setdefault(name, Peer(name, record.zone, record.address))
        peer.zone = record.zone
        peer.address = record.address
        peer.capacity = record.capacity
        peer.heard_at = now

    def link_up(self, name: str, now: timedelta) -> None:
        """Record that the link to an instance is up."""
        self.revision += 1
        peer = self.by_name.setdefault(name, Peer(name, "", ""))
        peer.linked = True
        peer.linked_at = now
        peer.heard_at = now
        peer.unlinked_since = None

    def link_down(self, name: str, now: timedelta) -> None:
        """Record that the link to an instance is down."""
        peer = self.by_name.get(name)
        if peer is not None:
            self.revision += 1
            peer.linked = False
            peer.is_cut_off = False
            peer.unlinked_since = now

    def set_cut_off(self, name: str, is_cut_off: bool) -> bool:
        """Record whether an instance is cut off; return whether that has changed."""
        peer = self.by_name.get(name)
        if peer is None or peer.is_cut_off == is_cut_off:
            return False
        self.revision += 1
        peer.is_cut_off = is_cut_off
        return True

    def record_heartbeat(self, name: str, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Record a heartbeat; return whether the instance's state has changed."""
        peer = self.by_name.get(name)
        if peer is None:
            return False
        previous, peer.heartbeat = peer.heartbeat, heartbeat
        peer.heartbeat_at = now
        peer.heard_at = now
        if previous is not None and _same_state(previous, heartbeat):
            return False
        self.revision += 1
        return True

    def leads(self, name: str) -> bool:
        """Return whether an instance says that it is the leader."""
        peer = self.by_name.get(name)
        return peer is not None and peer.leads

    def rows(self) -> list[list[object]]:
        """Return all instances in the form of an `InstanceList` message."""
        return [
            [peer.name, peer.zone, peer.address, peer.capacity]
            for peer in self.by_name.values()
        ]

    def fresh(self, now: timedelta) -> list[Peer]:
        """Return the linked instances whose next heartbeat is not overdue."""
        return [peer for peer in self.by_name.values() if peer.is_recent(now)]

    def linked(self) -> list[str]:
        """Return the names of the linked instances."""
        return [peer.name for peer in self.by_name.values() if peer.linked]

    def readers(self) -> list[str]:
        """Return the linked instances that report that the log answers them."""
        return [
            peer.name
            for peer in self.by_name.values()
            if peer.linked
            and peer.heartbeat is not None
            and peer.heartbeat.reads_log
            and not peer.heartbeat.stopping
        ]

    def has_recent_reader(self, now: timedelta) -> bool:
        """Return whether a linked instance still counts as a reader of the log."""
        return any(
            peer.linked
            and peer.heartbeat is not None
            and now
            < peer.heartbeat_at + timedelta(milliseconds=peer.heartbeat.reader_for_ms)
            for peer in self.by_name.values()
        )

    def newest_configuration(self) -> int:
        """Return the newest configuration version at a linked instance; -1 if none."""
        versions = (
            peer.heartbeat.configuration
            for peer in self.by_name.values()
            if peer.linked and peer.heartbeat is not None
        )
        return max(versions, default=-1)

    def silent(self, now: timedelta) -> list[str]:
        """Return the linked instances that have not been heard of for too long."""
        return [peer.name for peer in self.by_name.values() if peer.is_silent(now)]

    def forget_lost(self, now: timedelta) -> None:
        """Remove instances that have been unlinked for `REMOVE_AFTER`."""
        for peer in list(self.by_name.values()):
            if peer.linked or peer.unlinked_since is None:
                continue
            if now - peer.unlinked_since > REMOVE_AFTER:
                self.revision += 1
                del self.by_name[peer.name]


def _same_state(first: Heartbeat, second: Heartbeat) -> bool:
    return first.stopping == second.stopping and first.leads == second.leads


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def rank(first: str, second: str) -> bytes:
    """Return a hash of a pair of names, the same at every instance and in any order."""
    pair = "\n".join(sorted((first, second)))
    return hashlib.blake2b(pair.encode(), digest_size=8).digest()
