"""Logs: short sentences with a fixed prefix for each part."""

import logging
import sys
from typing import Any

import structlog
from structlog.typing import EventDict

Logger = Any
"""A bound `structlog` logger."""


def configure(json_lines: bool = False, level: str = "info") -> None:
    """Set up the format of all logs, on standard error.

    Parameters
    ----------
    json_lines : bool
        One JSON object a line in place of text for a person.
    level : str
        The lowest level that is shown.
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(part: str, **context: Any) -> Logger:
    """Return the logger of a part. Its lines start with ``part:``."""
    return structlog.get_logger(part=part, **context)


def _prefix(_logger: Any, _method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "ashhoist")
    event["event"] = f"{part}: {event['event']}"
    return event
