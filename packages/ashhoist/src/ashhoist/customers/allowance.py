"""What one instance may still spend for each customer without asking.

Tokens come from the leader, a little more than the request that asks needs. While the
leader does not answer, for about a second until another one leads, an instance goes on
by itself. A customer that was close to its limit gets what it had here: that part of
the quota that this instance had of all that was spent. Any other one gets an equal part
if that is more, and one request at once: its clients may call wherever they like, and
what a window may have of it is far from used. Where no leader has spoken for longer, an
instance has left its share to nobody, and spends that.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from ..rates import LEFT_FOR, Bucket, Pace
from .customer import Quota
from .granter import Use

KEPT_FOR = timedelta(seconds=1)
"""Tokens that were not spent by then go back to whoever granted them."""
AHEAD = timedelta(milliseconds=500)
"""An instance asks for what it will likely need within so long."""


class Standing(Enum):
    """How close to its limit a customer is, as far as an instance was told."""

    UNKNOWN = auto()
    BELOW = auto()
    TIGHT = auto()


@dataclass(slots=True)
class _Account:
    """One customer's tokens here.

    Parameters
    ----------
    use : Use
        How much of the quota was in use, as the leader last said.
    pace : Pace
        At which granted tokens are spent.
    alone : Bucket or None
        What is spent without the leader.
    """

    tokens: float = 0.0
    granted_at: timedelta = timedelta()
    use: Use = field(default_factory=Use)
    pace: Pace = field(default_factory=Pace)
    alone: Bucket | None = None


class Allowances:
    """The tokens of all customers that are spent at one instance."""

    def __init__(self) -> None:
        self._by_customer: dict[str, _Account] = {}

    def spend(self, customer: str, tokens: float, now: timedelta) -> bool:
        """Spend tokens that were granted, if there are enough."""
        account = self._by_customer.setdefault(customer, _Account())
        if account.tokens < tokens:
            return False
        account.tokens -= tokens
        account.pace.note(tokens, now)
        return True

    def granted(self, customer: str, tokens: float, use: Use, now: timedelta) -> None:
        """Take in tokens that were granted."""
        account = self._by_customer.setdefault(customer, _Account())
        account.tokens += tokens
        account.granted_at = now
        account.use = use

    def ahead(self, customer: str, now: timedelta) -> float:
        """Return what the next requests of a customer will likely need here."""
        account = self._by_customer.get(customer)
        if account is None:
            return 0.0
        return account.pace.of(now) * AHEAD.total_seconds()

    def put_back(self, customer: str, tokens: float, now: timedelta) -> None:
        """Take back what a request has not used after all.

        It may be spent by another request here, or goes back with what is left over.
        """
        account = self._by_customer.setdefault(customer, _Account())
        account.tokens += tokens
        account.pace.note(-tokens, now)

    def left_over(self, now: timedelta) -> dict[str, float]:
        """Return, and forget, tokens that were not spent for a while, by customer."""
        found: dict[str, float] = {}
        for customer, account in list(self._by_customer.items()):
            if now - account.granted_at < KEPT_FOR:
                continue
            if account.tokens > 0:
                found[customer] = account.tokens
                account.tokens = 0.0
            if account.alone is None and not account.pace.of(now):
                del self._by_customer[customer]
        return found

    def forget_granted(self) -> None:
        """Forget what was granted by one that grants no more."""
        for account in self._by_customer.values():
            account.tokens = 0.0

    def spend_alone(
        self,
        customer: str,
        quota: Quota,
        tokens: float,
        instances: int,
        standing: Standing,
        now: timedelta,
    ) -> timedelta | None:
        """Spend tokens without the leader; return None, or the time to wait.

        Parameters
        ----------
        instances : int
            How many instances there are, this one included.
        standing : Standing
            Of the customer, when the leader was last heard.
        """
        account = self._by_customer.setdefault(customer, _Account())
        rate, burst = _part(account.pace.of(now), account.use, quota)
        if standing is not Standing.TIGHT:
            rate = max(rate, quota.rate / max(instances, 1))
            burst = min(max(burst, quota.burst / max(instances, 1)), tokens)
        if account.alone is None:
            level = _first_level(standing, burst, tokens)
            account.alone = Bucket(rate, burst, level, now)
        account.alone.resize(rate, burst, now)
        if rate > 0 and account.alone.take(tokens, now):
            return None
        return account.alone.wait(tokens, now) or LEFT_FOR


def _first_level(standing: Standing, burst: float, tokens: float) -> float:
    """Return what is there when an instance begins to spend by itself."""
    if standing is not Standing.TIGHT:
        return burst
    # Of requests that come one by one, the first would always be more than this
    # instance's part: half a request less is even.
    return burst - tokens / 2


def _part(pace: float, use: Use, quota: Quota) -> tuple[float, float]:
    """Return the rate and burst that belong to a part of all that is spent."""
    part = pace / max(use.rate * quota.rate, pace, 1e-9)
    return quota.rate * part, quota.burst * use.spare * part
