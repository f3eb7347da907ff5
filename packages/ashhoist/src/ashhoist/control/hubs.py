"""Network topology: which instances are hubs, and which links an instance should have.

A small deployment is a full mesh. In a large one the cost of a mesh would grow with
every instance, so some instances of each availability zone are hubs: every instance
links to the hubs and the hubs link to all. While there are hubs, only they schedule,
read the log for the others and hold leases. All instances compute the same ranking, so
they agree on the hubs without exchanging messages. Instances that reach no upstream
rank behind the others of their zone.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..types import Endpoint
from .peers import Peer, Peers, rank

FULL_MESH = 17
"""Up to this many instances form a full mesh, in which all are hubs."""
HUBS_PER_ZONE = 2
MAX_LINKS_PER_ZONE = 6
"""Maximum number of a zone's instances to link to while the best are unreachable."""
LINK_EXPECTED_FOR = timedelta(seconds=1)
"""How long an instance without a link is still expected to get one."""
SURPLUS_LINK_AGE = timedelta(seconds=8)
"""Minimum age of a link that is closed as not needed."""
RANK_KEY = "leader"

HubRank = tuple[bool, float, bytes]


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity and address of this instance, as it introduces itself to others.

    Parameters
    ----------
    capacity : float
        Processor cores that it may use.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0


