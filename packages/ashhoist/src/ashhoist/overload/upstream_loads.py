"""The upstreams of one service, the grants at each, and the choice between them."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from itertools import count

from ..clock import Clock
from ..upstreams import Health, Upstream
from .messages import AdmissionRequest, AttemptOutcome, RequestKey
from .upstream_load import UpstreamLoad


@dataclass(frozen=True, slots=True)
class _Grant:
    """A request that is in flight at an upstream.

    Parameters
    ----------
    was_full : bool
        Whether it took the last free place.
    """

    request: AdmissionRequest
    load: UpstreamLoad
    granted_at: timedelta
    was_full: bool


class UpstreamLoads:
    """What is in flight at the upstreams of one service.

    Parameters
    ----------
    bears_few_rejections : callable
        Returns whether the upstreams crash if they reject too many requests.
    """

    def __init__(
        self, clock: Clock, bears_few_rejections: Callable[[], bool] = lambda: False
    ) -> None:
        self._bears_few_rejections = bears_few_rejections
        self._clock = clock
        self._health = Health(clock)
        self._numbers = count()
        self._by_id: dict[str, UpstreamLoad] = {}
        self._grants: dict[RequestKey, _Grant] = {}
        self._ending: list[tuple[timedelta, RequestKey]] = []
        self._held: list[tuple[timedelta, int, UpstreamLoad]] = []

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the upstreams; what is known of those that remain is kept.

        An upstream that left may be back under the same id. Nothing is then known of
        the new incarnation.
        """
        known, self._by_id = self._by_id, {}
        for upstream in upstreams:
            load = known.get(upstream.id)
            if load is None or load.upstream.incarnation != upstream.incarnation:
                self._health.forget(upstream.id)
                load = UpstreamLoad(upstream)
            load.upstream = upstream
            self._by_id[upstream.id] = load
        for gone in known.keys() - self._by_id.keys():
            self._health.forget(gone)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._grants

    # Capacity

    @property
    def free(self) -> int:
        """Return the number of free places at all upstreams."""
        return sum(load.free for load in self._by_id.values())

    @property
    def usage(self) -> float:
        """Return the share of the places that is in use."""
        places = sum(load.places for load in self._by_id.values())
        in_flight = sum(load.in_flight for load in self._by_id.values())
        return in_flight / places if places else 0.0

    @property
    def throughput(self) -> float:
        """Return the requests per second that all upstreams take together."""
        return sum(load.throughput for load in self._by_id.values())

    @property
    def service_time(self) -> timedelta:
        """Return the usual service time over all upstreams."""
        loads = self._by_id.values()
        if not loads:
            return timedelta()
        return sum((load.service_time for load in loads), timedelta()) / len(loads)

    # Grants

    def choose(self, request: AdmissionRequest) -> UpstreamLoad | None:
        """Return the upstream that a request is sent to now, or None.

        An excluded one is chosen only if there is no other; the instance then decides
        whether to use the grant.
        """
        loads = self._by_id.values()
        allowed = [load for load in loads if load.upstream.id not in request.excluded]
        free = [load for load in allowed or loads if load.free]
        if not free:
            return None
        return min(free, key=lambda load: load.cost(request.zone))

    def grant(self, request: AdmissionRequest, load: UpstreamLoad) -> None:
        """Take a place at an upstream for a request."""
        load.in_flight += 1
        now = self._clock.monotonic()
        self._grants[request.key] = _Grant(request, load, now, not load.free)
        heapq.heappush(self._ending, (request.deadline, request.key))

    def cancel(self, key: RequestKey) -> None:
        """End a grant from which nothing is to be learnt."""
        grant = self._grants.pop(key, None)
        if grant is not None:
            grant.load.in_flight -= 1

    def ended(
        self, key: RequestKey, outcome: AttemptOutcome, took: timedelta
    ) -> AdmissionRequest | None:
        """End a grant and learn from it; return its request if it was in flight."""
        grant = self._grants.pop(key, None)
        if grant is None:
            return None
        load, now = grant.load, self._clock.monotonic()
        if outcome is AttemptOutcome.SUCCEEDED:
            load.limit.succeeded(took, grant.was_full, now)
            self._health.answered(load.upstream.id)
        elif outcome is AttemptOutcome.REFUSED:
            load.limit.refused(load.in_flight, now)
            self._hold(grant)
        else:
            # After an unknown end, such as that of a caller that left, the upstream may
            # still run the request, but it has not failed.
            if outcome is AttemptOutcome.FAILED:
                self._health.failed(load.upstream.id)
            self._hold(grant)
        load.in_flight -= 1
        return grant.request

    def _hold(self, grant: _Grant) -> None:
        """Keep the place taken until the usual service time has passed."""
        until = grant.granted_at + grant.load.service_time
        if until <= self._clock.monotonic():
            return
        grant.load.held += 1
        heapq.heappush(self._held, (until, next(self._numbers), grant.load))

    def remove_instance(self, instance: str) -> None:
        """End all grants of an instance."""
        for key in [key for key in self._grants if key[0] == instance]:
            self.cancel(key)

    def refresh(self) -> None:
        """End the grants whose deadline has passed, and free the held places."""
        now = self._clock.monotonic()
        while self._ending:
            ends_at, key = self._ending[0]
            grant = self._grants.get(key)
            in_flight = grant is not None and grant.request.deadline == ends_at
            if in_flight and ends_at > now:
                break
            heapq.heappop(self._ending)
            if in_flight:
                self.cancel(key)
        while self._held and self._held[0][0] <= now:
            heapq.heappop(self._held)[2].held -= 1
        bears_few_rejections = self._bears_few_rejections()
        for upstream_id, load in self._by_id.items():
            load.failure_share = self._health.share_failing(upstream_id)
            load.bears_few_rejections = bears_few_rejections

    @property
    def next_change_at(self) -> timedelta | None:
        """Return when a place becomes free by time alone."""
        times = [heap[0][0] for heap in (self._ending, self._held) if heap]
        return min(times, default=None)
