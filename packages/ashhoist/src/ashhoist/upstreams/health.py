"""How upstreams have answered lately, so that bad ones get less.

Active checks cost a slot and a price; requests tell the same. A failure weighs
more the more recent it is, and an upstream that keeps failing is left out for a
time that doubles.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

FIRST_PAUSE = timedelta(milliseconds=500)
LONGEST_PAUSE = timedelta(seconds=4)
SMOOTHING = 0.2
BAD_SHARE = 0.35


@dataclass(slots=True)
class _Record:
    """What is remembered of one upstream."""

    failing: float = 0.0
    seconds: float = 0.0
    paused_until: timedelta = timedelta()
    pause: timedelta = FIRST_PAUSE


class Health:
    """Recent results of all upstreams, by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[str, _Record] = {}

    def answered(self, upstream: str, took: timedelta) -> None:
        """Note an answer that the upstream meant to give."""
        record = self._record(upstream)
        record.failing *= 1 - SMOOTHING
        seconds = took.total_seconds()
        record.seconds += (seconds - record.seconds) * SMOOTHING
        record.pause = FIRST_PAUSE

    def failed(self, upstream: str, unreachable: bool = False) -> None:
        """Note a failure.

        Parameters
        ----------
        unreachable : bool
            True if it could not even be connected to: it is left out at once.
        """
        record = self._record(upstream)
        record.failing += (1 - record.failing) * SMOOTHING
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
        return 0.0 if record is None else record.failing

    def seconds(self, upstream: str) -> float:
        """Return the recent time of an answer, in seconds; 0 if not known."""
        record = self._by_id.get(upstream)
        return 0.0 if record is None else record.seconds

    def forget(self, upstream: str) -> None:
        """Forget an upstream that has gone."""
        self._by_id.pop(upstream, None)

    def _record(self, upstream: str) -> _Record:
        return self._by_id.setdefault(upstream, _Record())
