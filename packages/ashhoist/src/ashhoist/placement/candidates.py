"""Engines in the order of what it costs to bring any adapter to them.

Who looks for the cheapest one for a wanted adapter looks at them in this order, and
stops where whatever comes behind costs as much at least.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .engine import Engine

ALWAYS_LOOKED_AT = -math.inf


@dataclass(frozen=True, slots=True, order=True)
class _Candidate:
    """An engine, and what it costs at least to bring an adapter there."""

    least_cost: float
    engine_id: str
    engine: Engine = field(compare=False)


class Candidates:
    """Engines that take another load.

    Parameters
    ----------
    least_cost : callable
        Returns what bringing an adapter to an engine costs in seconds, without the
        time to read its prompts; None where it can't be said.
    """

    def __init__(
        self,
        engines: Iterable[Engine],
        least_cost: Callable[[Engine], float | None],
    ) -> None:
        self._least_cost = least_cost
        by_id = {engine.id: engine for engine in engines}
        self._queue = [self._candidate(engine) for engine in by_id.values()]
        self._queue.sort()
        paces = (engine.work.seconds_a_token for engine in by_id.values())
        self._seconds_a_token = min(paces, default=0.0)

    def _candidate(self, engine: Engine) -> _Candidate:
        cost = self._least_cost(engine)
        if cost is None:
            cost = ALWAYS_LOOKED_AT
        return _Candidate(cost, engine.id, engine)

    def below(self, most: Callable[[], float], tokens: int) -> Iterator[Engine]:
        """Yield engines while one may cost less.

        Parameters
        ----------
        most : callable
            Returns the least cost found so far, in seconds.
        tokens : int
            Of the prompt to be read.
        """
        reading = tokens * self._seconds_a_token
        for candidate in self._queue:
            if candidate.least_cost + reading >= most():
                return
            yield candidate.engine

    def changed(self, engine: Engine, is_able: bool) -> None:
        """Take in that an engine costs something else now, or takes no more."""
        self._queue = [entry for entry in self._queue if entry.engine is not engine]
        if is_able:
            bisect.insort(self._queue, self._candidate(engine))
