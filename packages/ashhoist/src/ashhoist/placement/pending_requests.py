"""Requests that are queued at the leader until an engine serves their adapter."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ..adapter import Adapter


@dataclass(slots=True)
class PendingRequest:
    """One request that waits for its adapter.

    Parameters
    ----------
    id : str
        The id of the request.
    instance : str
        The instance that its caller is connected to.
    oldest_version : int
        The oldest acceptable version of the adapter.
    tokens : int
        Length of the prompt.
    worth, late_worth : float
        The value of an answer that is on time, and of one that is late.
    on_time_until : timedelta
        Until when an answer counts as on time.
    deadline : timedelta
        The deadline, after which an answer has no value.
    give_up_at : timedelta
        When the request is refused unless its adapter is being loaded.
    zone : str
        The availability zone of the instance.
    may_retry : bool
        Whether the caller has time to retry if it is refused at once.
    tried : frozenset of str
        Upstreams that it was sent to before, and those that are in a back-off period.
    gap_ms : int
        The longest pause between two events that is on time; 0 if unknown.
    """

    id: str
    instance: str
    service: str
    adapter: Adapter
    oldest_version: int
    tokens: int
    worth: float
    late_worth: float
    asked_at: timedelta
    on_time_until: timedelta
    deadline: timedelta
    give_up_at: timedelta
    zone: str = ""
    may_retry: bool = False
    tried: frozenset[str] = frozenset()
    gap_ms: int = 0


@dataclass(slots=True)
class AdapterDemand:
    """All queued requests for one adapter on the engines of one service.

    Parameters
    ----------
    oldest_version : int
        The oldest version that all of them accept.
    tried : frozenset of str
        The upstreams that none of them may be sent to; see `PendingRequest.tried`.
    cold : bool or None
        Whether no engine has a copy; None until it was looked up.
    """

    service: str
    adapter: Adapter
    by_id: dict[str, PendingRequest] = field(default_factory=dict)
    oldest_version: int = 0
    tried: frozenset[str] = frozenset()
    cold: bool | None = None

    def refresh(self) -> None:
        """Recompute the aggregates after a request was added or removed."""
        requests = self.by_id.values()
        self.cold = None
        self.oldest_version = max(request.oldest_version for request in requests)
        self.tried = frozenset.intersection(*(request.tried for request in requests))

    def value(self, now: timedelta, delay: timedelta) -> float:
        """Return the value of answering all of them after a delay from now."""
        total = 0.0
        for request in self.by_id.values():
            on_time = now + delay <= request.on_time_until
            total += request.worth if on_time else request.late_worth
        return total

    @property
    def last_give_up(self) -> timedelta:
        """Return when the last of the requests is refused."""
        return max(request.give_up_at for request in self.by_id.values())

    @property
    def max_tokens(self) -> int:
        """Return the length of the longest prompt."""
        return max(request.tokens for request in self.by_id.values())

    @property
    def total_tokens(self) -> int:
        """Return the length of all prompts together."""
        return sum(request.tokens for request in self.by_id.values())

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the instances of the requests."""
        return {request.zone for request in self.by_id.values()}


class PendingRequests:
    """All queued requests, by adapter."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, Adapter], AdapterDemand] = {}
        self._keys: dict[str, tuple[str, Adapter]] = {}

    def add(self, request: PendingRequest) -> None:
        """Add a request, in place of one with the same id."""
        self.remove(request.id)
        key = (request.service, request.adapter)
        demand = self._by_key.setdefault(key, AdapterDemand(*key))
        demand.by_id[request.id] = request
        demand.refresh()
        self._keys[request.id] = key

    def remove(self, request_id: str) -> PendingRequest | None:
        """Remove a request; return it if it was queued."""
        key = self._keys.pop(request_id, None)
        if key is None:
            return None
        demand = self._by_key[key]
        request = demand.by_id.pop(request_id)
        if demand.by_id:
            demand.refresh()
        else:
            del self._by_key[key]
        return request

    def demand_for(self, service: str, adapter: Adapter) -> AdapterDemand | None:
        """Return the queued requests for an adapter of a service, or None."""
        return self._by_key.get((service, adapter))

    def demands(self) -> Iterable[AdapterDemand]:
        """Return the queued requests, grouped by adapter."""
        return list(self._by_key.values())

    def remove_expired(self, now: timedelta) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for demand in self._by_key.values()
            for request in demand.by_id.values()
            if request.deadline <= now
        ]
        for request in expired:
            self.remove(request.id)
        return expired

    def of_instance(self, instance: str) -> list[PendingRequest]:
        """Return the queued requests of an instance."""
        return [
            request
            for demand in self._by_key.values()
            for request in demand.by_id.values()
            if request.instance == instance
        ]

    def __len__(self) -> int:
        return len(self._keys)
