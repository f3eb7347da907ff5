"""One loop a process: it waits in one place, for sockets, timers and other threads.

Everything that serves runs on the loop's thread, so nothing there needs a lock.
A turn of the loop is one wait, then all that became due. The wait lasts until
the next timer; there is no tick.

A timer that runs late looks at the sockets again first: while the process was held up,
what the timer's owner waits for may have arrived.
"""

import heapq
import itertools
import select
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from ..clock import Clock
from ..logs import Logger

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
READ_OR_GONE = select.EPOLLIN | select.EPOLLPRI | select.EPOLLHUP | select.EPOLLERR
WRITE_OR_GONE = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR
MOST_EVENTS = 256
"""Sockets that are served in one turn; the others follow in the next."""
NO_WAIT = 0.0
MAX_WAIT_S = 3600.0
"""The operating system takes no wait of 25 days or more; timers may be due later."""
MOST_LOOKS = 16
"""Looks at the sockets before late timers run: enough for 4,096 sockets, and bounded so
that timers run under any load."""
LONG_TURN = timedelta(milliseconds=50)
"""A turn that takes so long is logged: all else has waited for it."""
LATE_TIMER = timedelta(milliseconds=50)
"""A timer that runs so late is logged: the process got no processor time, or a turn was
long."""

Callback = Callable[[], None]


class Poller(Protocol):
    """The part of `select.epoll` that the loop uses; tests pass their own."""

    def register(self, fd: int, eventmask: int) -> None:
        """Begin to watch a descriptor."""

    def modify(self, fd: int, eventmask: int) -> None:
        """Watch a descriptor for something else."""

    def unregister(self, fd: int) -> None:
        """Watch a descriptor no more."""

    def poll(self, timeout: float | None, maxevents: int) -> list[tuple[int, int]]:
        """Return descriptors that are ready; wait at most `timeout` seconds."""


