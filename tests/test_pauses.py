"""Pauses of event streams: which was the longest, and where it arose."""

import unittest
from datetime import timedelta
from typing import Any, cast

from ashhoist.clock import ManualClock
from ashhoist.http import CallerConnection, CallerGoneError, Head, UpstreamConnection
from ashhoist.http.request import Request
from ashhoist.http.upstream import Broken, End, Event, Piece, Why
from ashhoist.loop import Steps
from ashhoist.metrics import Metrics
from ashhoist.requests.attempt import Attempts
from ashhoist.requests.call import Call
from ashhoist.requests.caller_responses import Ending
from ashhoist.requests.end_recorder import EndRecorder
from ashhoist.requests.event_pause import EventPause
from ashhoist.requests.relay import CompletedStream, StreamRelay
from ashhoist.requests.results import CallerLeft, MayHaveRun, Streaming
from ashhoist.routing import Route, RouteKind, WeightedService

from .loops import finish
from .request_harness import event

MS = timedelta(milliseconds=1)
TARGET_LATENCY_MS = 500
TARGET_GAP_MS = 300
HEAD = Head(200, [], {})
CUT = Broken(Why.CLOSED)
WHOLE = Ending(200, "whole")

Script = list[tuple[float, Event]]
"""The events of an upstream, each with the milliseconds that it takes to arrive."""


class ScriptedUpstream:
    """An upstream connection on which each event moves the clock."""

    def __init__(self, clock: ManualClock, script: Script) -> None:
        self._clock = clock
        self._script = iter(script)

    def next_event(self) -> Event:
        took_ms, arrived = next(self._script)
        self._clock.advance(took_ms * MS)
        return arrived


class TimedCaller:
    """A caller that needs some time to read each piece.

    Parameters
    ----------
    read_ms : dict of int to float
        Milliseconds that the caller needs for a piece, by the piece's number from 1.
    leaves_at : int
        Number of the piece during which the caller disconnects; 0 for none.
    """

    def __init__(
        self, clock: ManualClock, read_ms: dict[int, float], leaves_at: int = 0
    ) -> None:
        self._clock = clock
        self._read_ms = read_ms
        self._leaves_at = leaves_at
        self._pieces = 0

    def start(self, *_: object) -> Steps[None]:
        yield from ()

    def send(self, *_: object) -> Steps[None]:
        yield from ()
        self._pieces += 1
        self._clock.advance(self._read_ms.get(self._pieces, 0) * MS)
        if self._pieces == self._leaves_at:
            raise CallerGoneError

    def finish(self, *_: object) -> Steps[None]:
        yield from ()


class RecordingLog:
    """Keeps the fields of each log line."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, text: str, **fields: Any) -> None:
        self.lines.append({"event": text, **fields})


def events(*numbers: int) -> Piece:
    """Return one piece with the events of the given ids."""
    return Piece(b"".join(map(event, numbers)))


class PauseTestCase(unittest.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock(timedelta(seconds=1))
        self.metrics = Metrics()
        self.log = RecordingLog()
        self.call = self.new_call()

    def new_call(self) -> Call:
        received_at = self.clock.monotonic()
        route = Route(
            "stream",
            "calls.example",
            "/",
            RouteKind.STREAM,
            (WeightedService("service"),),
            timedelta(seconds=30),
            TARGET_LATENCY_MS * MS,
            resumable=True,
            target_event_gap=TARGET_GAP_MS * MS,
        )
        return Call(
            "request",
            Request("POST", "/", [], b"", received_at),
            route,
            "service",
            received_at + route.timeout,
        )

    def relay(self, *scripts: Script, caller: TimedCaller | None = None) -> object:
        """Relay a stream whose parts come from one upstream each; return its end."""
        caller = caller or TimedCaller(self.clock, {})
        relay = StreamRelay(
            self.call,
            cast(CallerConnection, caller),
            cast(Attempts, None),
            self.clock,
        )
        end: object = None
        for script in scripts:
            upstream = ScriptedUpstream(self.clock, script)
            connection = cast(UpstreamConnection, upstream)
            end = finish(
                relay.run(
                    Streaming(HEAD, connection),
                    HEAD,
                    before_forwarding=lambda: None,
                    on_first_event=lambda: None,
                    on_event=lambda: None,
                )
            )
        return end

    def record(self, ending: Ending = WHOLE) -> dict[str, Any]:
        """Record the call's end; return its log line."""
        EndRecorder(self.clock, self.metrics, self.log).record(self.call, ending)
        return self.log.lines[-1]


