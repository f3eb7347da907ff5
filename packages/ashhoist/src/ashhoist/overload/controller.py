"""Which requests to a contended service are sent, to which upstream, and when.

It uses neither sockets nor threads: requests and ends come in as method calls, and
`AdmissionController.step` returns the decisions.
"""

import heapq
from collections.abc import Callable, Iterable
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..upstreams import Upstream
from .contention import Contention
from .customer_rates import CustomerRates
from .fair_queue import FairQueue, QueuedRequest, Rank
from .messages import (
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Decision,
    Rejected,
    RequestKey,
)
from .reservations import Reservations
from .upstream_loads import UpstreamLoads

MAX_WAIT_SHARE = 0.5
"""The share of its target latency that a request waits in the queue at most. The rest
is left for the service."""
ACCEPTED_SHARE = 0.5
"""A request is queued if its predicted wait is below this part of the time that it may
wait. Predictions vary; without this margin, requests would be queued and then
rejected."""
RESERVED_SHARE = 0.5
"""The part of a customer's share that is promised to callers that come back. They are
mostly late by then; the rest of the share serves new requests, which are on time."""
RETRY_SHARE = 1 / 3
"""The part of its time left for which a caller honours `Retry-After`."""
MIN_RETRY_AFTER = timedelta(milliseconds=20)
"""Earliest time of a reservation. The caller has to receive the answer and to connect
again by then."""
MAX_LATE_WAIT = timedelta(milliseconds=150)
"""Longest wait of a request that returns on a reservation when its target latency has
already passed."""
RETURN_MARGIN = timedelta(milliseconds=100)
"""Reservations that have been due for less than this time count as requests ahead:
their callers are probably connecting again."""
FOREVER = timedelta(days=365)
"""The predicted wait where there is no upstream. Unlike `timedelta.max`, it can be
added to a time without an overflow."""
REVIEW_INTERVAL = timedelta(milliseconds=20)
"""Time between two searches for displaced requests. A search examines each queued
request, which would take too long at each arrival."""


