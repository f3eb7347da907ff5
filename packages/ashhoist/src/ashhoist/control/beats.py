"""When this instance gives which others a sign of life.

What an instance decides by another's beats says how often it needs them: all follow
the leader, hubs elect it and tell their zone what is new, and the leader watches
who asks it. Between others a beat only keeps the link alive.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..orders import Claim
from .hubs import Hubs
from .messages import Beat
from .outside import Outside
from .peers import Peers

READER_BEATS = timedelta(milliseconds=500)
"""Of the leader, and of others that read the log, to all. Who relies on one that is
lost notices after 2.4 times as long: 1.2 s of the 2 s that a change may take."""
HUB_BEATS = timedelta(seconds=1)
"""A hub's to all, who may have to follow it, and all others' within their zone."""
FAR_BEATS = timedelta(milliseconds=2500)
"""Of one that is no hub to hubs of other zones: nobody follows it."""
CLAIMS_EVERY = timedelta(seconds=2)
"""How often one is told claims that have not changed: well within a lease's term,
so that nobody takes a lease for lapsed that was renewed."""

MakeBeat = Callable[[timedelta, list[Claim]], Beat]


@dataclass(slots=True)
class _Told:
    """What one other instance was last told."""

    at: timedelta
    claims: list[Claim]
    claims_at: timedelta | None = None


class Beats:
    """Sends this instance's beats, to each other instance at its pace.

    Parameters
    ----------
    own, zone : str
        This instance's name and availability zone.
    reads_itself : callable
        Returns whether this instance reads the log, so that others need not.
    claims : callable
        Returns the newest claims that this instance knows.
    make : callable
        Takes the time until the next beat, and the claims to tell; returns the beat.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        peers: Peers,
        hubs: Hubs,
        outside: Outside,
        reads_itself: Callable[[], bool],
        claims: Callable[[], list[Claim]],
        make: MakeBeat,
        clock: Clock,
    ) -> None:
        self._own = own
        self._zone = zone
        self._peers = peers
        self._hubs = hubs
        self._outside = outside
        self._reads_itself = reads_itself
        self._claims = claims
        self._make = make
        self._clock = clock
        self._told: dict[str, _Told] = {}

    def send_due(self, leader: str | None) -> None:
        """Send the beats that are due.

        Parameters
        ----------
        leader : str or None
            The instance that schedules.
        """
        now = self._clock.monotonic()
        due = [
            name
            for name in self._peers.linked()
            if name not in self._told
            or now - self._told[name].at >= self._every(name, leader)
        ]
        self._send(due, leader)

    def send_all(self, leader: str | None) -> None:
        """Tell all at once, as something has changed."""
        self._send(self._peers.linked(), leader)

    def greet(self, name: str, leader: str | None) -> None:
        """Tell an instance that has just been linked."""
        self._told.pop(name, None)
        self._send([name], leader)

    def _send(self, names: list[str], leader: str | None) -> None:
        """Send beats; those that are alike are one object, and encoded once."""
        now = self._clock.monotonic()
        claims = self._claims()
        groups: dict[tuple[timedelta, bool], list[str]] = {}
        for name in names:
            key = (self._every(name, leader), self._needs(name, claims, now))
            groups.setdefault(key, []).append(name)
        for (every, with_claims), receivers in groups.items():
            beat = self._make(every, claims if with_claims else [])
            for name in receivers:
                self._note(name, claims if with_claims else None, now)
                self._outside.send_to(name, beat)

    def _needs(self, name: str, claims: list[Claim], now: timedelta) -> bool:
        """Return whether an instance should be told the claims now.

        Others than hubs learn of them in their own zone, and know none of their own.
        """
        near = self._peers.by_name[name].zone == self._zone
        if not (near or self._hubs.is_hub(name)):
            return False
        told = self._told.get(name)
        if told is None or told.claims_at is None or told.claims != claims:
            return True
        return now - told.claims_at >= CLAIMS_EVERY

    def _note(self, name: str, claims: list[Claim] | None, now: timedelta) -> None:
        told = self._told.setdefault(name, _Told(now, []))
        told.at = now
        if claims is not None:
            told.claims = claims
            told.claims_at = now

    def _every(self, name: str, leader: str | None) -> timedelta:
        """Return how often an instance is sent a beat."""
        if leader == self._own or self._reads_itself():
            return READER_BEATS
        if name == leader or self._hubs.is_hub(self._own):
            return HUB_BEATS
        near = self._peers.by_name[name].zone == self._zone
        return HUB_BEATS if near else FAR_BEATS

    def forget(self, name: str) -> None:
        """Forget an instance that is no longer linked."""
        self._told.pop(name, None)
