"""Sends heartbeats to the other instances, at an interval that depends on the pair.

The interval depends on what the receiver uses the heartbeats for. All instances follow
the leader, hubs elect the leader and relay news to their zone, and the leader monitors
the instances that send it requests. Between any other two instances a heartbeat only
keeps the link alive.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..orders import Claim
from .effects import Effects
from .hubs import Hubs
from .messages import Heartbeat
from .peers import Peers

READER_INTERVAL = timedelta(milliseconds=500)
"""From the leader, and from the other log readers, to all instances. The loss of one is
noticed after 2.4 intervals: 1.2 s of the 2 s within which a change must take effect."""
HUB_INTERVAL = timedelta(seconds=1)
"""From a hub to all instances, since each may have to follow it as the leader; and from
any other instance to those of its own zone."""
REMOTE_INTERVAL = timedelta(milliseconds=2500)
"""From an instance that is not a hub to hubs of other zones: it is never followed."""
CLAIMS_INTERVAL = timedelta(seconds=2)
"""Interval at which unchanged claims are sent again: well within the term of a lease,
so that no instance considers a renewed lease expired."""

MakeHeartbeat = Callable[[timedelta, list[Claim]], Heartbeat]


@dataclass(slots=True)
class _LastSent:
    """What was last sent to another instance."""

    sent_at: timedelta
    claims: list[Claim]
    claims_sent_at: timedelta | None = None


class HeartbeatSender:
    """Sends the heartbeats of this instance to each other instance when they are due.

    Parameters
    ----------
    own, zone : str
        This instance's name and availability zone.
    is_log_reader : callable
        Returns whether this instance reads the log, so that others need not.
    claims : callable
        Returns the newest lease claims known to this instance.
    make : callable
        Takes the time until the next heartbeat and the claims to include; returns the
        heartbeat.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        peers: Peers,
        hubs: Hubs,
        effects: Effects,
        is_log_reader: Callable[[], bool],
        claims: Callable[[], list[Claim]],
        make: MakeHeartbeat,
        clock: Clock,
    ) -> None:
        self._own = own
        self._zone = zone
        self._peers = peers
        self._hubs = hubs
        self._effects = effects
        self._is_log_reader = is_log_reader
        self._claims = claims
        self._make_heartbeat = make
        self._clock = clock
        self._last_sent: dict[str, _LastSent] = {}

    def send_due(self, leader: str | None) -> None:
        """Send the heartbeats that are due.

        Parameters
        ----------
        leader : str or None
            The current leader.
        """
        now = self._clock.monotonic()
        due = [
            name
            for name in self._peers.linked()
            if name not in self._last_sent
            or now - self._last_sent[name].sent_at >= self._interval(name, leader)
        ]
        self._send(due, leader)

    def send_all(self, leader: str | None) -> None:
        """Send a heartbeat to all instances now, because the state has changed."""
        self._send(self._peers.linked(), leader)

    def greet(self, name: str, leader: str | None) -> None:
        """Send the first heartbeat to an instance that has just been linked."""
        self._last_sent.pop(name, None)
        self._send([name], leader)

    def _send(self, names: list[str], leader: str | None) -> None:
        """Send heartbeats; equal ones share an object, so that it is encoded once."""
        now = self._clock.monotonic()
        claims = self._claims()
        groups: dict[tuple[timedelta, bool], list[str]] = {}
        for name in names:
            key = (self._interval(name, leader), self._needs_claims(name, claims, now))
            groups.setdefault(key, []).append(name)
        for (interval, with_claims), receivers in groups.items():
            heartbeat = self._make_heartbeat(interval, claims if with_claims else [])
            for name in receivers:
                self._note_sent(name, claims if with_claims else None, now)
                self._effects.send_to(name, heartbeat)

    def _needs_claims(self, name: str, claims: list[Claim], now: timedelta) -> bool:
        """Return whether to include the claims for an instance now.

        Claims go to hubs and within the own zone. An instance that is not a hub makes
        no claims and receives them within its zone.
        """
        same_zone = self._peers.by_name[name].zone == self._zone
        if not (same_zone or self._hubs.is_hub(name)):
            return False
        last = self._last_sent.get(name)
        if last is None or last.claims_sent_at is None or last.claims != claims:
            return True
        return now - last.claims_sent_at >= CLAIMS_INTERVAL

    def _note_sent(self, name: str, claims: list[Claim] | None, now: timedelta) -> None:
        last = self._last_sent.setdefault(name, _LastSent(now, []))
        last.sent_at = now
        if claims is not None:
            last.claims = claims
            last.claims_sent_at = now

    def _interval(self, name: str, leader: str | None) -> timedelta:
        """Return the interval between heartbeats to an instance."""
        if leader == self._own or self._is_log_reader():
            return READER_INTERVAL
        if name == leader or self._hubs.is_hub(self._own):
            return HUB_INTERVAL
        same_zone = self._peers.by_name[name].zone == self._zone
        return HUB_INTERVAL if same_zone else REMOTE_INTERVAL

    def forget(self, name: str) -> None:
        """Remove the state of an instance that is no longer linked."""
        self._last_sent.pop(name, None)
