"""The event loop: what it waits for, and what it costs at rest."""

import itertools
import socket
import unittest
import unittest.mock
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ashhoist import logs
from ashhoist.clock import ManualClock
from ashhoist.http.sockets import send_all
from ashhoist.loop import Loop, Steps, Task, Wait, sleep_until
from ashhoist.loop.loop import MOST_EVENTS, READ

from .loops import new_loop, run

SECOND = timedelta(seconds=1)
NOISE = b"x" * 4_000_000


class NothingDueError(Exception):
    """The loop would wait for ever."""


class CountingPoller:
    """Counts what the loop asks of the operating system; time passes in its waits."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.masks: dict[int, int] = {}
        self.calls = 0
        self.polls = 0
        self.events: list[tuple[int, int]] = []

    def register(self, fd: int, eventmask: int) -> None:
        self.calls += 1
        self.masks[fd] = eventmask

    def modify(self, fd: int, eventmask: int) -> None:
        self.calls += 1
        self.masks[fd] = eventmask

    def unregister(self, fd: int) -> None:
        self.calls += 1
        del self.masks[fd]

    def poll(self, timeout: float | None, maxevents: int) -> list[tuple[int, int]]:
        self.polls += 1
        events, self.events = self.events, []
        if not events and timeout is None:
            raise NothingDueError
        if not events:
            self._clock.advance(timedelta(seconds=timeout or 0.0))
        return events


class LongTurnTests(unittest.TestCase):
    """A callback that holds up all others is seen."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = Loop(self.clock, logs.get("loop"), CountingPoller(self.clock))
        self.addCleanup(self.loop.close)
        self.turns: list[timedelta] = []
        self.loop.on_turn = self.turns.append

    def test_a_turn_is_measured_without_its_wait(self) -> None:
        took = timedelta(milliseconds=30)
        self.loop.call_at(SECOND, lambda: self.clock.advance(took))
        self.loop.run_turn()
        self.assertEqual(self.turns, [took])

    def test_a_long_turn_is_logged(self) -> None:
        self.loop.call_soon(lambda: self.clock.advance(timedelta(milliseconds=80)))
        with unittest.mock.patch.object(self.loop, "log") as log:
            self.loop.run_turn()
        log.warning.assert_called_once_with("loop held up", took_ms=80, events=0)


class LoopTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.poller = CountingPoller(self.clock)
        self.loop = Loop(self.clock, logs.get("loop"), self.poller)
        self.addCleanup(self.loop.close)
        self.seen: list[Any] = []

    def task(self, steps: Steps[Any]) -> Task:
        return Task(self.loop, steps, "test")

    def turns(self, most: int) -> None:
        """Run so many turns, or until nothing is due any more."""
        for _ in range(most):
            try:
                self.loop.run_turn()
            except NothingDueError:
                return

    def pair(self) -> tuple[socket.socket, socket.socket]:
        one, other = socket.socketpair()
        for end in (one, other):
            end.setblocking(False)
            self.addCleanup(end.close)
        return one, other


