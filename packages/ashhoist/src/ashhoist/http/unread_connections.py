"""Counts the connections that are closed unread, and logs them once in a while."""

from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics

LOG_INTERVAL = timedelta(seconds=1)


class UnreadConnections:
    """Records new connections that an instance closes unread, as it is behind."""

    def __init__(self, clock: Clock, metrics: Metrics, log: Logger) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._unlogged = 0
        self._log_at = ZERO

    def record(self) -> None:
        """Record one connection."""
        self._metrics.count("connections_unread")
        self._unlogged += 1
        now = self._clock.monotonic()
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL
        self._log.warning("connections closed unread", connections=self._unlogged)
        self._unlogged = 0
