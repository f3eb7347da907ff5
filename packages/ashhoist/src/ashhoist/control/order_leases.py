"""The order leases: one for the engines of each availability zone.

Only the holder of a zone's lease sends orders to the engines there. An instance of that
zone is preferred as the holder, so that a partitioned zone continues to use its own
engines until the lease expires.
"""

import zlib
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..logs import Logger
from ..orders import AppendClaim, Claim, Lease, LeaseTiming
from ..store import AppendResult, Newest, Unavailable
from . import messages
from .effects import Effects
from .hubs import Hubs, Identity
from .lease_calls import LeaseCalls
from .peers import Peer, Peers, rank

OTHER_ZONE_RANK = 10
"""Ranks by which an instance of another zone comes later in claiming a zone's lease."""
PARTITIONS = 8
FIRST_LINK_TIMEOUT = timedelta(seconds=1)
"""How long an instance that has just started waits for its first link before it reads
the claims from the log: linked instances know the claims and supply them instead."""


def partition_of(zone: str) -> int:
    """Return the log partition of a zone's claims."""
    return zlib.crc32(zone.encode()) % PARTITIONS


def machine_of(claim: Claim) -> str:
    """Return the name of the instance on the machine that holds a lease."""
    return claim.holder.partition("@")[0]


class OrderLeases:
    """One instance's view of the leases of all zones.

    Parameters
    ----------
    holder : str
        Identifies this machine in claims.
    incarnation : str
        Identifies this process in claims.
    is_alone : callable
        Returns whether it is certain that there is no other instance.
    """

    def __init__(
        self,
        own: Identity,
        holder: str,
        incarnation: str,
        timing: LeaseTiming,
        peers: Peers,
        hubs: Hubs,
        effects: Effects,
        is_alone: Callable[[], bool],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._own = own
        self._holder = holder
        self._incarnation = incarnation
        self._timing = timing
        self._peers = peers
        self._hubs = hubs
        self._effects = effects
        self._is_alone = is_alone
        self._clock = clock
        self._log = log
        self._started_at = clock.monotonic()
        self._leases: dict[str, Lease] = {}
        self._calls: dict[str, LeaseCalls] = {}
        self._held: set[str] = set()
        self._stopping = False
        self._ranked_for = (-1, 0)

    def track_zones(self, zones: set[str]) -> None:
        """Track the leases of zones that have engines."""
        for zone in sorted(zones - set(self._leases)):
            lease = Lease(
                zone, self._holder, self._incarnation, self._timing, self._clock
            )
            self._leases[zone] = lease
            self._calls[zone] = LeaseCalls(
                zone,
                lease,
                self._peers,
                self._effects,
                self._log_changes,
                self._clock,
                self._log,
            )

    # Current state

    def claims(self) -> list[Claim]:
        """Return the newest known claim of each zone, to send with a heartbeat."""
        return [
            lease.claim for lease in self._leases.values() if lease.claim is not None
        ]

    def holder(self, zone: str) -> str | None:
        """Return the instance that may send orders to a zone's engines, if known."""
        lease = self._leases.get(zone)
        if lease is None or lease.claim is None or lease.claim.released:
            return None
        return machine_of(lease.claim)

    def fence(self, zone: str) -> int | None:
        """Return the fencing token if this instance may send orders there now."""
        lease = self._leases.get(zone)
        return None if lease is None else lease.fence()

    @property
    def held(self) -> list[str]:
        """Return the zones whose leases this instance holds."""
        return [zone for zone, lease in self._leases.items() if lease.held]

    def claim_received(self, claim: Claim) -> None:
        """Handle a claim that another instance has sent."""
        self.track_zones({claim.key})
        self._leases[claim.key].receive_claim(claim)
        self._log_changes()

    # Store calls and engine answers

    def step(self) -> None:
        """Make the store calls that are due."""
        if self._is_awaiting_links():
            return
        self._set_ranks()
        for calls in self._calls.values():
            calls.step()
        self._log_changes()

    def _is_awaiting_links(self) -> bool:
        is_new = self._clock.monotonic() - self._started_at < FIRST_LINK_TIMEOUT
        return is_new and not self._peers.linked() and not self._is_alone()

    def order_fenced(self, zone: str, token: int) -> None:
        """Handle an engine's refusal of an order: it has seen a higher token."""
        lease = self._leases.get(zone)
        if lease is not None:
            self._log.info("lease token refused", zone=zone, token=token)
            lease.reject_token(token)

    def _set_ranks(self) -> None:
        if self._ranked_for == (self._peers.revision, len(self._leases)):
            return
        self._ranked_for = (self._peers.revision, len(self._leases))
        candidates = self._candidates()
        reaches_engines = not (self._hubs.is_cut_off and candidates)
        for zone, lease in self._leases.items():
            lease.set_rank(self._rank(zone, candidates))
            lease.set_reaches_engines(reaches_engines)

    def _candidates(self) -> list[Peer]:
        """Return the linked instances that reach upstreams."""
        linked = [self._peers.by_name[name] for name in self._peers.linked()]
        return [peer for peer in linked if not peer.is_cut_off]

    def _rank(self, zone: str, candidates: list[Peer]) -> int:
        """Return how many candidates take precedence in claiming a zone's lease."""
        same_zone = [peer.name for peer in candidates if peer.zone == zone]
        other_zones = [peer.name for peer in candidates if peer.zone != zone]
        names, penalty = (
            (same_zone, 0) if self._own.zone == zone else (other_zones, OTHER_ZONE_RANK)
        )
        own = self._claim_order(zone, self._own.name)
        return penalty + sum(self._claim_order(zone, name) < own for name in names)

    def _claim_order(self, zone: str, name: str) -> tuple[bool, bytes]:
        return (not self._hubs.is_hub(name), rank(zone, name))

    def log_answered(self) -> None:
        """Return to direct calls: the log has answered this instance."""
        for calls in self._calls.values():
            calls.log_answered()

    def read(self, zone: str, result: Newest | Unavailable) -> None:
        """Handle the newest claims, read by this instance."""
        self._calls[zone].read(result)

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Handle the result of an append by this instance."""
        self._calls[action.claim.key].appended(action, result)

    def claims_read(self, peer: str, message: messages.ClaimsReadResponse) -> None:
        """Handle the newest claims, read by another instance for this one."""
        calls = self._calls.get(message.zone)
        if calls is not None:
            calls.claims_read(peer, message)

    def claim_appended(self, peer: str, message: messages.ClaimAppendResponse) -> None:
        """Handle the result of an append by another instance for this one."""
        calls = self._calls.get(message.zone)
        if calls is not None:
            calls.claim_appended(peer, message)

    def _log_changes(self) -> None:
        held = set(self.held)
        for zone in sorted(held - self._held):
            claim = self._leases[zone].claim
            assert claim is not None
            self._log.info(
                "lease held",
                zone=zone,
                token=claim.token,
                offset=claim.offset,
                before=claim.previous_holders,
            )
        for zone in sorted(self._held - held):
            self._log.info("lease no longer held", zone=zone)
        self._held = held

    # Stopping

    def stop_orders(self) -> None:
        """Stop permitting orders, but keep the leases."""
        for lease in self._leases.values():
            lease.stop_orders()

    def stop(self) -> None:
        """Release all leases and stop claiming any."""
        self._stopping = True
        for lease in self._leases.values():
            lease.stop()
