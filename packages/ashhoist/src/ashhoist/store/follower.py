"""Reads one topic continuously, starting with the newest record of each key."""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta

from ..clock import ZERO, Clock
from ..logs import Logger
from ..loop import Steps, Wait
from ..position import NO_POSITION, Position, era_of
from .port import Gone, Newest, Record, Records, SharedLog, Topic, Unavailable

INITIAL_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=1)
READS_PER_BURST = 3
"""Reads with new records that may follow each other without a delay."""


@dataclass(frozen=True, slots=True)
class ReadPacing:
    """How a topic is read.

    Parameters
    ----------
    wait : timedelta
        How long the log may hold a read while there are no new records.
    pause : timedelta
        The pause between two reads.
    burst_window : timedelta
        In any period of this length at most `READS_PER_BURST` reads return new records;
        the next read is delayed so that it returns more of them. Without this, each
        append by any instance would end the pending read of every reader, and each
        reader would read again at once.
    """

    wait: timedelta
    pause: timedelta
    burst_window: timedelta = ZERO

    @property
    def idle_interval(self) -> timedelta:
        """Return the time between two responses while there are no new records."""
        return self.wait + self.pause


@dataclass(frozen=True, slots=True)
class FollowedRecords:
    """Records that a follower has read.

    Parameters
    ----------
    end : Position
        Where the topic ended when the log responded.
    read_to : Position
        Position of the last record that was returned; the topic may contain later
        records that were not returned.
    is_snapshot : bool
        Whether these are the newest records of all keys: the log holds no other keys.
    asked_at : timedelta
        When the read was sent, on the monotonic clock.
    """

    topic: Topic
    records: tuple[Record, ...]
    end: Position
    read_to: Position
    is_snapshot: bool
    asked_at: timedelta

    @property
    def complete(self) -> bool:
        """Return whether all records that existed when the read was sent are known."""
        return self.is_snapshot or self.read_to + 1 >= self.end


@dataclass(frozen=True, slots=True)
class LogAvailability:
    """The log has become unavailable to a follower, or available again."""

    topic: Topic
    available: bool


Deliver = Callable[[FollowedRecords | LogAvailability], None]


def _no_position() -> Position:
    return NO_POSITION