class TimerTests(LoopTestCase):
    def test_timers_run_in_the_order_of_their_moments(self) -> None:
        for after in (3, 1, 2):
            self.loop.call_at(after * SECOND, lambda n=after: self.seen.append(n))
        self.turns(3)
        self.assertEqual(self.seen, [1, 2, 3])

    def test_a_cancelled_timer_does_nothing_and_wakes_nobody(self) -> None:
        self.loop.call_at(SECOND, lambda: self.seen.append("cancelled")).cancel()
        self.loop.call_at(5 * SECOND, lambda: self.seen.append("kept"))
        self.turns(1)
        self.assertEqual((self.seen, self.clock.monotonic()), (["kept"], 5 * SECOND))

    def test_the_loop_waits_until_the_next_timer_and_no_shorter(self) -> None:
        self.loop.call_at(60 * SECOND, lambda: self.seen.append("due"))
        self.turns(1)
        self.assertEqual((self.poller.polls, self.seen), (1, ["due"]))

    def test_a_timer_beyond_the_longest_wait_of_the_system(self) -> None:
        # Guards against a wait that the operating system refuses, which ends the loop.
        loop = new_loop()
        self.addCleanup(loop.close)
        loop.call_at(timedelta(days=40_000), lambda: self.seen.append("far"))
        loop.call_from_thread(lambda: self.seen.append("called"))
        while not self.seen:
            loop.run_turn()
        self.assertEqual(self.seen, ["called"])

    def test_a_defect_in_a_callback_ends_nothing_else(self) -> None:
        self.loop.call_soon(lambda: 1 // 0)
        self.loop.call_soon(lambda: self.seen.append("next"))
        self.turns(1)
        self.assertEqual(self.seen, ["next"])

    def test_what_is_put_off_to_the_end_of_a_turn_comes_last(self) -> None:
        self.loop.call_at_end_of_turn(lambda: self.seen.append("end"))
        self.loop.call_soon(lambda: self.seen.append("soon"))
        self.loop.call_at(timedelta(), lambda: self.seen.append("timer"))
        self.turns(1)
        self.assertEqual(self.seen, ["timer", "soon", "end"])


class LateTimerTests(LoopTestCase):
    """The process is held up, and something arrives before it goes on."""

    def hold_up(self) -> None:
        """Let the next poll return late, having seen nothing of the socket."""
        one, other = self.pair()
        poll = self.poller.poll

        def late(timeout: float | None, maxevents: int) -> list[tuple[int, int]]:
            self.poller.poll = poll  # type: ignore[method-assign]
            self.clock.advance(5 * SECOND)
            self.poller.events = [(one.fileno(), READ)]
            return []

        def steps() -> Steps[None]:
            ready = yield Wait(SECOND, (one.fileno(),))
            self.seen.append(ready == one.fileno())

        self.task(steps())
        self.turns(1)
        self.poller.poll = late  # type: ignore[method-assign]
        self.turns(1)

    def test_what_arrived_goes_before_a_timer_that_is_late(self) -> None:
        self.hold_up()
        self.assertEqual(self.seen, [True])

    def test_what_arrived_in_the_long_turn_that_began_a_wait_goes_first(self) -> None:
        one, other = self.pair()

        def steps() -> Steps[None]:
            ready = yield Wait(self.clock.monotonic() + SECOND, (one.fileno(),))
            self.seen.append(ready == one.fileno())

        def begin_and_hold_up() -> None:
            self.task(steps())._begin()
            self.clock.advance(5 * SECOND)
            self.poller.events = [(one.fileno(), READ)]

        self.loop.on_readable(other.fileno(), begin_and_hold_up)
        self.poller.events = [(other.fileno(), READ)]
        self.turns(1)
        self.assertEqual(self.seen, [True])

    def test_timers_that_run_late_are_logged(self) -> None:
        with unittest.mock.patch.object(self.loop, "log") as log:
            self.hold_up()
        log.warning.assert_called_once_with("timers late", late_ms=4000)

    def test_all_sockets_that_are_ready_go_before_a_late_timer(self) -> None:
        self.loop.call_at(SECOND, lambda: self.seen.append(poll.call_count))
        self.clock.advance(2 * SECOND)
        looks = [[], [(0, READ)] * MOST_EVENTS, [(0, READ)]]
        poll = unittest.mock.Mock(side_effect=looks)
        with unittest.mock.patch.object(self.poller, "poll", poll):
            self.loop.run_turn()
        self.assertEqual(self.seen, [len(looks)])

    def test_late_timers_run_however_many_sockets_are_ready(self) -> None:
        self.loop.call_at(SECOND, lambda: self.seen.append("ran"))
        self.clock.advance(2 * SECOND)
        always = itertools.repeat([(0, READ)] * MOST_EVENTS)
        poll = unittest.mock.Mock(side_effect=always)
        with unittest.mock.patch.object(self.poller, "poll", poll):
            self.loop.run_turn()
        self.assertEqual(self.seen, ["ran"])


class TaskTests(LoopTestCase):
    def test_a_task_returns_what_its_steps_return(self) -> None:
        def steps() -> Steps[int]:
            yield from sleep_until(SECOND)
            return 7

        task = self.task(steps())
        self.turns(2)
        self.assertEqual(task.result.result(0), 7)

    def test_a_defect_in_a_task_is_its_result_and_ends_nothing_else(self) -> None:
        def steps() -> Steps[None]:
            yield from sleep_until(SECOND)
            raise ValueError("defect")

        task, other = self.task(steps()), self.task(sleep_until(2 * SECOND))
        self.turns(3)
        self.assertIsInstance(task.result.exception(0), ValueError)
        self.assertTrue(other.result.done())

    def test_a_future_lets_its_task_go_on(self) -> None:
        answer: Future[str] = Future()

        def steps() -> Steps[str]:
            yield answer
            return answer.result()

        task = self.task(steps())
        self.loop.call_at(SECOND, lambda: answer.set_result("there"))
        self.turns(3)
        self.assertEqual(task.result.result(0), "there")

    def test_a_future_that_is_done_late_does_not_wake_a_later_wait(self) -> None:
        answer: Future[None] = Future()

        def steps() -> Steps[None]:
            yield Wait(SECOND, future=answer)
            self.seen.append(self.clock.monotonic())
            yield Wait(9 * SECOND)
            self.seen.append(self.clock.monotonic())

        self.task(steps())
        self.loop.call_at(5 * SECOND, lambda: answer.set_result(None))
        self.turns(5)
        self.assertEqual(self.seen, [SECOND, 9 * SECOND])

    def test_a_cancelled_task_runs_its_last_part_and_no_more(self) -> None:
        def steps() -> Steps[None]:
            try:
                yield from sleep_until(SECOND)
                self.seen.append("went on")
            finally:
                self.seen.append("ended")

        task = self.task(steps())
        self.loop.call_soon(task.cancel)
        self.loop.call_at(2 * SECOND, lambda: None)
        self.turns(3)
        self.assertEqual(self.seen, ["ended"])
        self.assertTrue(task.result.cancelled())

    def test_an_interrupted_task_handles_the_error_and_goes_on(self) -> None:
        # What it waited for before must not wake it later.
        answer: Future[None] = Future()

        def steps() -> Steps[str]:
            try:
                yield Wait(2 * SECOND, future=answer)
            except KeyError:
                self.seen.append("interrupted")
            yield Wait(9 * SECOND)
            self.seen.append(self.clock.monotonic())
            return "result"

        task = self.task(steps())
        self.loop.call_soon(lambda: task.interrupt(KeyError()))
        self.loop.call_at(3 * SECOND, lambda: answer.set_result(None))
        self.turns(5)
        self.assertEqual(self.seen, ["interrupted", 9 * SECOND])
        self.assertEqual(task.result.result(0), "result")

    def test_a_task_that_has_ended_is_not_interrupted(self) -> None:
        task = self.task(sleep_until(SECOND))
        self.turns(2)
        task.interrupt(KeyError())
        self.assertIsNone(task.result.result(0))


class ClosedDescriptorTests(unittest.TestCase):
    def test_who_waits_for_a_closed_descriptor_is_told_and_ends(self) -> None:
        loop = new_loop()
        self.addCleanup(loop.close)
        peer = socket.socket()
        peer.close()
        ended: list[str] = []

        def steps() -> Steps[None]:
            try:
                yield Wait(readable=(peer.fileno(),))
            finally:
                ended.append("ended")

        with self.assertRaises(ValueError):
            run(loop, steps())
        self.assertEqual(ended, ["ended"])

    def test_each_that_waits_for_a_closed_descriptor_is_told(self) -> None:
        # Guards against a second task that waits for ever.
        loop = new_loop()
        self.addCleanup(loop.close)
        peer = socket.socket()
        peer.close()

        def steps() -> Steps[None]:
            yield Wait(loop.clock.monotonic() + SECOND, (peer.fileno(),))

        for _ in range(2):
            with self.assertRaises(ValueError):
                run(loop, steps())


class SocketTests(LoopTestCase):
    def reader(self, peer: socket.socket, until: timedelta) -> Steps[None]:
        while True:
            ready = yield Wait(until, (peer.fileno(),))
            self.seen.append(None if ready is None else peer.recv(100))
            if ready is None:
                return

    def say(self, here: socket.socket, there: socket.socket, data: bytes) -> None:
        """Let `there` be readable in the next turn."""
        here.send(data)
        self.poller.events.append((there.fileno(), 1))

    def test_who_waits_again_and_again_costs_no_call(self) -> None:
        here, there = self.pair()
        self.task(self.reader(there, 60 * SECOND))
        self.turns(1)
        calls = self.poller.calls
        for number in range(100):
            self.say(here, there, b"%d" % number)
            self.turns(1)
        self.assertEqual(len(self.seen), 100)
        self.assertEqual(self.poller.calls, calls)

    def test_a_far_limit_is_one_timer_however_often_it_is_waited_for(self) -> None:
        here, there = self.pair()
        self.task(self.reader(there, 60 * SECOND))
        for _ in range(50):
            self.say(here, there, b"x")
            self.turns(1)
        self.turns(1)
        self.assertEqual(self.clock.monotonic(), 60 * SECOND)
        self.assertIsNone(self.seen[-1])

    def test_what_nobody_waits_for_is_taken_out(self) -> None:
        here, there = self.pair()
        self.loop.on_readable(there.fileno(), lambda: None)
        self.loop.off_readable(there.fileno())
        self.assertIn(there.fileno(), self.poller.masks)
        self.say(here, there, b"x")
        self.turns(1)
        self.assertNotIn(there.fileno(), self.poller.masks)

    def test_a_descriptor_that_is_forgotten_may_be_another_socket_next(self) -> None:
        here, there = self.pair()
        self.loop.on_readable(there.fileno(), lambda: self.seen.append("old"))
        self.loop.forget(there.fileno())
        self.loop.on_readable(there.fileno(), lambda: self.seen.append("new"))
        self.say(here, there, b"x")
        self.turns(1)
        self.assertEqual(self.seen, ["new"])


class RealSocketTests(unittest.TestCase):
    """On the operating system's own poller."""

    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.until = self.loop.clock.monotonic() + 30 * SECOND

    def pair(self) -> tuple[socket.socket, socket.socket]:
        one, other = socket.socketpair()
        for end in (one, other):
            end.setblocking(False)
            self.addCleanup(end.close)
        return one, other

    def test_a_slow_reader_holds_up_nobody_else(self) -> None:
        slow, _unread = self.pair()
        fast, reader = self.pair()

        def send(peer: socket.socket, data: bytes) -> Steps[int]:
            return (yield from send_all(self.loop, peer, data, self.until))

        held_up = Task(self.loop, send(slow, NOISE), "slow")
        self.assertEqual(run(self.loop, send(fast, b"event")), 5)
        self.assertEqual(reader.recv(100), b"event")
        self.assertFalse(held_up.result.done())
        held_up.cancel()

    def test_what_does_not_fit_is_sent_as_the_other_side_takes_it(self) -> None:
        sender, reader = self.pair()
        got = bytearray()

        def receive() -> Steps[None]:
            while len(got) < len(NOISE):
                yield Wait(self.until, (reader.fileno(),))
                got.extend(reader.recv(65536))

        receiving = Task(self.loop, receive(), "receive")
        sent = run(self.loop, send_all(self.loop, sender, NOISE, self.until))
        self.assertEqual(sent, len(NOISE))
        while not receiving.result.done():
            self.loop.run_turn()
        self.assertEqual(len(got), len(NOISE))

    def test_another_thread_wakes_the_loop(self) -> None:
        answer: Future[str] = Future()

        def steps() -> Steps[str]:
            self.loop.call_from_thread(lambda: answer.set_result("there"))
            yield answer
            return answer.result()

        self.assertEqual(run(self.loop, steps()), "there")


if __name__ == "__main__":
    unittest.main()
