"""Grants customers' tokens, for all instances that leave their share to it.

The leader grants from the shares that were left to it, to whoever needs tokens; see
`rates.shares` for why that never adds up to more than the whole.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..rates import Bucket, Pace, Shares
from .customer import Quota

TIGHT_BELOW = 0.25
"""Of its burst: a customer that has less left is told to all as close to its limit."""
EXTRA_PART = 0.5
"""Of what a bucket holds for each instance, that one may be granted beyond its need."""


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much a quota may be passed.

    Parameters
    ----------
    window : timedelta
        What is spent is counted over any span of this length.
    overage : float
        Above rate times window and burst, as a share of these.
    """

    window: timedelta = timedelta(seconds=8)
    overage: float = 0.1

    def spare(self, quota: Quota) -> float:
        """Return the units by which a window may be passed."""
        whole = quota.rate * self.window.total_seconds() + quota.burst
        return whole * self.overage


@dataclass(frozen=True, slots=True)
class Use:
    """How much of a quota is in use.

    Parameters
    ----------
    rate : float
        Of its rate, what was granted of late.
    spare : float
        Of its burst, what could be granted at once.
    """

    rate: float = 1.0
    spare: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """What was granted; nothing if `tokens` is 0.

    Parameters
    ----------
    wait : timedelta or None
        When to ask again; None if nothing is known of that.
    """

    tokens: float
    wait: timedelta | None = timedelta()
    use: Use = Use()


@dataclass(slots=True)
class _Account:
    """One customer's tokens, as far as they are granted from here.

    Parameters
    ----------
    share : float
        The largest share of the quota that was left here so far.
    """

    bucket: Bucket
    pace: Pace
    share: float


class Granter:
    """The tokens of all customers, as far as shares were left here.

    Parameters
    ----------
    own : str
        This instance's name; its own share is always here.
    """

    def __init__(self, own: str, bounds: QuotaBounds) -> None:
        self._own = own
        self._bounds = bounds
        self._shares = Shares()
        self._accounts: dict[str, _Account] = {}

    def left(self, instance: str, told_at: timedelta) -> None:
        """Take in that an instance leaves its share here; see `Shares.left`."""
        self._shares.left(instance, told_at)

    def share(self, instances: int, now: timedelta) -> float:
        """Return which share of every quota is granted from here."""
        return self._shares.share(instances, now)

    def is_alone(self, instances: int, now: timedelta) -> bool:
        """Return whether no other instance leaves its share here."""
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
        """Return what an instance may spend for a customer.

        Parameters
        ----------
        needed : float
            For the request that asks.
        extra : float
            What the next requests there will likely need.
        """
        account = self._account(customer, quota, instances, now)
        bucket = account.bucket
        if not bucket.take(needed, now):
            return Grant(0.0, bucket.wait(needed, now))
        plenty = bucket.spare(now) * EXTRA_PART / max(instances, 1)
        more = math.floor(min(extra, plenty))
        granted = needed
        if more > 0 and bucket.take(more, now):
            granted += more
        account.pace.note(granted, now)
        return Grant(granted, use=self._use(account, now))

    def _use(self, account: _Account, now: timedelta) -> Use:
        bucket = account.bucket
        rate = account.pace.of(now) / bucket.rate
        spare = bucket.spare(now) / bucket.burst if bucket.burst else 0.0
        return Use(min(rate, 1.0), spare)

    def tight(self, now: timedelta) -> list[str]:
        """Return the customers that are close to their limit."""
        found = []
        for customer, account in self._accounts.items():
            bucket = account.bucket
            if bucket.spare(now) < bucket.burst * TIGHT_BELOW:
                found.append(customer)
        return found

    def give_back(self, customer: str, tokens: float, now: timedelta) -> None:
        """Take back what was granted and not spent."""
        account = self._accounts.get(customer)
        if account is not None:
            account.bucket.give_back(tokens, now)
            account.pace.note(-tokens, now)

    def _account(
        self, customer: str, quota: Quota, instances: int, now: timedelta
    ) -> _Account:
        """Return a customer's tokens, as many as what was left here allows."""
        share = self.share(instances, now)
        rate, burst = quota.rate * share, quota.burst * share
        account = self._accounts.get(customer)
        if account is None:
            account = _Account(Bucket(rate, burst, 0.0, now), Pace(), 0.0)
            self._accounts[customer] = account
        account.bucket.resize(rate, burst, now)
        if share > account.share:
            # What was granted before this instance led is not known. A third of what a
            # window may be passed by is granted: some changes in one window, and what
            # instances spend by themselves meanwhile, stay within.
            begins_with = min(self._bounds.spare(quota) / 3, quota.burst)
            account.bucket.give_back(begins_with * (share - account.share), now)
            account.share = share
        return account
