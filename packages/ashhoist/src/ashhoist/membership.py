"""Who is there: the platform's lagging list joined with our own heartbeats.

Suspicion alone never permits an order: fences and leases do.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache

from .types import Endpoint

SCORES_KEPT = 65_536
LINK_GRACE = timedelta(seconds=1)
"""An instance whose link broke has so long to link again."""


@lru_cache(maxsize=SCORES_KEPT)
def rendezvous_score(key: str, name: str) -> int:
    """Return the weight of `name` for `key`; the highest wins."""
    digest = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by rendezvous weight for `key`, the winner first."""
    return sorted(names, key=lambda name: (-rendezvous_score(key, name), name))


@dataclass(slots=True)
class Membership:
    """What this instance believes about the other instances and the upstreams.

    Parameters
    ----------
    own : Endpoint
        This instance.
    suspect_after : timedelta
        Silence after which an instance counts as lost, in a small deployment.

    Attributes
    ----------
    stretch : float
        How many times rarer heartbeats are because there are many instances.
    """

    own: Endpoint
    suspect_after: timedelta
    stretch: float = 1.0
    by_name: dict[str, Endpoint] = field(default_factory=dict)
    heard_at: dict[str, timedelta] = field(default_factory=dict)
    listed_at: dict[str, timedelta] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    leaving_by_word: dict[str, str] = field(default_factory=dict)
    leaving_upstreams: set[str] = field(default_factory=set)
    keepers: dict[str, str] = field(default_factory=dict)

    def apply_list(self, endpoints: Iterable[Endpoint], now: timedelta) -> None:
        """Take in the platform's list."""
        new = {endpoint.name: endpoint for endpoint in endpoints}
        for name in new:
            self.listed_at.setdefault(name, now)
        for name in set(self.listed_at) - set(new):
            del self.listed_at[name]
            self.heard_at.pop(name, None)
            self.incarnations.pop(name, None)
            self.leaving_by_word.pop(name, None)
        for name, endpoint in new.items():
            before = self.by_name.get(name)
            if before is not None and before.leaving and not endpoint.leaving:
                self.leaving_upstreams.discard(name)
        self.by_name = new

    def upstreams_leaving(self) -> set[str]:
        """Return the upstreams that leave, by the list or an instance's word."""
        listed = {
            name
            for name, endpoint in self.by_name.items()
            if endpoint.kind != "entry" and endpoint.leaving
        }
        return listed | self.leaving_upstreams

    def heard(self, name: str, incarnation: str, leaving: bool, now: timedelta) -> None:
        """Note a heartbeat of an instance."""
        if self.incarnations.get(name) != incarnation:
            self.leaving_by_word.pop(name, None)
        self.incarnations[name] = incarnation
        self.heard_at[name] = now
        if leaving:
            self.leaving_by_word[name] = incarnation

    @property
    def patience(self) -> timedelta:
        """Return the silence after which an instance counts as lost."""
        return self.suspect_after * self.stretch

    def link_lost(self, name: str, now: timedelta) -> None:
        """Note that the link to an instance broke: a sign worth much silence."""
        heard = self.heard_at.get(name)
        if heard is not None:
            self.heard_at[name] = min(heard, now - self.patience + LINK_GRACE)

    def leaving(self, name: str) -> bool:
        """Return whether a member is leaving, by the list or its own word."""
        endpoint = self.by_name.get(name)
        listed = endpoint is not None and endpoint.leaving
        told = name in self.leaving_by_word or name in self.leaving_upstreams
        return listed or told

    def alive(self, name: str, now: timedelta) -> bool:
        """Return whether an instance answers, as far as is known here."""
        if name == self.own.name:
            return True
        if name not in self.by_name:
            return False
        since = self.heard_at.get(name, self.listed_at[name])
        return now - since <= self.patience

    def in_contact(self, name: str, now: timedelta) -> bool:
        """Return whether an instance has been heard within the last while."""
        if name == self.own.name:
            return True
        heard = self.heard_at.get(name)
        return heard is not None and now - heard <= self.patience

    def instances(
        self, now: timedelta, zone: str | None = None, region: str | None = None
    ) -> list[str]:
        """Return the live instances that stay, this one included."""
        names = [
            name
            for name, endpoint in self.by_name.items()
            if endpoint.kind == "entry"
            and name != self.own.name
            and (zone is None or endpoint.zone == zone)
            and (region is None or endpoint.region == region)
            and self.alive(name, now)
            and not self.leaving(name)
        ]
        fits = zone in (None, self.own.zone) and region in (None, self.own.region)
        if fits and not self.leaving(self.own.name):
            names.append(self.own.name)
        return sorted(names)

    def lists_zone(self, zone: str) -> bool:
        """Return whether the platform lists an entry instance of a zone."""
        if zone == self.own.zone:
            return True
        return any(
            endpoint.kind == "entry" and endpoint.zone == zone and not endpoint.leaving
            for endpoint in self.by_name.values()
        )
