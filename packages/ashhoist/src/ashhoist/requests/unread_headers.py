"""Headers of answers that nothing here reads: each is told once.

What an upstream says in a header that nobody knows of is missed by everybody, and for
good. A new name in the log is where to begin.
"""

from ..http import Head
from ..logs import Logger
from ..metrics import Metrics
from .dialect import SINGLE_CONNECTION, Dialect

MOST_NAMES = 64
"""Names that are remembered and told; more are only counted."""
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
"""Of HTTP: read by the connection, or meant for the caller."""


class UnreadHeaders:
    """Tells of headers that are neither read nor known to be the caller's."""

    def __init__(self, dialect: Dialect, metrics: Metrics, log: Logger) -> None:
        common = {name.lower() for name in COMMON}
        self._known = common | SINGLE_CONNECTION | dialect.answer_headers()
        self._metrics = metrics
        self._log = log
        self._told: set[str] = set()

    def look_at(self, upstream: str, head: Head) -> None:
        """Tell of each name in an answer's head that was not seen before."""
        for name in head.values.keys() - self._known:
            self._metrics.count("notices", "unread_header")
            if name in self._told or len(self._told) >= MOST_NAMES:
                continue
            self._told.add(name)
            self._log.info("header that nothing reads", name=name, upstream=upstream)
