"""Which instances are told of a stream, and which are asked about it.

All instances compute the same ranking from a stream's id, so that whoever needs to know
about a stream finds the instances that were told of it.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable

from .hubs import Hubs
from .peers import Peers

INSTANCES_TOLD = 3
INSTANCES_ASKED = 5
"""More than are told: the instances that each one is linked to may differ."""


class StreamReplicas:
    """Ranks the hubs that this instance is linked to, for each stream.

    Where there are few instances, all of them are hubs.
    """

    def __init__(self, peers: Peers, hubs: Hubs) -> None:
        self._peers = peers
        self._hubs = hubs

    def to_tell(self, stream_ids: Iterable[str]) -> dict[str, list[str]]:
        """Return the other instances that are told that streams have begun, by id."""
        zones = self._zone_by_hub()
        return {
            stream_id: ranked(stream_id, zones)[:INSTANCES_TOLD]
            for stream_id in stream_ids
        }

    def to_ask(self, stream_id: str) -> list[str]:
        """Return the other instances that may know a stream, the likeliest first."""
        return ranked(stream_id, self._zone_by_hub())[:INSTANCES_ASKED]

    def _zone_by_hub(self) -> dict[str, str]:
        return {name: self._zone(name) for name in self._hubs.linked_hubs()}

    def _zone(self, name: str) -> str:
        peer = self._peers.by_name.get(name)
        return "" if peer is None else peer.zone


def ranked(stream_id: str, zone_by_instance: dict[str, str]) -> list[str]:
    """Return instances in the order in which they are told of a stream.

    The first of each availability zone come first, so that the loss of a zone does not
    lose a stream.
    """
    by_hash = sorted(zone_by_instance, key=lambda name: _hash(stream_id, name))
    earlier_in_zone: Counter[str] = Counter()
    places: dict[str, int] = {}
    for name in by_hash:
        zone = zone_by_instance[name]
        places[name] = earlier_in_zone[zone]
        earlier_in_zone[zone] += 1
    return sorted(by_hash, key=places.__getitem__)


def _hash(stream_id: str, instance: str) -> bytes:
    pair = f"{stream_id}\n{instance}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
