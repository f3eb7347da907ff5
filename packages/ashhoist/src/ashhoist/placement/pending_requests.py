"""Requests that are queued at the leader until an engine serves their adapter."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ..adapter import Adapter
from ..upstreams import Upstream


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
    software_version : str
        The software version that the engine must have; empty if any will do.
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
    software_version: str = ""

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream may run it."""
        return _accepts(self, upstream)


@dataclass(slots=True)
class AdapterDemand:
    """All queued requests for one adapter on the engines of one service.

    Parameters
    ----------
    software_version : str
        The software version that the engines must have; empty if any will do.
    oldest_version : int
        The oldest version that all of them accept.
    tried : frozenset of str
        The upstreams that none of them may be sent to; see `PendingRequest.tried`.
    cold : bool or None
        Whether no engine has a copy; None until it was looked up.
    """

    service: str
    adapter: Adapter
    software_version: str = ""
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

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream may run at least one of them."""
        return _accepts(self, upstream)

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


@dataclass(frozen=True, slots=True)
class _DemandKey:
    """What the requests of one demand have in common."""

    service: str
    adapter: Adapter
    software_version: str


class PendingRequests:
    """All queued requests, by adapter and by the software version that they need."""

    def __init__(self) -> None:
        self._by_key: dict[_DemandKey, AdapterDemand] = {}
        self._keys: dict[str, _DemandKey] = {}
        self._versions: dict[tuple[str, Adapter], set[str]] = {}

    def add(self, request: PendingRequest) -> None:
        """Add a request, in place of one with the same id."""
        self.remove(request.id)
        key = _DemandKey(request.service, request.adapter, request.software_version)
        demand = self._by_key.get(key)
        if demand is None:
            demand = AdapterDemand(key.service, key.adapter, key.software_version)
            self._by_key[key] = demand
            versions = self._versions.setdefault((key.service, key.adapter), set())
            versions.add(key.software_version)
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
            self._remove_demand(key)
        return request

    def _remove_demand(self, key: _DemandKey) -> None:
        del self._by_key[key]
        versions = self._versions[key.service, key.adapter]
        versions.remove(key.software_version)
        if not versions:
            del self._versions[key.service, key.adapter]

    def demands_for(self, upstream: Upstream, adapter: Adapter) -> list[AdapterDemand]:
        """Return the queued requests for an adapter that an upstream may run."""
        found = []
        for version in self._versions.get((upstream.service, adapter), ()):
            if upstream.has_software(version):
                key = _DemandKey(upstream.service, adapter, version)
                found.append(self._by_key[key])
        return found

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


def _accepts(wanted: PendingRequest | AdapterDemand, upstream: Upstream) -> bool:
    return (
        upstream.service == wanted.service
        and upstream.id not in wanted.tried
        and upstream.has_software(wanted.software_version)
    )
