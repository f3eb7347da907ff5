"""How the machines of a `World` read its log: the product's followers, on its clock.

A read that the store leaves unanswered costs its whole time, as on a machine.
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

ANSWERED_IN = timedelta(milliseconds=4)
LOOKS_EVERY = timedelta(milliseconds=20)
"""How often a read that is held looks for records."""


class Reach(Protocol):
    """What a machine's reads depend on."""

    clock: Clock
    log: LogState
    deaf: bool
    reads: int
    reads_by_topic: Counter[Topic]
    bytes_per_s: float

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        """Do a step later."""


class WorldLog:
    """One machine's connection to the store, for one topic.

    Parameters
    ----------
    reaches : callable
        Returns whether the store takes this machine's calls now. One that is not
        taken, or that is held when that ends, is never answered.
    """

    def __init__(self, world: Reach, reaches: Callable[[], bool]) -> None:
        self._world = world
        self._reaches = reaches

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        self._world.reads += 1
        self._world.reads_by_topic[topic] += 1
        began = self._world.clock.monotonic()
        while True:
            if not self._reaches():
                yield Wait(began + wait + DEFAULT_CALL_TIMEOUT)
                return Unavailable("timeout")
            first = offset_of(start)
            found = self._world.log.read(topic, first)
            if found is None:
                return Gone()
            now = self._world.clock.monotonic()
            if found or now - began >= wait:
                break
            yield Wait(min(now + LOOKS_EVERY, began + wait))
        size = sum(len(value or b"") for _, value in found)
        carried_in = timedelta(seconds=size / self._world.bytes_per_s)
        yield Wait(self._world.clock.monotonic() + ANSWERED_IN + carried_in)
        era = self._world.log.era
        end = position(era, self._world.log.topics[topic].end)
        if self._world.deaf:
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
        self._world.reads += 1
        self._world.reads_by_topic[topic] += 1
        if not self._reaches():
            yield Wait(self._world.clock.monotonic() + timeout)
            return Unavailable("timeout")
        yield Wait(self._world.clock.monotonic() + ANSWERED_IN)
        found = self._world.log.topics[topic]
        era = self._world.log.era
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
    """Runs one follower of a machine.

    Parameters
    ----------
    do : callable
        Runs a step of the machine's process, if it still lives.
    """

    def __init__(
        self,
        world: Reach,
        topic: Topic,
        pace: ReadPacing,
        reaches: Callable[[], bool],
        wanted: Callable[[], bool],
        read_after: Callable[[], int],
        take: Callable[[FollowedRecords], None],
        do: Callable[[Callable[[], None]], None],
    ) -> None:
        self._world = world
        self._take = take
        self._do = do
        self._waits = 0
        self.follower = Follower(
            topic,
            WorldLog(world, reaches),
            pace,
            self._deliver,
            wanted,
            world.clock,
            logs.get("store"),
            read_after,
        )
        self._steps: Generator[Any, Any, None] = self.follower.run()
        self._go_on()

    def _deliver(self, news: FollowedRecords | LogAvailability) -> None:
        if isinstance(news, FollowedRecords):
            self._take(news)

    def _go_on(self) -> None:
        waits = next(self._steps, None)
        if waits is None:
            return
        wait = Wait(future=waits) if isinstance(waits, Future) else waits
        self._waits += 1
        number = self._waits

        def wake() -> None:
            if number == self._waits:
                self._go_on()

        if wait.until is not None:
            seconds = (wait.until - self._world.clock.monotonic()).total_seconds()
            self._world.after(max(seconds, 0.0), lambda: self._do(wake))
        if wait.future is not None:
            wait.future.add_done_callback(
                lambda _: self._world.after(0.0, lambda: self._do(wake))
            )
