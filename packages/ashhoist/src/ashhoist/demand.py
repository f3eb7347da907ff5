"""Demand for adapters as a count that decays, so that old heat is forgotten."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from datetime import timedelta

PRUNE_EVERY = 4096
PRUNE_BELOW = 0.05


@dataclass(slots=True)
class Demand:
    """Decayed counts by key.

    Each key costs one small tuple; a key whose count has decayed to almost
    nothing is dropped, so that idle adapters cost nothing.

    Parameters
    ----------
    half_life : timedelta
        Time in which a count falls to its half.
    """

    half_life: timedelta
    counts: dict[Hashable, tuple[float, float]] = field(default_factory=dict)
    writes: int = 0

    def add(self, key: Hashable, now: timedelta, amount: float = 1.0) -> None:
        """Add to the count of a key."""
        self.counts[key] = (self.value(key, now) + amount, now.total_seconds())
        self.writes += 1
        if self.writes % PRUNE_EVERY == 0:
            self._prune(now)

    def value(self, key: Hashable, now: timedelta) -> float:
        """Return the decayed count of a key."""
        entry = self.counts.get(key)
        if entry is None:
            return 0.0
        count, at = entry
        age = now.total_seconds() - at
        return count * math.exp2(-age / self.half_life.total_seconds())

    def _prune(self, now: timedelta) -> None:
        for key in list(self.counts):
            if self.value(key, now) < PRUNE_BELOW:
                del self.counts[key]
