"""Engines sorted by a lower bound of the cost of loading any adapter there.

A search for the cheapest engine for one adapter visits them in this order, and stops at
the first whose lower bound is not below the best cost found so far.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .engine import Engine

UNKNOWN_COST = -math.inf
"""Sorts engines without a known lower bound first, so that they are always visited."""


@dataclass(frozen=True, slots=True, order=True)
class _Candidate:
    """An engine and a lower bound of the cost of loading an adapter there."""

    min_cost: float
    engine_id: str
    engine: Engine = field(compare=False)


class Candidates:
    """Engines that can take another load.

    Parameters
    ----------
    min_cost : callable
        Takes an engine; returns the cost of loading an adapter there in seconds,
        without the prefill time of the prompts, or None if it can't be estimated.
    """

    def __init__(
        self,
        engines: Iterable[Engine],
        min_cost: Callable[[Engine], float | None],
    ) -> None:
        self._min_cost = min_cost
        by_id = {engine.id: engine for engine in engines}
        self._sorted = [self._candidate(engine) for engine in by_id.values()]
        self._sorted.sort()
        speeds = (engine.inflight.seconds_per_token for engine in by_id.values())
        self._min_seconds_per_token = min(speeds, default=0.0)

    def _candidate(self, engine: Engine) -> _Candidate:
        cost = self._min_cost(engine)
        if cost is None:
            cost = UNKNOWN_COST
        return _Candidate(cost, engine.id, engine)

    def cheaper_than(
        self, best_cost: Callable[[], float], tokens: int
    ) -> Iterator[Engine]:
        """Yield engines until none of the remaining ones can be cheaper.

        Parameters
        ----------
        best_cost : callable
            Returns the lowest cost found so far, in seconds. Called before each engine.
        tokens : int
            Length of the prompt.
        """
        prefill = tokens * self._min_seconds_per_token
        for candidate in self._sorted:
            if candidate.min_cost + prefill >= best_cost():
                return
            yield candidate.engine

    def update(self, engine: Engine, is_eligible: bool) -> None:
        """Sort an engine in again after a change, or remove it if not eligible."""
        self._sorted = [entry for entry in self._sorted if entry.engine is not engine]
        if is_eligible:
            bisect.insort(self._sorted, self._candidate(engine))
