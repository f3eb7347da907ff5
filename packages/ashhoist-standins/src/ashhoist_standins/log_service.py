"""Stand-in of the log service: append-only streams with offsets and retention."""

import json
import threading
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from werkzeug.wrappers import Request, Response

from ashhoist.clock import ZERO, Clock, SystemClock
from ashhoist.web import json_response

from ._server import StandInServer

BURST_SECONDS = 0.25
FIRST_OFFSET = 0


@dataclass(slots=True)
class _Stream:
    first: int = FIRST_OFFSET
    records: list[tuple[timedelta, Any]] = field(default_factory=list)

    @property
    def next(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class LogModel:
    """The streams of the log.

    Parameters
    ----------
    appends_per_second : float
        More than this are refused.
    retention : timedelta
        Older records are dropped.
    """

    appends_per_second: float = 100.0
    retention: timedelta = timedelta(hours=24)
    down: bool = False
    streams: dict[str, _Stream] = field(default_factory=dict)
    appends: int = 0
    refused: int = 0
    _tokens: float = 0.0
    _filled_at: timedelta = ZERO

    def append(self, stream: str, record: Any, now: timedelta) -> int | None:
        """Append a record; return its offset, or None if it is refused."""
        if self.down or not self._take_token(now):
            self.refused += 1
            return None
        found = self.streams.setdefault(stream, _Stream())
        found.records.append((now, record))
        self.appends += 1
        return found.next - 1

    def read(
        self, stream: str, offset: int, limit: int, now: timedelta
    ) -> tuple[list[tuple[int, Any]], int]:
        """Return records from an offset on, and the offset that follows them."""
        found = self.streams.setdefault(stream, _Stream())
        self._expire(found, now)
        start = max(offset, found.first)
        part = found.records[start - found.first :][:limit]
        pairs = [(start + index, record) for index, (_, record) in enumerate(part)]
        return pairs, max(start, offset) + len(pairs)

    def _take_token(self, now: timedelta) -> bool:
        passed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        most = max(1.0, self.appends_per_second * BURST_SECONDS)
        self._tokens = min(most, self._tokens + passed * self.appends_per_second)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _expire(self, stream: _Stream, now: timedelta) -> None:
        kept = [item for item in stream.records if now - item[0] <= self.retention]
        stream.first += len(stream.records) - len(kept)
        stream.records = kept


class LogServer(StandInServer):
    """HTTP around a `LogModel`."""

    def __init__(
        self,
        model: LogModel | None = None,
        address: str = "127.0.0.1:0",
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address)
        self.model = model or LogModel()
        self._clock = clock or SystemClock()
        self._changed = threading.Condition()

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        parts = request.path.strip("/").split("/")
        if len(parts) != 4 or parts[1] != "streams":
            return json_response({"error": "not_found"}, 404)
        if request.method == "POST":
            return self._append(parts[2], json.loads(request.get_data()))
        return self._read(request, parts[2])

    def _append(self, stream: str, record: Any) -> Response:
        with self._changed:
            offset = self.model.append(stream, record, self._clock.monotonic())
            self._changed.notify_all()
        if offset is None:
            return json_response({"error": "refused"}, 503)
        return json_response({"offset": offset})

    def _read(self, request: Request, stream: str) -> Response:
        offset = int(request.args.get("from", 0))
        limit = int(request.args.get("limit", 1000))
        until = self._clock.monotonic() + timedelta(
            milliseconds=int(request.args.get("wait_ms", 0))
        )
        with self._changed:
            while True:
                now = self._clock.monotonic()
                if self.model.down:
                    return json_response({"error": "down"}, 503)
                records, following = self.model.read(stream, offset, limit, now)
                if records or now >= until:
                    break
                self._changed.wait(min(1.0, (until - now).total_seconds()))
        return json_response({"records": records, "next": following})
