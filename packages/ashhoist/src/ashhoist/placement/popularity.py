"""Request rates of adapters, as exponentially decaying counts."""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock

HALF_LIFE = timedelta(seconds=10)
MAX_TRACKED_ADAPTERS = 20_000
MIN_TRACKED_COUNT = 0.01
"""Adapters with a lower count are dropped when too many are tracked."""


@dataclass(slots=True)
class _DecayingCount:
    """A count that is halved in each half-life."""

    count: float
    updated_at: timedelta


class Popularity:
    """Decaying request counts by adapter and by base model."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_adapter: dict[Adapter, _DecayingCount] = {}
        self._by_model: dict[str, _DecayingCount] = {}

    def record_request(self, adapter: Adapter) -> None:
        """Count a request for an adapter and for its base model."""
        now = self._clock.monotonic()
        if adapter not in self._by_adapter:
            self._prune(now)
        self._increment(
            self._by_adapter.setdefault(adapter, _DecayingCount(0.0, now)), now
        )
        self._increment(
            self._by_model.setdefault(adapter.model, _DecayingCount(0.0, now)), now
        )

    def _increment(self, counter: _DecayingCount, now: timedelta) -> None:
        counter.count = self._decayed(counter, now) + 1.0
        counter.updated_at = now

    def model_rate(self, model: str) -> float:
        """Return the decayed count of a base model and all its adapters."""
        counter = self._by_model.get(model)
        return (
            0.0 if counter is None else self._decayed(counter, self._clock.monotonic())
        )

    def rate(self, adapter: Adapter) -> float:
        """Return the decayed count of an adapter."""
        counter = self._by_adapter.get(adapter)
        if counter is None:
            return 0.0
        return self._decayed(counter, self._clock.monotonic())

    def _decayed(self, counter: _DecayingCount, now: timedelta) -> float:
        return counter.count * math.pow(0.5, (now - counter.updated_at) / HALF_LIFE)

    def _prune(self, now: timedelta) -> None:
        if len(self._by_adapter) <= MAX_TRACKED_ADAPTERS:
            return
        for adapter, counter in list(self._by_adapter.items()):
            if self._decayed(counter, now) < MIN_TRACKED_COUNT:
                del self._by_adapter[adapter]
