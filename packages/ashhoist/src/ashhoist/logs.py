"""Logs: short sentences with a fixed prefix for each part."""

import logging
import os
import select
import sys
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict

Logger = Any
"""A bound `structlog` logger."""


MOST_LINES_WAITING = 4096
CLOSE_TIME = timedelta(milliseconds=300)
WRITE_SIZE = 65536


class LineWriter:
    """Collects lines, and writes them without ever waiting for a pipe.

    Lines beyond what may wait are dropped; how many is told with the next line.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._unsent = b""
        self._told = 0
        self.dropped = 0
        self.on_lines: Callable[[], None] | None = None
        """Called with the first line that waits; whoever sets it calls `flush`."""
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Take a line."""
        if len(self._lines) >= MOST_LINES_WAITING:
            self.dropped += 1
            return
        self._lines.append(message)
        if len(self._lines) == 1 and self.on_lines is not None:
            self.on_lines()

    log = debug = info = warn = warning = error = critical = msg
    fatal = failure = exception = msg

    def flush(self) -> bool:
        """Write what waits; return False if the other side takes no more now."""
        while self._lines or self._unsent:
            if not self._unsent:
                self._unsent = self._next_bytes()
            try:
                sent = os.write(self._descriptor, self._unsent)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; the lines are lost.
                self._lines.clear()
                self._unsent = b""
                return True
            self._unsent = self._unsent[sent:]
        return True

    def _next_bytes(self) -> bytes:
        size = 0
        lines = []
        while self._lines and size < WRITE_SIZE:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        if self.dropped > self._told:
            lines.append(f'{{"event": "logs: lines dropped", "all": {self.dropped}}}')
            self._told = self.dropped
        return ("\n".join(lines) + "\n").encode()

    def close(self, longest: timedelta) -> None:
        """Write what waits; give up after `longest`."""
        limit = time.monotonic() + longest.total_seconds()
        while not self.flush():
            left = limit - time.monotonic()
            if left <= 0:
                break
            select.select([], [self._descriptor], [], left)
        # Others may share the descriptor, and expect it to block.
        os.set_blocking(self._descriptor, True)


def configure(
    json_lines: bool = False, level: str = "info", file: TextIO | None = None
) -> None:
    """Set up the format of all logs.

    Parameters
    ----------
    json_lines : bool
        One JSON object a line in place of text for a person.
    level : str
        The lowest level that is shown.
    file : TextIO or None
        Written to without waiting, by a `LineWriter`; None is standard error,
        directly.
    """
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if json_lines:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=_factory(file),
        cache_logger_on_first_use=False,
    )


_writers: list[LineWriter] = []


def writers() -> list[LineWriter]:
    """Return the writers whose lines somebody has to flush."""
    return list(_writers)


def _factory(file: TextIO | None) -> Any:
    if file is None:
        return structlog.PrintLoggerFactory(file=sys.stderr)
    writer = LineWriter(file.fileno())
    _writers.append(writer)
    return lambda *_: writer


def close(longest: timedelta = CLOSE_TIME) -> None:
    """Write all lines that wait, before a process ends."""
    while _writers:
        _writers.pop().close(longest)


def get(part: str, **context: Any) -> Logger:
    """Return the logger of a part. Its lines start with ``part:``."""
    return structlog.get_logger(part=part, **context)


def _prefix(_logger: Any, _method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "ashhoist")
    event["event"] = f"{part}: {event['event']}"
    return event
