"""How full the batches of engines are, now and with the demand for what they hold."""

import math
from datetime import timedelta

from ..adapter import Adapter
from .adapter_index import AdapterIndex
from .batch import LARGE_BATCH
from .engine import Engine
from .popularity import HALF_LIFE, Popularity

NEARLY_FULL_SHARE = 0.75
"""Share of the places in use from which on a batch is nearly full. The other places
take the requests that arrive while a copy is loaded from the weight store."""
DEMAND_CACHE_TIME = timedelta(milliseconds=250)
"""Short compared to the half-life of `Popularity`."""


def has_batch(engine: Engine) -> bool:
    """Return whether the size of the engine's batch limits what it is sent."""
    return engine.batch > 1


def is_nearly_full(engine: Engine) -> bool:
    """Return whether few places are left in the engine's batch."""
    if not has_batch(engine):
        return False
    return len(engine.inflight) >= engine.batch * NEARLY_FULL_SHARE


def requests_per_second(count: float) -> float:
    """Return the steady rate that keeps a count of `Popularity` as it is."""
    return count * math.log(2) / HALF_LIFE.total_seconds()


class BatchLoad:
    """Expected use of the batches, from the demand for the adapters that engines hold.

    Parameters
    ----------
    index : AdapterIndex
        Which engines hold which adapters: these share the demand for an adapter.
    """

    def __init__(self, popularity: Popularity, index: AdapterIndex) -> None:
        self._popularity = popularity
        self._index = index
        self._streams: dict[str, tuple[timedelta, float]] = {}

    def fill(self, engine: Engine, now: timedelta) -> float:
        """Return the used part of a batch, 1 if full; more if requests wait.

        It is 0 for an engine without a batch, and for a large batch that is not nearly
        full.
        """
        if not has_batch(engine):
            return 0.0
        batch = engine.batch
        running = len(engine.inflight)
        if batch >= LARGE_BATCH and running < batch * NEARLY_FULL_SHARE:
            return 0.0
        running += engine.reserved_requests
        return max(running, self.demanded_streams(engine, now)) / batch

    def demanded_streams(self, engine: Engine, now: timedelta) -> float:
        """Return how many streams the adapters in the engine's slots bring on average.

        The result is kept for `DEMAND_CACHE_TIME`, or until `forget`.
        """
        cached = self._streams.get(engine.id)
        if cached is not None and now - cached[0] < DEMAND_CACHE_TIME:
            return cached[1]
        count = sum(self._share_of(name) for name in engine.adapter_slots)
        streams = self.streams_of_count(engine, count)
        self._streams[engine.id] = (now, streams)
        return streams

    def _share_of(self, adapter: Adapter) -> float:
        """Return the request count of an adapter for each engine that holds it."""
        sharing = max(len(self._index.holding(adapter)), 1)
        return self._popularity.rate(adapter) / sharing

    def streams_of_count(self, engine: Engine, count: float) -> float:
        """Return how many streams of an engine a request count stands for."""
        run_time = engine.inflight.batch.run_time
        return requests_per_second(count) * run_time.total_seconds()

    def forget(self, engine_id: str) -> None:
        """Compute the demand anew when it is needed next: the slots have changed."""
        self._streams.pop(engine_id, None)
