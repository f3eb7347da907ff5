"""Permits to send requests to rate-limited upstreams, granted centrally by the leader.

The leader grants them from the shares of each limit that instances have delegated to it
(see `rates`). Two concurrent leaders together therefore never exceed a limit. No
request is sent to a limited upstream without a permit; while there is no leader, for
about a second, such an upstream receives none.
"""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..metrics import Metrics
from ..rates import Bucket, DelegatedShares
from ..upstreams import NOT_GRANTED, Permit, PermitRequest, RateLimits
from .messages import PermitQuery, PermitResponse, ShareDelegation
from .quotas import NOT_KNOWN

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
MIN_RATE = 0.1
"""Requests per second that are granted even under a lower limit: only their answers can
show that the limit has been raised or removed."""
BURST_TIME = timedelta(milliseconds=500)
"""A burst may contain as many requests as a limit allows within this time."""
MIN_SHARE = 0.2
"""A leader with a smaller share of the limits grants nothing. A request can't be
divided, so each of many isolated leaders would otherwise send a whole one
immediately."""
MAX_PENDING = 1024
"""Pending permit requests that are remembered; beyond that the oldest is dropped."""


class Permits:
    """Grants permits while this instance is the leader, and otherwise requests them.

    Parameters
    ----------
    instances : callable
        Returns the number of instances, including this one; 0 if not known.
    delegated_since : callable
        Takes an instance; returns since when, on that instance's clock, this instance
        delegates its share to it, or -1.
    send : callable
        Takes the name of an instance, this one included, and a message.
    """

    def __init__(
        self,
        own: str,
        limits: RateLimits,
        incarnation_of: Callable[[str], str],
        instances: Callable[[], int],
        delegated_since: Callable[[str], int],
        send: Callable[[str, Any], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._own = own
        self._limits = limits
        self._incarnation_of = incarnation_of
        self._instances = instances
        self._delegated_since = delegated_since
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._leader: str | None = None
        self._shares = DelegatedShares()
        self._bucket_by_incarnation: dict[str, Bucket] = {}
        self._pending: dict[int, PermitRequest] = {}
        self._last_number = 0

    # Leader and shares

    def follow(self, leader: str | None) -> None:
        """Set the leader, which grants permits; pending requests are refused."""
        if leader == self._leader:
            return
        self._leader = leader
        self._shares = DelegatedShares()
        self._bucket_by_incarnation = {}
        for request in self._pending.values():
            _settle(request, NOT_GRANTED)
        self._pending.clear()
        self.limits_changed()

    def leader_heartbeat(self, leader: str) -> None:
        """Delegate this instance's share to the leader after its heartbeat."""
        if self._limits.any_in_force:
            self._send(leader, ShareDelegation(self._delegated_since(leader)))

    def share_delegated(self, peer: str, since: int) -> None:
        """Record that an instance delegates its share to this one."""
        if self._grants and since != NOT_KNOWN:
            self._shares.delegate(peer, since * MICROSECOND)

    @property
    def _grants(self) -> bool:
        return self._leader == self._own

    # Granting

    def limits_changed(self) -> None:
        """Update the buckets to the upstreams that have a limit now."""
        if not self._grants:
            return
        known = {limit.incarnation for limit in self._limits.all()}
        self._bucket_by_incarnation = {
            incarnation: bucket
            for incarnation, bucket in self._bucket_by_incarnation.items()
            if incarnation in known
        }
        for limit in self._limits.all():
            if limit.per_second is not None:
                self._bucket(limit.incarnation, limit.per_second)

    def _bucket(self, incarnation: str, per_second: float) -> Bucket:
        """Return the bucket of a limit, sized to the share granted by this instance."""
        now = self._clock.monotonic()
        share = self._share(now)
        rate = max(per_second, MIN_RATE)
        burst = max(rate * BURST_TIME.total_seconds(), 1.0) * share
        bucket = self._bucket_by_incarnation.get(incarnation)
        if bucket is None:
            # It starts empty, because the number of earlier sends is not known.
            bucket = self._bucket_by_incarnation[incarnation] = Bucket(
                rate, burst, 0.0, now
            )
        bucket.resize(rate * share, burst, now)
        return bucket

    def _share(self, now: timedelta) -> float:
        """Return the share of each limit that this instance grants from."""
        instances = self._instances()
        if not instances:
            return 0.0
        share = self._shares.share(instances, now)
        return share if share >= MIN_SHARE else 0.0

    def _bucket_of(self, upstream_id: str) -> Bucket | None:
        per_second = self._limits.of(upstream_id)
        if per_second is None:
            return None
        return self._bucket(self._incarnation_of(upstream_id), per_second)

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an upstream has a rate limit."""
        return self._limits.of(upstream_id) is not None

    def wait(self, upstream_id: str, ahead: int = 0) -> timedelta:
        """Return how long until a request can be sent, after `ahead` others."""
        bucket = self._bucket_of(upstream_id)
        if bucket is None:
            return timedelta()
        if not bucket.rate:
            return NOT_GRANTED.wait
        wait = bucket.wait(1.0, self._clock.monotonic()) or timedelta()
        return wait + timedelta(seconds=ahead / bucket.rate)

    def take(self, upstream_id: str) -> bool:
        """Consume one permit; return False if none is available yet."""
        bucket = self._bucket_of(upstream_id)
        if bucket is None:
            return True
        granted = bool(bucket.rate) and bucket.take(1.0, self._clock.monotonic())
        self._metrics.count("permits", "granted" if granted else "refused")
        return granted

    def asked(self, instance: str, message: PermitQuery) -> None:
        """Grant another instance a permit, or tell it when to ask again."""
        granted = self._grants and self.take(message.upstream)
        wait_ms = 0 if granted else self._wait_ms(message.upstream)
        self._send(instance, PermitResponse(message.number, granted, wait_ms))

    def _wait_ms(self, upstream_id: str) -> int:
        """Return after how many milliseconds to ask again; at least 1."""
        wait = self.wait(upstream_id) if self._grants else NOT_GRANTED.wait
        return max(math.ceil(wait / MILLISECOND), 1)

    # Requesting

    def ask(self, request: PermitRequest) -> None:
        """Request a permit for one send from the leader."""
        if self._leader is None:
            _settle(request, NOT_GRANTED)
            return
        self._last_number += 1
        self._pending[self._last_number] = request
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._send(self._leader, PermitQuery(self._last_number, request.upstream_id))

    def answered(self, message: PermitResponse) -> None:
        """Handle the leader's answer; a permit that is no longer waited for is lost."""
        request = self._pending.pop(message.number, None)
        if request is not None:
            wait = message.wait_ms * MILLISECOND
            _settle(request, Permit(message.granted, wait))


def _settle(request: PermitRequest, permit: Permit) -> None:
    """Answer a permit request, unless it has been cancelled."""
    if request.answer.set_running_or_notify_cancel():
        request.answer.set_result(permit)
