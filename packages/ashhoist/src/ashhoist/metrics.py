"""Metrics by `prometheus_client`, in a registry of each instance's own."""

from collections import deque
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

RECENT_KEPT = 4096
SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "orders": ("Orders to engines that ended", ("kind", "answer")),
    "refusals": ("Requests refused before they ran", ("reason",)),
    "failures": ("Requests that may have run and have no whole answer", ("reason",)),
    "retries": ("Requests tried again", ("reason",)),
    "answers": ("Whole answers", ("upstream",)),
    "routes": ("Choices of an upstream", ("reason",)),
    "bad_frames": ("Frames between instances that were not accepted", ("reason",)),
    "links_closed": ("Links between instances closed here", ("reason",)),
    "link_bytes": ("Bytes between instances", ("direction",)),
    "transfer_bytes": ("Bytes of HTTP to the outside", ("kind",)),
    "loads": ("Adapter loads that ended", ("result",)),
    "appends": ("Appends to the log", ("stream", "result")),
    "http_requests": ("HTTP requests of callers and operators", ("status",)),
}
HISTOGRAMS = {
    "request_seconds": "Time from a request's first byte to its end",
    "load_stall_seconds": "Time that requests waited for their adapter",
    "queue_seconds": "Time that requests waited before they were sent",
    "batch_fill": "Running requests over the largest batch, when one is sent",
}
GAUGES: dict[str, tuple[str, tuple[str, ...]]] = {
    "queued": ("Requests that wait at homes here", ("upstream",)),
    "running": ("Requests that run from homes here", ("upstream",)),
    "open_calls": ("Open requests of callers here", ()),
    "configuration_offset": ("Offset that is in force here", ()),
    "log_lag_seconds": ("Time since the log last answered", ()),
    "instances_in_contact": ("Instances heard of lately", ()),
    "ready": ("1 if callers may be sent here", ()),
    "leads": ("1 if this instance schedules", ()),
    "requests_waiting": ("Requests that wait for adapters, where it schedules", ()),
    "upstreams": ("Upstreams that take work", ("service",)),
}
FILLS = tuple(part / 10 for part in range(1, 11))


class Metrics:
    """All metrics of one instance, by name."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters = {
            name: Counter(f"ashhoist_{name}", text, labels, registry=self.registry)
            for name, (text, labels) in COUNTERS.items()
        }
        self._histograms = {
            name: Histogram(
                f"ashhoist_{name}",
                text,
                buckets=FILLS if name == "batch_fill" else SECONDS,
                registry=self.registry,
            )
            for name, text in HISTOGRAMS.items()
        }
        self._recent: dict[str, deque[float]] = {
            name: deque(maxlen=RECENT_KEPT) for name in HISTOGRAMS
        }
        self._gauges = {
            name: Gauge(f"ashhoist_{name}", text, labels, registry=self.registry)
            for name, (text, labels) in GAUGES.items()
        }

    def count(self, name: str, *labels: Any, amount: float = 1) -> None:
        """Add to a counter."""
        self._counters[name].labels(*labels).inc(amount)

    def observe(self, name: str, value: float) -> None:
        """Take a value into a histogram."""
        self._histograms[name].observe(value)
        self._recent[name].append(value)

    def gauge(self, name: str, value: float, *labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauges[name]
        (gauge.labels(*labels) if labels else gauge).set(value)

    def total(self, name: str) -> float:
        """Return a counter's value over all its labels."""
        counter = self._counters[name]
        return sum(
            sample.value
            for metric in counter.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        )

    def recent(self, name: str) -> list[float]:
        """Return the last values of a histogram, for the demo and tests."""
        return list(self._recent[name])

    def render(self) -> bytes:
        """Return the text form for scrapers."""
        return generate_latest(self.registry)