class Hubs:
    """The hubs, from the point of view of one instance."""

    def __init__(self, own: Identity, peers: Peers, clock: Clock) -> None:
        self._own = own
        self._own_peer = Peer(own.name, own.zone, own.address, own.capacity)
        self._peers = peers
        self._clock = clock
        self._cached_revision = -1
        self._cached_names: frozenset[str] = frozenset()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this instance reaches no upstream."""
        return self._own_peer.is_cut_off

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this instance reaches no upstream."""
        self._own_peer.is_cut_off = is_cut_off
        self._peers.revision += 1

    @property
    def all_linked(self) -> bool:
        """Return whether there are so few instances that they form a full mesh."""
        return len(self._peers.by_name) < FULL_MESH

    def is_hub(self, name: str) -> bool:
        """Return whether an instance, which may be this one, is currently a hub."""
        return self.all_linked or name in self._hub_names()

    def _hub_names(self) -> frozenset[str]:
        """Return the best of each zone, among this instance and the linked ones."""
        if self._cached_revision != self._peers.revision:
            self._cached_revision = self._peers.revision
            self._cached_names = frozenset(self._find_hubs())
        return self._cached_names

    def _find_hubs(self) -> Iterator[str]:
        live = [peer for peer in self._peers.by_name.values() if _is_live(peer)]
        live.append(self._own_peer)
        by_zone: dict[str, list[Peer]] = {}
        for peer in live:
            by_zone.setdefault(peer.zone, []).append(peer)
        for peers in by_zone.values():
            for peer in sorted(peers, key=_hub_rank)[:HUBS_PER_ZONE]:
                yield peer.name

    def _of_zone(self, zone: str) -> list[Peer]:
        found = [peer for peer in self._peers.by_name.values() if peer.zone == zone]
        if self._own.zone == zone:
            found.append(self._own_peer)
        return found

    def order(self, name: str) -> HubRank:
        """Return the sort key of an instance in the ranking; the lowest leads."""
        peer = self._own_peer
        if name != self._own.name:
            peer = self._peers.by_name.get(name) or Peer(name, "", "", 0.0)
        return (not self.is_hub(name), *_zone_rank(peer))

    def desired_links(self) -> list[Endpoint]:
        """Return the instances that this one should be linked to."""
        return [
            Endpoint(peer.name, peer.zone, "", peer.address)
            for peer in self._desired_peers()
        ]

    def _desired_peers(self) -> list[Peer]:
        """Return the instances that this one should be linked to.

        An instance that has registered earlier may not know of a later hub, which
        therefore links to all by itself.
        """
        if self.is_expected_hub():
            chosen = list(self._peers.by_name.values())
        else:
            zones = {peer.zone for peer in self._peers.by_name.values()}
            chosen = [
                peer for zone in sorted(zones) for peer in self._desired_links_in(zone)
            ]
        return [peer for peer in chosen if peer.address]

    def surplus_links(self) -> list[str]:
        """Return the linked instances whose links are no longer needed.

        Two instances that are not hubs need no link. A young link is kept, because the
        other side may need it. An instance that reaches no upstream keeps all: it may
        be a hub again soon.
        """
        if self.is_hub(self._own.name) or self.is_cut_off:
            return []
        now = self._clock.monotonic()
        wanted = {peer.name for peer in self._desired_peers()}
        return [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.linked
            and peer.name not in wanted
            and not self.is_hub(peer.name)
            and now - peer.linked_at > SURPLUS_LINK_AGE
        ]

    def is_preferred_source(self, name: str) -> bool:
        """Return whether this instance pulls records from that one in preference.

        Hubs pull from any instance, others from instances of their own zone, so that
        large records cross to each zone only once or twice.
        """
        if self.is_hub(self._own.name):
            return True
        peer = self._peers.by_name.get(name)
        return peer is not None and peer.zone == self._own.zone

    def is_expected_hub(self) -> bool:
        """Return whether this instance is a hub provided all registered ones run."""
        if self.all_linked:
            return True
        best = sorted(self._of_zone(self._own.zone), key=_zone_rank)[:HUBS_PER_ZONE]
        return self._own_peer in best

    def linked_hubs(self) -> list[str]:
        """Return the hubs that this instance is linked to."""
        return [name for name in self._peers.linked() if self.is_hub(name)]

    def nearest(self) -> str | None:
        """Return the linked hub to ask first, preferably one of the own zone."""
        now = self._clock.monotonic()
        fresh = [peer for peer in self._peers.fresh(now) if self.is_hub(peer.name)]
        found = min(
            fresh,
            key=lambda peer: (peer.zone != self._own.zone, _zone_rank(peer)),
            default=None,
        )
        return None if found is None else found.name

    def members(self) -> list[str]:
        """Return the linked instances of this hub's zone; none if it is not a hub."""
        if self.all_linked or not self.is_hub(self._own.name):
            return []
        return [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.linked and peer.zone == self._own.zone
        ]

    def members_except(self, teller: str) -> list[str]:
        """Return the members to which this hub forwards a message of `teller`."""
        return [name for name in self.members() if name != teller]

    def _desired_links_in(self, zone: str) -> list[Peer]:
        """Return the best of a zone, and the next best while those are unreachable."""
        now = self._clock.monotonic()
        chosen: list[Peer] = []
        reachable = 0
        for peer in sorted(self._of_zone(zone), key=_zone_rank):
            if reachable >= HUBS_PER_ZONE or len(chosen) >= MAX_LINKS_PER_ZONE:
                break
            if peer is self._own_peer:
                reachable += not peer.is_cut_off
                continue
            chosen.append(peer)
            reachable += self._counts_as_reachable(peer, now)
        return chosen

    def awaits_link(self) -> bool:
        """Return whether a link to a possible hub is expected to come up soon."""
        if self.all_linked:
            return False
        now = self._clock.monotonic()
        return any(
            not peer.linked and self._counts_as_reachable(peer, now)
            for peer in self._desired_peers()
        )

    def _counts_as_reachable(self, peer: Peer, now: timedelta) -> bool:
        if peer.linked:
            return not peer.stops and not peer.is_cut_off
        if peer.unlinked_since is None:
            peer.unlinked_since = now
        return now - peer.unlinked_since < LINK_EXPECTED_FOR


def _is_live(peer: Peer) -> bool:
    return peer.linked and not peer.stops


def _hub_rank(peer: Peer) -> tuple[bool, float, bytes]:
    """Return the sort key of an instance in the choice of its zone's hubs."""
    return (peer.is_cut_off, *_zone_rank(peer))


def _zone_rank(peer: Peer) -> tuple[float, bytes]:
    """Return the sort key of an instance within its zone: the largest come first."""
    return (-peer.capacity, rank(RANK_KEY, peer.name))
