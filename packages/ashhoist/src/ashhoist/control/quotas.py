"""Quota tokens for customers' requests: spent at each instance, granted by the leader.

See `rates.shares` for why grants never add up to more than the quota.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Allowances, Customer, Granter, QuotaBounds, Standing
from ..customers.charges import Charge, ChargeResult, ChargeTimedOut, TokenRefund
from ..customers.granter import QuotaUse
from ..logs import Logger
from ..metrics import Metrics
from ..rates import SHARE_DELEGATION_TIME
from ..routing.active_configuration import ActiveConfiguration
from .messages import Heartbeat, ReturnTokens, TokenGrant, TokenRequest
from .peers import Peers

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
LEADER_TIMEOUT = timedelta(milliseconds=60)
"""Age of the oldest pending draw from which the leader counts as not responding: many
round trips between zones, and little compared with the target latency of a request."""
MAX_PENDING = 1024
"""Pending draws that are remembered; beyond that the oldest is dropped."""
NOT_KNOWN = -1
TIGHT_VALID_FOR = SHARE_DELEGATION_TIME + timedelta(milliseconds=600)
"""How long a leader's list of customers close to their limit stays valid: long enough
for another leader to take over."""
WARM_UP = timedelta(seconds=3)
"""How long a new leader keeps reporting the customers that its predecessor reported as
close to their limit. Its own buckets start with some tokens, whatever was spent
before."""
MAX_WAIT = timedelta(seconds=60)
"""Upper bound of the wait sent to callers, also if a quota allows no requests at
all."""
LOG_INTERVAL = timedelta(seconds=1)
"""Minimum interval, per customer, between log lines that report a used-up quota. Each
refused request has its own log line anyway."""


@dataclass(slots=True)
class _PendingDraw:
    """A draw sent to the leader, and the charge that waits for the answer."""

    charge: Charge
    asked_at: timedelta


class Quotas:
    """Charges requests to customers' quotas.

    Parameters
    ----------
    knows_others : callable
        Returns whether this instance has read the register of instances.
    send : callable
        Takes the name of an instance, this one included, and a message.
    """

    def __init__(
        self,
        own: str,
        bounds: QuotaBounds,
        active_configuration: ActiveConfiguration,
        peers: Peers,
        knows_others: Callable[[], bool],
        send: Callable[[str, Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._in_force = active_configuration
        self._peers = peers
        self._knows_others = knows_others
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._allowances = Allowances()
        self._granter: Granter | None = None
        self._granting_since = ZERO
        self._leader: str | None = None
        self._pending: dict[int, _PendingDraw] = {}
        self._last_number = 0
        self._delegated_to: str | None = None
        self._delegated_until = ZERO
        self._heartbeat_by_peer: dict[str, tuple[int, timedelta]] = {}
        self._tight: frozenset[str] = frozenset()
        self._tight_at = -TIGHT_VALID_FOR
        self._has_new_tight = False
        self._logged_at: dict[str, timedelta] = {}

    # Leader and shares

    def follow(self, leader: str | None) -> None:
        """Set the leader, which grants tokens."""
        if leader == self._leader:
            return
        self._leader = leader
        self._allowances.discard_granted()
        self._pending.clear()
        self._granter = None
        if leader == self._own:
            self._granter = Granter(self._own, self._bounds)
            self._granting_since = self._clock.monotonic()

    @property
    def instances(self) -> int:
        """Return the number of instances; 0 if not known.

        An instance that has just started, and has neither read the register nor linked
        to another, would otherwise claim the whole of every quota.
        """
        others = len(self._peers.by_name)
        return others + 1 if others or self._knows_others() else 0

    def handle_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Record the time and the tight customers that a heartbeat carries."""
        now = self._clock.monotonic()
        self._heartbeat_by_peer[peer] = (heartbeat.sent_at, now)
        if peer == self._leader and heartbeat.leads:
            self._tight = frozenset(heartbeat.tight)
            self._tight_at = now
        if peer == self._delegated_to and not heartbeat.leads:
            # It has announced itself that it no longer grants.
            self._delegated_to, self._delegated_until = None, ZERO

    def forget(self, peer: str) -> None:
        """Forget the heartbeat time of an instance that is no longer linked."""
        self._heartbeat_by_peer.pop(peer, None)

    def take_tight_changed(self) -> bool:
        """Return, once, whether a further customer at its limit has to be announced.

        The regular heartbeat may be half a second away. If the leader were lost before,
        the other instances would still treat the customer as far below its limit.
        """
        has_new, self._has_new_tight = self._has_new_tight, False
        return has_new

    def tight(self) -> list[str]:
        """Return the customers close to their limit; empty if not the leader."""
        now = self._clock.monotonic()
        if self._granter is None:
            return []
        if not self._is_alone(now):
            found = frozenset(self._granter.tight(now))
            is_warming_up = now - self._granting_since < WARM_UP
            self._tight = found | self._tight if is_warming_up else found
            self._tight_at = now
        return list(self._tight)

    def delegated_since(self, peer: str) -> int:
        """Return since when this instance delegates its share to the leader, or -1.

        The time is on the leader's clock, as its latest heartbeat carried it.
        """
        now = self._clock.monotonic()
        heartbeat = self._heartbeat_by_peer.get(peer)
        if peer != self._leader or heartbeat is None:
            return NOT_KNOWN
        if self._delegated_to != peer and now < self._delegated_until:
            return NOT_KNOWN
        leader_time, heard_at = heartbeat
        self._delegated_to = peer
        self._delegated_until = max(
            self._delegated_until, heard_at + SHARE_DELEGATION_TIME
        )
        return leader_time

    def share_delegated(self, peer: str, since: int) -> None:
        """Record that an instance delegates its share to this one."""
        if self._granter is not None and since != NOT_KNOWN:
            self._granter.add_delegated_share(peer, since * MICROSECOND)

    # Spending

    def charge(self, charge: Charge) -> None:
        """Charge a request; draw tokens from the leader if too few are left here."""
        now = self._clock.monotonic()
        if self._allowances.spend(charge.customer, charge.tokens, now):
            charge.settle(ChargeResult(True))
            return
        if self._leader is None or self._is_leader_silent(now) or self._is_alone(now):
            self._charge_locally(charge)
        self._draw(charge, now)

    def _is_alone(self, now: timedelta) -> bool:
        """Return whether this instance leads without a delegated share of any other."""
        return self._granter is not None and self._granter.is_alone(self.instances, now)

    def _is_leader_silent(self, now: timedelta) -> bool:
        oldest = next(iter(self._pending.values()), None)
        return oldest is not None and now - oldest.asked_at > LEADER_TIMEOUT

    def _draw(self, charge: Charge, now: timedelta) -> None:
        if self._leader is None:
            return
        self._last_number += 1
        self._pending[self._last_number] = _PendingDraw(charge, now)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        extra = self._allowances.expected_need(charge.customer, now)
        message = TokenRequest(self._last_number, charge.customer, charge.tokens, extra)
        self._send(self._leader, message)

    def drawn(self, drawn: TokenGrant) -> None:
        """Handle the leader's answer to a draw."""
        pending = self._pending.pop(drawn.number, None)
        if pending is None:
            return
        self._charge_older_locally(drawn.number)
        now = self._clock.monotonic()
        charge = pending.charge
        if drawn.tokens > 0:
            use = QuotaUse(drawn.used, drawn.spare)
            self._allowances.add_grant(charge.customer, drawn.tokens, use, now)
            if charge.settled:
                return
            self._allowances.spend(charge.customer, charge.tokens, now)
            charge.settle(ChargeResult(True))
            return
        if drawn.wait_ms == NOT_KNOWN or not self._leader_has_own_share:
            self._charge_locally(charge)
            return
        charge.settle(ChargeResult(False, True, drawn.wait_ms * MILLISECOND))

    @property
    def _leader_has_own_share(self) -> bool:
        """Return whether the leader grants from this instance's share as well."""
        return self._granter is not None or self._delegated_to == self._leader

    def _charge_older_locally(self, number: int) -> None:
        """Charge draws before an answered one locally: their answers were lost."""
        for older in list(self._pending):
            if older >= number:
                return
            self._charge_locally(self._pending.pop(older).charge)

    def charge_timed_out(self, message: ChargeTimedOut) -> None:
        """Charge a request locally: it can't wait for the leader any longer."""
        self._charge_locally(message.charge)

    def _charge_locally(self, charge: Charge) -> None:
        if charge.settled:
            return
        now = self._clock.monotonic()
        customer = self._customer(charge.customer)
        if customer is None or customer.quota is None:
            charge.settle(ChargeResult(customer is not None))
            return
        if not self.instances:
            charge.settle(ChargeResult(False))
            return
        wait = self._allowances.spend_locally(
            charge.customer,
            customer.quota,
            charge.tokens,
            self.instances,
            self._standing(charge.customer),
            now,
        )
        self._metrics.count("charged_alone", "refused" if wait else "spent")
        charge.settle(ChargeResult(wait is None, False, wait))

    def _standing(self, customer: str) -> Standing:
        if self._clock.monotonic() - self._tight_at >= TIGHT_VALID_FOR:
            return Standing.UNKNOWN
        return Standing.TIGHT if customer in self._tight else Standing.BELOW

    def refund(self, message: TokenRefund) -> None:
        """Refund the tokens of a charged request that has not run."""
        now = self._clock.monotonic()
        self._allowances.refund_tokens(message.customer, message.tokens, now)

    def return_unused_tokens(self) -> None:
        """Return granted tokens that this instance has not needed to the leader."""
        found = self._allowances.take_unused(self._clock.monotonic())
        if found and self._leader is not None:
            rows = [[customer, tokens] for customer, tokens in found.items()]
            self._send(self._leader, ReturnTokens(rows))

    # Granting

    def asked(self, instance: str, draw: TokenRequest) -> None:
        """Answer an instance's draw with a grant, or with the time to wait."""
        self._send(instance, self._grant(draw))

    def _grant(self, draw: TokenRequest) -> TokenGrant:
        customer = self._customer(draw.customer)
        now = self._clock.monotonic()
        grants = self._granter is not None and not self._is_alone(now)
        if not grants or customer is None or not self.instances:
            return TokenGrant(draw.number, 0.0, NOT_KNOWN, 0.0, 0.0)
        if customer.quota is None:
            return TokenGrant(draw.number, draw.needed, 0, 0.0, 0.0)
        assert self._granter is not None
        grant = self._granter.grant(
            customer.name,
            customer.quota,
            draw.needed,
            draw.extra,
            self.instances,
            now,
        )
        if grant.tokens:
            use = grant.use
            return TokenGrant(draw.number, grant.tokens, 0, use.rate, use.spare)
        self._has_new_tight = self._has_new_tight or customer.name not in self._tight
        wait = int((grant.wait or MAX_WAIT) / MILLISECOND)
        self._log_used_up(customer.name, draw.needed, wait, now)
        return TokenGrant(draw.number, 0.0, wait, 0.0, 0.0)

    def _log_used_up(
        self, customer: str, needed: float, wait_ms: int, now: timedelta
    ) -> None:
        logged_at = self._logged_at.get(customer)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            return
        self._logged_at[customer] = now
        assert self._granter is not None
        share = round(self._granter.share(self.instances, now), 3)
        self._log.info(
            "quota used up",
            customer=customer,
            needed=needed,
            wait_ms=wait_ms,
            share=share,
        )

    def returned(self, message: ReturnTokens) -> None:
        """Handle tokens that an instance returns unspent."""
        if self._granter is None:
            return
        now = self._clock.monotonic()
        for customer, tokens in message.rows:
            self._granter.give_back(customer, tokens, now)

    def _customer(self, name: str) -> Customer | None:
        table = self._in_force.table
        return None if table is None else table.customers.by_name.get(name)
