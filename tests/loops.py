"""Event loops for tests: one that runs steps to their end, one on a thread."""

import threading
from concurrent.futures import Future
from typing import Any, TypeVar

from ashhoist import logs
from ashhoist.clock import SystemClock
from ashhoist.loop import Loop, Steps, Task

T = TypeVar("T")
LONGEST = 30.0


def new_loop() -> Loop:
    """Return a loop on the real clock."""
    return Loop(SystemClock(), logs.get("loop"))


def run(loop: Loop, steps: Steps[T]) -> T:
    """Run steps to their end on a loop that nobody else runs."""
    task = Task(loop, steps, "test")
    while not task.result.done():
        loop.run_turn()
    result: T = task.result.result()
    return result


def finish(steps: Steps[T]) -> T:
    """Return the result of steps that need not wait."""
    try:
        waits = next(steps)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise AssertionError(f"it waits: {waits}")


class ThreadLoop:
    """A loop that runs on a thread of its own."""

    def __init__(self) -> None:
        self.loop = new_loop()
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def call(self, function: Any, *args: Any) -> Any:
        """Call a function on the loop's thread and return its result."""
        done: Future[Any] = Future()

        def call() -> None:
            try:
                done.set_result(function(*args))
            except Exception as error:
                done.set_exception(error)

        self.loop.call_from_thread(call)
        return done.result(LONGEST)

    def close(self) -> None:
        """End the loop and its thread."""
        self.call(self.loop.stop)
        self._thread.join(LONGEST)
        self.loop.close()
