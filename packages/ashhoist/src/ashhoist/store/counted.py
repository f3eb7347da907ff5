"""Counts calls to the log: each has a price, and the log limits calls per second.

Errors in the adapter, such as for a malformed response, become results: the callers
wait for a result before the next call, and must not wait forever. An append that raises
an error is of unknown result, as it may have been made all the same.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import TypeVar

from ..clock import ZERO, Clock
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..position import Position
from .port import (
    DEFAULT_CALL_TIMEOUT,
    AppendResult,
    Gone,
    Newest,
    Records,
    SharedLog,
    Topic,
    Unavailable,
    Unknown,
)

T = TypeVar("T")

LOG_INTERVAL = timedelta(seconds=10)


class CallCounts:
    """Counts calls by topic, operation and result, as a metric and in log lines."""

    def __init__(self, metrics: Metrics, clock: Clock, log: Logger) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._unlogged: Counter[str] = Counter()
        self._logged_at = ZERO
        self._logged_errors: set[str] = set()

    def record_error(self, topic: Topic, call: str, error: Exception) -> str:
        """Log the error that is being handled, and return its description.

        Each kind of error of a call is logged once until the next line of `log_if_due`.
        """
        detail = f"error: {type(error).__name__}"
        key = f"{topic} {call} {detail}"
        if key not in self._logged_errors:
            self._logged_errors.add(key)
            self._log.exception("log call failed", topic=topic, call=call)
        return detail

    def record(self, topic: Topic, call: str, result: object) -> None:
        """Count a completed call."""
        outcome = type(result).__name__
        self._metrics.count("log_calls", topic, call, outcome)
        self._unlogged[f"{topic} {call} {outcome}"] += 1

    def log_if_due(self) -> None:
        """Log the calls since the previous log line, at most every `LOG_INTERVAL`."""
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        self._logged_errors.clear()
        unlogged, self._unlogged = self._unlogged, Counter()
        if unlogged:
            self._log.info("log calls", **unlogged)


class CountedLog:
    """Wraps a log and counts its calls.

    A `newest` call is counted once, though it may take several requests if there are
    many keys.
    """

    def __init__(self, log: SharedLog, counts: CallCounts) -> None:
        self._log = log
        self._counts = counts

    def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        """Return records from an offset on; wait up to `wait` for the first."""
        call = self._log.read(topic, start, wait)
        return (yield from self._counted(topic, "read", call, Unavailable))

    def newest(
        self,
        topic: Topic,
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
        partition: int = 0,
    ) -> Steps[Newest | Unavailable]:
        """Return the newest record of each key."""
        call = self._log.newest(topic, timeout, partition)
        return (yield from self._counted(topic, "newest", call, Unavailable))

    def append(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        at: Position | None,
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
        partition: int = 0,
    ) -> Steps[AppendResult]:
        """Append a record; with `at`, only if the topic ends there."""
        call = self._log.append(topic, key, value, at, timeout, partition)
        return (yield from self._counted(topic, "append", call, Unknown))

    def append_all(
        self,
        topic: Topic,
        records: Mapping[str, bytes],
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
    ) -> Steps[AppendResult]:
        """Append records, by key, in one call: either all of them or none."""
        call = self._log.append_all(topic, records, timeout)
        return (yield from self._counted(topic, "append", call, Unknown))

    def _counted(
        self, topic: Topic, name: str, call: Steps[T], failed: Callable[[str], T]
    ) -> Steps[T]:
        """Make a call, and count it with its result.

        Parameters
        ----------
        failed : callable
            Returns the result of a call that has raised an error, from its description.
        """
        result: T
        try:
            result = yield from call
        except Exception as error:
            result = failed(self._counts.record_error(topic, name, error))
        self._counts.record(topic, name, result)
        return result

    def close(self) -> None:
        """Close the connection."""
        self._log.close()
