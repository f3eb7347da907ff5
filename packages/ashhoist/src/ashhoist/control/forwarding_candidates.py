"""Which instances take the requests of one that reaches no upstream.

Where instances are many, most are linked to a few others only. One that reaches no
upstream asks these, whose links to it are sound, for some of all that reach upstreams.
Each answer is chosen by rendezvous hashing, so that all who are asked name the same
instances and the load spreads over all of them.
"""

import math
from dataclasses import replace
from datetime import timedelta

from ..clock import ZERO, Clock
from ..forwarding import ForwardingInstance
from .hubs import Hubs
from .peers import Peers, rank

CANDIDATES = 6
"""Instances that are named to one that asks."""
MIN_ZONE_SHARE = 0.5
"""Share of a zone's instances that must reach upstreams to take the requests of the
others of their zone alone."""
ASKED_INSTANCES = 2
"""Linked instances that are asked at a time: one may be about to end."""
QUERY_INTERVAL = timedelta(seconds=1)
"""Between two queries while candidates are known."""
VALID_FOR = timedelta(seconds=3)
"""How long candidates are used without another answer."""
HASHES = 2**64


class CandidateQueries:
    """Decides whom an instance that reaches no upstream asks, and when."""

    def __init__(self, peers: Peers, hubs: Hubs, clock: Clock) -> None:
        self._peers = peers
        self._hubs = hubs
        self._clock = clock
        self._next_at = ZERO
        self._asked = 0

    def is_due(self, has_candidates: bool) -> bool:
        """Return whether to find candidates now; if so, note it.

        Parameters
        ----------
        has_candidates : bool
            Whether some are known already.
        """
        now = self._clock.monotonic()
        if self._hubs.all_linked or (has_candidates and now < self._next_at):
            return False
        self._next_at = now + QUERY_INTERVAL
        return True

    def asked(self) -> list[str]:
        """Return the linked instances to ask, others each time.

        None if this instance is linked to most others, so that it knows as much, or to
        nobody at the moment.
        """
        now = self._clock.monotonic()
        linked = sorted(peer.name for peer in self._peers.fresh(now))
        if not linked or 2 * len(linked) >= len(self._peers.by_name):
            return []
        first = self._asked % len(linked)
        self._asked += ASKED_INSTANCES
        return (linked[first:] + linked[:first])[:ASKED_INSTANCES]


class AssignedCandidates:
    """The instances that were named to this one, while the answer holds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._candidates: list[ForwardingInstance] = []
        self._valid_until = ZERO

    def current(self) -> list[ForwardingInstance]:
        """Return the candidates; none if the last answer has expired."""
        if self._clock.monotonic() >= self._valid_until:
            return []
        return self._candidates

    def set(self, candidates: list[ForwardingInstance]) -> bool:
        """Set the candidates from an answer; return whether they have changed.

        An empty answer comes from an instance that is linked to few others itself.
        """
        if not candidates:
            return False
        before = self.current()
        self._candidates = candidates
        self._valid_until = self._clock.monotonic() + VALID_FOR
        return self._candidates != before


def choose(
    asking: str, zone: str, peers: Peers, available: list[ForwardingInstance]
) -> list[ForwardingInstance]:
    """Return the instances that take the requests of one that reaches no upstream.

    Parameters
    ----------
    asking, zone : str
        The name and availability zone of that instance.
    available : list of ForwardingInstance
        The linked instances that reach upstreams.
    """
    others = [one for one in available if one.name != asking]
    in_zone = [one for one in others if one.zone == zone]
    total = sum(peer.linked and peer.zone == zone for peer in peers.by_name.values())
    if in_zone and len(in_zone) >= total * MIN_ZONE_SHARE:
        others = in_zone
    others.sort(key=lambda one: _distance(asking, one))
    return [replace(one, is_assigned=True) for one in others[:CANDIDATES]]


def _distance(asking: str, one: ForwardingInstance) -> float:
    """Return the sort key of an instance in weighted rendezvous hashing."""
    hashed = int.from_bytes(rank(asking, one.name), "big")
    return -math.log((hashed + 1) / (HASHES + 1)) / one.weight
