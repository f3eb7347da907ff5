"""Tokens for customers' requests: what this instance spends, and grants as the leader.

See `rates.shares` for why what is granted never adds up to more than the whole.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Allowances, Customer, Granter, QuotaBounds, Standing
from ..customers.charges import Charge, Charged, ChargeUnanswered, TokensUnused
from ..customers.granter import Use
from ..logs import Logger
from ..metrics import Metrics
from ..rates import LEFT_FOR
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
STANDING_KNOWN_FOR = LEFT_FOR + timedelta(milliseconds=600)
"""What a leader has said of customers counts until another one leads."""
WITHOUT_HISTORY = timedelta(seconds=3)
"""So long a new leader passes on who the one before it said was close to a limit: its
own buckets begin with some tokens, whoever has spent before."""
LONGEST_WAIT = timedelta(seconds=60)
"""What a caller is told at most, also where a quota lets nothing through."""
LOGGED_EVERY = timedelta(seconds=1)
"""That a customer's quota is used up; each refused request has a line of its own."""


@dataclass(slots=True)
class _Open:
    """A question to the leader, and the request that waits for it."""

    charge: Charge
    asked_at: timedelta


class Quotas:
    """Charges requests to customers' quotas.

    Parameters
    ----------
    knows_others : callable
        Returns whether this instance has read which others there are.
    tell : callable
        Takes the name of an instance, this one included, and a message.
    """

    def __init__(
        self,
        own: str,
        bounds: QuotaBounds,
        in_force: InForce,
        peers: Peers,
        knows_others: Callable[[], bool],
        tell: Callable[[str, Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._in_force = in_force
        self._peers = peers
        self._knows_others = knows_others
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
        self._tight: frozenset[str] = frozenset()
        self._tight_at = -STANDING_KNOWN_FOR
        self._has_news = False
        self._logged_at: dict[str, timedelta] = {}

    # Who grants

    def follow(self, leader: str | None) -> None:
        """Take in who leads; that is who grants tokens."""
        if leader == self._leader:
            return
        self._leader = leader
        self._allowances.forget_granted()
        self._open.clear()
        self._granter = None
        if leader == self._own:
            self._granter = Granter(self._own, self._bounds)
            self._granting_since = self._clock.monotonic()

    @property
    def instances(self) -> int:
        """Return how many instances there are; 0 while that is not known.

        One that has just started, and has neither read the register nor met another,
        would else take every quota for its own.
        """
        others = len(self._peers.by_name)
        return others + 1 if others or self._knows_others() else 0

    def beaten(self, peer: str, beat: Beat) -> None:
        """Take in a moment of another instance."""
        now = self._clock.monotonic()
        self._heard[peer] = (beat.sent_at, now)
        if peer == self._leader and beat.leads:
            self._tight = frozenset(beat.tight)
            self._tight_at = now
        if peer == self._left_to and not beat.leads:
            # It grants no more, and has said so itself.
            self._left_to, self._left_until = None, ZERO

    def forget(self, peer: str) -> None:
        """Forget an instance that is no longer linked."""
        self._heard.pop(peer, None)

    def take_news(self) -> bool:
        """Return, once, whether all should be told of one more that is at its limit.

        The next beat would come half a second later; a leader that is lost before it
        would leave others in the belief that the customer is far below.
        """
        has_news, self._has_news = self._has_news, False
        return has_news

    def tight(self) -> list[str]:
        """Return the customers that are close to their limit, as this leader knows."""
        now = self._clock.monotonic()
        if self._granter is None:
            return []
        if not self._is_alone(now):
            found = frozenset(self._granter.tight(now))
            is_new = now - self._granting_since < WITHOUT_HISTORY
            self._tight = found | self._tight if is_new else found
            self._tight_at = now
        return list(self._tight)

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
        if self._leader is None or self._is_silent(now) or self._is_alone(now):
            self._charge_alone(charge)
        self._draw(charge, now)

    def _is_alone(self, now: timedelta) -> bool:
        """Return whether this instance leads, but nobody else follows it."""
        return self._granter is not None and self._granter.is_alone(self.instances, now)

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
        if drawn.wait_ms == NOT_KNOWN or not self._grants_my_share:
            self._charge_alone(charge)
            return
        charge.settle(Charged(False, True, drawn.wait_ms * MILLISECOND))

    @property
    def _grants_my_share(self) -> bool:
        """Return whether the leader grants from this instance's share too."""
        return self._granter is not None or self._left_to == self._leader

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
        if not self.instances:
            charge.settle(Charged(False))
            return
        wait = self._allowances.spend_alone(
            charge.customer,
            customer.quota,
            charge.tokens,
            self.instances,
            self._standing(charge.customer),
            now,
        )
        self._metrics.count("charged_alone", "refused" if wait else "spent")
        charge.settle(Charged(wait is None, False, wait))

    def _standing(self, customer: str) -> Standing:
        if self._clock.monotonic() - self._tight_at >= STANDING_KNOWN_FOR:
            return Standing.UNKNOWN
        return Standing.TIGHT if customer in self._tight else Standing.BELOW

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
        now = self._clock.monotonic()
        grants = self._granter is not None and not self._is_alone(now)
        if not grants or customer is None or not self.instances:
            return TokensDrawn(draw.number, 0.0, NOT_KNOWN, 0.0, 0.0)
        if customer.quota is None:
            return TokensDrawn(draw.number, draw.needed, 0, 0.0, 0.0)
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
            return TokensDrawn(draw.number, grant.tokens, 0, use.rate, use.spare)
        self._has_news = self._has_news or customer.name not in self._tight
        wait = int((grant.wait or LONGEST_WAIT) / MILLISECOND)
        self._log_used_up(customer.name, draw.needed, wait, now)
        return TokensDrawn(draw.number, 0.0, wait, 0.0, 0.0)

    def _log_used_up(
        self, customer: str, needed: float, wait_ms: int, now: timedelta
    ) -> None:
        logged_at = self._logged_at.get(customer)
        if logged_at is not None and now - logged_at < LOGGED_EVERY:
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
        """Take back what an instance has not spent."""
        if self._granter is None:
            return
        now = self._clock.monotonic()
        for customer, tokens in message.rows:
            self._granter.give_back(customer, tokens, now)

    def _customer(self, name: str) -> Customer | None:
        table = self._in_force.table
        return None if table is None else table.customers.by_name.get(name)
