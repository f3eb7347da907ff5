"""How upstreams have answered lately, so that bad ones get less.

Active checks cost a slot and a price; requests tell the same. A failure weighs more
the more recent it is, and is forgotten with time: who is left alone gets requests
again, and shows whether it is well. One that can't be reached is left out for a time
that doubles.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..clock import ZERO, Clock

FIRST_PAUSE = timedelta(milliseconds=500)
LONGEST_PAUSE = timedelta(seconds=4)
SMOOTHING = 0.2
BAD_SHARE = 0.35
"""More than this is two failures in a row."""
HALF_LIFE = timedelta(seconds=3)
"""After so long a failure weighs half; troubles last a few seconds."""


@dataclass(slots=True)
class _Record:
    """What is remembered of one upstream."""

    failing: float = 0.0
    noted_at: timedelta = ZERO
    paused_until: timedelta = ZERO
    pause: timedelta = FIRST_PAUSE


class Health:
    """Recent results of all upstreams, by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[str, _Record] = {}

    def answered(self, upstream: str) -> None:
        """Note an answer that the upstream meant to give."""
        record = self._record(upstream)
        self._note(record, 0.0)
        record.pause = FIRST_PAUSE

    def failed(self, upstream: str, unreachable: bool = False) -> None:
        """Note a failure.

        Parameters
        ----------
        unreachable : bool
            True if it could not even be connected to: it is left out at once.
        """
        record = self._record(upstream)
        self._note(record, 1.0)
        if unreachable:
            record.paused_until = self._clock.monotonic() + record.pause
            record.pause = min(record.pause * 2, LONGEST_PAUSE)

    def usable(self, upstream: str) -> bool:
        """Return whether the upstream is not left out just now."""
        record = self._by_id.get(upstream)
        return record is None or record.paused_until <= self._clock.monotonic()

    def share_failing(self, upstream: str) -> float:
        """Return the recent share of failures, 0 to 1."""
        record = self._by_id.get(upstream)
        return 0.0 if record is None else self._faded(record)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that has gone."""
        self._by_id.pop(upstream, None)

    def _record(self, upstream: str) -> _Record:
        return self._by_id.setdefault(upstream, _Record())

    def _note(self, record: _Record, failed: float) -> None:
        faded = self._faded(record)
        record.failing = faded + (failed - faded) * SMOOTHING
        record.noted_at = self._clock.monotonic()

    def _faded(self, record: _Record) -> float:
        if not record.failing:
            return 0.0
        age = self._clock.monotonic() - record.noted_at
        return record.failing * math.pow(0.5, age / HALF_LIFE)
