"""Grants customers' quota tokens to all instances that delegate their share.

The leader grants tokens, from the shares delegated to it, to any instance that needs
them; see `rates.shares` for why the grants never add up to more than the quota.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..rates import Bucket, DelegatedShares, RateMeter
from .customer import Quota

TIGHT_BELOW = 0.25
"""Fraction of its burst: a customer with fewer tokens available is reported to all
instances as close to its limit."""
MAX_EXTRA_FRACTION = 0.5
"""How much an instance may be granted beyond its need, as a fraction of its equal part
of the tokens that are available."""


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much a quota may be exceeded.

    Parameters
    ----------
    window : timedelta
        Spending is counted over any period of this length.
    overage : float
        Maximum excess over a window, as a fraction of rate times window plus burst.
    """

    window: timedelta = timedelta(seconds=8)
    overage: float = 0.1

    def allowed_overage(self, quota: Quota) -> float:
        """Return the units by which spending in a window may exceed the quota."""
        allowed = quota.rate * self.window.total_seconds() + quota.burst
        return allowed * self.overage


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """How much of a quota is in use.

    Parameters
    ----------
    rate : float
        The fraction of its rate that was granted recently.
    spare : float
        The fraction of its burst that is available at once.
    """

    rate: float = 1.0
    spare: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """The tokens granted to an instance; 0 if the request for them is refused.

    Parameters
    ----------
    wait : timedelta or None
        After what time to ask again; None if that is not known.
    """

    tokens: float
    wait: timedelta | None = timedelta()
    use: QuotaUse = QuotaUse()


@dataclass(slots=True)
class _Account:
    """One customer's tokens that this instance grants.

    Parameters
    ----------
    bucket : Bucket
        The tokens that are available.
    grant_meter : RateMeter
        The recent rate at which tokens are granted.
    share : float
        The largest share of the quota that this instance has granted from so far.
    """

    bucket: Bucket
    grant_meter: RateMeter
    share: float


class Granter:
    """The tokens of all customers that this instance grants.

    It grants from its own share and from those that are delegated to it.

    Parameters
    ----------
    own : str
        This instance's name.
    """

    def __init__(self, own: str, bounds: QuotaBounds) -> None:
        self._own = own
        self._bounds = bounds
        self._shares = DelegatedShares()
        self._accounts: dict[str, _Account] = {}

    def add_delegated_share(self, instance: str, acknowledged_time: timedelta) -> None:
        """Record an instance's delegated share; see `DelegatedShares.delegate`."""
        self._shares.delegate(instance, acknowledged_time)

    def share(self, instances: int, now: timedelta) -> float:
        """Return the fraction of every quota that this instance may grant from."""
        return self._shares.share(instances, now)

    def is_alone(self, instances: int, now: timedelta) -> bool:
        """Return whether there are other instances but none delegates its share."""
        return self._shares.is_alone(instances, now)

    def grant(
        self,
        customer: str,
        quota: Quota,
        needed: float,
        extra: float,
        instances: int,
        now: timedelta,
    ) -> Grant:
        """Grant an instance tokens of a customer.

        Parameters
        ----------
        needed : float
            Tokens needed by the request that is waiting.
        extra : float
            Estimate of what the following requests there will need.
        """
        account = self._account(customer, quota, instances, now)
        bucket = account.bucket
        if not bucket.take(needed, now):
            return Grant(0.0, bucket.wait(needed, now))
        max_extra = bucket.available(now) * MAX_EXTRA_FRACTION / max(instances, 1)
        granted_extra = math.floor(min(extra, max_extra))
        granted = needed
        if granted_extra > 0 and bucket.take(granted_extra, now):
            granted += granted_extra
        account.grant_meter.record(granted, now)
        return Grant(granted, use=self._use(account, now))

    def _use(self, account: _Account, now: timedelta) -> QuotaUse:
        bucket = account.bucket
        rate = account.grant_meter.per_second(now) / bucket.rate
        spare = bucket.available(now) / bucket.burst if bucket.burst else 0.0
        return QuotaUse(min(rate, 1.0), spare)

    def tight(self, now: timedelta) -> list[str]:
        """Return the customers that are close to their limit."""
        tight = []
        for customer, account in self._accounts.items():
            bucket = account.bucket
            if bucket.available(now) < bucket.burst * TIGHT_BELOW:
                tight.append(customer)
        return tight

    def give_back(self, customer: str, tokens: float, now: timedelta) -> None:
        """Return granted tokens that were not spent to the quota."""
        account = self._accounts.get(customer)
        if account is not None:
            account.bucket.give_back(tokens, now)
            account.grant_meter.record(-tokens, now)

    def _account(
        self, customer: str, quota: Quota, instances: int, now: timedelta
    ) -> _Account:
        """Return a customer's account, sized for the current share."""
        share = self.share(instances, now)
        rate, burst = quota.rate * share, quota.burst * share
        account = self._accounts.get(customer)
        if account is None:
            account = _Account(Bucket(rate, burst, 0.0, now), RateMeter(), 0.0)
            self._accounts[customer] = account
        account.bucket.resize(rate, burst, now)
        if share > account.share:
            # It is not known what was granted before this instance became the leader.
            # The bucket starts with a third of the allowed overage of a window, so that
            # several changes of leader in one window, and what instances spend without
            # a leader meanwhile, stay within the overage.
            initial = min(self._bounds.allowed_overage(quota) / 3, quota.burst)
            account.bucket.give_back(initial * (share - account.share), now)
            account.share = share
        return account
