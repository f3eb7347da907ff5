"""Weighted fair queueing by customer, with start tags.

Each customer's next request has a start tag. The request with the lowest tag is taken
first, and the tag of its customer grows by one over the customer's weight.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from math import ceil

from .messages import AdmissionRequest, RequestKey

MIN_WEIGHT = 1e-6
"""Smallest weight; tags grow by one over it."""
BURST = 2
"""Requests that a customer below its share may have granted in succession. Otherwise,
the second of two simultaneous requests would wait for a turn of all other customers."""
MAX_SCANNED = 16
"""Requests of a customer that are examined for one that can be sent now; bounds the
time that a decision takes."""

Rank = tuple[bool, int, timedelta, int]
"""Sort key of the requests of one customer; see `QueuedRequest`."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    Parameters
    ----------
    start_by : timedelta
        When the request is rejected if it has not been granted.
    rank : tuple
        Its place within its customer: those that come back on a reservation first,
        then by priority, by `on_time_until`, and by arrival.
    """

    request: AdmissionRequest
    start_by: timedelta
    rank: Rank


@dataclass(slots=True)
class _Flow:
    """The queued requests of one customer, in the order in which they are taken.

    Parameters
    ----------
    tag : float
        The start tag of the first of them.
    turn : int
        Number of its current entry in the heap of customers; earlier entries are stale.
    """

    weight: float
    tag: float = 0.0
    turn: int = 0
    queued: list[QueuedRequest] = field(default_factory=list)


class FairQueue:
    """Requests that wait, by customer.

    Parameters
    ----------
    weight : callable
        Takes the name of a customer; returns its weight.
    """

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._numbers = count()
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}
        self._turns: list[tuple[float, int, str]] = []
        self._by_key: dict[RequestKey, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._by_key

    def get(self, key: RequestKey) -> QueuedRequest | None:
        """Return a queued request, or None."""
        return self._by_key.get(key)

    def rank(self, request: AdmissionRequest, returned: bool) -> Rank:
        """Return the place of a new request within its customer."""
        number = next(self._numbers)
        return (not returned, request.priority, request.on_time_until, number)

    def push(self, queued: QueuedRequest) -> None:
        """Add a request."""
        customer = queued.request.customer
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = _Flow(MIN_WEIGHT, self._virtual_time)
        if not flow.queued:
            flow.weight = max(self._weight(customer), MIN_WEIGHT)
            flow.tag = self._first_tag(flow)
            self._add_turn(customer, flow)
        insort(flow.queued, queued, key=_rank_of)
        self._by_key[queued.request.key] = queued

    def remove(self, key: RequestKey) -> QueuedRequest | None:
        """Remove a request; return it if it was queued."""
        queued = self._by_key.pop(key, None)
        if queued is None:
            return None
        flow = self._flows[queued.request.customer]
        del flow.queued[bisect_left(flow.queued, queued.rank, key=_rank_of)]
        self._reset_if_empty()
        return queued

    def pop(
        self, can_send: Callable[[AdmissionRequest], bool]
    ) -> AdmissionRequest | None:
        """Remove and return the next request that can be sent now, or None."""
        passed_over: list[str] = []
        found: AdmissionRequest | None = None
        while self._turns and found is None:
            tag, turn, customer = heapq.heappop(self._turns)
            flow = self._flows.get(customer)
            if flow is None or flow.turn != turn or not flow.queued:
                continue
            found = self._take_from(flow, can_send)
            if found is None:
                passed_over.append(customer)
                continue
            self._virtual_time = max(self._virtual_time, tag)
            flow.tag += 1 / flow.weight
            if flow.queued:
                self._add_turn(customer, flow)
        for customer in passed_over:
            self._add_turn(customer, self._flows[customer])
        self._reset_if_empty()
        return found

    def _take_from(
        self, flow: _Flow, can_send: Callable[[AdmissionRequest], bool]
    ) -> AdmissionRequest | None:
        for index, queued in enumerate(flow.queued[:MAX_SCANNED]):
            if not can_send(queued.request):
                continue
            del flow.queued[index]
            del self._by_key[queued.request.key]
            return queued.request
        return None

    def ahead(self, customer: str, rank: Rank, reserved: int = 0) -> int:
        """Return how many requests are taken before one with a certain rank.

        Parameters
        ----------
        reserved : int
            Reservations of the customer that are due before it.
        """
        flow = self._flows.get(customer)
        own, tag = reserved, self._virtual_time
        weight = max(self._weight(customer), MIN_WEIGHT)
        if flow is not None:
            tag = flow.tag if flow.queued else self._first_tag(flow)
            own += bisect_left(flow.queued, rank, key=_rank_of)
        tag += own / weight
        total = own
        for name, other in self._flows.items():
            if name == customer or not other.queued or other.tag >= tag:
                continue
            total += min(len(other.queued), ceil((tag - other.tag) * other.weight))
        return total

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield all requests in the order in which they would be taken."""
        turns = [
            (flow.tag, flow.turn, flow, 0)
            for flow in self._flows.values()
            if flow.queued
        ]
        heapq.heapify(turns)
        while turns:
            tag, _, flow, index = turns[0]
            yield flow.queued[index]
            if index + 1 == len(flow.queued):
                heapq.heappop(turns)
                continue
            turn = next(self._numbers)
            following = (tag + 1 / flow.weight, turn, flow, index + 1)
            heapq.heapreplace(turns, following)

    def of_instance(self, instance: str) -> list[RequestKey]:
        """Return the keys of an instance's requests."""
        return [key for key in self._by_key if key[0] == instance]

    def _first_tag(self, flow: _Flow) -> float:
        """Return the tag of a customer's request that is queued alone."""
        return max(flow.tag, self._virtual_time - BURST / flow.weight)

    def _add_turn(self, customer: str, flow: _Flow) -> None:
        flow.turn = next(self._numbers)
        heapq.heappush(self._turns, (flow.tag, flow.turn, customer))

    def _reset_if_empty(self) -> None:
        """Reset the tags if nothing is queued: no customer waits for another then."""
        if self._by_key:
            return
        self._flows.clear()
        self._turns.clear()
        self._virtual_time = 0.0


def _rank_of(queued: QueuedRequest) -> Rank:
    return queued.rank
