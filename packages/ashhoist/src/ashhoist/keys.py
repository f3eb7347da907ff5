"""The keys of requests that are not repeatable, recorded on the log.

Before such a request is sent upstream, its key is appended and read back. The
first record of a key in log order wins, at every instance, so a caller's repeat
of the key is recognised wherever it arrives. While the log does not answer, such
requests are refused: a double is worse than a loss.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any

from .clock import Clock
from .failures import Failure, Outcome, Reason, Step, not_run
from .types import Job

STREAM = "keys"
APPEND_TIMEOUT = timedelta(seconds=3)
OLD_PART = 2
RETRY_AFTER = timedelta(seconds=2)


class KeyAction(StrEnum):
    """What a record on the keys stream does."""

    TAKE = "take"
    VOID = "void"


@dataclass(slots=True)
class KeyFold:
    """Which request holds each key, after all records up to `offset`.

    Parameters
    ----------
    window : timedelta
        How long a key is remembered.
    """

    window: timedelta
    offset: int = -1
    holders: "OrderedDict[str, tuple[str, timedelta]]" = field(
        default_factory=OrderedDict
    )

    def apply(self, offset: int, record: Any, now: timedelta, wall: float) -> None:
        """Apply a record; malformed ones and very old ones change nothing.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        wall : float
            Wall-clock time in seconds, to compare with the record's.
        """
        if offset <= self.offset:
            return
        self.offset = offset
        if not isinstance(record, dict) or not isinstance(record.get("keys"), list):
            return
        at = record.get("at")
        age = wall - at if isinstance(at, int | float) else 0.0
        if age > OLD_PART * self.window.total_seconds():
            return
        for pair in record["keys"]:
            if isinstance(pair, list) and len(pair) == 2:
                self._apply_one(record.get("action"), str(pair[0]), str(pair[1]), now)
        self._forget(now)

    def _apply_one(
        self, action: Any, key: str, request_id: str, now: timedelta
    ) -> None:
        holder = self.holders.get(key)
        if action == KeyAction.TAKE and holder is None:
            self.holders[key] = (request_id, now)
        if action == KeyAction.VOID and holder is not None:
            if holder[0] == request_id:
                del self.holders[key]

    def holder(self, key: str) -> str | None:
        """Return the request that holds a key."""
        found = self.holders.get(key)
        return found[0] if found else None

    def _forget(self, now: timedelta) -> None:
        while self.holders:
            key, (_, since) = next(iter(self.holders.items()))
            if now - since <= self.window:
                return
            del self.holders[key]


@dataclass(slots=True)
class _Batch:
    operation: str
    jobs: list[Job]
    sent_at: timedelta


@dataclass(slots=True)
class KeyRecorder:
    """Records keys in batches, one append at a time.

    Parameters
    ----------
    append : callable
        Takes an operation id and a record.
    answer : callable
        Takes a job and a failure, or None if the job may be sent.
    """

    fold: KeyFold
    clock: Clock
    new_operation: Callable[[], str]
    append: Callable[[str, dict[str, Any]], None]
    answer: Callable[[Job, Failure | None], None]
    caught_up: bool = False
    waiting: list[Job] = field(default_factory=list)
    batch: _Batch | None = None

    def record(self, job: Job, now: timedelta) -> None:
        """Ask for a job's key to be recorded; `answer` follows."""
        if not self.caught_up:
            self.answer(job, _unavailable("the keys on the log are not yet read"))
            return
        holder = self.fold.holder(job.key)
        if holder is not None:
            self.answer(job, _verdict(job, holder))
            return
        self.waiting.append(job)
        self._send(now)

    def void(self, job: Job) -> None:
        """Note on the log that a job was surely not run."""
        operation = self.new_operation()
        self.append(operation, self._record(operation, KeyAction.VOID, [job]))

    def _record(
        self, operation: str, action: KeyAction, jobs: list[Job]
    ) -> dict[str, Any]:
        return {
            "operation": operation,
            "action": action.value,
            "at": self.clock.now().timestamp(),
            "keys": [[job.key, job.request_id] for job in jobs],
        }

    def read(self, offset: int, record: Any, now: timedelta) -> None:
        """Apply a record that was read from the log."""
        self.fold.apply(offset, record, now, self.clock.now().timestamp())
        batch = self.batch
        if batch is None or not isinstance(record, dict):
            return
        if record.get("operation") != batch.operation:
            return
        self.batch = None
        for job in batch.jobs:
            self.answer(job, _verdict(job, self.fold.holder(job.key)))
        self._send(now)

    def refused(self, operation: str, now: timedelta) -> None:
        """Note that an append was surely not made."""
        if self.batch is not None and self.batch.operation == operation:
            self._give_up("the log refuses appends", now)

    def tick(self, now: timedelta) -> None:
        """Give up on an append that is not read back in time."""
        if self.batch is not None and now - self.batch.sent_at >= APPEND_TIMEOUT:
            self._give_up("the log does not answer", now)

    def _send(self, now: timedelta) -> None:
        if self.batch is not None or not self.waiting:
            return
        jobs, self.waiting = self.waiting, []
        self.batch = _Batch(self.new_operation(), jobs, now)
        record = self._record(self.batch.operation, KeyAction.TAKE, jobs)
        self.append(self.batch.operation, record)

    def _give_up(self, detail: str, now: timedelta) -> None:
        assert self.batch is not None
        jobs, self.batch = self.batch.jobs, None
        waiting, self.waiting = self.waiting, []
        for job in [*jobs, *waiting]:
            self.answer(job, _unavailable(detail))


def _unavailable(detail: str) -> Failure:
    return not_run(
        Reason.LOG_UNAVAILABLE, Step.RECORD_KEY, "log_service", detail, RETRY_AFTER
    )


def _verdict(job: Job, holder: str | None) -> Failure | None:
    if holder == job.request_id:
        return None
    return Failure(
        Reason.REPEATED_KEY,
        Outcome.UNKNOWN,
        Step.RECORD_KEY,
        "",
        "an earlier request with this key has run, is running or may run",
    )
