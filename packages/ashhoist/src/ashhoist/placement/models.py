"""Decides which engine loads which base model, within the weight store's rate."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing import EngineSettings
from .engine import Engine
from .popularity import Popularity

WINDOW = timedelta(seconds=5)
SHARE_OF_RATE = 0.8
LOADS_PER_SECOND_AT_ONCE = 5.0
"""The store works at full speed on about one load for each so many a second."""


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """A base model that an engine shall load."""

    upstream: str
    model: str


class ModelLoads:
    """Paces loads of base models from the weight store.

    Loads from a copy that the engine has close by are not paced.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._begun: deque[timedelta] = deque()

    def due(
        self,
        engines: dict[str, Engine],
        settings: dict[str, EngineSettings],
        popularity: Popularity,
    ) -> list[ModelLoad]:
        """Return the loads to begin now; they count as begun."""
        now = self._clock.monotonic()
        chosen = []
        for engine in engines.values():
            if engine.models or not engine.can_order(now):
                continue
            service = settings.get(engine.upstream.service)
            model = self._choose(engine, engines, service, popularity)
            if model is None or service is None:
                continue
            if model not in engine.model_copies and not self._allowed(
                engines, service, now
            ):
                continue
            chosen.append(ModelLoad(engine.id, model))
        return chosen

    def _choose(
        self,
        engine: Engine,
        engines: dict[str, Engine],
        service: EngineSettings | None,
        popularity: Popularity,
    ) -> str | None:
        """Return the model with the most demand for each engine that has it."""
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

    def _allowed(
        self, engines: dict[str, Engine], service: EngineSettings, now: timedelta
    ) -> bool:
        at_once = max(1, round(service.loads_per_second / LOADS_PER_SECOND_AT_ONCE))
        under_way = sum(_loads_cold(engine) for engine in engines.values())
        if under_way >= at_once:
            return False
        while self._begun and now - self._begun[0] > WINDOW:
            self._begun.popleft()
        most = service.loads_per_second * WINDOW.total_seconds() * SHARE_OF_RATE
        if len(self._begun) + 1 > most:
            return False
        self._begun.append(now)
        return True


def _loads_cold(engine: Engine) -> bool:
    if engine.model_coming is not None and engine.model_coming.cold:
        return True
    order = engine.sending
    return order is not None and not order.adapter.name
