"""Reports response headers that no part of the system reads, once for each name.

What an upstream announces in an unknown header would otherwise go unnoticed for good;
a new name in the log is the first hint of it.
"""

from ..http import Head
from ..logs import Logger
from ..metrics import Metrics
from .dialect import SINGLE_CONNECTION, Dialect

MAX_LOGGED_NAMES = 64
"""Names that are remembered and logged; any further ones are only counted."""
COMMON = frozenset(
    {
        "Cache-Control",
        "Content-Encoding",
        "Content-Language",
        "Content-Length",
        "Content-Type",
        "Date",
        "ETag",
        "Expires",
        "Last-Modified",
        "Server",
        "Vary",
    }
)
"""Standard HTTP headers that the connection reads, or that are meant for the caller."""


class UnreadHeaders:
    """Reports headers that are neither read nor known to be meant for the caller."""

    def __init__(self, header_names: Dialect, metrics: Metrics, log: Logger) -> None:
        common = {name.lower() for name in COMMON}
        self._known = common | SINGLE_CONNECTION | header_names.answer_headers()
        self._metrics = metrics
        self._log = log
        self._logged: set[str] = set()

    def look_at(self, upstream: str, head: Head) -> None:
        """Log each header name of a response that has not been logged before."""
        for name in head.values.keys() - self._known:
            self._metrics.count("notices", "unread_header")
            if name in self._logged or len(self._logged) >= MAX_LOGGED_NAMES:
                continue
            self._logged.add(name)
            self._log.info("unknown response header", name=name, upstream=upstream)
