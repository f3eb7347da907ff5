"""Reports response headers that no part of the system reads, once for each name.

What an upstream announces in an unknown header would otherwise go unnoticed for good;
a new name in the log is the first hint of it.
"""

from ..http import Head
from ..logs import Logger
from ..metrics import Metrics
from .header_names import HOP_BY_HOP_HEADERS, HeaderNames

MAX_LOGGED_NAMES = 64
"""Names that are remembered and logged; any further ones are only counted."""
COMMON_HEADERS = frozenset(
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

    def __init__(
        self, header_names: HeaderNames, metrics: Metrics, log: Logger
    ) -> None:
        common = {name.lower() for name in COMMON_HEADERS}
        self._known = (
            common | HOP_BY_HOP_HEADERS | header_names.known_response_headers()
        )
        self._metrics = metrics
        self._log = log
        self._logged: set[str] = set()

    def report_unknown(self, upstream: str, head: Head) -> None:
        """Log each header name of a response that has not been logged before."""
        for name in head.values.keys() - self._known:
            self._metrics.count("notices", "unread_header")
            if name in self._logged or len(self._logged) >= MAX_LOGGED_NAMES:
                continue
            self._logged.add(name)
            self._log.info("unknown response header", name=name, upstream=upstream)
