"""Reads of the simulated log by machines: the product's followers on a manual clock.

A read that the store does not answer lasts until its time-out, as on a real machine.
"""

from collections import Counter
from collections.abc import Callable, Generator
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, Protocol

from ashhoist import logs
from ashhoist.clock import Clock
from ashhoist.loop import Steps, Wait
from ashhoist.store import (
    DEFAULT_CALL_TIMEOUT,
    Follower,
    Gone,
    Newest,
    ReadPacing,
    Record,
    Records,
    Topic,
    Unavailable,
    offset_of,
    position,
)
from ashhoist.store.follower import FollowedRecords, LogAvailability

from .platform_stand_ins.log_state import LogState

ANSWER_DELAY = timedelta(milliseconds=4)
POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which a long poll checks for new records."""


class ReadableStore(Protocol):
    """The part of `WorldStore` that reads depend on."""

    clock: Clock
    log: LogState
    hides_new_records: bool
    reads: int
    reads_by_topic: Counter[Topic]
    bytes_per_s: float

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        """Run a step after a delay."""


class WorldLog:
    """One machine's connection to the store, for one topic.

    Parameters
    ----------
    store_answers : callable
        Returns whether the store answers this machine's calls now. A call made while
        it does not is never answered; neither is a long poll that is pending then.
    """

    def __init__(self, store: ReadableStore, store_answers: Callable[[], bool]) -> None:
        self._store = store
        self._store_answers = store_answers

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        self._store.reads += 1
        self._store.reads_by_topic[topic] += 1
        started_at = self._store.clock.monotonic()
        while True:
            if not self._store_answers():
                yield Wait(started_at + wait + DEFAULT_CALL_TIMEOUT)
                return Unavailable("timeout")
            first = offset_of(start)
            found = self._store.log.read(topic, first)
            if found is None:
                return Gone()
            now = self._store.clock.monotonic()
            if found or now - started_at >= wait:
                break
            yield Wait(min(now + POLL_INTERVAL, started_at + wait))
        size = sum(len(value or b"") for _, value in found)
        transfer_time = timedelta(seconds=size / self._store.bytes_per_s)
        yield Wait(self._store.clock.monotonic() + ANSWER_DELAY + transfer_time)
        era = self._store.log.era
        end = position(era, self._store.log.topics[topic].end)
        if self._store.hides_new_records:
            return Records((), end)
        numbered = enumerate(found, position(era, first))
        return Records(
            tuple(Record(at, key, value) for at, (key, value) in numbered), end
        )

    def newest(
        self,
        topic: Topic,
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
        partition: int = 0,
    ) -> Steps[Newest | Unavailable]:
        self._store.reads += 1
        self._store.reads_by_topic[topic] += 1
        if not self._store_answers():
            yield Wait(self._store.clock.monotonic() + timeout)
            return Unavailable("timeout")
        yield Wait(self._store.clock.monotonic() + ANSWER_DELAY)
        found = self._store.log.topics[topic]
        era = self._store.log.era
        newest = tuple(
            Record(position(era, offset), key, value)
            for key, (offset, value) in found.newest.items()
        )
        return Newest(newest, position(era, found.end))

    def append(self, *_: Any, **__: Any) -> Any:
        raise NotImplementedError("followers only read")

    def close(self) -> None:
        pass


class WorldFollower:
    """Runs one follower on a machine.

    Parameters
    ----------
    run_step : callable
        Runs a step of the machine's process, unless the process has ended.
    """

    def __init__(
        self,
        store: ReadableStore,
        topic: Topic,
        pace: ReadPacing,
        store_answers: Callable[[], bool],
        wanted: Callable[[], bool],
        read_after: Callable[[], int],
        on_followed: Callable[[FollowedRecords], None],
        run_step: Callable[[Callable[[], None]], None],
    ) -> None:
        self._store = store
        self._on_followed = on_followed
        self._run_step = run_step
        self._wait_count = 0
        self.follower = Follower(
            topic,
            WorldLog(store, store_answers),
            pace,
            self._deliver,
            wanted,
            store.clock,
            logs.get("store"),
            read_after,
        )
        self._steps: Generator[Any, Any, None] = self.follower.run()
        self._advance()

    def _deliver(self, update: FollowedRecords | LogAvailability) -> None:
        if isinstance(update, FollowedRecords):
            self._on_followed(update)

    def _advance(self) -> None:
        yielded = next(self._steps, None)
        if yielded is None:
            return
        wait = Wait(future=yielded) if isinstance(yielded, Future) else yielded
        self._wait_count += 1
        number = self._wait_count

        def wake() -> None:
            if number == self._wait_count:
                self._advance()

        if wait.until is not None:
            seconds = (wait.until - self._store.clock.monotonic()).total_seconds()
            self._store.after(max(seconds, 0.0), lambda: self._run_step(wake))
        if wait.future is not None:
            wait.future.add_done_callback(
                lambda _: self._store.after(0.0, lambda: self._run_step(wake))
            )
