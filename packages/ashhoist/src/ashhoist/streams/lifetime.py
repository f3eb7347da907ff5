"""For how long a stream may go on, over all tries of its caller."""

from collections.abc import Callable
from datetime import timedelta

from ..routing import RouteTable

MIN_TIMEOUT = timedelta(seconds=5)
TIMEOUTS_PER_STREAM = 2
"""A caller may come back until its deadline, and its last try may take a timeout."""


class StreamLifetime:
    """Derives the lifetime from the timeouts of the routes whose streams may go on.

    It never becomes shorter: streams go on that have begun under longer timeouts.

    Parameters
    ----------
    table : callable
        Returns the active routes, or None until a configuration is known.
    """

    def __init__(self, table: Callable[[], RouteTable | None]) -> None:
        self._table = table
        self._evaluated: RouteTable | None = None
        self._longest = MIN_TIMEOUT

    def __call__(self) -> timedelta:
        """Return the time after which a stream that has begun can't go on any more."""
        table = self._table()
        if table is not None and table is not self._evaluated:
            self._evaluated = table
            for route in table.configuration.routes:
                if route.streams and route.resumable:
                    self._longest = max(self._longest, route.timeout)
        return self._longest * TIMEOUTS_PER_STREAM