class Timer:
    """A callback that is due at a moment; may be cancelled."""

    __slots__ = ("at", "callback")

    def __init__(self, at: timedelta, callback: Callback) -> None:
        self.at = at
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Make the timer do nothing."""
        self.callback = None


class Loop:
    """Waits for sockets and timers, and runs what they are waited for.

    Parameters
    ----------
    clock : Clock
        Timers go by its monotonic time.
    poller : Poller or None
        What waits for sockets; None takes the operating system's.

    Attributes
    ----------
    turns : int
        Number of the present turn.
    last_turn : timedelta
        How long the turn before took, its wait left out.
    on_turn : callable or None
        Takes how long each turn took, its wait left out.
    """

    def __init__(self, clock: Clock, log: Logger, poller: Poller | None = None) -> None:
        self.clock = clock
        self.log = log
        self.turns = 0
        self.last_turn = timedelta()
        self.on_turn: Callable[[timedelta], None] | None = None
        self._poller: Poller = select.epoll() if poller is None else poller
        self._masks: dict[int, int] = {}
        self._readers: dict[int, Callback] = {}
        self._writers: dict[int, Callback] = {}
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._numbers = itertools.count()
        self._ready: deque[Callback] = deque()
        self._at_end_of_turn: list[Callback] = []
        self._from_threads: deque[Callback] = deque()
        self._stopped = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        self.on_readable(self._wake_reader.fileno(), self._woken)

    # Running

    def run(self) -> None:
        """Run until `stop`."""
        while not self._stopped:
            self.run_turn()

    def run_turn(self) -> None:
        """Wait once, then run all that is due."""
        events = self._poller.poll(self._longest_wait(), MOST_EVENTS)
        began = self.clock.monotonic()
        self.turns += 1
        self._dispatch_all(events)
        self._run_due_timers()
        for _ in range(len(self._ready)):
            self._guarded(self._ready.popleft())
        ends, self._at_end_of_turn = self._at_end_of_turn, []
        for callback in ends:
            self._guarded(callback)
        self._measure_turn(began, len(events))

    def _measure_turn(self, began: timedelta, events: int) -> None:
        took = self.clock.monotonic() - began
        self.last_turn = took
        if self.on_turn is not None:
            self.on_turn(took)
        if took >= LONG_TURN:
            took_ms = round(took / timedelta(milliseconds=1))
            self.log.warning("loop held up", took_ms=took_ms, events=events)

    def stop(self) -> None:
        """End `run` after the present turn."""
        self._stopped = True

    def close(self) -> None:
        """Give back the loop's own descriptors."""
        self._wake_reader.close()
        self._wake_writer.close()
        if isinstance(self._poller, select.epoll):
            self._poller.close()

    def _guarded(self, callback: Callback) -> None:
        """Run a callback; a defect in it is logged and ends nothing else."""
        try:
            callback()
        except Exception:
            self.log.exception("callback failed")

    # Callbacks

    def call_soon(self, callback: Callback) -> None:
        """Run a callback in this turn or the next."""
        self._ready.append(callback)

    def call_at_end_of_turn(self, callback: Callback) -> None:
        """Run a callback when all else of the turn is done, as to send a batch."""
        self._at_end_of_turn.append(callback)

    def call_at(self, at: timedelta, callback: Callback) -> Timer:
        """Run a callback at a moment of the monotonic clock."""
        timer = Timer(at, callback)
        heapq.heappush(self._timers, (at, next(self._numbers), timer))
        return timer

    def call_from_thread(self, callback: Callback) -> None:
        """Run a callback on the loop; the only call for other threads and signals."""
        self._from_threads.append(callback)
        try:
            self._wake_writer.send(b"w")
        except (BlockingIOError, OSError):
            # The buffer is full of wake-ups already, or the loop is closed.
            return

    def _woken(self) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            pass
        while self._from_threads:
            self._ready.append(self._from_threads.popleft())

    # Timers

    def _longest_wait(self) -> float | None:
        """Return for how many seconds nothing is due; None is for ever."""
        if self._ready or self._at_end_of_turn or self._stopped:
            return NO_WAIT
        next_at = self._next_timer_at()
        if next_at is None:
            return None
        left = (next_at - self.clock.monotonic()).total_seconds()
        return min(max(left, NO_WAIT), MAX_WAIT_S)

    def _next_timer_at(self) -> timedelta | None:
        timers = self._timers
        while timers and timers[0][2].callback is None:
            heapq.heappop(timers)
        return timers[0][0] if timers else None

    def _run_due_timers(self) -> None:
        """Run the timers that are due; sockets that became ready by then go first."""
        next_at = self._next_timer_at()
        if next_at is None:
            return
        now = self.clock.monotonic()
        if next_at < now:
            self._look_again()
        if now - next_at >= LATE_TIMER:
            late_ms = round((now - next_at) / timedelta(milliseconds=1))
            self.log.warning("timers late", late_ms=late_ms)
        timers = self._timers
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._guarded(callback)

    def _look_again(self) -> None:
        """Dispatch all sockets that are ready now.

        `poll` may have returned before they were, or, after a pause of the process,
        without looking.
        """
        for _ in range(MOST_LOOKS):
            events = self._poller.poll(NO_WAIT, MOST_EVENTS)
            self._dispatch_all(events)
            if len(events) < MOST_EVENTS:
                return

    # Sockets

    def on_readable(self, descriptor: int, callback: Callback) -> None:
        """Call back whenever a descriptor has something to say, or is gone."""
        self._readers[descriptor] = callback
        self._watch(descriptor, READ)

    def on_writable(self, descriptor: int, callback: Callback) -> None:
        """Call back whenever a descriptor takes bytes, or is gone."""
        self._writers[descriptor] = callback
        self._watch(descriptor, WRITE)

    def _watch(self, descriptor: int, wanted: int) -> None:
        mask = self._masks.get(descriptor)
        if mask is None:
            self._poller.register(descriptor, wanted)
            self._masks[descriptor] = wanted
            return
        if not mask & wanted:
            self._poller.modify(descriptor, mask | wanted)
            self._masks[descriptor] = mask | wanted

    def off_readable(self, descriptor: int) -> None:
        """Call back no more.

        The descriptor stays registered, so that who waits again and again costs no
        system call; it is taken out once it has something to say to nobody.
        """
        self._readers.pop(descriptor, None)

    def off_writable(self, descriptor: int) -> None:
        """Call back no more; as with `off_readable`."""
        self._writers.pop(descriptor, None)

    def forget(self, descriptor: int) -> None:
        """Drop all that is kept of a descriptor, right before it is closed."""
        self._readers.pop(descriptor, None)
        self._writers.pop(descriptor, None)
        if self._masks.pop(descriptor, None) is not None:
            self._poller.unregister(descriptor)

    def _dispatch_all(self, events: list[tuple[int, int]]) -> None:
        for descriptor, mask in events:
            self._dispatch(descriptor, mask)

    def _dispatch(self, descriptor: int, mask: int) -> None:
        reader = self._readers.get(descriptor) if mask & READ_OR_GONE else None
        writer = self._writers.get(descriptor) if mask & WRITE_OR_GONE else None
        if reader is not None:
            self._guarded(reader)
        if writer is not None and self._writers.get(descriptor) is writer:
            self._guarded(writer)
        unheard = mask & READ and reader is None
        unheard = unheard or (mask & WRITE and writer is None)
        if unheard or (reader is None and writer is None):
            self._silence(descriptor)

    def _silence(self, descriptor: int) -> None:
        """Watch a descriptor only for what somebody waits for."""
        if descriptor not in self._masks:
            return
        wanted = READ if descriptor in self._readers else 0
        wanted |= WRITE if descriptor in self._writers else 0
        if not wanted:
            del self._masks[descriptor]
            self._poller.unregister(descriptor)
            return
        self._masks[descriptor] = wanted
        self._poller.modify(descriptor, wanted)
