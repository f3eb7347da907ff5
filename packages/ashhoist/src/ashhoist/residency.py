"""Where each adapter is, and how busy each upstream is, as soft state.

Every instance of a region holds this map. It is built from deltas that the homes
send when something changes; an idle adapter costs nothing here.
"""

import bisect
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .policies import UpstreamView
from .types import AdapterVersion

POINTS_EACH = 16
PLACEMENT_CHOICES = 3


def _point(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Ring:
    """Consistent hashing: which upstreams an absent adapter may be placed on.

    All instances choose from the same few, so that they do not load one cold
    adapter in many places, and a lookup does not grow with the upstreams.
    """

    points: list[tuple[int, str]] = field(default_factory=list)
    members: frozenset[str] = frozenset()

    def rebuild(self, names: Iterable[str]) -> None:
        """Set the members."""
        if names is self.members:
            return
        members = frozenset(names)
        self.members = members
        self.points = sorted(
            (_point(f"{name}#{index}"), name)
            for name in members
            for index in range(POINTS_EACH)
        )

    def choose(self, key: str, count: int) -> list[str]:
        """Return the first `count` different members after the key's point."""
        found: dict[str, None] = {}
        start = bisect.bisect(self.points, (_point(key), ""))
        wanted = min(count, len(self.members))
        for index in range(len(self.points)):
            _, name = self.points[(start + index) % len(self.points)]
            found.setdefault(name)
            if len(found) == wanted:
                break
        return list(found)


@dataclass(slots=True)
class Residency:
    """Upstreams by adapter, and the view of each upstream."""

    upstreams_by_adapter: dict[AdapterVersion, set[str]] = field(default_factory=dict)
    adapters_by_upstream: dict[str, set[AdapterVersion]] = field(default_factory=dict)
    views: dict[str, UpstreamView] = field(default_factory=dict)
    rings: dict[str, Ring] = field(default_factory=dict)

    def set(self, upstream: str, adapter: AdapterVersion, resident: bool) -> None:
        """Take in one change of residency."""
        if resident:
            self.upstreams_by_adapter.setdefault(adapter, set()).add(upstream)
            self.adapters_by_upstream.setdefault(upstream, set()).add(adapter)
            return
        self.adapters_by_upstream.get(upstream, set()).discard(adapter)
        holders = self.upstreams_by_adapter.get(adapter)
        if holders is None:
            return
        holders.discard(upstream)
        if not holders:
            del self.upstreams_by_adapter[adapter]

    def replace(self, upstream: str, adapters: Iterable[AdapterVersion]) -> None:
        """Take in all that an upstream holds."""
        new = set(adapters)
        for adapter in self.adapters_by_upstream.get(upstream, set()) - new:
            self.set(upstream, adapter, False)
        for adapter in new:
            self.set(upstream, adapter, True)

    def resident_views(
        self, adapter: AdapterVersion, usable: frozenset[str]
    ) -> list[UpstreamView]:
        """Return the views of the usable upstreams that hold an adapter."""
        names = self.upstreams_by_adapter.get(adapter, ())
        return [self.views[name] for name in names if name in usable]

    def placements(
        self, group: str, adapter: AdapterVersion, usable: frozenset[str]
    ) -> list[UpstreamView]:
        """Return the views of the upstreams that an adapter may be placed on.

        They are more than hold it already, so that a hot one can spread on.
        """
        ring = self.rings.setdefault(group, Ring())
        ring.rebuild(usable)
        held = len(self.upstreams_by_adapter.get(adapter, ()))
        names = ring.choose(str(adapter), PLACEMENT_CHOICES + held)
        return [self.views[name] for name in names]
