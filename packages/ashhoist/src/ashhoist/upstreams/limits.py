"""Rate limits that upstreams state in their responses, in requests per second.

A limit applies to all instances together, for as long as responses state it. Responses
may overtake each other, and so may the messages about them between instances. A
response is certainly newer than another one only if its request was sent after the
other one had arrived.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

MAX_LIMITS = 1024
"""Maximum number of incarnations of upstreams whose limits are stored. The one that was
updated longest ago is removed first."""


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """The rate limit stated in a response of an upstream.

    Parameters
    ----------
    incarnation : str
        The incarnation that sent the response; see `Upstream.incarnation`.
    per_second : float or None
        The limit in requests per second; None if the response stated none.
    asked_at, answered_at : timedelta
        When the request was sent and when its response arrived, by the clock of this
        instance.
    """

    incarnation: str
    per_second: float | None
    asked_at: timedelta
    answered_at: timedelta

    def replaces(self, known: "StatedLimit") -> bool:
        """Return whether this limit replaces a known one.

        If it cannot be determined which response is newer, the lower limit is kept.
        """
        if self.asked_at >= known.answered_at:
            return True
        if self.answered_at <= known.asked_at:
            return False
        return self._rate <= known._rate

    @property
    def _rate(self) -> float:
        return math.inf if self.per_second is None else self.per_second


class RateLimits:
    """The rate limits of all upstreams that this instance knows of.

    Parameters
    ----------
    incarnation_of : callable
        Returns the current incarnation of an upstream by its id. A new incarnation has
        no limit until it states one.
    """

    def __init__(self, incarnation_of: Callable[[str], str]) -> None:
        self._incarnation_of = incarnation_of
        self._by_incarnation: dict[str, StatedLimit] = {}

    def take(self, stated: StatedLimit) -> bool:
        """Apply the limit of a response and return whether the known limit changed."""
        known = self._by_incarnation.get(stated.incarnation)
        if known is None and stated.per_second is None:
            return False
        if known is not None and not stated.replaces(known):
            return False
        self._by_incarnation.pop(stated.incarnation, None)
        self._by_incarnation[stated.incarnation] = stated
        if len(self._by_incarnation) > MAX_LIMITS:
            del self._by_incarnation[next(iter(self._by_incarnation))]
        return known is None or known.per_second != stated.per_second

    def of(self, upstream_id: str) -> float | None:
        """Return the limit of an upstream in requests per second, or None."""
        if not self._by_incarnation:
            return None
        known = self._by_incarnation.get(self._incarnation_of(upstream_id))
        return None if known is None else known.per_second

    def knows(self, incarnation: str) -> bool:
        """Return whether an incarnation of an upstream has ever stated a limit."""
        return incarnation in self._by_incarnation

    def all(self) -> list[StatedLimit]:
        """Return the newest statement of each incarnation that ever stated a limit."""
        return list(self._by_incarnation.values())

    @property
    def any_in_force(self) -> bool:
        """Return whether any upstream currently has a limit."""
        return any(
            stated.per_second is not None for stated in self._by_incarnation.values()
        )
