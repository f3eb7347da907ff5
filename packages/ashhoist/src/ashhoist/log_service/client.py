"""One task that appends to the log and follows its streams."""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from .. import bridge
from ..clock import Clock
from ..logs import Logger
from ..outside import AppendResult
from ..tasks import Task, handles
from ..transfers import Transfer, TransferEnd, WholeSink

APPEND_TIMEOUT = timedelta(seconds=3)
READ_WAIT = timedelta(seconds=1)
"""How long the log may hold a read that finds nothing."""
READ_TIMEOUT = READ_WAIT + timedelta(milliseconds=1200)
"""A read that is never answered may hold up a change for so long."""
READ_LIMIT = 1000
RETRY_FIRST = timedelta(milliseconds=200)
RETRY_LONGEST = timedelta(seconds=2)
TICK = timedelta(milliseconds=400)


@dataclass(frozen=True, slots=True)
class StartAppend:
    """Append a record to a stream."""

    stream: str
    operation: str
    record: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Follow:
    """Read a stream from an offset on, and go on reading."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class _ReadDone:
    stream: str
    generation: int
    end: TransferEnd
    body: bytes


@dataclass(slots=True)
class _Reader:
    offset: int
    generation: int
    failures: int = 0
    retry_at: timedelta | None = None
    at_end: bool = False


class LogTask(Task):
    """Owns where each stream has been read to.

    Parameters
    ----------
    address : str
        URL of the log service.
    send : callable
        Takes the messages to the core task.
    """

    def __init__(
        self,
        log: Logger,
        address: str,
        transfers: Task,
        send: Callable[[Any], None],
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        super().__init__("log", log, TICK)
        self._address = address
        self._transfers = transfers
        self._send = send
        self._clock = clock
        self._random = random_source
        self._readers: dict[str, _Reader] = {}
        self._generations = 0
        self._reachable = True

    @handles(StartAppend)
    def _append(self, append: StartAppend) -> None:
        def finished(end: TransferEnd, headers: Any, body: bytes) -> None:
            result = _append_result(end)
            self._send(bridge.Appended(append.stream, append.operation, result))

        self._transfers.send(
            Transfer(
                ("append", append.operation),
                "POST",
                f"{self._address}/v1/streams/{append.stream}/records",
                WholeSink(finished),
                {"Content-Type": "application/json"},
                json.dumps(append.record).encode(),
                APPEND_TIMEOUT,
                once=True,
            )
        )

    @handles(Follow)
    def _follow(self, follow: Follow) -> None:
        self._generations += 1
        reader = _Reader(follow.offset, self._generations)
        self._readers[follow.stream] = reader
        self._read(follow.stream, reader)

    def _read(self, stream: str, reader: _Reader) -> None:
        wait = READ_WAIT // timedelta(milliseconds=1) if reader.at_end else 0
        url = (
            f"{self._address}/v1/streams/{stream}/records"
            f"?from={reader.offset}&limit={READ_LIMIT}&wait_ms={wait}"
        )
        generation = reader.generation

        def finished(end: TransferEnd, headers: Any, body: bytes) -> None:
            self.send(_ReadDone(stream, generation, end, body))

        self._transfers.send(
            Transfer(
                ("read", stream, generation),
                "GET",
                url,
                WholeSink(finished),
                timeout=READ_TIMEOUT,
            )
        )

    @handles(_ReadDone)
    def _read_done(self, done: _ReadDone) -> None:
        reader = self._readers.get(done.stream)
        if reader is None or reader.generation != done.generation:
            return
        page = _page(done.end, done.body)
        if page is None:
            self._read_failed(done, reader)
            return
        if not self._reachable:
            self._reachable = True
            self.log.info("log service answers again")
        reader.failures = 0
        records, next_offset = page
        reader.offset = max(reader.offset, next_offset)
        reader.at_end = len(records) < READ_LIMIT
        self._send(bridge.Records(done.stream, records, reader.at_end))
        self._read(done.stream, reader)

    def _read_failed(self, done: _ReadDone, reader: _Reader) -> None:
        if self._reachable:
            self._reachable = False
            self.log.warning(
                "log service does not answer",
                status=done.end.status,
                detail=done.end.detail,
            )
        reader.failures += 1
        wait = min(RETRY_FIRST * 2 ** min(reader.failures, 8), RETRY_LONGEST)
        wait *= self._random.uniform(0.5, 1.0)
        reader.retry_at = self._clock.monotonic() + wait

    def tick(self) -> None:
        """Read again where a read has failed."""
        now = self._clock.monotonic()
        for stream, reader in self._readers.items():
            if reader.retry_at is not None and reader.retry_at <= now:
                reader.retry_at = None
                self._read(stream, reader)


def _append_result(end: TransferEnd) -> AppendResult:
    if not end.sent:
        return AppendResult.REFUSED
    if end.ok and end.status == 200:
        return AppendResult.APPENDED
    if end.ok and end.status in (429, 503):
        return AppendResult.REFUSED
    return AppendResult.UNKNOWN


def _page(end: TransferEnd, body: bytes) -> tuple[list[tuple[int, Any]], int] | None:
    if not end.ok or end.status != 200:
        return None
    try:
        page = json.loads(body)
        records = [(int(offset), record) for offset, record in page["records"]]
        return records, int(page["next"])
    except (ValueError, KeyError, TypeError):
        return None
