"""Tells all instances, by the log, which requests were cut off where.

Only the log reaches them all: an instance that is cut off from the others, and one
that starts after all were killed.
"""

from collections.abc import Callable
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..quarantine import Crash, Quarantine, RequestCut, RequestWhole, Whole
from ..rates import Bucket
from ..store import Appended, AppendResult
from . import messages
from .outside import Outside
from .peers import Peers

FIRST_PAUSE = timedelta(milliseconds=500)
LONGEST_PAUSE = timedelta(seconds=4)
"""Between two tries to write while the log does not take them; doubles. Three instances
made 80 tries in 18 s with even pauses of half a second, 24 so (virtual time)."""
CALLS_A_SECOND = 2.0
"""Calls to the log, each with all that waits. A zone's cut and the end of a third of 24
upstreams are followed by 332 calls of 83 instances in ten seconds, and by 4,164 with a
call for each record (virtual time). Half a second is little beside the seconds within
which a request has to be held back."""
CALLS_AT_ONCE = 2.0
"""What is seen while the first call is under way goes with a second one."""
HELD_CALLS_A_SECOND = 2.0
"""Further calls, for crashes that hold a request back: whoever starts reads the log
at once, and would send the request on if they waited behind others."""
HELD_CALLS_AT_ONCE = 2.0
MOST_BYTES = 1_000_000
"""In one call: half of what the log takes."""
MOST_UNWRITTEN = 1024
"""Records that wait for a log that is away; the oldest give way."""
PRUNE_EVERY = timedelta(seconds=10)
REWRITE_EVERY = timedelta(seconds=5)
"""Interval at which the leader rewrites records that a restored log still lacks."""


