"""Metrics: counted in plain numbers, shown by `prometheus_client`.

An instance counts several times for each request, and is scraped seldom or never. So
the library is read in, and its objects are made, when somebody asks.
"""

import bisect
from collections import deque
from collections.abc import Iterable
from contextlib import AbstractContextManager, nullcontext
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from prometheus_client import Metric

RECENT_KEPT = 4096
MOST_SERIES = 1024
"""Label values of one counter; what comes beyond is counted as `OTHER`."""
OTHER = "other"
SECONDS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "orders": ("Orders to engines that ended", ("kind", "answer")),
    "refusals": ("Requests refused before they ran", ("reason",)),
    "failures": ("Requests that may have run and have no whole answer", ("reason",)),
    "retries": ("Requests tried again", ("reason",)),
    "log_calls": ("Calls to the log that ended", ("topic", "call", "result")),
    "notices": ("Answers that say something of their upstream", ("what",)),
    "answers": ("Whole answers", ("upstream",)),
    "routes": ("Choices of an upstream", ("reason",)),
    "bad_frames": ("Frames between instances that were not accepted", ("reason",)),
    "control_errors": ("Errors in parts of the control task", ("part",)),
    "links_closed": ("Links between instances closed here", ("reason",)),
    "link_bytes": ("Bytes between instances", ("direction",)),
    "transfer_bytes": ("Bytes of HTTP to the outside", ("kind",)),
    "loads": ("Adapter loads that ended", ("result",)),
    "copies": ("Further copies of busy adapters", ("result",)),
    "appends": ("Appends to the log", ("stream", "result")),
    "customer_requests": ("Requests of a customer that ended", ("customer", "end")),
    "customer_tokens": ("Charged to a customer's quota", ("customer", "end")),
    "streams_begun": ("Streams whose first event was forwarded", ()),
    "streams_cut": (
        "Streams broken off after their first event, by reason",
        ("reason",),
    ),
    "stream_moves": (
        "Parts of streams after the first, by why the upstream before was left",
        ("reason",),
    ),
    "late_streams": (
        "Completed streams with a late first event, a long pause, or both",
        ("by",),
    ),
    "permits": ("Sends to limited upstreams that were asked for", ("result",)),
    "connections_unread": (
        "New connections closed with their request unread, as too many came",
        (),
    ),
    "connections_discarding": (
        "Connections that were closed while their callers still sent",
        (),
    ),
    "kept_connections_closed": (
        "Kept connections closed between requests, by reason",
        ("reason",),
    ),
    "no_upstream_anywhere": (
        "Times that no upstream could be reached, from here or from a known instance",
        (),
    ),
    "forwarded": ("Requests sent through another instance that ended", ("end",)),
    "resumed_streams": (
        "Streams that callers took up, by how their software version was known",
        ("known_by",),
    ),
    "undecided_sends": (
        "Sends to contended services without a decision of the leader",
        ("service",),
    ),
    "charged_alone": ("Charges without an answer of the leader", ("result",)),
    "refused_records": ("Records of the log that are not acceptable", ("key",)),
    "relay_breaks": (
        "Relayed records that do not continue the known ones",
        ("topic", "reason"),
    ),
    "record_lists": ("Lists of all keys received from other instances", ("topic",)),
    "refuted_crashes": (
        "Upstreams that broke off requests and had not crashed, by what showed it",
        ("by",),
    ),
    "admissions": (
        "Decisions on requests to contended services",
        ("customer", "result"),
    ),
    "reservations": ("Reservations for callers told to come back", ("result",)),
    "http_requests": ("HTTP requests of callers and operators", ("status",)),
}
HISTOGRAMS = {
    "request_seconds": "Time from a request's first byte to its end",
    "load_stall_seconds": "Time that requests waited for their adapter",
    "queue_seconds": "Time that requests waited before they were sent",
    "loop_turn_seconds": "Time for which all else waited on a turn of the event loop",
    "batch_fill": "Running requests over the largest batch, when one is sent",
}
GAUGES: dict[str, tuple[str, tuple[str, ...]]] = {
    "queued": ("Requests that wait at homes here", ("upstream",)),
    "running": ("Requests that run from homes here", ("upstream",)),
    "open_calls": ("Open requests of callers here", ()),
    "configuration_offset": ("Offset that is in force here", ()),
    "log_lag_seconds": ("Time since the log last answered", ()),
    "topic_lag_seconds": ("Time since the log answered a read", ("topic",)),
    "log_era": ("Latest known era of the log", ("topic",)),
    "proof_age_seconds": ("Age of the proof that the configuration is current", ()),
    "reads_log": ("1 if this instance reads the log itself", ()),
    "instances_in_contact": ("Instances heard of lately", ()),
    "instances_known": ("Other instances that are known, linked or not", ()),
    "quarantined_requests": ("Requests held back as they crash upstreams", ()),
    "quarantined_parts": ("Prompt parts held back as they crash upstreams", ()),
    "cut_off": ("1 if no upstream can be reached", ()),
    "ready": ("1 if callers may be sent here", ()),
    "leads": ("1 if this instance schedules", ()),
    "requests_waiting": ("Requests that wait for adapters, where it schedules", ()),
    "contended_services": ("Services with admission control, where it leads", ()),
    "admission_queue": ("Requests that wait for admission", ("service",)),
    "upstreams": ("Upstreams that take work", ("service",)),
}
FILLS = tuple(part / 10 for part in range(1, 11))


