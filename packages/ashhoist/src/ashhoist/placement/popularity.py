"""How often adapters are asked for: rates that fade."""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock

HALF_LIFE = timedelta(seconds=10)
MOST_KEPT = 20_000
NEGLIGIBLE = 0.01


@dataclass(slots=True)
class _Rate:
    """A count that halves with each half-life."""

    count: float
    at: timedelta


class Popularity:
    """Faded counts of requests, by adapter."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_adapter: dict[Adapter, _Rate] = {}
        self._by_model: dict[str, _Rate] = {}

    def asked(self, adapter: Adapter) -> None:
        """Count a request."""
        now = self._clock.monotonic()
        if adapter not in self._by_adapter:
            self._forget(now)
        self._count(self._by_adapter.setdefault(adapter, _Rate(0.0, now)), now)
        self._count(self._by_model.setdefault(adapter.model, _Rate(0.0, now)), now)

    def _count(self, rate: _Rate, now: timedelta) -> None:
        rate.count = self._faded(rate, now) + 1.0
        rate.at = now

    def model_rate(self, model: str) -> float:
        """Return the faded count of a base model and all its adapters."""
        rate = self._by_model.get(model)
        return 0.0 if rate is None else self._faded(rate, self._clock.monotonic())

    def rate(self, adapter: Adapter) -> float:
        """Return the faded count."""
        rate = self._by_adapter.get(adapter)
        if rate is None:
            return 0.0
        return self._faded(rate, self._clock.monotonic())

    def _faded(self, rate: _Rate, now: timedelta) -> float:
        return rate.count * math.pow(0.5, (now - rate.at) / HALF_LIFE)

    def _forget(self, now: timedelta) -> None:
        if len(self._by_adapter) <= MOST_KEPT:
            return
        for adapter, rate in list(self._by_adapter.items()):
            if self._faded(rate, now) < NEGLIGIBLE:
                del self._by_adapter[adapter]