class CrashReports:
    """What this instance writes of requests that were cut off.

    Parameters
    ----------
    own : str
        This instance's name.
    leads : callable
        Returns whether this instance schedules: it drops what no longer counts.
    """

    def __init__(
        self,
        own: str,
        quarantine: Quarantine,
        peers: Peers,
        leads: Callable[[], bool],
        outside: Outside,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._own = own
        self._quarantine = quarantine
        self._peers = peers
        self._leads = leads
        self._outside = outside
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._seen_by_life: dict[str, set[str]] = {}
        self._unwritten: dict[str, bytes] = {}
        self._not_own: set[str] = set()
        self._handed_over: dict[str, bytes] = {}
        self._writing: dict[str, bytes] | None = None
        self._calls = Bucket(
            CALLS_A_SECOND, CALLS_AT_ONCE, CALLS_AT_ONCE, clock.monotonic()
        )
        self._held_calls = Bucket(
            HELD_CALLS_A_SECOND,
            HELD_CALLS_AT_ONCE,
            HELD_CALLS_AT_ONCE,
            clock.monotonic(),
        )
        self._is_urgent = False
        self._retry_at = ZERO
        self._pause = FIRST_PAUSE
        self._prune_at = ZERO
        self._rewrite_at = ZERO
        self._held: frozenset[str] = frozenset()

    def cut(self, message: RequestCut) -> None:
        """Take in that an upstream broke off under a request of this instance."""
        crash = Crash(message.life, self._own, frozenset({message.request}))
        self._quarantine.seen(crash)
        self._seen_by_life.setdefault(message.life, set()).add(message.request)

    def whole(self, message: RequestWhole) -> None:
        """Take in that a suspected request was answered whole."""
        answered = Whole(message.request)
        if self._quarantine.is_suspect(message.request):
            self._enqueue(answered.key, answered.encode())

    def write_for(self, message: messages.WriteCrash) -> None:
        """Write a record of an instance that the log has turned away."""
        self._not_own.add(message.key)
        self._enqueue(message.key, message.value)
        self.step()

    def _enqueue(self, key: str, value: bytes) -> None:
        self._unwritten.pop(key, None)
        self._unwritten[key] = value
        while len(self._unwritten) > MOST_UNWRITTEN:
            oldest = next(iter(self._unwritten))
            del self._unwritten[oldest]
            self._forget(oldest)
            self._log.warning("crash not told", key=oldest, waiting=MOST_UNWRITTEN)

    def _enqueue_seen(self) -> None:
        """Have written what was seen since the last time, one record for each life."""
        seen, self._seen_by_life = self._seen_by_life, {}
        for life, requests in seen.items():
            crash = Crash(life, self._own, frozenset(requests))
            self._enqueue(crash.key, self._quarantine.to_write(crash).encode())

    def step(self) -> None:
        """Write what waits, with one call at a time and few a second."""
        self._enqueue_seen()
        now = self._clock.monotonic()
        if self._writing is not None or now < self._retry_at:
            return
        if not self._unwritten or not self._may_call(now):
            return
        self._writing = self._take()
        self._is_urgent = self._is_urgent and bool(self._unwritten)
        self._outside.append_crashes(self._writing)

    def _may_call(self, now: timedelta) -> bool:
        """Return whether a call may be made now; it counts as made."""
        if self._calls.take(1, now):
            return True
        return self._is_urgent and self._held_calls.take(1, now)

    def _take(self) -> dict[str, bytes]:
        """Take the oldest records that fit into one call."""
        taken: dict[str, bytes] = {}
        size = 0
        for key, value in self._unwritten.items():
            size += len(key) + len(value)
            if taken and size > MOST_BYTES:
                break
            taken[key] = value
        for key in taken:
            del self._unwritten[key]
        return taken

    def appended(self, result: AppendResult) -> None:
        """Take in how a write ended."""
        if self._writing is None:
            return
        records, self._writing = self._writing, None
        self._metrics.count("appends", "crashes", type(result).__name__)
        if isinstance(result, Appended):
            for key in records:
                self._forget(key)
                self._quarantine.note_written(key, result.offset)
            self._pause = FIRST_PAUSE
            self.step()
            return
        # Written twice it says the same, if nothing is written between: a whole answer
        # that came later must stay the newer record, and so must what was cut after it.
        older = {key: records[key] for key in records if key not in self._unwritten}
        self._unwritten = older | self._unwritten
        self._retry_at = self._clock.monotonic() + self._pause
        self._pause = min(self._pause * 2, LONGEST_PAUSE)
        self._log.warning(
            "crash not written",
            result=type(result).__name__,
            waiting=len(self._unwritten),
            helper=self._ask_for_help(),
        )

    def _ask_for_help(self) -> str | None:
        """Let an instance write that the log answers; return its name.

        It is asked once for each record: this instance goes on trying as well, after
        longer and longer pauses.
        """
        helper = next(iter(self._peers.readers()), None)
        if helper is None:
            return None
        for key, value in self._unwritten.items():
            if key in self._not_own or self._handed_over.get(key) == value:
                continue
            if self._outside.send_to(helper, messages.WriteCrash(key, value)):
                self._handed_over[key] = value
        return helper

    def _forget(self, key: str) -> None:
        self._not_own.discard(key)
        self._handed_over.pop(key, None)

    def tick(self) -> None:
        """Do what is due by time."""
        self.step()
        now = self._clock.monotonic()
        if now < self._retry_at and self._unwritten:
            # The log may answer others again before it is tried from here.
            self._ask_for_help()
        self._rewrite_lost_records(now)
        if now < self._prune_at:
            return
        self._prune_at = now + PRUNE_EVERY
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
        self._rewrite_at = now + REWRITE_EVERY
        self._log.info("crashes written again", records=len(lost))
        for said in lost:
            self._enqueue(said.key, said.encode())
        self.step()

    def note_held(self) -> list[str]:
        """Note which requests are held back, and tell the operators.

        Returns
        -------
        list of str
            Those held back anew for what only this instance has seen, and not
            written: it is written at once, and the others have to be told.
        """
        held = self._quarantine.held
        if held == self._held:
            return []
        begun = sorted(held - self._held)
        for request in begun:
            self._log.warning("request quarantined", fingerprint=request)
        for request in sorted(self._held - held):
            self._log.info("request released", fingerprint=request)
        self._metrics.gauge("quarantined_requests", len(held))
        self._held = held
        own = [
            name for name in begun if self._quarantine.has_unwritten(name, self._own)
        ]
        self._is_urgent = self._is_urgent or bool(own)
        return own
