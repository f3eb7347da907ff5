"""Counts and logs callers' connections that an instance closes between requests."""

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics

LOG_INTERVAL = timedelta(seconds=1)


class KeptClose(StrEnum):
    """Why a connection that was kept is closed without a further request."""

    IDLE = "idle"
    UNFINISHED_BODY = "unfinished_body"
    STOPPING = "stopping"


class CloseRecorder(Protocol):
    """Learns of connections that a listener closes."""

    def record_unread(self) -> None:
        """Record a new connection that is closed with its request unread."""

    def record_kept(self, reason: KeptClose) -> None:
        """Record a kept connection that is closed."""


class NoRecorder:
    """Records nothing."""

    def record_unread(self) -> None:
        """Do nothing."""

    def record_kept(self, reason: KeptClose) -> None:
        """Do nothing."""


class ClosedConnections:
    """Counts closed connections; logs those that are closed unread, in batches."""

    def __init__(self, clock: Clock, metrics: Metrics, log: Logger) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._unlogged = 0
        self._log_at = ZERO

    def record_unread(self) -> None:
        """Record a new connection that is closed unread, as the instance is behind."""
        self._metrics.count("connections_unread")
        self._unlogged += 1
        now = self._clock.monotonic()
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL
        self._log.warning("connections closed unread", connections=self._unlogged)
        self._unlogged = 0

    def record_kept(self, reason: KeptClose) -> None:
        """Record a kept connection that is closed."""
        self._metrics.count("kept_connections_closed", reason)
