"""Writes to the log which requests were interrupted by crashes of which upstreams.

Only the log reaches every instance, including one that is partitioned from the others
and one that starts after all were killed.
"""

from collections.abc import Callable, Set
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..quarantine import (
    RECORD_LAPSES_AFTER,
    Completion,
    Crash,
    Quarantine,
    RequestCompleted,
    RequestInterrupted,
    UpstreamAnswered,
    is_part,
)
from ..rates import Bucket
from ..store import Appended, AppendResult
from . import messages
from .effects import Effects
from .peers import Peers

MIN_RETRY_PAUSE = timedelta(milliseconds=500)
MAX_RETRY_PAUSE = timedelta(seconds=4)
"""Retry backoff while the log does not accept writes: doubles from the first to the
longest pause. In 18 s of virtual time, three instances made 80 attempts with constant
pauses of 0.5 s, and 24 with this backoff."""
CALLS_PER_SECOND = 2.0
"""Rate of calls to the log; each call writes all waiting records. When a zone was cut
off and a third of 24 upstreams crashed, 83 instances made 332 calls in ten seconds of
virtual time, against 4,164 with one call per record. The delay of half a second is
small compared with the seconds within which a request has to be quarantined."""
CALL_BURST = 2.0
"""Allows a second call at once for crashes seen during the first one."""
URGENT_CALLS_PER_SECOND = 2.0
"""Additional calls for crashes that quarantine a request. An instance that starts reads
the log at once, and would send the request on if these records waited behind others."""
URGENT_CALL_BURST = 2.0
MAX_CALL_BYTES = 1_000_000
"""Size limit of one call: half of what the log accepts."""
MAX_UNWRITTEN = 1024
"""Records kept while the log is unavailable; the oldest are dropped."""
PRUNE_INTERVAL = timedelta(seconds=10)
REWRITE_INTERVAL = timedelta(seconds=5)
"""Interval at which the leader rewrites records that a restored log still lacks."""


