"""Tasks: generators that read from top to bottom and wait by yielding.

A step of a task yields a `Wait`, or a `concurrent.futures.Future`. The loop goes
on with the task when what it waits for is there::

    def echo(peer, loop):
        ready = yield Wait(loop.clock.monotonic() + PATIENCE, (peer.fileno(),))
        if ready is None:
            return
        peer.send(peer.recv(READ_SIZE))

    loop_task = Task(loop, echo(peer, loop), "echo")

A function that waits is called with ``yield from``; its result type is written
as ``Steps[Result]``.
"""

from collections.abc import Callable, Generator
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any, TypeVar

from .loop import Loop, Timer

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Wait:
    """What a task waits for; the first of these lets it go on.

    A task that yields a `Wait` gets the descriptor that is ready, or None if time
    is up or the future is done.

    Parameters
    ----------
    until : timedelta or None
        On the monotonic clock; None waits for ever.
    readable : tuple of int
        Descriptors that have something to say, or whose other side is gone.
    writable : int or None
        A descriptor that takes bytes.
    future : Future or None
        Done by somebody else on the loop.
    """

    until: timedelta | None = None
    readable: tuple[int, ...] = ()
    writable: int | None = None
    future: "Future[Any] | None" = None


Steps = Generator["Wait | Future[Any]", Any, T]
"""The steps of a function that may wait, and its result."""


def sleep_until(at: timedelta) -> Steps[None]:
    """Wait for a moment of the monotonic clock."""
    yield Wait(at)


class Task:
    """Runs the steps of one function on a loop.

    Parameters
    ----------
    name : str
        For the log line if the function fails.
    """

    __slots__ = ("_alarm", "_loop", "_steps", "_waits", "name", "result")

    def __init__(self, loop: Loop, steps: Steps[Any], name: str) -> None:
        self.name = name
        self.result: Future[Any] = Future()
        self._loop = loop
        self._steps = steps
        self._waits: Wait | None = None
        self._alarm: Timer | None = None
        loop.call_soon(self._begin)

    def cancel(self) -> None:
        """Break the function off where it waits; its ``finally`` parts run."""
        if self.result.done():
            return
        self._stop_waiting()
        self._steps.close()
        self._end()
        self.result.cancel()

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the function where it waits; it may handle it and go on.

        The function must have begun, or it could not handle anything.
        """
        if self.result.done():
            return
        self._stop_waiting()
        self._step(lambda: self._steps.throw(error))

    def _begin(self) -> None:
        if not self.result.done():
            self._go_on(None)

    def _go_on(self, value: Any) -> None:
        self._step(lambda: self._steps.send(value))

    def _step(self, step: Callable[[], Any]) -> None:
        try:
            waits = step()
        except StopIteration as stop:
            self._end()
            self.result.set_result(stop.value)
            return
        except Exception as error:
            self._loop.log.exception("task failed", task=self.name)
            self._end()
            self.result.set_exception(error)
            return
        if isinstance(waits, Future):
            waits = Wait(future=waits)
        try:
            self._wait(waits)
        except (OSError, ValueError) as error:
            # It waits for a descriptor that is closed: its steps must know.
            failed = error
            self._stop_waiting()
            self._step(lambda: self._steps.throw(failed))

    def _end(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None

    # Waiting

    def _wait(self, waits: Wait) -> None:
        future = waits.future
        if future is not None and future.done():
            self._waits = waits
            self._loop.call_soon(lambda: self._future_done(waits))
            return
        self._waits = waits
        loop = self._loop
        for descriptor in waits.readable:
            loop.on_readable(descriptor, partial(self._woken, descriptor))
        if waits.writable is not None:
            loop.on_writable(waits.writable, partial(self._woken, waits.writable))
        if future is not None:
            future.add_done_callback(
                lambda _: loop.call_soon(lambda: self._future_done(waits))
            )
        if waits.until is not None:
            self._set_alarm(waits.until)

    def _set_alarm(self, until: timedelta) -> None:
        """Have an alarm by `until`; an earlier one is kept and set again then."""
        alarm = self._alarm
        if alarm is not None:
            if alarm.at <= until:
                return
            alarm.cancel()
        self._alarm = self._loop.call_at(until, self._alarmed)

    def _alarmed(self) -> None:
        self._alarm = None
        waits = self._waits
        if waits is None or waits.until is None:
            return
        if self._loop.clock.monotonic() < waits.until:
            self._set_alarm(waits.until)
            return
        self._woken(None)

    def _future_done(self, waits: Wait) -> None:
        # The task may have gone on for another reason since.
        if self._waits is waits:
            self._woken(None)

    def _woken(self, descriptor: int | None) -> None:
        self._stop_waiting()
        self._go_on(descriptor)

    def _stop_waiting(self) -> None:
        waits, self._waits = self._waits, None
        if waits is None:
            return
        for descriptor in waits.readable:
            self._loop.off_readable(descriptor)
        if waits.writable is not None:
            self._loop.off_writable(waits.writable)
