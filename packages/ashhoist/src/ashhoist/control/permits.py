"""Permits for sends to upstreams that have named a limit: one place spends for all.

The leader grants them, from the shares of each limit that were left to it (`rates`), so
that two that lead at once never grant more than the whole. Nobody else sends to such an
upstream: while nobody leads, for about a second, it gets nothing.
"""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..metrics import Metrics
from ..rates import Bucket, Shares
from ..upstreams import NOT_GRANTED, Permit, PermitWanted, RateLimits
from .messages import AskPermit, LeaveShare, PermitAnswered
from .quotas import NOT_KNOWN

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
LEAST_RATE = 0.1
"""Requests a second that go to an upstream whatever it names: only their answers tell
that its limit has risen, or is gone."""
BURST_TIME = timedelta(milliseconds=500)
"""What a limit allows within so long may go at once."""
LEAST_SHARE = 0.2
"""A leader with less grants nothing: a request can't be dealt out in parts, and each of
many that lead alone would send a whole one at once."""
MOST_OPEN = 1024
"""Questions that are remembered; the oldest is forgotten first."""


class Permits:
    """Grants permits while this instance leads, else asks for them.

    Parameters
    ----------
    instances : callable
        Returns how many instances there are, this one included; 0 if not known.
    leaves_since : callable
        Takes an instance; returns since when the share here is left to it, or -1.
    tell : callable
        Takes the name of an instance, this one included, and a message.
    """

    def __init__(
        self,
        own: str,
        limits: RateLimits,
        life_of: Callable[[str], str],
        instances: Callable[[], int],
        leaves_since: Callable[[str], int],
        tell: Callable[[str, Any], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._own = own
        self._limits = limits
        self._life_of = life_of
        self._instances = instances
        self._leaves_since = leaves_since
        self._tell = tell
        self._clock = clock
        self._metrics = metrics
        self._leader: str | None = None
        self._shares = Shares()
        self._bucket_by_life: dict[str, Bucket] = {}
        self._open: dict[int, PermitWanted] = {}
        self._numbers = 0

    # Who grants

    def follow(self, leader: str | None) -> None:
        """Take in who leads; that is who grants."""
        if leader == self._leader:
            return
        self._leader = leader
        self._shares = Shares()
        self._bucket_by_life = {}
        for wanted in self._open.values():
            _settle(wanted, NOT_GRANTED)
        self._open.clear()
        self.limits_changed()

    def heard(self, leader: str) -> None:
        """Leave this instance's share to the leader, which has told a moment."""
        if self._limits.any_in_force:
            self._tell(leader, LeaveShare(self._leaves_since(leader)))

    def left(self, peer: str, since: int) -> None:
        """Take in that an instance leaves its share here."""
        if self._grants and since != NOT_KNOWN:
            self._shares.left(peer, since * MICROSECOND)

    @property
    def _grants(self) -> bool:
        return self._leader == self._own

    # Granting

    def limits_changed(self) -> None:
        """Begin to count for upstreams that have named a limit."""
        if not self._grants:
            return
        known = {named.life for named in self._limits.all()}
        self._bucket_by_life = {
            life: bucket
            for life, bucket in self._bucket_by_life.items()
            if life in known
        }
        for named in self._limits.all():
            if named.per_second is not None:
                self._bucket(named.life, named.per_second)

    def _bucket(self, life: str, per_second: float) -> Bucket:
        """Return what a limit allows now, as far as it is granted from here."""
        now = self._clock.monotonic()
        share = self._share(now)
        rate = max(per_second, LEAST_RATE)
        burst = max(rate * BURST_TIME.total_seconds(), 1.0) * share
        bucket = self._bucket_by_life.get(life)
        if bucket is None:
            # What was sent before is not known: it begins with nothing.
            bucket = self._bucket_by_life[life] = Bucket(rate, burst, 0.0, now)
        bucket.resize(rate * share, burst, now)
        return bucket

    def _share(self, now: timedelta) -> float:
        """Return which share of every limit is granted from here."""
        instances = self._instances()
        if not instances:
            return 0.0
        share = self._shares.share(instances, now)
        return share if share >= LEAST_SHARE else 0.0

    def _of(self, upstream_id: str) -> Bucket | None:
        per_second = self._limits.of(upstream_id)
        if per_second is None:
            return None
        return self._bucket(self._life_of(upstream_id), per_second)

    def limited(self, upstream_id: str) -> bool:
        """Return whether an upstream takes only so many requests a second."""
        return self._limits.of(upstream_id) is not None

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return when one request can be sent there behind `ahead` others."""
        bucket = self._of(upstream_id)
        if bucket is None:
            return timedelta()
        if not bucket.rate:
            return NOT_GRANTED.wait
        own = bucket.wait(1.0, self._clock.monotonic()) or timedelta()
        return own + timedelta(seconds=ahead / bucket.rate)

    def take(self, upstream_id: str) -> bool:
        """Take one send; return False if it can't be sent yet."""
        bucket = self._of(upstream_id)
        if bucket is None:
            return True
        granted = bool(bucket.rate) and bucket.take(1.0, self._clock.monotonic())
        self._metrics.count("permits", "granted" if granted else "refused")
        return granted

    def asked(self, instance: str, message: AskPermit) -> None:
        """Grant another instance a send, or say when to ask again."""
        granted = self._grants and self.take(message.upstream)
        wait_ms = 0 if granted else self._wait_ms(message.upstream)
        self._tell(instance, PermitAnswered(message.number, granted, wait_ms))

    def _wait_ms(self, upstream_id: str) -> int:
        """Return when to ask again; at least a millisecond from now."""
        wait = self.wait(upstream_id) if self._grants else NOT_GRANTED.wait
        return max(math.ceil(wait / MILLISECOND), 1)

    # Asking

    def ask(self, wanted: PermitWanted) -> None:
        """Ask the leader for one send."""
        if self._leader is None:
            _settle(wanted, NOT_GRANTED)
            return
        self._numbers += 1
        self._open[self._numbers] = wanted
        if len(self._open) > MOST_OPEN:
            del self._open[next(iter(self._open))]
        self._tell(self._leader, AskPermit(self._numbers, wanted.upstream_id))

    def answered(self, message: PermitAnswered) -> None:
        """Take in the leader's answer; a permit that nobody waits for is lost."""
        wanted = self._open.pop(message.number, None)
        if wanted is not None:
            wait = message.wait_ms * MILLISECOND
            _settle(wanted, Permit(message.granted, wait))


def _settle(wanted: PermitWanted, permit: Permit) -> None:
    """Answer a request, if it still waits."""
    if wanted.answer.set_running_or_notify_cancel():
        wanted.answer.set_result(permit)
