"""Quota tokens that this instance may spend for each customer without asking.

The leader grants the tokens, a few more than the requesting call needs. If the leader
does not respond, which lasts about a second until another one is elected, the instance
spends on its own. A customer that was close to its limit gets the part of its quota
that corresponds to this instance's part of its recent spending. Any other customer gets
an equal part if that is more, and at least one request at once: its clients may call
any instance, and it has spent far less than a window allows. If no leader has been
heard for longer, the instance's share is delegated to no other instance, so it spends
its own share.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from ..rates import SHARE_DELEGATION_TIME, Bucket, RateMeter
from .customer import Quota
from .granter import QuotaUse

UNUSED_TOKENS_KEPT_FOR = timedelta(seconds=1)
"""Granted tokens that are not spent within this time are returned to the granter."""
PREFETCH_PERIOD = timedelta(milliseconds=500)
"""An instance requests the tokens that it will probably need within this period."""


class Standing(Enum):
    """How close to its limit a customer is, as last reported by the leader.

    `TIGHT` means close to it; `UNKNOWN` that there is no recent report.
    """

    UNKNOWN = auto()
    BELOW = auto()
    TIGHT = auto()


@dataclass(slots=True)
class _Account:
    """One customer's tokens at this instance.

    Parameters
    ----------
    use : QuotaUse
        How much of the quota is in use, as last reported by the leader.
    spend_meter : RateMeter
        The recent rate at which granted tokens are spent.
    local_bucket : Bucket or None
        The tokens that are spent without the leader; None until the first is.
    """

    tokens: float = 0.0
    granted_at: timedelta = timedelta()
    use: QuotaUse = field(default_factory=QuotaUse)
    spend_meter: RateMeter = field(default_factory=RateMeter)
    local_bucket: Bucket | None = None


class Allowances:
    """The tokens of all customers that this instance may spend."""

    def __init__(self) -> None:
        self._by_customer: dict[str, _Account] = {}

    def spend(self, customer: str, tokens: float, now: timedelta) -> bool:
        """Spend granted tokens; return False if there are too few."""
        account = self._by_customer.setdefault(customer, _Account())
        if account.tokens < tokens:
            return False
        account.tokens -= tokens
        account.spend_meter.record(tokens, now)
        return True

    def add_grant(
        self, customer: str, tokens: float, use: QuotaUse, now: timedelta
    ) -> None:
        """Add tokens that the leader has granted."""
        account = self._by_customer.setdefault(customer, _Account())
        account.tokens += tokens
        account.granted_at = now
        account.use = use

    def expected_need(self, customer: str, now: timedelta) -> float:
        """Estimate the tokens that a customer's next requests here will need."""
        account = self._by_customer.get(customer)
        if account is None:
            return 0.0
        return account.spend_meter.per_second(now) * PREFETCH_PERIOD.total_seconds()

    def refund_tokens(self, customer: str, tokens: float, now: timedelta) -> None:
        """Refund the tokens of a request that did not use them.

        Another request here may spend them; otherwise `take_unused` returns them.
        """
        account = self._by_customer.setdefault(customer, _Account())
        account.tokens += tokens
        account.spend_meter.record(-tokens, now)

    def take_unused(self, now: timedelta) -> dict[str, float]:
        """Remove and return tokens that were not spent for a while, by customer."""
        unused: dict[str, float] = {}
        for customer, account in list(self._by_customer.items()):
            if now - account.granted_at < UNUSED_TOKENS_KEPT_FOR:
                continue
            if account.tokens > 0:
                unused[customer] = account.tokens
                account.tokens = 0.0
            if account.local_bucket is None and not account.spend_meter.per_second(now):
                del self._by_customer[customer]
        return unused

    def discard_granted(self) -> None:
        """Discard the tokens granted by a former leader."""
        for account in self._by_customer.values():
            account.tokens = 0.0

    def spend_locally(
        self,
        customer: str,
        quota: Quota,
        tokens: float,
        instances: int,
        standing: Standing,
        now: timedelta,
    ) -> timedelta | None:
        """Spend tokens without the leader; return None if spent, or the time to wait.

        Parameters
        ----------
        instances : int
            The number of instances, including this one.
        standing : Standing
            The customer's standing when the leader was last heard.
        """
        account = self._by_customer.setdefault(customer, _Account())
        rate, burst = _local_quota(
            account.spend_meter.per_second(now), account.use, quota
        )
        if standing is not Standing.TIGHT:
            rate = max(rate, quota.rate / max(instances, 1))
            burst = min(max(burst, quota.burst / max(instances, 1)), tokens)
        if account.local_bucket is None:
            level = _initial_level(standing, burst, tokens)
            account.local_bucket = Bucket(rate, burst, level, now)
        account.local_bucket.resize(rate, burst, now)
        if rate > 0 and account.local_bucket.take(tokens, now):
            return None
        return account.local_bucket.wait(tokens, now) or SHARE_DELEGATION_TIME


def _initial_level(standing: Standing, burst: float, tokens: float) -> float:
    """Return a bucket's level when an instance starts to spend without the leader."""
    if standing is not Standing.TIGHT:
        return burst
    # When requests arrive one at a time, the first one always exceeds this instance's
    # part. Starting half a request lower compensates for that on average.
    return burst - tokens / 2


def _local_quota(spend_rate: float, use: QuotaUse, quota: Quota) -> tuple[float, float]:
    """Return the rate and burst for an instance that spends at the given rate.

    They are in proportion to its part of the customer's spending at all instances.
    """
    fraction = spend_rate / max(use.rate * quota.rate, spend_rate, 1e-9)
    return quota.rate * fraction, quota.burst * use.spare * fraction
