"""The leases on orders: one for the engines of each availability zone.

The holder of a zone's lease is the only machine that sends orders to the engines
there. It is an instance of that zone where there is one, so that a zone that is
cut off goes on with its own engines while the lease lasts.
"""

import zlib
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..logs import Logger
from ..orders import AppendClaim, Claim, Lease, LeaseTiming
from ..store import AppendResult, Newest, Unavailable
from . import messages
from .hubs import Hubs, Identity
from .lease_calls import LeaseCalls
from .outside import Outside
from .peers import Peers, rank

OTHER_ZONE_RANK = 10
"""So many ranks later an instance of another zone claims a zone's lease."""
PARTITIONS = 8
LINKS_AWAITED = timedelta(seconds=1)
"""So long an instance that has just started waits for a first link: whoever is
linked knows the claims, and is asked in place of the log."""


def partition_of(zone: str) -> int:
    """Return the partition of the log that holds a zone's claims."""
    return zlib.crc32(zone.encode()) % PARTITIONS


def machine_of(claim: Claim) -> str:
    """Return the name of the instance on the machine that holds a lease."""
    return claim.holder.partition("@")[0]


class OrderLeases:
    """All leases as one instance sees them, by zone.

    Parameters
    ----------
    holder : str
        This machine as claims name it.
    life : str
        This process.
    is_alone : callable
        Returns whether there surely is no other instance.
    """

    def __init__(
        self,
        own: Identity,
        holder: str,
        life: str,
        timing: LeaseTiming,
        peers: Peers,
        hubs: Hubs,
        outside: Outside,
        is_alone: Callable[[], bool],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._own = own
        self._holder = holder
        self._life = life
        self._timing = timing
        self._peers = peers
        self._hubs = hubs
        self._outside = outside
        self._is_alone = is_alone
        self._clock = clock
        self._log = log
        self._began = clock.monotonic()
        self._leases: dict[str, Lease] = {}
        self._calls: dict[str, LeaseCalls] = {}
        self._held: set[str] = set()
        self._stopping = False
        self._ranked_at = (-1, 0)

    def follow(self, zones: set[str]) -> None:
        """Take in in which zones there are engines."""
        for zone in sorted(zones - set(self._leases)):
            lease = Lease(zone, self._holder, self._life, self._timing, self._clock)
            self._leases[zone] = lease
            self._calls[zone] = LeaseCalls(
                zone,
                lease,
                self._peers,
                self._outside,
                self._note_holding,
                self._clock,
                self._log,
            )

    # What is known

    def claims(self) -> list[Claim]:
        """Return the newest claim of each zone, for a beat."""
        return [
            lease.claim for lease in self._leases.values() if lease.claim is not None
        ]

    def holder(self, zone: str) -> str | None:
        """Return the instance that may order a zone's engines, if one is known."""
        lease = self._leases.get(zone)
        if lease is None or lease.claim is None or lease.claim.released:
            return None
        return machine_of(lease.claim)

    def fence(self, zone: str) -> int | None:
        """Return the fencing token if this instance may order there now."""
        lease = self._leases.get(zone)
        return None if lease is None else lease.fence()

    @property
    def held(self) -> list[str]:
        """Return the zones whose leases this instance holds."""
        return [zone for zone, lease in self._leases.items() if lease.held]

    def heard(self, claim: Claim) -> None:
        """Take in a claim that another instance knows of."""
        self.follow({claim.key})
        self._leases[claim.key].heard(claim)
        self._note_holding()

    # Time and answers

    def step(self) -> None:
        """Make the store calls that are due."""
        if self._awaits_links():
            return
        self._set_ranks()
        for calls in self._calls.values():
            calls.step()
        self._note_holding()

    def _awaits_links(self) -> bool:
        young = self._clock.monotonic() - self._began < LINKS_AWAITED
        return young and not self._peers.linked() and not self._is_alone()

    def order_fenced(self, zone: str, token: int) -> None:
        """Take in that an engine refused an order: it has seen a higher token."""
        lease = self._leases.get(zone)
        if lease is not None:
            self._log.info("lease token refused", zone=zone, token=token)
            lease.refused(token)

    def _set_ranks(self) -> None:
        if self._ranked_at == (self._peers.revision, len(self._leases)):
            return
        self._ranked_at = (self._peers.revision, len(self._leases))
        for zone, lease in self._leases.items():
            lease.set_rank(self._rank(zone))

    def _rank(self, zone: str) -> int:
        """Return how many instances should claim a zone's lease before this one."""
        linked = [self._peers.by_name[name] for name in self._peers.linked()]
        near = [peer.name for peer in linked if peer.zone == zone]
        far = [peer.name for peer in linked if peer.zone != zone]
        rivals, late = (near, 0) if self._own.zone == zone else (far, OTHER_ZONE_RANK)
        own = self._order(zone, self._own.name)
        return late + sum(self._order(zone, name) < own for name in rivals)

    def _order(self, zone: str, name: str) -> tuple[bool, bytes]:
        return (not self._hubs.is_hub(name), rank(zone, name))

    def log_answers(self) -> None:
        """Note that the log has answered this instance."""
        for calls in self._calls.values():
            calls.log_answers()

    def read(self, zone: str, result: Newest | Unavailable) -> None:
        """Take in the newest claims as this instance has read them."""
        self._calls[zone].read(result)

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Take in how an append of this instance ended."""
        self._calls[action.claim.key].appended(action, result)

    def claims_read(self, peer: str, message: messages.ClaimsRead) -> None:
        """Take in the newest claims that an instance has read for this one."""
        calls = self._calls.get(message.zone)
        if calls is not None:
            calls.claims_read(peer, message)

    def claim_appended(self, peer: str, message: messages.ClaimAppended) -> None:
        """Take in how an append that an instance has made for this one ended."""
        calls = self._calls.get(message.zone)
        if calls is not None:
            calls.claim_appended(peer, message)

    def _note_holding(self) -> None:
        held = set(self.held)
        for zone in sorted(held - self._held):
            claim = self._leases[zone].claim
            assert claim is not None
            self._log.info(
                "lease held",
                zone=zone,
                token=claim.token,
                offset=claim.offset,
                before=claim.before,
            )
        for zone in sorted(self._held - held):
            self._log.info("lease no longer held", zone=zone)
        self._held = held

    # Stopping

    def rest(self) -> None:
        """Permit no order any more, but keep the leases."""
        for lease in self._leases.values():
            lease.rest()

    def stop(self) -> None:
        """Release all leases and claim none any more."""
        self._stopping = True
        for lease in self._leases.values():
            lease.stop()
