"""Reads one topic from its newest records on, at its own pace."""

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

FIRST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=1)
NEWS_AT_ONCE = 3
"""Reads that may bring news one right after the other."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How a topic is read.

    Parameters
    ----------
    wait : timedelta
        How long the log may hold a read that finds nothing.
    pause : timedelta
        Between two reads.
    news_within : timedelta
        In so long a time only `NEWS_AT_ONCE` reads bring news; then more gathers first.
        Else each append of anybody ends a read of every reader, which reads again.
    """

    wait: timedelta
    pause: timedelta
    news_within: timedelta = ZERO

    @property
    def round(self) -> timedelta:
        """Return the time between two answers where nothing is new."""
        return self.wait + self.pause


@dataclass(frozen=True, slots=True)
class Followed:
    """Records that a follower has read.

    Parameters
    ----------
    end : Position
        Where the topic ended, as the log said.
    read_to : Position
        Position of the last record that was returned; the log may
        end behind it without having shown the rest.
    whole : bool
        True if these are the newest of all keys: what is not named has gone.
    asked_at : timedelta
        When the read was sent, on the steady clock.
    """

    topic: Topic
    records: tuple[Record, ...]
    end: Position
    read_to: Position
    whole: bool
    asked_at: timedelta

    @property
    def complete(self) -> bool:
        """Return whether nothing was missing behind it when the read was sent."""
        return self.whole or self.read_to + 1 >= self.end


@dataclass(frozen=True, slots=True)
class FollowerState:
    """The log was lost, or is there again."""

    topic: Topic
    available: bool


Deliver = Callable[[Followed | FollowerState], None]


def _told_nothing() -> Position:
    return NO_POSITION


class Follower:
    """A loop over one topic; runs as a task of its own.

    Parameters
    ----------
    deliver : callable
        Takes what was read.
    wanted : callable
        Returns whether to read now; what others have read may do. Whoever changes
        that pokes the follower.
    told_to : callable
        Returns the position up to which all records are known, from any source.
    """

    def __init__(
        self,
        topic: Topic,
        log_of_records: SharedLog,
        pace: Pace,
        deliver: Deliver,
        wanted: Callable[[], bool],
        clock: Clock,
        log: Logger,
        told_to: Callable[[], Position] = _told_nothing,
    ) -> None:
        self._topic = topic
        self._records = log_of_records
        self._pace = pace
        self._deliver = deliver
        self._clock = clock
        self._log = log
        self._next: Position | None = None
        self._consecutive_restarts = 0
        self._news_at: deque[timedelta] = deque(maxlen=NEWS_AT_ONCE)
        self._rested = ZERO
        self._available: bool | None = None
        self._failures = 0
        self._wanted = wanted
        self._told_to = told_to
        self._stopping = False
        self._poked: Future[None] = Future()

    def run(self) -> Steps[None]:
        """Follow the topic until `stop`."""
        while not self._stopping:
            if not self._poked.done() and not self._wanted():
                yield self._poked
                continue
            self._poked = Future()
            pause = yield from self.step()
            if pause > timedelta():
                yield Wait(self._clock.monotonic() + pause, future=self._poked)
        self._records.close()

    def poke(self) -> None:
        """Read once, and now."""
        if not self._poked.done():
            self._poked.set_result(None)

    def step(self) -> Steps[timedelta]:
        """Make one call; return how long to pause before the next."""
        told_to = self._told_to()
        if self._next is None or era_of(self._next) < era_of(told_to):
            # Only a whole list shows which records a restored log lacks.
            return (yield from self._start())
        began = self._clock.monotonic()
        # Else one that reads after a long time would get all of that time before news.
        self._next = max(self._next, Position(told_to + 1))
        # Who has rested is answered as soon as who has not: others count on that.
        wait = max(self._pace.wait - self._rested, ZERO)
        self._rested = ZERO
        result = yield from self._records.read(self._topic, self._next, wait)
        if isinstance(result, Unavailable):
            return self._failed(result, began)
        if isinstance(result, Gone):
            self._answered()
            return self._restart("history gone", self._next)
        if era_of(result.end) > era_of(self._next):
            self._answered()
            return self._restart("log restored", result.end)
        if era_of(result.end) < era_of(self._next):
            return self._failed(Unavailable("response from an earlier era"), began)
        self._answered()
        self._consecutive_restarts = 0
        self._take(result, began)
        if result.records:
            self._rested = self._rest_after_news()
        return self._pace.pause + self._rested

    def _rest_after_news(self) -> timedelta:
        """Return how long to let news gather; nothing while there is little."""
        now = self._clock.monotonic()
        self._news_at.append(now)
        if len(self._news_at) < NEWS_AT_ONCE:
            return ZERO
        return max(self._news_at[0] + self._pace.news_within - now, ZERO)

    def _restart(self, event: str, at: Position) -> timedelta:
        """Make the next call read the newest records; return the pause before it."""
        self._log.info(event, topic=self._topic, at=at)
        self._next = None
        self._consecutive_restarts += 1
        # Prevents a tight loop when each read after the newest records fails.
        return FIRST_PAUSE if self._consecutive_restarts > 1 else ZERO

    def _start(self) -> Steps[timedelta]:
        began = self._clock.monotonic()
        result = yield from self._records.newest(self._topic)
        if isinstance(result, Unavailable):
            return self._failed(result, began)
        assert isinstance(result, Newest)
        if era_of(result.end) < era_of(self._told_to()):
            return self._failed(Unavailable("response from an earlier era"), began)
        self._answered()
        self._next = result.end
        read_to = max((record.offset for record in result.records), default=NO_POSITION)
        self._deliver(
            Followed(self._topic, result.records, result.end, read_to, True, began)
        )
        return self._pace.pause

    def _take(self, result: Records, asked_at: timedelta) -> None:
        if result.records:
            self._next = Position(result.records[-1].offset + 1)
        assert self._next is not None
        read_to = Position(self._next - 1)
        self._deliver(
            Followed(self._topic, result.records, result.end, read_to, False, asked_at)
        )

    def _failed(self, result: Unavailable, began: timedelta) -> timedelta:
        self._failures += 1
        took = self._clock.monotonic() - began
        if self._available is not False:
            self._available = False
            self._log.warning(
                "log lost",
                topic=self._topic,
                detail=result.detail,
                after_s=took.total_seconds(),
            )
            self._deliver(FollowerState(self._topic, False))
        pause = min(FIRST_PAUSE * 2 ** min(self._failures - 1, 4), LONGEST_PAUSE)
        # Counted from the call's beginning: one that hung was pause enough.
        return max(pause - took, timedelta())

    def _answered(self) -> None:
        self._failures = 0
        if self._available is not True:
            self._available = True
            self._log.info("log there", topic=self._topic)
            self._deliver(FollowerState(self._topic, True))

    def stop(self) -> None:
        """End after the call under way."""
        self._stopping = True
        self.poke()
