"""Back-off periods that upstreams have requested from this instance.

An upstream refuses requests that it gets during such a period. Each refusal costs the
caller time and the service a retry. A period applies only to the instance that it was
requested from; other instances may still send requests to the upstream.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock


@dataclass(frozen=True, slots=True)
class _Backoff:
    """The end of the back-off period of one incarnation of an upstream."""

    incarnation: str
    until: timedelta


class Backoffs:
    """The back-off periods of all upstreams.

    A period is kept if the record of the upstream is gone, because the record may lapse
    and come back within the period.

    Parameters
    ----------
    incarnation_of : callable
        Returns the current incarnation of an upstream by its id. A new incarnation has
        not requested any back-off yet.
    """

    def __init__(self, incarnation_of: Callable[[str], str], clock: Clock) -> None:
        self._incarnation_of = incarnation_of
        self._clock = clock
        self._by_id: dict[str, _Backoff] = {}

    def begin(self, upstream_id: str, incarnation: str, duration: timedelta) -> None:
        """Start a back-off period for an incarnation of an upstream.

        A period that ends earlier than a current one does not shorten it.
        """
        now = self._clock.monotonic()
        self._by_id = {
            id: known for id, known in self._by_id.items() if known.until > now
        }
        known = self._by_id.get(upstream_id)
        until = now + duration
        if known is not None and known.incarnation == incarnation:
            until = max(until, known.until)
        self._by_id[upstream_id] = _Backoff(incarnation, until)

    def is_backing_off(self, upstream_id: str) -> bool:
        """Return whether no requests may be sent to an upstream now."""
        known = self._by_id.get(upstream_id)
        if known is None or known.until <= self._clock.monotonic():
            return False
        return known.incarnation == self._incarnation_of(upstream_id)

    def backing_off(self) -> list[str]:
        """Return the ids of all upstreams to which no requests may be sent now."""
        return [id for id in self._by_id if self.is_backing_off(id)]