class LongestPauseTests(PauseTestCase):
    def test_the_longest_pause_names_the_event_after_it(self) -> None:
        # Guards against naming the last pause, or the event before it.
        self.relay([(90, events(1)), (10, events(2)), (70, events(3)), (20, End())])
        self.assertEqual(self.call.longest_pause, EventPause(70 * MS, "3", 0 * MS))

    def test_the_time_to_the_first_event_is_no_pause(self) -> None:
        # Guards against counting a late first event as a late pause as well.
        self.relay([(900, events(1)), (0, End())])
        self.assertIsNone(self.call.longest_pause)

    def test_a_pause_before_several_events_names_the_first_of_them(self) -> None:
        # Guards against naming an event that arrived with others behind the pause.
        self.relay([(0, events(1)), (70, events(2, 3, 4)), (0, End())])
        self.assertEqual(self.call.longest_pause, EventPause(70 * MS, "2", 0 * MS))

    def test_an_event_without_an_id_is_named_by_its_number(self) -> None:
        # Guards against an empty name where an upstream sends no ids.
        first, second = Piece(b"data: a\n\ndata: b\n\n"), Piece(b"data: c\n\n")
        self.relay([(0, first), (70, second), (0, End())])
        self.assertEqual(self.call.longest_pause, EventPause(70 * MS, "3", 0 * MS))

    def test_a_pause_spans_the_resumption_at_another_upstream(self) -> None:
        # Guards against losing the pause between two upstreams, which is often longest.
        end = self.relay(
            [(0, events(1)), (10, events(2)), (200, CUT)],
            [(300, events(3)), (10, events(4)), (0, End())],
        )
        self.assertEqual(end, CompletedStream(200))
        self.assertEqual(self.call.longest_pause, EventPause(500 * MS, "3", 0 * MS))

    def test_repeated_events_do_not_end_a_pause(self) -> None:
        # Guards against short pauses where a resumed stream repeats what was forwarded.
        self.relay(
            [(0, events(1)), (10, events(2)), (100, CUT)],
            [(100, events(1)), (100, events(2)), (100, events(3)), (0, End())],
        )
        self.assertEqual(self.call.longest_pause, EventPause(400 * MS, "3", 0 * MS))


class CallerWaitTests(PauseTestCase):
    def test_the_caller_s_part_of_the_longest_pause_is_known(self) -> None:
        # Guards against blaming the upstream for a caller that reads slowly.
        caller = TimedCaller(self.clock, {2: 250})
        self.relay(
            [(0, events(1)), (70, events(2)), (200, events(3)), (0, End())],
            caller=caller,
        )
        self.assertEqual(self.call.longest_pause, EventPause(320 * MS, "2", 250 * MS))

    def test_a_wait_for_the_caller_in_another_pause_does_not_count(self) -> None:
        # Guards against adding up waits of the whole stream, longer than the pause.
        caller = TimedCaller(self.clock, {1: 400, 2: 60, 3: 5})
        self.relay(
            [(0, events(1)), (10, events(2)), (200, events(3)), (0, End())],
            caller=caller,
        )
        self.assertEqual(self.call.longest_pause, EventPause(205 * MS, "3", 5 * MS))

    def test_an_event_that_was_not_forwarded_ends_no_pause(self) -> None:
        # Guards against naming an event that the caller never received.
        caller = TimedCaller(self.clock, {3: 400}, leaves_at=3)
        end = self.relay(
            [(0, events(1)), (10, events(2)), (20, events(3))], caller=caller
        )
        self.assertIsInstance(end, CallerLeft)
        self.assertEqual(self.call.longest_pause, EventPause(10 * MS, "2", 0 * MS))


class EndLineTests(PauseTestCase):
    def test_the_line_of_a_stream_has_its_longest_pause(self) -> None:
        # Guards against a line that says that a stream was late, but not where.
        caller = TimedCaller(self.clock, {2: 20})
        self.relay([(90, events(1)), (50, events(2)), (0, End())], caller=caller)
        line = self.record()
        self.assertEqual(line["event"], "request ended")
        self.assertEqual(line["first_ms"], 90)
        self.assertEqual(line["longest_pause_ms"], 70)
        self.assertEqual(line["pause_at_event"], "2")
        self.assertEqual(line["caller_wait_ms"], 20)

    def test_the_line_of_another_answer_has_no_pause(self) -> None:
        # Guards against a pause of 0 ms for requests that are no streams.
        line = self.record()
        for name in ("longest_pause_ms", "pause_at_event", "caller_wait_ms"):
            self.assertIsNone(line[name])


class LateStreamTests(PauseTestCase):
    def late(self, first_ms: float, pause_ms: float) -> dict[tuple[Any, ...], float]:
        """Return the late streams by their label, after one with these times."""
        self.relay([(first_ms, events(1)), (pause_ms, events(2)), (0, End())])
        self.record()
        return self.counted()

    def counted(self) -> dict[tuple[Any, ...], float]:
        [family] = [
            family
            for family in self.metrics.collect()
            if family.name == "ashhoist_late_streams"
        ]
        return {tuple(each.labels.values()): each.value for each in family.samples}

    def test_each_cause_is_counted_once_for_each_late_stream(self) -> None:
        # Guards against counting a stream with two causes twice.
        cases: list[tuple[float, float, str]] = [
            (TARGET_LATENCY_MS + 1, TARGET_GAP_MS, "first_event"),
            (TARGET_LATENCY_MS, TARGET_GAP_MS + 1, "pause"),
            (TARGET_LATENCY_MS + 1, TARGET_GAP_MS + 1, "both"),
        ]
        for first_ms, pause_ms, label in cases:
            with self.subTest(label):
                self.setUp()
                self.assertEqual(self.late(first_ms, pause_ms), {(label,): 1})

    def test_a_stream_at_its_targets_is_on_time(self) -> None:
        # Guards against counting streams as late that are just in time.
        self.assertEqual(self.late(TARGET_LATENCY_MS, TARGET_GAP_MS), {})

    def test_a_stream_that_was_cut_is_not_counted(self) -> None:
        # Guards against counting failures as late answers.
        end = self.relay([(TARGET_LATENCY_MS + 1, events(1)), (0, CUT)])
        self.assertIsInstance(end, MayHaveRun)
        self.record(Ending(502, "cut"))
        self.assertEqual(self.counted(), {})

    def test_a_late_answer_that_is_no_stream_is_not_counted(self) -> None:
        # Guards against counting late plain requests as streams.
        self.clock.advance(2 * TARGET_LATENCY_MS * MS)
        self.record()
        self.assertEqual(self.counted(), {})


if __name__ == "__main__":
    unittest.main()
