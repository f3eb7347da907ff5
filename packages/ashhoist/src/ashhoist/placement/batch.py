"""The places in the batch of one engine, and the streams that run there.

An engine runs as many requests concurrently as its batch has places. A further request
waits until one of them ends, or preempts a less urgent one.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from itertools import islice

from ..clock import ZERO

DEFAULT_RUN_TIME = timedelta(milliseconds=1500)
"""Expected time from the first event to the end of a stream before one was observed."""
SMOOTHING = 0.15
"""Weight of a new run time in the moving average."""
MIN_RUN_TIME = timedelta(milliseconds=50)
"""Keeps the average above zero: `MAX_RUN_TIME_RATIO` would prevent it from rising
again."""
MAX_RUN_TIME_RATIO = 4
"""A longer run counts as this many times the average, as its caller may read slowly."""
CROWDED_FREE_PLACES = 8
"""A batch with fewer free places is crowded: the last places are kept for bursts, for
urgent requests, and for the time in which another copy of a busy adapter is loaded."""
LARGE_BATCH = 64
"""Batches of this size or more count as unloaded until they are crowded or nearly full,
so that engines with such batches are chosen by the time to first token alone."""
MAX_DELAY_COST = 1.0
"""Seconds. Lower than the cost of a failing engine, so that none is chosen to avoid
making streams late."""
MILLISECONDS_PER_SECOND = 1000


class Batch:
    """The places of one engine's batch.

    Parameters
    ----------
    size : int
        Number of requests that the engine runs concurrently. If it is 0 or 1, the batch
        is taken as unknown, and no wait for a place is assumed.
    """

    def __init__(self, size: int = 0) -> None:
        self.resize(size)
        self._run_time = DEFAULT_RUN_TIME
        self._started_at: dict[str, timedelta] = {}
        self._streams_by_gap: Counter[int] = Counter()

    def resize(self, size: int) -> None:
        """Set the number of requests that the engine runs concurrently."""
        self.size = size
        # A small batch is not crowded while half of it is free.
        self._crowded_places = min(CROWDED_FREE_PLACES, size // 2)
        self._max_uncrowded = size - self._crowded_places if size > 1 else sys.maxsize

    @property
    def run_time(self) -> timedelta:
        """Return the expected time from the first event of a stream to its end."""
        return self._run_time

    def has_streams_to_delay(self, inflight: int) -> bool:
        """Return whether a prefill costs the streams that run.

        Their allowed pause must be known. In a large batch, they do not count until it
        is crowded.
        """
        if self.size >= LARGE_BATCH and inflight <= self._max_uncrowded:
            return False
        return bool(self._streams_by_gap)

    # Running streams

    def start(self, request_id: str, gap_ms: int, started_at: timedelta) -> None:
        """Record the first event of a request.

        Parameters
        ----------
        gap_ms : int
            The longest pause between two events that is still on time; 0 if unknown.
        """
        self._started_at[request_id] = started_at
        if gap_ms > 0:
            self._streams_by_gap[gap_ms] += 1

    def remove(self, request_id: str, gap_ms: int) -> None:
        """Remove a request, if it has started."""
        if self._started_at.pop(request_id, None) is None or gap_ms <= 0:
            return
        self._streams_by_gap[gap_ms] -= 1
        if not self._streams_by_gap[gap_ms]:
            del self._streams_by_gap[gap_ms]

    def observe_run_time(self, request_id: str, now: timedelta) -> None:
        """Update the expected run time from a request that ends now."""
        started_at = self._started_at.get(request_id)
        if started_at is None:
            return
        longest = self._run_time * MAX_RUN_TIME_RATIO
        took = min(max(now - started_at, MIN_RUN_TIME), longest)
        self._run_time += (took - self._run_time) * SMOOTHING

    # Estimates

    def share_in_use(self, inflight: int) -> float:
        """Return the share of the places in use; 0 if the batch is unknown."""
        return inflight / self.size if self.size > 1 else 0.0

    def is_full(self, inflight: int) -> bool:
        """Return whether one more request would wait for a place."""
        return inflight >= self.size > 1

    def wait_for_place(self, inflight: int, now: timedelta) -> timedelta:
        """Return the expected wait of one more request for a place in the batch.

        Parameters
        ----------
        inflight : int
            Number of requests at the engine, running or not.
        """
        if not self.is_full(inflight):
            return ZERO
        ends = inflight - self.size + 1
        # Streams that started at different times end one by one; those that started
        # together end no earlier than the oldest has run its expected time.
        spread = self._run_time * ends / self.size
        started_at = next(islice(self._started_at.values(), ends - 1, None), now)
        return max(spread, started_at + self._run_time - now)

    def crowding_cost(self, inflight: int) -> timedelta:
        """Return the cost of taking one of the last free places.

        It rises from nothing, with `CROWDED_FREE_PLACES` free places, to the expected
        time between two ends. Otherwise a batch would be full before another engine
        is chosen, and bursts and urgent requests would find no place.
        """
        if inflight <= self._max_uncrowded:
            return ZERO
        used = min(inflight - self._max_uncrowded, self._crowded_places)
        return self._run_time * used / (self._crowded_places * self.size)

    def delay_cost(self, prefill: float, queued: float) -> timedelta:
        """Return the cost of a prompt's prefill to the streams that run.

        It is the time by which the prefill makes their pauses longer than allowed,
        summed over the streams. Prompts that are prefilled before have their own cost.

        Parameters
        ----------
        prefill, queued : float
            Seconds of prefill of the prompt, and of the prompts queued before it.
        """
        delay = _total_delay(prefill, queued, self._streams_by_gap.items())
        return timedelta(seconds=min(delay, MAX_DELAY_COST))


def _total_delay(
    prefill: float, queued: float, streams_by_gap: Iterable[tuple[int, int]]
) -> float:
    total = 0.0
    for gap_ms, streams in streams_by_gap:
        excess = queued + prefill - gap_ms / MILLISECONDS_PER_SECOND
        if excess <= 0:
            continue
        total += min(excess, prefill) * streams
    return total