class AdmissionController:
    """Admission to the upstreams of one contended service.

    Parameters
    ----------
    shares : callable
        Takes the name of a customer; returns its weight.
    bears_few_rejections : callable
        Returns whether the upstreams crash if they reject too many requests.
    """

    def __init__(
        self,
        service: str,
        shares: Callable[[str], float],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        bears_few_rejections: Callable[[], bool] = lambda: False,
    ) -> None:
        self._service = service
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._queue = FairQueue(shares)
        self._rates = CustomerRates(shares, clock)
        self._reservations = Reservations()
        self._loads = UpstreamLoads(clock, bears_few_rejections)
        self._contention = Contention(clock)
        self._decisions: list[Decision] = []
        self._start_limits: list[tuple[timedelta, RequestKey]] = []
        self._reviewed_at = clock.monotonic()

    # Requests and ends

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the upstreams of the service.

        Grants at an upstream that has left stay until their end is reported.
        """
        self._loads.set_upstreams(upstreams)

    def submit(self, request: AdmissionRequest) -> None:
        """Queue a request, or reject it at once if it can't be served in time.

        A key that is queued or in flight already is ignored: the request would
        otherwise be granted twice.
        """
        if request.key in self._queue or request.key in self._loads:
            self._log.warning("admission asked for twice", service=self._service)
            return
        now = self._clock.monotonic()
        customer = request.customer
        self._rates.seen(customer)
        self._loads.refresh()
        returned = self._reservations.take(customer, request.fingerprint, now)
        rank = self._queue.rank(request, returned)
        start_by = self._start_by(request, returned)
        if returned:
            self._metrics.count("reservations", "kept")
        wait = self._predicted_wait(request, rank)
        is_too_late = wait > (start_by - now) * ACCEPTED_SHARE
        if request.deadline <= now or (is_too_late and not returned):
            self._reject(request, wait)
            return
        self._queue.push(QueuedRequest(request, start_by, rank))
        heapq.heappush(self._start_limits, (start_by, request.key))

    def cancel(self, key: RequestKey) -> None:
        """Forget a request, whether it is queued or in flight."""
        self._queue.remove(key)
        self._loads.cancel(key)

    def ended(self, key: RequestKey, outcome: AttemptOutcome, took: timedelta) -> None:
        """Take the end of an attempt."""
        request = self._loads.ended(key, outcome, took)
        if request is not None and outcome is AttemptOutcome.REFUSED:
            self._contention.record_congestion()

    def remove_instance(self, instance: str) -> None:
        """Forget the requests of an instance that is lost."""
        for key in self._queue.of_instance(instance):
            self._queue.remove(key)
        self._loads.remove_instance(instance)

    # Decisions

    def step(self) -> list[Decision]:
        """Return the decisions since the last call, including those due to time."""
        now = self._clock.monotonic()
        self._loads.refresh()
        missed = self._reservations.remove_expired(now)
        if missed:
            self._metrics.count("reservations", "missed", amount=missed)
        self._grant_free_places()
        self._reject_expired()
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._reviewed_at = now
            self._rates.forget_inactive()
            self._reject_displaced()
        if self._queue:
            self._contention.record_congestion()
        self._contention.record_usage(self._loads.usage)
        self._metrics.gauge("admission_queue", len(self._queue), self._service)
        decisions, self._decisions = self._decisions, []
        return decisions

    def next_step_at(self) -> timedelta | None:
        """Return when `step` has to be called at the latest, or None."""
        if self._decisions:
            return self._clock.monotonic()
        times = []
        if self._queue:
            times.append(self._reviewed_at + REVIEW_INTERVAL)
            times.append(self._start_limits[0][0])
        for time in (self._loads.next_change_at, self._reservations.next_expiry):
            if time is not None:
                times.append(time)
        return min(times, default=None)

    @property
    def idle(self) -> bool:
        """Return whether the service is no longer contended."""
        return not self._queue and self._contention.is_over

    def _grant_free_places(self) -> None:
        free = self._loads.free
        while free and self._queue:
            request = self._queue.pop(self._can_send)
            if request is None:
                return
            self._grant(request)
            free -= 1

    def _can_send(self, request: AdmissionRequest) -> bool:
        return self._loads.choose(request) is not None

    def _grant(self, request: AdmissionRequest) -> None:
        load = self._loads.choose(request)
        assert load is not None
        self._loads.grant(request, load)
        self._rates.granted(request.customer)
        self._decisions.append(Admitted(request, load.upstream.id))
        self._metrics.count("admissions", request.customer, "admitted")

    def _reject_expired(self) -> None:
        """Reject the requests that have waited for as long as they may."""
        now = self._clock.monotonic()
        while self._start_limits and self._start_limits[0][0] <= now:
            start_by, key = heapq.heappop(self._start_limits)
            self._reject_queued(key, start_by)

    def _reject_queued(self, key: RequestKey, start_by: timedelta) -> None:
        queued = self._queue.get(key)
        if queued is None or queued.start_by != start_by:
            return
        self._queue.remove(key)
        wait = self._predicted_wait(queued.request, queued.rank)
        self._reject(queued.request, wait)

    def _reject_displaced(self) -> None:
        """Reject the requests that fairness has put behind too many others."""
        now, free = self._clock.monotonic(), self._loads.free
        throughput = self._loads.throughput
        ahead = 0
        displaced: list[QueuedRequest] = []
        for queued in self._queue.in_order():
            if now + _time_until_free(ahead - free + 1, throughput) <= queued.start_by:
                ahead += 1
                continue
            displaced.append(queued)
        for queued in displaced:
            self._reject_queued(queued.request.key, queued.start_by)

    def _reject(self, request: AdmissionRequest, wait: timedelta) -> None:
        self._contention.record_congestion()
        now = self._clock.monotonic()
        longest = max((request.deadline - now) * RETRY_SHARE, ZERO)
        due = self._reserve(request, wait, now + longest)
        retry_after = longest if due is None else due - now
        self._decisions.append(Rejected(request, retry_after, due is not None))
        self._metrics.count("admissions", request.customer, "rejected")

    # Times

    def _start_by(self, request: AdmissionRequest, returned: bool) -> timedelta:
        """Return until when a request may wait for its grant."""
        now = self._clock.monotonic()
        target_left = request.on_time_until - now
        if returned:
            return now + (
                target_left * MAX_WAIT_SHARE if target_left > ZERO else MAX_LATE_WAIT
            )
        latest = request.on_time_until - self._loads.service_time
        return max(min(latest, now + target_left * MAX_WAIT_SHARE), now)

    def _predicted_wait(self, request: AdmissionRequest, rank: Rank) -> timedelta:
        """Return the predicted wait for a grant."""
        now, customer = self._clock.monotonic(), request.customer
        free, throughput = self._loads.free, self._loads.throughput
        ahead = self._queue.ahead(customer, rank)
        wait = _time_until_free(ahead - free + 1, throughput)
        if wait == ZERO or wait == FOREVER:
            return wait
        due = self._reservations.due_between(customer, now - RETURN_MARGIN, now + wait)
        if not due:
            return wait
        ahead = self._queue.ahead(customer, rank, due)
        return _time_until_free(ahead - free + 1, throughput)

    def _reserve(
        self, request: AdmissionRequest, wait: timedelta, latest: timedelta
    ) -> timedelta | None:
        """Reserve a time for the caller to come back; None if there is none."""
        now, throughput = self._clock.monotonic(), self._loads.throughput
        if not throughput or now + wait > latest:
            return None
        rate = self._rates.rate(request.customer, throughput) * RESERVED_SHARE
        due = self._reservations.reserve(
            request.customer,
            request.fingerprint,
            now + max(wait, MIN_RETRY_AFTER),
            timedelta(seconds=1 / rate),
            latest,
        )
        if due is not None:
            self._metrics.count("reservations", "made")
        return due


def _time_until_free(places: int, throughput: float) -> timedelta:
    """Return the expected time until so many more places become free."""
    if places <= 0:
        return ZERO
    if not throughput:
        return FOREVER
    return timedelta(seconds=places / throughput)
