"""The requests in flight at one engine, and its expected time to first token.

An engine prefills prompts one after another, so the time to first token is the prefill
time of the prompts ahead plus that of the new prompt. The prefill speed of an engine is
estimated from the times to first token that were observed.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter

TOKENS_PER_SECOND = 17_000.0
"""The prefill speed of an engine whose latency factor is 1."""
BASE_LATENCY = timedelta(milliseconds=90)
"""Time to first token at an idle engine, without prefill."""
SMOOTHING = 0.15
"""Weight of a new observation in the moving average of the latency factor."""
MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR = 0.4, 8.0
MIN_LEARNABLE_WAIT = timedelta(milliseconds=50)
"""Requests with a shorter expected wait do not update the latency factor."""
OVERDUE_FACTOR = 2
OVERDUE_MARGIN = timedelta(milliseconds=300)
"""A first token is overdue after OVERDUE_FACTOR times the expected wait plus this."""
MAX_REQUEST_AGE = timedelta(seconds=60)


@dataclass(slots=True)
class InflightRequest:
    """One request at an engine.

    Parameters
    ----------
    instance : str
        The instance that the caller is connected to.
    tokens : int
        Length of the prompt.
    expected : timedelta
        The time to first token that was estimated when the request was sent.
    """

    instance: str
    adapter: Adapter
    tokens: int
    sent_at: timedelta
    expected: timedelta
    started: bool = False


class InflightRequests:
    """All requests at one engine, by id."""

    def __init__(self) -> None:
        self._by_id: dict[str, InflightRequest] = {}
        self._awaiting_first_token: dict[str, InflightRequest] = {}
        self._count_by_adapter: Counter[Adapter] = Counter()
        self._queued_tokens = 0
        self._latency_factor = 1.0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def latency_factor(self) -> float:
        """Return the observed time to first token relative to the baseline.

        1 is the baseline; a greater value means a slower engine.
        """
        return self._latency_factor

    @property
    def seconds_per_token(self) -> float:
        """Return the prefill time for one token of a prompt."""
        return self._latency_factor / TOKENS_PER_SECOND

    def count(self, adapter: Adapter) -> int:
        """Return how many requests use an adapter."""
        return self._count_by_adapter[adapter]

    def time_to_first_token(self, tokens: int, now: timedelta) -> timedelta:
        """Return the expected time to first token of a prompt sent now.

        If a first token is overdue, the next request is expected to wait at least as
        long as the overdue one has waited so far.
        """
        prefill = timedelta(seconds=(self._queued_tokens + tokens) / TOKENS_PER_SECOND)
        return max(
            (BASE_LATENCY + prefill) * self._latency_factor, self._overdue_wait(now)
        )

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether a first token is overdue, so that estimates are unreliable."""
        return self._overdue_wait(now) > timedelta()

    def _overdue_wait(self, now: timedelta) -> timedelta:
        """Return the age of the oldest request without a first token, if overdue."""
        oldest = next(iter(self._awaiting_first_token.values()), None)
        if oldest is None:
            return timedelta()
        age = now - oldest.sent_at
        overdue = age > oldest.expected * OVERDUE_FACTOR + OVERDUE_MARGIN
        return age if overdue else timedelta()

    def add(
        self,
        request_id: str,
        instance: str,
        adapter: Adapter,
        tokens: int,
        now: timedelta,
    ) -> None:
        """Record that a request was sent to the engine."""
        if request_id in self._by_id:
            return
        expected = self.time_to_first_token(tokens, now)
        request = InflightRequest(instance, adapter, tokens, now, expected)
        self._by_id[request_id] = self._awaiting_first_token[request_id] = request
        self._count_by_adapter[adapter] += 1
        self._queued_tokens += tokens

    def record_first_token(self, request_id: str, now: timedelta) -> None:
        """Record the first token of a request, and update the latency factor."""
        request = self._by_id.get(request_id)
        if request is None or request.started:
            return
        request.started = True
        del self._awaiting_first_token[request_id]
        self._queued_tokens -= request.tokens
        took = now - request.sent_at
        if request.expected < MIN_LEARNABLE_WAIT:
            return
        observed = self._latency_factor * (took / request.expected)
        observed = min(max(observed, MIN_LATENCY_FACTOR), MAX_LATENCY_FACTOR)
        self._latency_factor += (observed - self._latency_factor) * SMOOTHING

    def remove(self, request_id: str) -> Adapter | None:
        """Remove a request that has ended; return its adapter if it was known."""
        request = self._by_id.pop(request_id, None)
        if request is None:
            return None
        if self._awaiting_first_token.pop(request_id, None) is not None:
            self._queued_tokens -= request.tokens
        self._count_by_adapter[request.adapter] -= 1
        if not self._count_by_adapter[request.adapter]:
            del self._count_by_adapter[request.adapter]
        return request.adapter

    def remove_instance(self, instance: str) -> None:
        """Remove the requests of an instance that is unreachable."""
        self._remove_where(lambda request: request.instance == instance)

    def remove_expired(self, now: timedelta) -> None:
        """Remove old requests: their end was probably never reported."""
        self._remove_where(lambda request: now - request.sent_at > MAX_REQUEST_AGE)

    def _remove_where(self, matches: Callable[[InflightRequest], bool]) -> None:
        for request_id, request in list(self._by_id.items()):
            if matches(request):
                self.remove(request_id)
