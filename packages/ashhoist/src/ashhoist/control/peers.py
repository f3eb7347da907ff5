"""The other instances: which exist, which are linked, what they last said."""

import hashlib
from dataclasses import dataclass, field
from datetime import timedelta

import cbor2

from ..store import Record
from ..types import Endpoint
from .messages import Beat

SILENT_AFTER = timedelta(seconds=3)
FORGET_AFTER = timedelta(seconds=60)
MOST_LINKS = 16


@dataclass(slots=True)
class Peer:
    """One other instance."""

    name: str
    zone: str
    address: str
    linked: bool = False
    heard_at: timedelta | None = None
    lost_at: timedelta | None = None
    beat: Beat | None = None

    @property
    def stops(self) -> bool:
        """Return whether it has said that it stops."""
        return self.beat is not None and self.beat.stopping

    @property
    def leads(self) -> bool:
        """Return whether it has said that it schedules."""
        return self.beat is not None and self.beat.leads

    def is_fresh(self, within: timedelta, now: timedelta) -> bool:
        """Return whether it is linked and was heard of a short time ago."""
        if not self.linked or self.beat is None or self.heard_at is None:
            return False
        return now - self.heard_at <= within


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance as it registers itself."""

    name: str
    zone: str
    address: str

    def encode(self) -> bytes:
        """Return the form on the log."""
        return cbor2.dumps([self.zone, self.address])

    @classmethod
    def decode(cls, record: Record) -> "InstanceRecord | None":
        """Return the instance in a record, or None if it is none."""
        try:
            zone, address = cbor2.loads(record.value or b"")
        except (ValueError, TypeError, cbor2.CBORDecodeError):
            return None
        return cls(record.key, zone, address)


@dataclass(slots=True)
class Peers:
    """All other instances, by name."""

    own: str
    by_name: dict[str, Peer] = field(default_factory=dict)

    def registered(self, record: InstanceRecord) -> None:
        """Take in an instance from the log; a link knows better."""
        if record.name == self.own:
            return
        known = self.by_name.get(record.name)
        if known is None:
            self.by_name[record.name] = Peer(record.name, record.zone, record.address)
            return
        if not known.linked:
            known.address = record.address
            known.lost_at = None

    def introduced(self, name: str, zone: str, address: str, now: timedelta) -> None:
        """Take in what an instance says of itself over its link."""
        peer = self.by_name.setdefault(name, Peer(name, zone, address))
        peer.zone = zone
        peer.address = address
        peer.heard_at = now

    def up(self, name: str, now: timedelta) -> None:
        """Note that there is a link."""
        peer = self.by_name.setdefault(name, Peer(name, "", ""))
        peer.linked = True
        peer.heard_at = now
        peer.lost_at = None

    def down(self, name: str, now: timedelta) -> None:
        """Note that the link is gone."""
        peer = self.by_name.get(name)
        if peer is not None:
            peer.linked = False
            peer.lost_at = now

    def beat(self, name: str, beat: Beat, now: timedelta) -> None:
        """Take in a sign of life."""
        peer = self.by_name.get(name)
        if peer is not None:
            peer.beat = beat
            peer.heard_at = now

    def fresh(self, within: timedelta, now: timedelta) -> list[Peer]:
        """Return the instances that are linked and were heard of lately."""
        return [peer for peer in self.by_name.values() if peer.is_fresh(within, now)]

    def linked(self) -> list[str]:
        """Return the names of the linked instances."""
        return [peer.name for peer in self.by_name.values() if peer.linked]

    def silent(self, now: timedelta) -> list[str]:
        """Return the linked instances that have not been heard for long."""
        return [
            peer.name
            for peer in self.by_name.values()
            if peer.linked
            and peer.heard_at is not None
            and now - peer.heard_at > SILENT_AFTER
        ]

    def forget_lost(self, now: timedelta) -> None:
        """Forget instances that have been gone for long."""
        for peer in list(self.by_name.values()):
            if peer.linked or peer.lost_at is None:
                continue
            if now - peer.lost_at > FORGET_AFTER:
                del self.by_name[peer.name]

    def to_link(self, always: str | None) -> list[Endpoint]:
        """Return the instances that there should be links to.

        Parameters
        ----------
        always : str or None
            The holder of the lease; it is linked whatever the number.
        """
        ranked = sorted(
            self.by_name.values(), key=lambda peer: rank(self.own, peer.name)
        )
        chosen = ranked[:MOST_LINKS]
        chosen += [peer for peer in ranked[MOST_LINKS:] if peer.name == always]
        return [
            Endpoint(peer.name, peer.zone, "", peer.address)
            for peer in chosen
            if peer.address
        ]


def rank(one: str, other: str) -> bytes:
    """Return a number for a pair of names that every instance agrees on."""
    pair = "\n".join(sorted((one, other)))
    return hashlib.blake2b(pair.encode(), digest_size=8).digest()
