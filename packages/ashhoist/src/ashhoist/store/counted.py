"""Calls to the log, counted: each has a price, and the log takes so many a second."""

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..position import Position
from .port import (
    PATIENCE,
    AppendResult,
    Gone,
    Newest,
    Records,
    SharedLog,
    Topic,
    Unavailable,
)

TELL_EVERY = timedelta(seconds=10)


class CallCounts:
    """How many calls of which sort were made, and how they ended."""

    def __init__(self, metrics: Metrics, clock: Clock, log: Logger) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._untold: Counter[str] = Counter()
        self._told_at = ZERO

    def note(self, topic: Topic, call: str, result: object) -> None:
        """Count a call that has ended."""
        outcome = type(result).__name__
        self._metrics.count("log_calls", topic, call, outcome)
        self._untold[f"{topic} {call} {outcome}"] += 1

    def tell_if_due(self) -> None:
        """Log what was called since the last time."""
        now = self._clock.monotonic()
        if now - self._told_at < TELL_EVERY:
            return
        self._told_at = now
        untold, self._untold = self._untold, Counter()
        if untold:
            self._log.info("log calls", **untold)


class CountedLog:
    """A log that counts its calls; the newest of many keys may take several."""

    def __init__(self, log: SharedLog, counts: CallCounts) -> None:
        self._log = log
        self._counts = counts

    def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        """Return records from an offset on; wait so long for the first."""
        result = yield from self._log.read(topic, start, wait)
        self._counts.note(topic, "read", result)
        return result

    def newest(
        self, topic: Topic, patience: timedelta = PATIENCE, part: int = 0
    ) -> Steps[Newest | Unavailable]:
        """Return the newest record of each key."""
        result = yield from self._log.newest(topic, patience, part)
        self._counts.note(topic, "newest", result)
        return result

    def append(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        at: Position | None,
        patience: timedelta = PATIENCE,
        part: int = 0,
    ) -> Steps[AppendResult]:
        """Append a record, if wanted only where the topic ends at `at`."""
        result = yield from self._log.append(topic, key, value, at, patience, part)
        self._counts.note(topic, "append", result)
        return result

    def append_all(
        self, topic: Topic, records: Mapping[str, bytes], patience: timedelta = PATIENCE
    ) -> Steps[AppendResult]:
        """Append records, by key, with one call: all of them, or none."""
        result = yield from self._log.append_all(topic, records, patience)
        self._counts.note(topic, "append", result)
        return result

    def close(self) -> None:
        """Close the connection."""
        self._log.close()
