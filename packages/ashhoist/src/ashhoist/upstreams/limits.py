"""How many requests a second upstreams take, as their answers have named it.

A limit holds for all instances together, and for as long as answers name it. Answers
may overtake each other, and so may what instances tell each other of them: one is newer
than another for sure only if its request was sent after the other had been heard.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

MOST_LIMITS = 1024
"""Lives of upstreams that are remembered; the one heard of longest ago goes first."""


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What an answer of a life of an upstream said of its limit.

    Parameters
    ----------
    life : str
        See `Upstream.life`.
    per_second : float or None
        Requests; None if it named no limit.
    asked_at, heard_at : timedelta
        When the request was sent and when its answer came, on this instance's clock.
    """

    life: str
    per_second: float | None
    asked_at: timedelta
    heard_at: timedelta

    def replaces(self, known: "NamedLimit") -> bool:
        """Return whether this is to be believed rather than what is known.

        Where nobody can say which of the two was said later, the lower limit is.
        """
        if self.asked_at >= known.heard_at:
            return True
        if self.heard_at <= known.asked_at:
            return False
        return self._rate <= known._rate

    @property
    def _rate(self) -> float:
        return math.inf if self.per_second is None else self.per_second


class RateLimits:
    """The limits of all upstreams, as far as any instance has told of them.

    Parameters
    ----------
    life_of : callable
        Returns the name of an upstream's present life by its id; a new life has named
        nothing yet.
    """

    def __init__(self, life_of: Callable[[str], str]) -> None:
        self._life_of = life_of
        self._by_life: dict[str, NamedLimit] = {}

    def take(self, named: NamedLimit) -> bool:
        """Take in what an answer said; return whether the limit is another one now."""
        known = self._by_life.get(named.life)
        if known is None and named.per_second is None:
            return False
        if known is not None and not named.replaces(known):
            return False
        self._by_life.pop(named.life, None)
        self._by_life[named.life] = named
        if len(self._by_life) > MOST_LIMITS:
            del self._by_life[next(iter(self._by_life))]
        return known is None or known.per_second != named.per_second

    def of(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream takes; None without a limit."""
        if not self._by_life:
            return None
        known = self._by_life.get(self._life_of(upstream_id))
        return None if known is None else known.per_second

    def knows(self, life: str) -> bool:
        """Return whether a life of an upstream has named a limit at any time."""
        return life in self._by_life

    def all(self) -> list[NamedLimit]:
        """Return what was last said by each life that has named a limit at any time."""
        return list(self._by_life.values())

    @property
    def any_in_force(self) -> bool:
        """Return whether any upstream is known to have a limit now."""
        return any(named.per_second is not None for named in self._by_life.values())
