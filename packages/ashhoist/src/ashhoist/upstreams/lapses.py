"""Deferral of upstream ends when many records end at once.

While the log accepts no renewals, the records of running upstreams lapse together. They
come back within about two seconds after the log is available again. Until then, these
upstreams keep their work and their state. An upstream that ends alone, or that has
announced that it is leaving, is removed at once.
"""

from datetime import timedelta

from ..clock import Clock
from ..position import Position

DEFERRAL = timedelta(milliseconds=1600)
MIN_LAPSED_TOGETHER = 3
MIN_LAPSED_SHARE = 0.5
"""Share of all upstreams. If at least this share, and at least `MIN_LAPSED_TOGETHER`,
end at once, their records are assumed to have lapsed."""

End = tuple[str, Position]
"""The id of an upstream, and the position of the record that ended it."""


class LapsedEnds:
    """Collects the ends found by one read of the log and defers those that lapsed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_by_id: dict[str, Position] = {}
        self._deferred_by_id: dict[str, tuple[Position, timedelta]] = {}

    def add(self, upstream_id: str, offset: Position) -> None:
        """Add an upstream whose record has ended."""
        self._ended_by_id[upstream_id] = offset

    def cancel(self, upstream_id: str) -> bool:
        """Remove the end of an upstream that has a record again.

        Returns
        -------
        bool
            Whether there was such an end.
        """
        ended = self._ended_by_id.pop(upstream_id, None) is not None
        deferred = self._deferred_by_id.pop(upstream_id, None) is not None
        return ended or deferred

    def settle(self, known: int) -> list[End]:
        """Return the ends of one read that take effect now; defer lapsed ones.

        Parameters
        ----------
        known : int
            Number of known upstreams before that read.
        """
        ended, self._ended_by_id = self._ended_by_id, {}
        threshold = max(MIN_LAPSED_TOGETHER, known * MIN_LAPSED_SHARE)
        if len(ended) < threshold:
            return list(ended.items())
        until = self._clock.monotonic() + DEFERRAL
        for upstream_id, offset in ended.items():
            self._deferred_by_id[upstream_id] = (offset, until)
        return []

    def due(self) -> list[End]:
        """Remove and return the deferred ends whose deferral is over."""
        now = self._clock.monotonic()
        found = [
            (upstream_id, offset)
            for upstream_id, (offset, until) in self._deferred_by_id.items()
            if now >= until
        ]
        for upstream_id, _ in found:
            del self._deferred_by_id[upstream_id]
        return found
