"""Gauges of one instance's view of the deployment."""

from datetime import timedelta

from ..clock import Clock
from ..metrics import Metrics
from ..upstreams import Directory
from .peers import Peers
from .records import SharedRecords
from .replica import SHARED_TOPICS
from .scheduling import Scheduling


class Gauges:
    """Sets the gauges of the control task."""

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        records: SharedRecords,
        scheduling: Scheduling,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._records = records
        self._scheduling = scheduling
        self._metrics = metrics
        self._clock = clock
        self._services: set[str] = set()

    def measure(self, ready: bool) -> None:
        """Set all gauges; `ready` is whether this instance can serve callers."""
        now = self._clock.monotonic()
        scheduler = self._scheduling.scheduler
        waiting = len(scheduler.pending_requests) if scheduler is not None else 0
        gauge = self._metrics.gauge
        gauge("ready", ready)
        gauge("leads", self._scheduling.leads)
        gauge("requests_waiting", waiting)
        gauge("instances_in_contact", len(self._peers.fresh(now)))
        gauge("instances_known", len(self._peers.by_name))
        gauge("reads_log", self._records.reads_log)
        self._measure_lags(now)
        view = self._directory.view
        self._services.update(view.by_service)
        for service in self._services:
            gauge("upstreams", len(view.of(service)), service)

    def _measure_lags(self, now: timedelta) -> None:
        """Set each topic's time since its last read, and the greatest as the log's."""
        lags: list[float] = []
        for topic in SHARED_TOPICS:
            lag = (now - self._records.replica.read_at(topic)).total_seconds()
            self._metrics.gauge("topic_lag_seconds", lag, topic)
            lags.append(lag)
        self._metrics.gauge("log_lag_seconds", max(lags))
