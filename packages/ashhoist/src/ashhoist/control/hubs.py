"""Which instances are hubs, and which links an instance should have.

Where instances are few, each links to each. Where they are many, that would cost
more with every instance; then some of each availability zone are hubs. Every
instance links to the hubs, the hubs to everybody, and only hubs schedule, read
the log for the others and hold leases while there are any. All instances rank
the hubs alike, so they agree on them without a word.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..types import Endpoint
from .peers import Peer, Peers, rank

FULL_MESH = 17
"""Up to so many instances each links to each, and all are hubs."""
HUBS_PER_ZONE = 2
MOST_TRIED_PER_ZONE = 6
"""Instances of a zone to link to while better ones can't be reached."""
HOPED_FOR = timedelta(seconds=1)
"""How long an instance that is not linked counts as one that will be."""
SURPLUS_AFTER = timedelta(seconds=8)
KEY = "leader"

HubOrder = tuple[bool, float, bytes]


@dataclass(frozen=True, slots=True)
class Identity:
    """What others know of this instance.

    Parameters
    ----------
    capacity : float
        Processor cores it may use.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0


class Hubs:
    """The hubs, as one instance sees them."""

    def __init__(self, own: Identity, peers: Peers, clock: Clock) -> None:
        self._own = own
        self._own_peer = Peer(own.name, own.zone, own.address, own.capacity)
        self._peers = peers
        self._clock = clock
        self._revision = -1
        self._found: frozenset[str] = frozenset()

    @property
    def all_linked(self) -> bool:
        """Return whether instances are so few that each links to each."""
        return len(self._peers.by_name) < FULL_MESH

    def is_hub(self, name: str) -> bool:
        """Return whether an instance is a hub now; this one may ask for itself."""
        return self.all_linked or name in self._names()

    def _names(self) -> frozenset[str]:
        """Return the best instances of each zone that are linked, or this one."""
        if self._revision != self._peers.revision:
            self._revision = self._peers.revision
            self._found = frozenset(self._find())
        return self._found

    def _find(self) -> Iterator[str]:
        live = [peer for peer in self._peers.by_name.values() if _is_live(peer)]
        live.append(self._own_peer)
        by_zone: dict[str, list[Peer]] = {}
        for peer in live:
            by_zone.setdefault(peer.zone, []).append(peer)
        for peers in by_zone.values():
            for peer in sorted(peers, key=_order)[:HUBS_PER_ZONE]:
                yield peer.name

    def _of_zone(self, zone: str) -> list[Peer]:
        found = [peer for peer in self._peers.by_name.values() if peer.zone == zone]
        if self._own.zone == zone:
            found.append(self._own_peer)
        return found

    def order(self, name: str) -> HubOrder:
        """Return what instances are ranked by; the lowest leads."""
        peer = self._own_peer
        if name != self._own.name:
            peer = self._peers.by_name.get(name) or Peer(name, "", "", 0.0)
        return (not self.is_hub(name), *_order(peer))

    def to_link(self) -> list[Endpoint]:
        """Return the instances that there should be links to."""
        if self.all_linked:
            chosen = list(self._peers.by_name.values())
        else:
            zones = {peer.zone for peer in self._peers.by_name.values()}
            chosen = [peer for zone in sorted(zones) for peer in self._to_link_of(zone)]
        return [
            Endpoint(peer.name, peer.zone, "", peer.address)
            for peer in chosen
            if peer.address
        ]

    def surplus(self) -> list[str]:
        """Return linked instances that there need be no link to any more.

        Two instances that are no hubs have nothing to tell each other; a link that
        is young may be what the other side needs.
        """
        if self.is_hub(self._own.name):
            return []
        now = self._clock.monotonic()
        wanted = {endpoint.name for endpoint in self.to_link()}
        return [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.linked
            and peer.name not in wanted
            and not self.is_hub(peer.name)
            and now - peer.linked_at > SURPLUS_AFTER
        ]

    def is_near(self, name: str) -> bool:
        """Return whether this instance asks that one first for what it knows.

        Hubs ask any; others the hubs of their own zone, so that what is large
        crosses to each zone but once or twice.
        """
        if self.is_hub(self._own.name):
            return True
        peer = self._peers.by_name.get(name)
        return peer is not None and peer.zone == self._own.zone

    def reads_first(self) -> bool:
        """Return whether this instance is a hub if all that are registered run."""
        if self.all_linked:
            return True
        best = sorted(self._of_zone(self._own.zone), key=_order)[:HUBS_PER_ZONE]
        return self._own_peer in best

    def linked_hubs(self) -> list[str]:
        """Return the hubs that there are links to."""
        return [name for name in self._peers.linked() if self.is_hub(name)]

    def nearest(self) -> str | None:
        """Return the linked hub to ask first: of the own zone, if there is one."""
        now = self._clock.monotonic()
        fresh = [peer for peer in self._peers.fresh(now) if self.is_hub(peer.name)]
        found = min(
            fresh,
            key=lambda peer: (peer.zone != self._own.zone, _order(peer)),
            default=None,
        )
        return None if found is None else found.name

    def members(self) -> list[str]:
        """Return the linked instances that ask this hub; none if it is no hub."""
        if self.all_linked or not self.is_hub(self._own.name):
            return []
        return [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.linked and peer.zone == self._own.zone
        ]

    def others_to_tell(self, teller: str) -> list[str]:
        """Return the members to which this hub passes on what an instance has told."""
        return [name for name in self.members() if name != teller]

    def _to_link_of(self, zone: str) -> list[Peer]:
        """Return the best of a zone, and the next while these can't be reached."""
        now = self._clock.monotonic()
        chosen: list[Peer] = []
        counted = 0
        for peer in sorted(self._of_zone(zone), key=_order):
            if counted >= HUBS_PER_ZONE or len(chosen) >= MOST_TRIED_PER_ZONE:
                break
            if peer is self._own_peer:
                counted += 1
                continue
            chosen.append(peer)
            counted += self._counts(peer, now)
        return chosen

    def _counts(self, peer: Peer, now: timedelta) -> bool:
        if peer.linked:
            return not peer.stops
        if peer.unlinked_since is None:
            peer.unlinked_since = now
        return now - peer.unlinked_since < HOPED_FOR


def _is_live(peer: Peer) -> bool:
    return peer.linked and not peer.stops


def _order(peer: Peer) -> tuple[float, bytes]:
    """Return the order of instances within a zone: the largest come first."""
    return (-peer.capacity, rank(KEY, peer.name))