class CrashReports:
    """Writes this instance's crash records to the log.

    Parameters
    ----------
    own : str
        This instance's name.
    leads : callable
        Returns whether this instance is the leader, which deletes expired records.
    recorded_upstreams : callable
        Takes a time; returns the incarnations whose records the log has, or None if the
        log has not been followed for that long.
    """

    def __init__(
        self,
        own: str,
        quarantine: Quarantine,
        peers: Peers,
        leads: Callable[[], bool],
        recorded_upstreams: Callable[[timedelta], Set[str] | None],
        effects: Effects,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._own = own
        self._quarantine = quarantine
        self._peers = peers
        self._leads = leads
        self._recorded_upstreams = recorded_upstreams
        self._effects = effects
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._seen_by_incarnation: dict[str, set[str]] = {}
        self._unwritten: dict[str, bytes] = {}
        self._not_own: set[str] = set()
        self._handed_over: dict[str, bytes] = {}
        self._writing: dict[str, bytes] | None = None
        self._call_bucket = Bucket(
            CALLS_PER_SECOND, CALL_BURST, CALL_BURST, clock.monotonic()
        )
        self._urgent_call_bucket = Bucket(
            URGENT_CALLS_PER_SECOND,
            URGENT_CALL_BURST,
            URGENT_CALL_BURST,
            clock.monotonic(),
        )
        self._is_urgent = False
        self._retry_at = ZERO
        self._pause = MIN_RETRY_PAUSE
        self._prune_at = ZERO
        self._rewrite_at = ZERO
        self._held: frozenset[str] = frozenset()

    def request_interrupted(self, message: RequestInterrupted) -> None:
        """Record that an upstream broke the connection during a request sent here."""
        names = frozenset({message.request, *message.parts})
        self._quarantine.add_unwritten(Crash(message.incarnation, self._own, names))
        self._seen_by_incarnation.setdefault(message.incarnation, set()).update(names)

    def request_completed(self, message: RequestCompleted) -> None:
        """Record the complete answer to a request, if the request is a suspect."""
        record = Completion(message.request)
        if self._quarantine.is_suspect(message.request):
            self._enqueue(record.key, record.encode())

    def upstream_answered(self, message: UpstreamAnswered) -> None:
        """Process an answer of an upstream that may have crashed."""
        if self._quarantine.answered(message.incarnation, message.sent_at):
            self._log_survival(message.incarnation, "answered")

    def _decide_crashes(self) -> None:
        """Decide from the log which upstreams have crashed, if that shows by now."""
        overdue = self._quarantine.overdue()
        if not overdue:
            return
        recorded = self._recorded_upstreams(RECORD_LAPSES_AFTER)
        if recorded is None:
            return
        for incarnation in overdue:
            is_recorded = incarnation in recorded
            self._quarantine.decide(incarnation, is_recorded)
            if is_recorded:
                self._log_survival(incarnation, "record is there")

    def _log_survival(self, incarnation: str, why: str) -> None:
        self._metrics.count("refuted_crashes", why)
        self._log.info("upstream has not crashed", incarnation=incarnation, why=why)

    def write_for(self, message: messages.CrashWriteRequest) -> None:
        """Write a record on behalf of an instance that the log rejects."""
        self._not_own.add(message.key)
        self.write(message.key, message.value)

    def write(self, key: str, value: bytes) -> None:
        """Write another record to the topic of crash records."""
        self._enqueue(key, value)
        self.step()

    def _enqueue(self, key: str, value: bytes) -> None:
        self._unwritten.pop(key, None)
        self._unwritten[key] = value
        while len(self._unwritten) > MAX_UNWRITTEN:
            oldest = next(iter(self._unwritten))
            del self._unwritten[oldest]
            self._forget(oldest)
            self._log.warning("crash record dropped", key=oldest, waiting=MAX_UNWRITTEN)

    def _enqueue_seen(self) -> None:
        """Enqueue the crashes seen since the last call, one record per incarnation."""
        seen, self._seen_by_incarnation = self._seen_by_incarnation, {}
        for incarnation, requests in seen.items():
            crash = Crash(incarnation, self._own, frozenset(requests))
            self._enqueue(crash.key, self._quarantine.to_write(crash).encode())

    def step(self) -> None:
        """Write waiting records: one call at a time, within the rate limits."""
        self._enqueue_seen()
        now = self._clock.monotonic()
        if self._writing is not None or now < self._retry_at:
            return
        if not self._unwritten or not self._may_call(now):
            return
        self._writing = self._take_batch()
        self._is_urgent = self._is_urgent and bool(self._unwritten)
        self._effects.append_crashes(self._writing)

    def _may_call(self, now: timedelta) -> bool:
        """Return whether a call may be made now; if so, count it against the limits."""
        if self._call_bucket.take(1, now):
            return True
        return self._is_urgent and self._urgent_call_bucket.take(1, now)

    def _take_batch(self) -> dict[str, bytes]:
        """Remove and return the oldest records that fit into one call."""
        batch: dict[str, bytes] = {}
        size = 0
        for key, value in self._unwritten.items():
            size += len(key) + len(value)
            if batch and size > MAX_CALL_BYTES:
                break
            batch[key] = value
        for key in batch:
            del self._unwritten[key]
        return batch

    def appended(self, result: AppendResult) -> None:
        """Handle the result of a write."""
        if self._writing is None:
            return
        records, self._writing = self._writing, None
        self._metrics.count("appends", "crashes", type(result).__name__)
        if isinstance(result, Appended):
            for key in records:
                self._forget(key)
                self._quarantine.note_written(key, result.offset)
            self._pause = MIN_RETRY_PAUSE
            self.step()
            return
        # Writing a record twice is harmless if no other record is written in between.
        # Newer records therefore stay behind these: a later complete answer, and the
        # crashes after it, must remain the newer records on the log.
        retried = {key: records[key] for key in records if key not in self._unwritten}
        self._unwritten = retried | self._unwritten
        self._retry_at = self._clock.monotonic() + self._pause
        self._pause = min(self._pause * 2, MAX_RETRY_PAUSE)
        self._log.warning(
            "crash records not written",
            result=type(result).__name__,
            waiting=len(self._unwritten),
            helper=self._ask_for_help(),
        )

    def _ask_for_help(self) -> str | None:
        """Ask an instance that reaches the log to write the records; return its name.

        It is asked once for each record: this instance goes on retrying as well, with
        increasing pauses.
        """
        helper = next(iter(self._peers.readers()), None)
        if helper is None:
            return None
        for key, value in self._unwritten.items():
            if key in self._not_own or self._handed_over.get(key) == value:
                continue
            if self._effects.send_to(helper, messages.CrashWriteRequest(key, value)):
                self._handed_over[key] = value
        return helper

    def _forget(self, key: str) -> None:
        self._not_own.discard(key)
        self._handed_over.pop(key, None)

    def tick(self) -> None:
        """Do the periodic work that is due."""
        self._decide_crashes()
        self.step()
        now = self._clock.monotonic()
        if now < self._retry_at and self._unwritten:
            # The log may answer other instances again before the next attempt here.
            self._ask_for_help()
        self._rewrite_lost_records(now)
        if now < self._prune_at:
            return
        self._prune_at = now + PRUNE_INTERVAL
        self._quarantine.forget_unwritten()
        if not self._leads():
            return
        for key in self._quarantine.expired():
            self._enqueue(key, b"")
        self.step()

    def _rewrite_lost_records(self, now: timedelta) -> None:
        """Rewrite records that a restored log lacks; only the leader does so."""
        if now < self._rewrite_at or not self._leads():
            return
        lost = self._quarantine.lost_records()
        if not lost:
            return
        self._rewrite_at = now + REWRITE_INTERVAL
        self._log.info("crash records rewritten", records=len(lost))
        for record in lost:
            self._enqueue(record.key, record.encode())
        self.step()

    def update_quarantined(self) -> list[str]:
        """Update which requests are quarantined, and log the changes.

        Returns
        -------
        list of str
            Newly quarantined requests with crashes that were seen here and are not on
            the log yet, so that only this instance knows of them. They are written at
            once; the caller has to notify the other instances.
        """
        held = self._quarantine.held
        if held == self._held:
            return []
        newly_held = sorted(held - self._held)
        for request in newly_held:
            self._log.warning(f"{_kind(request)} quarantined", fingerprint=request)
        for request in sorted(self._held - held):
            self._log.info(f"{_kind(request)} released", fingerprint=request)
        parts = sum(map(is_part, held))
        self._metrics.gauge("quarantined_requests", len(held) - parts)
        self._metrics.gauge("quarantined_parts", parts)
        self._held = held
        own = [
            name
            for name in newly_held
            if self._quarantine.has_unwritten(name, self._own)
        ]
        self._is_urgent = self._is_urgent or bool(own)
        return own


def _kind(name: str) -> str:
    """Return what a name in the quarantine stands for."""
    return "prompt part" if is_part(name) else "request"
