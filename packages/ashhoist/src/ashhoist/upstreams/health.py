"""Passive health checks: recent results of requests, by upstream.

Upstreams that fail often get fewer requests. Active checks would occupy a slot and cost
money, and requests give the same information. The weight of a failure decays with time,
so an upstream that gets no requests is eventually tried again and shows whether it has
recovered. An upstream that cannot be reached is excluded for a time that doubles with
each failed connection, up to `MAX_EXCLUSION`, until it answers again.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from ..clock import ZERO, Clock

INITIAL_EXCLUSION = timedelta(milliseconds=500)
MAX_EXCLUSION = timedelta(seconds=4)
SMOOTHING = 0.2
"""Weight of a new result in the moving average of the failure share."""
HIGH_FAILURE_SHARE = 0.35
"""Two failures in a row result in a higher share than this."""
HALF_LIFE = timedelta(seconds=3)
"""Time after which the weight of a failure is halved; faults usually last for a few
seconds."""


@dataclass(slots=True)
class _Record:
    """Health of one upstream."""

    failure_share: float = 0.0
    updated_at: timedelta = ZERO
    excluded_until: timedelta = ZERO
    exclusion: timedelta = INITIAL_EXCLUSION


class Health:
    """Recent request results of all upstreams, by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[str, _Record] = {}

    def answered(self, upstream: str) -> None:
        """Record a regular answer of an upstream."""
        record = self._record(upstream)
        self._update(record, 0.0)
        record.exclusion = INITIAL_EXCLUSION

    def failed(self, upstream: str, unreachable: bool = False) -> None:
        """Record a failure of an upstream.

        Parameters
        ----------
        unreachable : bool
            Whether connecting failed; the upstream is then excluded at once.
        """
        record = self._record(upstream)
        self._update(record, 1.0)
        if unreachable:
            record.excluded_until = self._clock.monotonic() + record.exclusion
            record.exclusion = min(record.exclusion * 2, MAX_EXCLUSION)

    def usable(self, upstream: str) -> bool:
        """Return whether the upstream is not currently excluded."""
        record = self._by_id.get(upstream)
        return record is None or record.excluded_until <= self._clock.monotonic()

    def share_failing(self, upstream: str) -> float:
        """Return the recent share of failures, from 0 to 1."""
        record = self._by_id.get(upstream)
        return 0.0 if record is None else self._decayed_share(record)

    def forget_failures(self) -> None:
        """Remove the results of all upstreams."""
        self._by_id.clear()

    def forget(self, upstream: str) -> None:
        """Remove an upstream that has ended."""
        self._by_id.pop(upstream, None)

    def _record(self, upstream: str) -> _Record:
        return self._by_id.setdefault(upstream, _Record())

    def _update(self, record: _Record, outcome: float) -> None:
        decayed = self._decayed_share(record)
        record.failure_share = decayed + (outcome - decayed) * SMOOTHING
        record.updated_at = self._clock.monotonic()

    def _decayed_share(self, record: _Record) -> float:
        if not record.failure_share:
            return 0.0
        age = self._clock.monotonic() - record.updated_at
        return record.failure_share * math.pow(0.5, age / HALF_LIFE)