class Follower:
    """Reads one topic in a loop, as a task of its own.

    Parameters
    ----------
    deliver : callable
        Takes the records that were read, and changes of the log's availability.
    should_read : callable
        Returns whether to read now; the records that other instances read may be
        enough. Call `wake` when its result changes.
    read_after : callable
        Returns the position up to which all records are known, from any source.
    """

    def __init__(
        self,
        topic: Topic,
        shared_log: SharedLog,
        pace: ReadPacing,
        deliver: Deliver,
        should_read: Callable[[], bool],
        clock: Clock,
        log: Logger,
        read_after: Callable[[], Position] = _no_position,
    ) -> None:
        self._topic = topic
        self._shared_log = shared_log
        self._pace = pace
        self._deliver = deliver
        self._clock = clock
        self._log = log
        self._next: Position | None = None
        self._consecutive_restarts = 0
        self._new_records_at: deque[timedelta] = deque(maxlen=READS_PER_BURST)
        self._last_delay = ZERO
        self._available: bool | None = None
        self._failures = 0
        self._should_read = should_read
        self._read_after = read_after
        self._stopping = False
        self._wake_up: Future[None] = Future()

    def run(self) -> Steps[None]:
        """Follow the topic until `stop`."""
        while not self._stopping:
            if not self._wake_up.done() and not self._should_read():
                yield self._wake_up
                continue
            self._wake_up = Future()
            pause = yield from self.step()
            if pause > timedelta():
                yield Wait(self._clock.monotonic() + pause, future=self._wake_up)
        self._shared_log.close()

    def wake(self) -> None:
        """Read once, immediately."""
        if not self._wake_up.done():
            self._wake_up.set_result(None)

    def step(self) -> Steps[timedelta]:
        """Make one call; return how long to pause before the next."""
        read_after = self._read_after()
        if self._next is None or era_of(self._next) < era_of(read_after):
            # Only a list of all keys shows which records a restored log lacks.
            return (yield from self._start())
        started_at = self._clock.monotonic()
        # Skips known records. Otherwise a follower that resumes reading after a long
        # time would receive all records of that time before any new one.
        self._next = max(self._next, Position(read_after + 1))
        # Shortens the wait by the preceding delay, so that a delayed read is answered
        # as soon as any other: other parts rely on the time between two responses.
        wait = max(self._pace.wait - self._last_delay, ZERO)
        self._last_delay = ZERO
        result = yield from self._shared_log.read(self._topic, self._next, wait)
        if isinstance(result, Unavailable):
            return self._handle_failure(result, started_at)
        if isinstance(result, Gone):
            self._note_response()
            return self._restart("history gone", self._next)
        if era_of(result.end) > era_of(self._next):
            self._note_response()
            return self._restart("log restored", result.end)
        if era_of(result.end) < era_of(self._next):
            return self._handle_failure(
                Unavailable("response from an earlier era"), started_at
            )
        self._note_response()
        self._consecutive_restarts = 0
        self._deliver_records(result, started_at)
        if result.records:
            self._last_delay = self._delay_after_new_records()
        return self._pace.pause + self._last_delay

    def _delay_after_new_records(self) -> timedelta:
        """Return the delay before the next read; zero after only a few such reads."""
        now = self._clock.monotonic()
        self._new_records_at.append(now)
        if len(self._new_records_at) < READS_PER_BURST:
            return ZERO
        return max(self._new_records_at[0] + self._pace.burst_window - now, ZERO)

    def _restart(self, event: str, at: Position) -> timedelta:
        """Make the next call read the newest records; return the pause before it."""
        self._log.info(event, topic=self._topic, at=at)
        self._next = None
        self._consecutive_restarts += 1
        # Prevents a tight loop when each read after the newest records fails.
        return INITIAL_BACKOFF if self._consecutive_restarts > 1 else ZERO

    def _start(self) -> Steps[timedelta]:
        """Read the newest record of each key; return the pause before the next call."""
        started_at = self._clock.monotonic()
        result = yield from self._shared_log.newest(self._topic)
        if isinstance(result, Unavailable):
            return self._handle_failure(result, started_at)
        assert isinstance(result, Newest)
        if era_of(result.end) < era_of(self._read_after()):
            return self._handle_failure(
                Unavailable("response from an earlier era"), started_at
            )
        self._note_response()
        self._next = result.end
        read_to = max((record.offset for record in result.records), default=NO_POSITION)
        self._deliver(
            FollowedRecords(
                self._topic, result.records, result.end, read_to, True, started_at
            )
        )
        return self._pace.pause

    def _deliver_records(self, result: Records, asked_at: timedelta) -> None:
        if result.records:
            self._next = Position(result.records[-1].offset + 1)
        assert self._next is not None
        read_to = Position(self._next - 1)
        self._deliver(
            FollowedRecords(
                self._topic, result.records, result.end, read_to, False, asked_at
            )
        )

    def _handle_failure(self, result: Unavailable, started_at: timedelta) -> timedelta:
        self._failures += 1
        duration = self._clock.monotonic() - started_at
        if self._available is not False:
            self._available = False
            self._log.warning(
                "log lost",
                topic=self._topic,
                detail=result.detail,
                after_s=duration.total_seconds(),
            )
            self._deliver(LogAvailability(self._topic, False))
        pause = min(INITIAL_BACKOFF * 2 ** min(self._failures - 1, 4), MAX_BACKOFF)
        # Counted from the start of the call: a call that hung needs no further pause.
        return max(pause - duration, timedelta())

    def _note_response(self) -> None:
        self._failures = 0
        if self._available is not True:
            self._available = True
            self._log.info("log there", topic=self._topic)
            self._deliver(LogAvailability(self._topic, True))

    def stop(self) -> None:
        """Stop after the current call."""
        self._stopping = True
        self.wake()
