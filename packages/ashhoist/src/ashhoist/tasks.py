"""Tasks: each owns its sockets and its state, and talks by messages.

A task is a loop over one mailbox that runs on a thread of an executor. Nothing
outside touches what the task owns: others call `send`, and get answers as
messages or through a `concurrent.futures.Future` in the message.
"""

import queue
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, ClassVar, TypeVar

from .logs import Logger

Handler = Callable[[Any, Any], None]
F = TypeVar("F", bound=Handler)

DRAIN_LIMIT = 256


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask a task to end."""


def handles(message: type) -> Callable[[F], F]:
    """Register a method as the handler of one message type."""

    def decorate(method: F) -> F:
        vars(method).setdefault("_handles", []).append(message)
        return method

    return decorate


class Task:
    """A loop over a mailbox.

    Parameters
    ----------
    name : str
        Used for the thread and in logs.
    interval : timedelta
        How often `tick` is called while messages keep away.
    """

    _handlers: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        handlers = dict(cls._handlers)
        for member in vars(cls).values():
            for message in getattr(member, "_handles", ()):
                handlers[message] = member
        cls._handlers = handlers

    def __init__(self, name: str, log: Logger, interval: timedelta) -> None:
        self.name = name
        self.log = log
        self._interval = interval.total_seconds()
        self._mailbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._stopping = False
        self._tick_at = 0.0

    def start(self, executor: ThreadPoolExecutor) -> "Future[None]":
        """Run the task on a thread of `executor`."""
        return executor.submit(self.run)

    def send(self, message: Any) -> None:
        """Put a message into the mailbox. Never blocks."""
        self._mailbox.put(message)

    def run(self) -> None:
        """Handle messages until a `Stop` comes."""
        self.opened()
        while not self._stopping:
            self._run_once()
        self.closed()

    def _run_once(self) -> None:
        try:
            message = self._mailbox.get(timeout=self.interval())
        except queue.Empty:
            message = None
        for _ in range(DRAIN_LIMIT):
            if message is not None:
                self.handle(message)
            try:
                message = self._mailbox.get_nowait()
            except queue.Empty:
                break
        else:
            self.handle(message)
        self.guarded(self.settle)
        now = time.monotonic()
        if now >= self._tick_at:
            self._tick_at = now + self.interval()
            self.guarded(self.tick)

    def handle(self, message: Any) -> None:
        """Call the handler of the message's type."""
        if isinstance(message, Stop):
            self._stopping = True
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self.log.error("no handler", message=type(message).__name__)
            return
        self.guarded(handler, self, message)

    def guarded(self, function: Callable[..., None], *args: Any) -> None:
        """Call `function`; a defect in it is logged and ends nothing else."""
        try:
            function(*args)
        except Exception:
            self.log.exception("task step failed", task=self.name)

    def opened(self) -> None:
        """Open what the task owns. Runs on the task's thread."""

    def closed(self) -> None:
        """Close what the task owns. Runs on the task's thread."""

    def interval(self) -> float:
        """Return the seconds until `tick` is due while messages keep away."""
        return self._interval

    def settle(self) -> None:
        """Do what is due after a round of messages."""

    def tick(self) -> None:
        """Do what is due by time."""