Labels = tuple[Any, ...]


class _Histogram:
    """How many values fell into each bucket; the last is for what is larger."""

    def __init__(self, name: str) -> None:
        self.bounds = FILLS if name == "batch_fill" else SECONDS
        self.counts = [0] * (len(self.bounds) + 1)
        self.sum = 0.0
        self.recent: deque[float] = deque(maxlen=RECENT_KEPT)

    def observe(self, value: float) -> None:
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value
        self.recent.append(value)

    def buckets(self) -> list[tuple[str, float]]:
        """Return the upper bounds with the number of values up to each."""
        found = []
        total = 0
        for bound, count in zip((*self.bounds, "+Inf"), self.counts, strict=True):
            total += count
            found.append((str(bound), float(total)))
        return found


class Metrics:
    """All metrics of one instance, by name.

    Parameters
    ----------
    lock : context manager or None
        Held while a number changes; None where one thread does all counting.
    """

    def __init__(self, lock: AbstractContextManager[Any] | None = None) -> None:
        self._lock = lock if lock is not None else nullcontext()
        self._counts: dict[str, dict[Labels, float]] = {name: {} for name in COUNTERS}
        self._gauges: dict[str, dict[Labels, float]] = {name: {} for name in GAUGES}
        self._histograms = {name: _Histogram(name) for name in HISTOGRAMS}

    def count(self, name: str, *labels: Any, amount: float = 1) -> None:
        """Add to a counter."""
        values = self._counts[name]
        if labels not in values and len(values) >= MOST_SERIES:
            labels = (OTHER,) * len(labels)
        with self._lock:
            values[labels] = values.get(labels, 0.0) + amount

    def observe(self, name: str, value: float) -> None:
        """Take a value into a histogram."""
        with self._lock:
            self._histograms[name].observe(value)

    def gauge(self, name: str, value: float, *labels: str) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name][labels] = value

    def total(self, name: str) -> float:
        """Return a counter's value over all its labels."""
        return sum(self._counts[name].values())

    def recent(self, name: str) -> list[float]:
        """Return the last values of a histogram, for the demo and tests."""
        return list(self._histograms[name].recent)

    # Shown

    def render(self) -> bytes:
        """Return the text form for scrapers."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> "Iterable[Metric]":
        """Return all metrics in the library's form; it calls this."""
        from prometheus_client import core

        with self._lock:
            for name, (text, labels) in COUNTERS.items():
                counter = core.CounterMetricFamily(_full(name), text, labels=labels)
                for values, value in self._counts[name].items():
                    counter.add_metric(_texts(values), value)
                yield counter
            for name, (text, labels) in GAUGES.items():
                gauge = core.GaugeMetricFamily(_full(name), text, labels=labels)
                for values, value in self._gauges[name].items():
                    gauge.add_metric(_texts(values), float(value))
                yield gauge
            for name, text in HISTOGRAMS.items():
                found = self._histograms[name]
                histogram = core.HistogramMetricFamily(_full(name), text)
                histogram.add_metric([], buckets=found.buckets(), sum_value=found.sum)
                yield histogram


def _full(name: str) -> str:
    return f"ashhoist_{name}"


def _texts(labels: Labels) -> list[str]:
    return [str(label) for label in labels]
