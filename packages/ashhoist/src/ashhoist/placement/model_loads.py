"""Decides which engine loads which base model, within the weight store's rate."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing import EngineSettings
from .engine import Engine
from .popularity import Popularity

RATE_WINDOW = timedelta(seconds=5)
MAX_RATE_FRACTION = 0.8
"""The part of the weight store's rate that is used at most."""
RATE_PER_CONCURRENT_LOAD = 5.0
"""One load at a time is allowed for each 5 loads a second of the weight store's rate:
with about that many at once the store works at full speed."""


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """A base model to be loaded on an engine."""

    upstream: str
    model: str


class ModelLoads:
    """Limits the rate of base model loads from the weight store.

    Loads from a copy that the engine keeps close by are not limited.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at: deque[timedelta] = deque()

    def due(
        self,
        engines: dict[str, Engine],
        settings: dict[str, EngineSettings],
        popularity: Popularity,
    ) -> list[ModelLoad]:
        """Return the loads to start now; they count as started."""
        now = self._clock.monotonic()
        chosen = []
        for engine in engines.values():
            if engine.models or not engine.can_order(now):
                continue
            service = settings.get(engine.upstream.service)
            model = self._choose_model(engine, engines, service, popularity)
            if model is None or service is None:
                continue
            if model not in engine.model_copies and not self._try_start(
                engines, service, now
            ):
                continue
            chosen.append(ModelLoad(engine.id, model))
        return chosen

    def _choose_model(
        self,
        engine: Engine,
        engines: dict[str, Engine],
        service: EngineSettings | None,
        popularity: Popularity,
    ) -> str | None:
        """Return the model with the highest demand per engine that holds it.

        Between models of equal demand, one that the engine has a copy of is preferred.
        """
        if service is None:
            return None
        best: str | None = None
        best_rank = (-1.0, False)
        for name, model in service.models.items():
            if model.size_mb > service.memory_mb:
                continue
            holders = sum(name in other.models for other in engines.values())
            demand = (1.0 + popularity.model_rate(name)) / (1 + holders)
            rank = (demand, name in engine.model_copies)
            if rank > best_rank:
                best, best_rank = name, rank
        return best

    def _try_start(
        self, engines: dict[str, Engine], service: EngineSettings, now: timedelta
    ) -> bool:
        """Count a load from the weight store if one more may start now."""
        max_concurrent = max(
            1, round(service.loads_per_second / RATE_PER_CONCURRENT_LOAD)
        )
        in_progress = sum(_loads_from_store(engine) for engine in engines.values())
        if in_progress >= max_concurrent:
            return False
        while self._started_at and now - self._started_at[0] > RATE_WINDOW:
            self._started_at.popleft()
        max_in_window = (
            service.loads_per_second * RATE_WINDOW.total_seconds() * MAX_RATE_FRACTION
        )
        if len(self._started_at) + 1 > max_in_window:
            return False
        self._started_at.append(now)
        return True


def _loads_from_store(engine: Engine) -> bool:
    """Return whether an engine loads, or may load, a base model from the store."""
    model = engine.loading_model
    if engine.is_busy or (model is not None and model.cold):
        return True
    order = engine.order_in_flight
    return order is not None and not order.adapter.name
