"""Tokens for customers' requests: what this instance spends, and grants as the leader.

See `customers.granter` for why what is granted never adds up to more than the whole.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Allowances, Customer, Grant, Granter, QuotaBounds
from ..customers.charges import Charge, Charged, ChargeUnanswered, TokensUnused
from ..customers.granter import LEFT_FOR, Use
from ..logs import Logger
from ..metrics import Metrics
from ..routing.in_force import InForce
from .messages import Beat, DrawTokens, ReturnTokens, TokensDrawn
from .peers import Peers

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
SILENT_AFTER = timedelta(milliseconds=60)
"""A question that is open for so long says that the leader does not answer now: many
round trips between zones, and little beside the aim of a request."""
MOST_OPEN = 1024
"""Questions that are remembered; the oldest is forgotten first."""
NOT_KNOWN = -1


@dataclass(slots=True)
class _Open:
    """A question to the leader, and the request that waits for it."""

    charge: Charge
    asked_at: timedelta


class Quotas:
    """Charges requests to customers' quotas.

    Parameters
    ----------
    tell_leader : callable
        Takes a message for the instance that leads.
    """

    def __init__(
        self,
        own: str,
        bounds: QuotaBounds,
        in_force: InForce,
        peers: Peers,
        tell: Callable[[str, Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._in_force = in_force
        self._peers = peers
        self._tell = tell
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._allowances = Allowances()
        self._granter: Granter | None = None
        self._granting_since = ZERO
        self._leader: str | None = None
        self._open: dict[int, _Open] = {}
        self._numbers = 0
        self._left_to: str | None = None
        self._left_until = ZERO
        self._heard: dict[str, tuple[int, timedelta]] = {}

    # Who grants

    def follow(self, leader: str | None) -> None:
        """Take in who leads; that is who grants tokens."""
        if leader == self._leader:
            return
        self._leader = leader
        self._allowances.forget_granted()
        self._open.clear()
        own = leader == self._own
        self._granter = Granter(self._own, self._bounds) if own else None
        self._granting_since = self._clock.monotonic()

    @property
    def _instances(self) -> int:
        return len(self._peers.by_name) + 1

    def beaten(self, peer: str, beat: Beat) -> None:
        """Take in a moment of another instance."""
        now = self._clock.monotonic()
        self._heard[peer] = (beat.sent_at, now)
        if peer == self._left_to and not beat.leads:
            # It grants no more, and has said so itself.
            self._left_to, self._left_until = None, ZERO

    def forget(self, peer: str) -> None:
        """Forget an instance that is no longer linked."""
        self._heard.pop(peer, None)

    def leaves_since(self, peer: str) -> int:
        """Return since which moment of the leader this share is left to it, or -1."""
        now = self._clock.monotonic()
        heard = self._heard.get(peer)
        if peer != self._leader or heard is None:
            return NOT_KNOWN
        if self._left_to != peer and now < self._left_until:
            return NOT_KNOWN
        moment, heard_at = heard
        self._left_to = peer
        self._left_until = max(self._left_until, heard_at + LEFT_FOR)
        return moment

    def left(self, peer: str, since: int) -> None:
        """Take in that an instance leaves its share here."""
        if self._granter is not None and since != NOT_KNOWN:
            self._granter.left(peer, since * MICROSECOND)

    # Spending

    def charge(self, charge: Charge) -> None:
        """Charge a request; ask the leader if too little was granted for it."""
        now = self._clock.monotonic()
        if self._allowances.spend(charge.customer, charge.tokens, now):
            charge.settle(Charged(True))
            return
        if self._leader is None or self._is_silent(now):
            self._charge_alone(charge)
        self._draw(charge, now)

    def _is_silent(self, now: timedelta) -> bool:
        oldest = next(iter(self._open.values()), None)
        return oldest is not None and now - oldest.asked_at > SILENT_AFTER

    def _draw(self, charge: Charge, now: timedelta) -> None:
        if self._leader is None:
            return
        self._numbers += 1
        self._open[self._numbers] = _Open(charge, now)
        if len(self._open) > MOST_OPEN:
            del self._open[next(iter(self._open))]
        extra = self._allowances.ahead(charge.customer, now)
        message = DrawTokens(self._numbers, charge.customer, charge.tokens, extra)
        self._tell(self._leader, message)

    def drawn(self, drawn: TokensDrawn) -> None:
        """Take in the leader's answer."""
        open_ = self._open.pop(drawn.number, None)
        if open_ is None:
            return
        self._forget_older(drawn.number)
        now = self._clock.monotonic()
        charge = open_.charge
        if drawn.tokens > 0:
            use = Use(drawn.used, drawn.spare)
            self._allowances.granted(charge.customer, drawn.tokens, use, now)
            if charge.settled:
                return
            self._allowances.spend(charge.customer, charge.tokens, now)
            charge.settle(Charged(True))
            return
        if drawn.wait_ms == NOT_KNOWN:
            self._charge_alone(charge)
            return
        charge.settle(Charged(False, True, drawn.wait_ms * MILLISECOND))

    def _forget_older(self, number: int) -> None:
        """Forget questions before one that was answered: theirs were lost."""
        for older in list(self._open):
            if older >= number:
                return
            self._charge_alone(self._open.pop(older).charge)

    def unanswered(self, message: ChargeUnanswered) -> None:
        """Charge a request that can wait for the leader no longer."""
        self._charge_alone(message.charge)

    def _charge_alone(self, charge: Charge) -> None:
        if charge.settled:
            return
        now = self._clock.monotonic()
        customer = self._customer(charge.customer)
        if customer is None or customer.quota is None:
            charge.settle(Charged(customer is not None))
            return
        wait = self._allowances.spend_alone(
            charge.customer,
            customer.quota,
            charge.tokens,
            self._instances,
            now < self._left_until or self._granter is not None,
            now,
        )
        self._metrics.count("charged_alone", "refused" if wait else "spent")
        charge.settle(Charged(wait is None, False, wait))

    def unused(self, message: TokensUnused) -> None:
        """Take back what a request was charged that has not run."""
        now = self._clock.monotonic()
        self._allowances.put_back(message.customer, message.tokens, now)

    def return_left_over(self) -> None:
        """Give back what was granted and is not needed here."""
        found = self._allowances.left_over(self._clock.monotonic())
        if found and self._leader is not None:
            rows = [[customer, tokens] for customer, tokens in found.items()]
            self._tell(self._leader, ReturnTokens(rows))

    # Granting

    def asked(self, instance: str, draw: DrawTokens) -> None:
        """Grant tokens to an instance, as far as there are any here."""
        self._tell(instance, self._grant(draw))

    def _grant(self, draw: DrawTokens) -> TokensDrawn:
        customer = self._customer(draw.customer)
        if self._granter is None or customer is None:
            return TokensDrawn(draw.number, 0.0, NOT_KNOWN, 0.0, 0.0)
        if customer.quota is None:
            return TokensDrawn(draw.number, draw.needed, 0, 0.0, 0.0)
        now = self._clock.monotonic()
        grant = self._granter.grant(
            customer.name,
            customer.quota,
            draw.needed,
            draw.extra,
            self._instances,
            now,
        )
        if grant.tokens:
            use = grant.use
            return TokensDrawn(draw.number, grant.tokens, 0, use.rate, use.spare)
        wait = self._wait_ms(grant, now)
        self._log.info(
            "quota used up",
            customer=customer.name,
            needed=draw.needed,
            wait_ms=wait,
            share=round(self._granter.share(self._instances, now), 3),
        )
        return TokensDrawn(draw.number, 0.0, wait, 0.0, 0.0)

    def _wait_ms(self, grant: Grant, now: timedelta) -> int:
        """Return when to ask again, if this instance can tell.

        One that has led for a moment lacks what is still left to the leader before.
        """
        if grant.wait is None or now - self._granting_since < LEFT_FOR:
            return NOT_KNOWN
        return int(grant.wait / MILLISECOND)

    def returned(self, message: ReturnTokens) -> None:
        """Take back what an instance has not spent."""
        if self._granter is None:
            return
        now = self._clock.monotonic()
        for customer, tokens in message.rows:
            self._granter.give_back(customer, tokens, now)

    def _customer(self, name: str) -> Customer | None:
        table = self._in_force.table
        return None if table is None else table.customers.by_name.get(name)
