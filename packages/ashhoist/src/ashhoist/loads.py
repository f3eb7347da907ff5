"""The load budget: who may load next, under what the weight store allows.

One instance of a region keeps the budget. It grants one load after the other,
the most useful first. A zone that is cut off from the keeper takes its share
back: the keeper stops granting that share before the zone begins to use it
(`KeeperChoice`). So the store's rate holds in every cut.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO
from .membership import Membership, rank
from .types import AdapterVersion

KEEPER_KEY = "load-keeper"
WANT_KEPT = timedelta(seconds=5)
RATE_BURST = 1.0


@dataclass(slots=True)
class Want:
    """A load that a home wants."""

    home: str
    upstream: str
    adapter: AdapterVersion
    benefit: float
    asked_at: timedelta


@dataclass(frozen=True, slots=True)
class Grant:
    """A load that may go ahead now."""

    number: int
    home: str
    upstream: str
    adapter: AdapterVersion
    expires_at: timedelta


@dataclass(slots=True)
class LoadKeeper:
    """Grants loads in the order of their benefit.

    Parameters
    ----------
    rate : float
        Loads a second that the store allows the whole region.
    at_once : int
        Loads that the store serves at full speed at a time.
    grant_time : timedelta
        After this a grant that was not returned counts as ended.
    """

    rate: float
    at_once: int
    grant_time: timedelta
    wants: dict[tuple[str, AdapterVersion], Want] = field(default_factory=dict)
    grants: dict[int, Grant] = field(default_factory=dict)
    share: float = 1.0
    tokens: float = RATE_BURST
    filled_at: timedelta = ZERO
    numbers: int = 0

    def want(self, want: Want) -> None:
        """Take in a wanted load, or its new benefit."""
        self.wants[want.upstream, want.adapter] = want

    def drop(self, upstream: str, adapter: AdapterVersion) -> None:
        """Forget a wanted load."""
        self.wants.pop((upstream, adapter), None)

    def finish(self, number: int, used: bool) -> None:
        """Take back a grant; one that was not used gives its rate back."""
        grant = self.grants.pop(number, None)
        if grant is not None and not used:
            self.tokens = min(RATE_BURST, self.tokens + 1.0)

    def forget(self, home: str) -> None:
        """Forget the wishes and grants of a home that is out of contact.

        One of its loads may still be under way, so for that moment the store
        may serve two at once; waiting for the grant to expire would stop all
        loads for as long.
        """
        for key, want in list(self.wants.items()):
            if want.home == home:
                del self.wants[key]
        for number, grant in list(self.grants.items()):
            if grant.home == home:
                del self.grants[number]

    def set_share(self, share: float) -> None:
        """Set the part of the region's rate that is granted here."""
        self.share = share

    def next_grants(self, now: timedelta) -> list[Grant]:
        """Return the loads that may go ahead now."""
        self._refill(now)
        self._expire(now)
        granted: list[Grant] = []
        while self.tokens >= 1.0 and len(self.grants) < self.at_once and self.wants:
            want = max(self.wants.values(), key=lambda want: want.benefit)
            del self.wants[want.upstream, want.adapter]
            self.numbers += 1
            self.tokens -= 1.0
            grant = Grant(
                self.numbers,
                want.home,
                want.upstream,
                want.adapter,
                now + self.grant_time,
            )
            self.grants[grant.number] = grant
            granted.append(grant)
        return granted

    def _refill(self, now: timedelta) -> None:
        passed = (now - self.filled_at).total_seconds()
        self.filled_at = now
        gained = passed * self.rate * self.share
        self.tokens = min(RATE_BURST, self.tokens + gained)

    def _expire(self, now: timedelta) -> None:
        for number, grant in list(self.grants.items()):
            if grant.expires_at <= now:
                del self.grants[number]
        for key, want in list(self.wants.items()):
            if now - want.asked_at > WANT_KEPT:
                del self.wants[key]


@dataclass(slots=True)
class KeeperChoice:
    """Which instance keeps the budget, as this instance sees it.

    Each instance names its keeper in its heartbeats. A keeper grants the shares
    of the zones that name it and no other. An instance that loses its keeper
    names none for as long as silence counts as loss before it names the next, so
    that the old keeper has stopped granting the zone's share by then.
    """

    membership: Membership
    zones: int
    name: str = ""
    lost_at: timedelta | None = None

    def update(self, now: timedelta) -> str:
        """Return the keeper's name, or an empty text while there is none."""
        membership = self.membership
        names = [
            name
            for name in membership.instances(now, region=membership.own.region)
            if membership.in_contact(name, now)
        ]
        best = rank(KEEPER_KEY, names or [membership.own.name])[0]
        if best == self.name:
            self.lost_at = None
            return self.name
        if self.lost_at is None or self.name:
            self.name = ""
            self.lost_at = now
        if now - self.lost_at >= self.membership.patience:
            self.name = best
            self.lost_at = None
        return self.name

    def share(self, now: timedelta) -> float:
        """Return the part of the region's rate that this instance may grant."""
        own = self.membership.own
        if self.name != own.name:
            return 0.0
        named: set[str] = {own.zone}
        other: set[str] = set()
        for name, endpoint in self.membership.by_name.items():
            if endpoint.kind != "entry" or endpoint.region != own.region:
                continue
            if name == own.name or not self.membership.in_contact(name, now):
                continue
            keeper = self.membership.keepers.get(name, "")
            (named if keeper == own.name else other).add(endpoint.zone)
        return min(1.0, len(named - other) / self.zones)
