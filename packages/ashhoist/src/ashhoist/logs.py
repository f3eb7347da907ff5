"""Logs: short sentences with a fixed prefix for each part."""

import logging
import queue
import sys
import threading
from datetime import timedelta
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict

Logger = Any
"""A bound `structlog` logger."""


MOST_LINES_WAITING = 4096
CLOSE_TIME = timedelta(milliseconds=300)


class LineWriter:
    """Writes lines on a thread of its own, so that no caller waits for a pipe.

    Lines beyond what may wait are dropped; how many is told with the next line.

    Parameters
    ----------
    file : TextIO
        Where lines go.
    """

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._lines: queue.Queue[str | None] = queue.Queue(MOST_LINES_WAITING)
        self._ended = threading.Event()
        self.dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def msg(self, message: str) -> None:
        """Take a line."""
        try:
            self._lines.put_nowait(message)
        except queue.Full:
            self.dropped += 1

    def close(self, longest: timedelta) -> None:
        """Write what waits, and end; give up after `longest`."""
        try:
            self._lines.put(None, timeout=longest.total_seconds())
        except queue.Full:
            return
        self._ended.wait(longest.total_seconds())

    log = debug = info = warn = warning = error = critical = msg
    fatal = failure = exception = msg

    def _run(self) -> None:
        told = 0
        while True:
            line = self._lines.get()
            if line is None:
                break
            if self.dropped > told:
                line += f'\n{{"event": "logs: lines dropped", "all": {self.dropped}}}'
                told = self.dropped
            self._file.write(line + "\n")
            if self._lines.empty():
                self._file.flush()
        self._file.flush()
        self._ended.set()


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
        Written to by a thread of its own; None is standard error, directly.
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


def _factory(file: TextIO | None) -> Any:
    if file is None:
        return structlog.PrintLoggerFactory(file=sys.stderr)
    writer = LineWriter(file)
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
