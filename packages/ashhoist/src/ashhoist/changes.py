"""Operators' changes, watches and snapshots around the configuration's fold."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from .clock import Clock
from .configuration import (
    Change,
    Configuration,
    Decision,
    Event,
    from_chunks,
)
from .failures import Failure, Outcome, Reason, Step, not_run

SNAPSHOT_STREAM = "snapshots"
SETTLE_TIMEOUT = timedelta(seconds=5)
EVENTS_KEPT = 2048
RECORDS_KEPT = 2048
SNAPSHOT_EVERY_RECORDS = 500
SNAPSHOT_AGE_PART = 4
SNAPSHOT_RETRY = timedelta(seconds=60)
CHUNKS_KEPT = 4096

Decided = Callable[[Decision | Failure], None]
Watcher = Callable[[Event], None]


@dataclass(slots=True)
class _Pending:
    change: Change
    decided: Decided
    asked_at: timedelta


@dataclass(slots=True)
class Changes:
    """The configuration of one instance, and all that hangs on it.

    Parameters
    ----------
    append : callable
        Takes a stream, an operation id and a record.
    changed : callable
        Called with each event that came into force.
    retention : timedelta
        How long the log keeps records.
    """

    clock: Clock
    append: Callable[[str, str, dict[str, Any]], None]
    changed: Callable[[Event], None]
    retention: timedelta
    state: Configuration = field(default_factory=Configuration)
    caught_up: bool = False
    gap: bool = False
    snapshot_offset: int = -1
    snapshot_written_at: datetime | None = None
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _watchers: dict[int, Watcher] = field(default_factory=dict)
    _events: deque[Event] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    _records: "OrderedDict[int, Any]" = field(default_factory=OrderedDict)
    _chunks: deque[Any] = field(default_factory=lambda: deque(maxlen=CHUNKS_KEPT))
    _snapshot_tried_at: timedelta | None = None
    _watcher_count: int = 0

    # Changes

    def change(self, change: Change, decided: Decided) -> None:
        """Put a change on the log; `decided` is called once it is settled."""
        now = self.clock.monotonic()
        self._pending[change.operation] = _Pending(change, decided, now)
        self.append("configuration", change.operation, change.to_record())

    def append_refused(self, operation: str) -> None:
        """Note that an append was surely not made."""
        pending = self._pending.pop(operation, None)
        if pending is not None:
            pending.decided(
                not_run(
                    Reason.LOG_UNAVAILABLE,
                    Step.CONFIGURE,
                    "log_service",
                    "nothing was changed; try again",
                    timedelta(seconds=1),
                )
            )

    def tick(self) -> None:
        """Tell operators whose change is not read back in time."""
        now = self.clock.monotonic()
        for operation, pending in list(self._pending.items()):
            if now - pending.asked_at < SETTLE_TIMEOUT:
                continue
            del self._pending[operation]
            pending.decided(
                Failure(
                    Reason.UNSETTLED,
                    Outcome.UNKNOWN,
                    Step.CONFIGURE,
                    "log_service",
                    f"it may come into force yet; look up operation {operation}",
                )
            )

    # Records

    def read(self, offset: int, record: Any) -> bool:
        """Apply a record of the log, from whoever brings it.

        Returns
        -------
        bool
            False if records before it are missing; it is then not applied.
        """
        if offset <= self.state.offset:
            return True
        if offset > self.state.offset + 1:
            self.gap = True
            return False
        self.gap = False
        event = self.state.apply(offset, record)
        self._records[offset] = record
        if len(self._records) > RECORDS_KEPT:
            self._records.popitem(last=False)
        if event is not None:
            self._publish(event)
        self._settle(record)
        return True

    def _publish(self, event: Event) -> None:
        self._events.append(event)
        self.changed(event)
        for watcher in list(self._watchers.values()):
            watcher(event)

    def _settle(self, record: Any) -> None:
        operation = record.get("operation") if isinstance(record, dict) else None
        pending = self._pending.pop(str(operation), None)
        if pending is not None:
            pending.decided(self.state.decisions_by_operation[pending.change.operation])

    def records_after(self, offset: int) -> list[tuple[int, Any]] | None:
        """Return the records after an offset, or None if some are not kept."""
        if offset >= self.state.offset:
            return []
        if offset + 1 not in self._records:
            return None
        return [(at, self._records[at]) for at in self._records if at > offset]

    # Snapshots

    def read_chunk(self, chunk: Any) -> None:
        """Take in a chunk of a snapshot; a complete newer one is adopted."""
        self._chunks.append(chunk)
        if not isinstance(chunk, dict):
            return
        snapshot = chunk.get("snapshot")
        if not isinstance(snapshot, int) or snapshot < self.snapshot_offset:
            return
        if chunk.get("index") != _as_int(chunk.get("count")) - 1:
            return
        newest = from_chunks(list(self._chunks))
        if newest is None or newest.offset < self.snapshot_offset:
            return
        self.snapshot_offset = newest.offset
        self.snapshot_written_at = _as_time(chunk.get("written_at"))
        self._adopt(newest)

    def _adopt(self, newest: Configuration) -> None:
        if newest.offset <= self.state.offset:
            return
        before = self.state
        self.state = newest
        self.gap = False
        self._records.clear()
        self._events.clear()
        for operation, pending in list(self._pending.items()):
            decision = newest.decisions_by_operation.get(operation)
            if decision is not None:
                del self._pending[operation]
                pending.decided(decision)
        for event in _difference(before, newest):
            self._publish(event)

    def snapshot_due(self) -> bool:
        """Return whether a snapshot ought to be on the log by now."""
        if not self.caught_up or self.state.offset < 0:
            return False
        now = self.clock.monotonic()
        tried = self._snapshot_tried_at
        if tried is not None and now - tried < SNAPSHOT_RETRY:
            return False
        if self.state.offset - self.snapshot_offset >= SNAPSHOT_EVERY_RECORDS:
            return True
        if self.snapshot_written_at is None:
            return True
        # Also without any change: the snapshot itself expires from the log.
        age = self.clock.now() - self.snapshot_written_at
        return age >= self.retention / SNAPSHOT_AGE_PART

    def write_snapshot(self, new_operation: Callable[[], str]) -> int:
        """Append a snapshot in chunks; return how many."""
        self._snapshot_tried_at = self.clock.monotonic()
        chunks = self.state.to_chunks(self.clock.now().isoformat())
        for chunk in chunks:
            self.append(SNAPSHOT_STREAM, new_operation(), chunk)
        return len(chunks)

    # Watches

    def watch(self, after: int | None, watcher: Watcher) -> int | None:
        """Call `watcher` with each event after an offset.

        Returns
        -------
        int or None
            A number for `unwatch`, or None if events after that offset are no
            longer kept; the operator then lists anew.
        """
        if after is not None and after < self.state.offset:
            kept_from = next(iter(self._records), self.state.offset + 1)
            if after + 1 < kept_from:
                return None
            for event in self._events:
                if event.offset > after:
                    watcher(event)
        self._watcher_count += 1
        self._watchers[self._watcher_count] = watcher
        return self._watcher_count

    def unwatch(self, number: int) -> None:
        """End a watch."""
        self._watchers.pop(number, None)


def _difference(before: Configuration, after: Configuration) -> list[Event]:
    events = []
    for kind in set(before.by_kind) | set(after.by_kind):
        old, new = before.of_kind(kind), after.of_kind(kind)
        for name in set(old) - set(new):
            events.append(Event(after.offset, kind, name, None))
        for name, resource in new.items():
            if name not in old or old[name].version != resource.version:
                events.append(Event(after.offset, kind, name, resource))
    return events


def _as_int(value: Any) -> int:
    return value if isinstance(value, int) else 0


def _as_time(value: Any) -> datetime | None:
    try:
        return datetime.fromisoformat(value)
    except (TypeError, ValueError):
        return None
