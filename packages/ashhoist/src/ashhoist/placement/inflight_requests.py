"""The requests in flight at one engine, and its expected time to first token.

An engine prefills prompts one after another, so the time to first token is the prefill
time of the prompts ahead plus that of the new prompt. The prefill speed of an engine is
estimated from the times to first token that were observed. If the batch of the engine
is full, the wait for a place in it is added (see `batch`).
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..clock import ZERO
from .batch import Batch

TOKENS_PER_SECOND = 17_000.0
"""The prefill speed of an engine whose latency factor is 1."""
BASE_LATENCY = timedelta(milliseconds=90)
"""Time to first token at an idle engine, without prefill."""
BASE_SECONDS = BASE_LATENCY.total_seconds()
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
    gap_ms : int
        The longest pause between two events that is on time; 0 if unknown.
    waited_for_place : bool
        Whether the batch was full when the request was sent.
    start_observed : bool
        Whether the time of its first event was observed.
    """

    instance: str
    adapter: Adapter
    tokens: int
    sent_at: timedelta
    expected: timedelta
    gap_ms: int = 0
    waited_for_place: bool = False
    started: bool = False
    start_observed: bool = False


class InflightRequests:
    """All requests at one engine, by id.

    Parameters
    ----------
    batch : int
        Number of requests that the engine runs concurrently; see `Batch`.
    """

    def __init__(self, batch: int = 0) -> None:
        self.batch = Batch(batch)
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
        prefill = (self._queued_tokens + tokens) / TOKENS_PER_SECOND
        wait = timedelta(seconds=(BASE_SECONDS + prefill) * self._latency_factor)
        if self.batch.is_full(len(self._by_id)):
            wait += self.wait_for_place(now)
        return max(wait, self._overdue_wait(now))

    def wait_for_place(self, now: timedelta) -> timedelta:
        """Return the expected wait of one more request for a place in the batch."""
        return self.batch.wait_for_place(len(self._by_id), now)

    def cost_to_others(self, tokens: int, reserved_tokens: int) -> timedelta:
        """Return what a prompt costs other requests: streams, and those to come.

        Parameters
        ----------
        tokens : int
            Length of the prompt.
        reserved_tokens : int
            Length of the prompts that are going to be sent before it.
        """
        inflight = len(self._by_id)
        cost = self.batch.crowding_cost(inflight)
        if not self.batch.has_streams_to_delay(inflight):
            return cost
        prefill = tokens * self.seconds_per_token
        queued = (self._queued_tokens + reserved_tokens) * self.seconds_per_token
        return cost + self.batch.delay_cost(prefill, queued)

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether a first token is overdue, so that estimates are unreliable."""
        return self._overdue_wait(now) > timedelta()

    def _overdue_wait(self, now: timedelta) -> timedelta:
        """Return the age of the oldest request without a first token, if overdue."""
        oldest = next(iter(self._awaiting_first_token.values()), None)
        if oldest is None:
            return ZERO
        age = now - oldest.sent_at
        overdue = age > oldest.expected * OVERDUE_FACTOR + OVERDUE_MARGIN
        return age if overdue else ZERO

    def add(
        self,
        request_id: str,
        instance: str,
        adapter: Adapter,
        tokens: int,
        now: timedelta,
        gap_ms: int = 0,
    ) -> timedelta:
        """Record that a request was sent; return its expected time to first token."""
        known = self._by_id.get(request_id)
        if known is not None:
            return known.expected
        expected = self.time_to_first_token(tokens, now)
        waits = self.batch.is_full(len(self._by_id))
        request = InflightRequest(
            instance, adapter, tokens, now, expected, gap_ms, waits
        )
        self._by_id[request_id] = self._awaiting_first_token[request_id] = request
        self._count_by_adapter[adapter] += 1
        self._queued_tokens += tokens
        return expected

    def record_first_token(
        self, request_id: str, now: timedelta, observed: bool = True
    ) -> None:
        """Record the first token of a request, and update the latency factor.

        Parameters
        ----------
        observed : bool
            False if the first token came at an unknown time before.
        """
        request = self._by_id.get(request_id)
        if request is None or request.started:
            return
        request.started = True
        del self._awaiting_first_token[request_id]
        self._queued_tokens -= request.tokens
        # Of streams that began at unknown times, some are about to end.
        started_at = now if observed else now - self.batch.run_time
        self.batch.start(request_id, request.gap_ms, started_at)
        request.start_observed = observed
        # With a full batch, the wait for a place says nothing about the prefill speed.
        if not observed or request.waited_for_place:
            return
        took = now - request.sent_at
        if request.expected < MIN_LEARNABLE_WAIT:
            return
        factor = self._latency_factor * (took / request.expected)
        factor = min(max(factor, MIN_LATENCY_FACTOR), MAX_LATENCY_FACTOR)
        self._latency_factor += (factor - self._latency_factor) * SMOOTHING

    def complete(self, request_id: str, now: timedelta) -> Adapter | None:
        """Remove a request that has run to its end, and learn its run time."""
        request = self._by_id.get(request_id)
        if request is not None and request.start_observed:
            self.batch.observe_run_time(request_id, now)
        return self.remove(request_id)

    def remove(self, request_id: str) -> Adapter | None:
        """Remove a request that has ended; return its adapter if it was known."""
        request = self._by_id.pop(request_id, None)
        if request is None:
            return None
        self.batch.remove(request_id, request.gap_ms)
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
        # The oldest is the first one, so that usually nothing else is looked at.
        oldest = next(iter(self._by_id.values()), None)
        if oldest is None or now - oldest.sent_at <= MAX_REQUEST_AGE:
            return
        self._remove_where(lambda request: now - request.sent_at > MAX_REQUEST_AGE)

    def _remove_where(self, matches: Callable[[InflightRequest], bool]) -> None:
        for request_id, request in list(self._by_id.items()):
            if matches(request):
                self.remove(request_id)
