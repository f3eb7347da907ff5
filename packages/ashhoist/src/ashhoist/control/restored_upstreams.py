"""Upstreams that a restored log lists again after their records had ended.

Such a record may be a copy from a backup that predates the end. It is held back until
the upstream writes a newer record, or until the log has listed it for longer than a
record lasts without renewal.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..store import Position, Record, supersedes
from ..upstreams import Upstream

HOLD_BACK_FOR = timedelta(seconds=6)
"""Exceeds both the time after which a record without renewal lapses and the maximum age
of the last read of the log."""
ENDED_RETENTION = timedelta(minutes=2)


@dataclass(frozen=True, slots=True)
class _End:
    """The end of an upstream's record.

    Parameters
    ----------
    born : int
        Start time of the incarnation that ended; see `Upstream.born`.
    noted_at : timedelta
        When the end was last recorded here.
    """

    offset: Position
    born: int
    noted_at: timedelta


class RestoredUpstreams:
    """Known ends of records, and held-back records of later eras that may be copies."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_by_id: dict[str, _End] = {}
        self._held_by_id: dict[str, tuple[Record, timedelta]] = {}

    def note_end(self, upstream_id: str, offset: Position, born: int | None) -> bool:
        """Record that an upstream's record has ended.

        Parameters
        ----------
        born : int or None
            See `Upstream.born`; None if the upstream was not known.

        Returns
        -------
        bool
            Whether a held-back record of the upstream was dropped.
        """
        before = self._ended_by_id.pop(upstream_id, None)
        if born is None:
            born = 0 if before is None else before.born
        if before is not None:
            offset = max(offset, before.offset)
        was_held_back = self._held_by_id.pop(upstream_id, None) is not None
        now = self._clock.monotonic()
        self._ended_by_id[upstream_id] = _End(offset, born, now)
        self._evict_ended(now)
        return was_held_back

    def _evict_ended(self, now: timedelta) -> None:
        """Remove ends older than `ENDED_RETENTION`; entries are ordered by age."""
        while self._ended_by_id:
            oldest, end = next(iter(self._ended_by_id.items()))
            if now - end.noted_at <= ENDED_RETENTION:
                return
            del self._ended_by_id[oldest]

    def hold_back(self, upstream: Upstream, record: Record) -> bool:
        """Hold a record back if it may be a copy from before a known end.

        Returns
        -------
        bool
            Whether the record is held back; `due` returns it when the time is over.
        """
        ended = self._ended_by_id.get(upstream.id)
        if ended is None:
            return False
        is_newer = supersedes(upstream.offset, ended.offset)
        if is_newer or upstream.born > ended.born or not upstream.accepts_requests:
            self._held_by_id.pop(upstream.id, None)
            return False
        held, _ = self._held_by_id.get(upstream.id, (None, None))
        if held is None or held.offset < record.offset:
            until = self._clock.monotonic() + HOLD_BACK_FOR
            self._held_by_id[upstream.id] = (record, until)
        return True

    def all_held_back(self) -> list[str]:
        """Return the IDs of all upstreams with a held-back record."""
        return list(self._held_by_id)

    def held_back(self, end: Position) -> list[str]:
        """Return the IDs of upstreams with a held-back record before `end`."""
        return [
            upstream_id
            for upstream_id, (record, _) in self._held_by_id.items()
            if record.offset < end
        ]

    def due(self) -> list[Record]:
        """Remove and return the records that were held back for `HOLD_BACK_FOR`.

        Call this only while the log is being read; otherwise a more recent end may be
        unknown.
        """
        now = self._clock.monotonic()
        found = [record for record, until in self._held_by_id.values() if now >= until]
        for record in found:
            del self._held_by_id[record.key]
            self._ended_by_id.pop(record.key, None)
        return found
