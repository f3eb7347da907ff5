"""What an upstream sends of its response, and whether it counts as progress.

A request asks for another place once its upstream has made no progress for a time.
Bytes without end that form nothing whole are none; what the caller can use is. All
tests run in virtual time.
"""

import itertools
import unittest
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from ashhoist.forwarding import ForwardingInstance

from .endless_senders import behind, head
from .platform_stand_ins.server import Call
from .request_harness import event
from .test_moves import (
    ALWAYS_REFUSED,
    DARK_HEAD,
    GOOD,
    LATE_S,
    NEVER,
    PAUSE,
    SOON_S,
    STALL_S,
    WHOLE,
    MoveTestCase,
)
from .virtual_entry import DEADLINE_S, VirtualEntry
from .virtual_places import Place
from .virtual_upstreams import BODY, EVENTS, FOR_EVER, Plan

Pieces = Iterable[tuple[float, bytes]]

RESPONSE_S = 1.0
"""The silence after which a request without an event asks for another place."""
STEP_S = 0.2
"""Well within each limit."""
SIZED = head(f"Content-Length: {len(BODY)}")
CHUNKED = head("Transfer-Encoding: chunked")
STREAM = head("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
COMMENT = b": alive\n\n"
NO_EVENTS = {
    "comments": COMMENT,
    "empty lines": b"\n\n",
    "an event without data": b"event: ping\n\n",
    "an empty id": b"id:\n\n",
    "an old event": event(1),
}


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


BEGUN = behind(STREAM, chunk(event(1) + event(2)))
"""The start of a stream, of which two events have been sent."""
LAST_CHUNK = chunk(b"")
REST = [chunk(event(number)) for number in range(3, EVENTS + 1)]


def endless(unit: bytes, step_s: float = STEP_S) -> Iterator[tuple[float, bytes]]:
    """Return the same bytes without end."""
    return itertools.repeat((step_s, unit))


def halves_of(data: bytes) -> Iterator[tuple[float, bytes]]:
    """Return the same bytes without end, divided in the middle."""
    middle = len(data) // 2
    parts = (chunk(data[:middle]), chunk(data[middle:]))
    return ((STEP_S, part) for part in itertools.cycle(parts))


def after(start: Callable[[Call], bytes] | bytes, pieces: Pieces) -> Plan:
    """Return a plan that sends pieces behind a start."""

    def make(call: Call) -> Pieces:
        first = start if isinstance(start, bytes) else start(call)
        return itertools.chain([(0.0, first)], pieces)

    return Plan(pieces=make)


def in_two(first_s: float, second_s: float) -> Plan:
    """Return a plan that sends a whole answer, divided within its head."""

    def make(call: Call) -> Pieces:
        answer = SIZED(call) + BODY
        middle = len(SIZED(call)) // 2
        return [(first_s, answer[:middle]), (second_s, answer[middle:])]

    return Plan(pieces=make)


class HeadTests(MoveTestCase):
    def test_a_head_without_end_is_left_at_the_limit(self) -> None:
        # Guards against a request that waits until its deadline for a head.
        starts = {
            "status line": (b"HTTP/1.1 200 ", b"a"),
            "header lines": (STATUS_LINE, b"X-Many: a\r\n"),
            "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        }
        for name, (start, unit) in starts.items():
            with self.subTest(name):
                entry = self.entry(after(start, endless(unit)), GOOD)
                self.check_whole(entry.fetch("/safe/"), BODY)
                self.check_served(entry, "0 left", "1 done")
                old = entry.works[0]
                self.assertAlmostEqual(
                    old.ended_s - old.began_s, RESPONSE_S, delta=SOON_S
                )

    def test_a_head_without_end_does_not_withdraw_the_query(self) -> None:
        # Guards against a query that each byte ends.
        plan = after(STATUS_LINE, endless(b"a"))
        entry = self.entry(plan, GOOD, moves=(Place(after_s=3 * STEP_S),))
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 left", "1 done")
        self.only_move(entry)

    def test_a_head_in_two_pieces_stays(self) -> None:
        # Guards against a sound upstream that is left.
        entry = self.entry(in_two(0.4, 0.4), GOOD)
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), [])

    def test_a_head_that_becomes_whole_withdraws_the_query(self) -> None:
        for first_s, second_s in ((0.8, 0.8), (1.2, 0.4)):
            with self.subTest(first_s=first_s):
                entry = self.entry(in_two(first_s, second_s), GOOD, moves=(NEVER,))
                self.check_whole(entry.fetch("/safe/"), BODY)
                self.check_served(entry, "0 done")
                self.assertEqual(self.states(entry), ["cancelled"])

    def test_a_slow_head_without_a_place_elsewhere_is_awaited(self) -> None:
        # Guards against a sound upstream that is given up for nothing.
        def make(call: Call) -> Pieces:
            answer = SIZED(call) + BODY
            return [(0.1, answer[at : at + 2]) for at in range(0, len(answer), 2)]

        entry = self.entry(Plan(pieces=make), GOOD, moves=ALWAYS_REFUSED)
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 done")
        self.assertNotEqual(self.states(entry), [])

    def test_a_request_that_may_run_once_is_never_left(self) -> None:
        # Guards against a second run of what the upstream goes on with.
        for plan in (
            after(STATUS_LINE, endless(b"a")),
            after(lambda call: CHUNKED(call) + b"5;name=", endless(b"a")),
        ):
            entry = self.entry(plan, GOOD)
            began = entry.now
            caller = entry.fetch("/unsafe/", deadline_s=5.0)
            self.assertEqual(caller.answer.status, 504)
            assert caller.ended_s is not None
            self.assertAlmostEqual(caller.ended_s - began, 5.0, delta=SOON_S)
            self.check_served(entry, "0 left")
            self.assertEqual(self.states(entry), [])

    def test_any_byte_shows_that_the_link_works(self) -> None:
        # Guards against links that count as lost while bytes arrive on them.
        for plan, is_heard in (
            (after(STATUS_LINE, endless(b"a")), True),
            (DARK_HEAD, False),
        ):
            with self.subTest(is_heard=is_heard):
                entry = self.entry(plan)
                suspected: list[float] = []
                entry.connectivity.on_suspicion = lambda entry=entry, seen=suspected: (
                    seen.append(entry.now)
                )
                entry.fetch("/unsafe/", deadline_s=5.0)
                self.assertEqual(suspected == [], is_heard)

    def test_a_response_that_has_begun_stays_though_its_record_ends(self) -> None:
        # Guards against a request that leaves an ended upstream without a place.
        entry = self.entry(in_two(0.2, 3.0), GOOD, moves=ALWAYS_REFUSED)
        entry.after(0.5, partial(entry.end_upstream, "upstream-0"))
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 done")


class BodyTests(MoveTestCase):
    def test_a_long_body_in_pieces_stays(self) -> None:
        # Guards against a long answer that is left while it comes.
        pieces = [(0.8 * RESPONSE_S, BODY[at : at + 1]) for at in range(len(BODY))]
        entry = self.entry(after(SIZED, pieces), GOOD)
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), [])

    def test_a_body_that_goes_on_withdraws_the_query(self) -> None:
        pieces = [(RESPONSE_S + LATE_S, BODY[:5]), (RESPONSE_S + LATE_S, BODY[5:])]
        entry = self.entry(after(SIZED, pieces), GOOD, moves=(NEVER, NEVER))
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), ["cancelled"] * 2)

    def test_framing_without_end_is_left(self) -> None:
        # Guards against a request that waits until its deadline for no body.
        starts = {
            "chunk extension": (b"5;name=", b"a"),
            "trailer lines": (b"1\r\na\r\n0\r\n", b"X-Many: a\r\n"),
        }
        for name, (rest, unit) in starts.items():
            with self.subTest(name):

                def start(call: Call, rest: bytes = rest) -> bytes:
                    return CHUNKED(call) + rest

                entry = self.entry(after(start, endless(unit)), GOOD)
                self.check_whole(entry.fetch("/safe/"), BODY)
                self.check_served(entry, "0 left", "1 done")


class StreamTests(MoveTestCase):
    def check_left(self, plan: Plan, after_s: float) -> None:
        """Check that another upstream goes on with a stream after a time."""
        entry = self.entry(plan, GOOD)
        caller = entry.fetch()
        for number in range(1, EVENTS + 1):
            self.assertEqual(caller.answer.body.count(event(number)), 1)
        self.assertTrue(caller.answer.complete)
        self.check_served(entry, "0 left", "1 done")
        old = entry.works[0]
        self.assertLessEqual(old.ended_s - old.began_s, after_s + SOON_S)

    def test_a_stream_without_further_events_is_left_at_the_limit(self) -> None:
        # Guards against a stream that waits until its deadline for an event.
        for name, unit in NO_EVENTS.items():
            with self.subTest(name):
                self.check_left(after(BEGUN, endless(chunk(unit))), STALL_S)

    def test_a_stream_without_a_first_event_is_left_at_the_limit(self) -> None:
        plan = after(STREAM, endless(chunk(COMMENT)))
        self.check_left(plan, RESPONSE_S)

    def test_bytes_without_an_event_do_not_withdraw_the_query(self) -> None:
        for name, unit in NO_EVENTS.items():
            with self.subTest(name):
                plan = after(BEGUN, endless(chunk(unit)))
                entry = self.entry(plan, GOOD, moves=(Place(after_s=3 * STEP_S),))
                self.assertTrue(entry.fetch().answer.complete)
                self.check_served(entry, "0 left", "1 done")
                self.only_move(entry)

    def test_an_event_withdraws_the_query(self) -> None:
        # Guards against a slow upstream that is left though it has gone on.
        comments = 6 * [(STEP_S, chunk(COMMENT))]
        rest = [(0.0, data) for data in (*REST, LAST_CHUNK)]
        entry = self.entry(after(BEGUN, [*comments, *rest]), GOOD, moves=(NEVER,))
        self.assertTrue(entry.fetch().answer.complete)
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), ["cancelled"])

    def test_a_slow_stream_with_comments_stays_without_a_place(self) -> None:
        # Guards against a sound stream that is cut, or whose comments are dropped.
        pieces: list[tuple[float, bytes]] = []
        for data in REST:
            pieces += 10 * [(STEP_S, chunk(COMMENT))]
            pieces.append((STEP_S, data))
        plan = after(BEGUN, [*pieces, (0.0, LAST_CHUNK)])
        entry = self.entry(plan, GOOD, moves=ALWAYS_REFUSED)
        caller = entry.fetch()
        self.assertEqual(caller.answer.body.replace(COMMENT, b""), WHOLE)
        self.assertEqual(caller.answer.body.count(COMMENT), 10 * len(REST))
        self.assertTrue(caller.answer.complete)
        self.check_served(entry, "0 done")

    def test_slow_events_within_the_limit_stay(self) -> None:
        # Guards against a sound stream that is taken for silent.
        units = {
            "ids": [event(number) for number in range(3, 3 + EVENTS)],
            "no ids": EVENTS * [b"data: x\n\n"],
            "other ids": EVENTS * [b"id: x\ndata: x\n\n"],
            "empty data": EVENTS * [b"data\n\n"],
        }
        for name, events in units.items():
            with self.subTest(name):
                pieces = [(0.9 * STALL_S, chunk(one)) for one in events]
                plan = after(BEGUN, [*pieces, (0.0, LAST_CHUNK)])
                entry = self.entry(plan, GOOD)
                caller = entry.fetch()
                body = event(1) + event(2) + b"".join(events)
                self.check_whole(caller, body)
                self.check_served(entry, "0 done")
                self.assertEqual(self.states(entry), [])

    def test_an_event_without_end_is_left_within_five_limits(self) -> None:
        # Guards against a stream that waits until its deadline for an event's end.
        pieces = {
            "byte by byte": endless(chunk(b"a"), 0.05),
            "comment": endless(chunk(b": a\n")),
            "old event in halves": halves_of(event(1)),
            "comment in halves": halves_of(COMMENT),
            "empty line by line": endless(chunk(b"\n")),
        }
        for name, made in pieces.items():
            with self.subTest(name):
                self.check_left(after(BEGUN, made), 5 * STALL_S)

    def test_a_large_event_in_pieces_stays(self) -> None:
        # Guards against a sound upstream that is left while it sends an event.
        pieces = {
            "longer than the limit": (11, 0.25, 100),
            "much longer than the limit": (15, 0.9 * STALL_S, 65_536),
        }
        for name, (count, step_s, size) in pieces.items():
            with self.subTest(name):
                data = event(3, "x" * count * size)
                parts = [data[at : at + size] for at in range(0, len(data), size)]
                made = [(step_s, chunk(part)) for part in parts]
                rest = [(0.0, one) for one in (*REST[1:], LAST_CHUNK)]
                entry = self.entry(after(BEGUN, [*made, *rest]), GOOD)
                body = WHOLE.replace(event(3), data)
                self.check_whole(entry.fetch(), body)
                self.check_served(entry, "0 done")
                self.assertEqual(self.states(entry), [])

    def test_many_events_in_pieces_stay(self) -> None:
        # Guards against a bound that is not begun anew by an event.
        pieces = []
        for number in range(3, 3 + 2 * EVENTS):
            data, middle = event(number), len(event(number)) // 2
            pieces += [(0.6, chunk(data[:middle])), (0.6, chunk(data[middle:]))]
        entry = self.entry(after(BEGUN, [*pieces, (0.0, LAST_CHUNK)]), GOOD)
        self.assertTrue(entry.fetch().answer.complete)
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), [])

    def test_a_part_of_an_event_withdraws_the_query(self) -> None:
        data, middle = event(3), len(event(3)) // 2
        pieces = [(1.2, chunk(data[:middle])), (0.6, chunk(data[middle:]))]
        pieces += [(0.0, one) for one in (*REST[1:], LAST_CHUNK)]
        entry = self.entry(after(BEGUN, pieces), GOOD, moves=(NEVER,))
        self.check_whole(entry.fetch())
        self.check_served(entry, "0 done")
        self.assertEqual(self.states(entry), ["cancelled"])

    def test_a_late_part_of_an_event_does_not_withdraw_the_query(self) -> None:
        # Guards against a query that each byte of an event without end ends.
        entry = self.entry(
            after(BEGUN, endless(chunk(b"a"))), GOOD, moves=(Place(after_s=1.0),)
        )
        self.check_whole(entry.fetch())
        self.check_served(entry, "0 left", "1 done")
        self.only_move(entry)

    def test_a_slow_event_without_a_place_elsewhere_stays(self) -> None:
        # Guards against a sound stream that is cut in a slow event.
        data = event(3, "x" * 40)
        pieces = [(STEP_S, chunk(data[at : at + 1])) for at in range(len(data))]
        rest = [(0.0, one) for one in (*REST[1:], LAST_CHUNK)]
        for moves in (ALWAYS_REFUSED, 99 * (NEVER,)):
            entry = self.entry(after(BEGUN, [*pieces, *rest]), GOOD, moves=moves)
            self.check_whole(entry.fetch(), WHOLE.replace(event(3), data))
            self.check_served(entry, "0 done")
            self.assertNotEqual(self.states(entry), [])

    def test_the_first_event_of_a_stream_begins_a_shorter_limit(self) -> None:
        plan = after(STREAM, [(STEP_S, chunk(event(1))), (FOR_EVER, b"")])
        self.check_left(plan, STEP_S + STALL_S)

    def test_a_stream_that_is_not_resumable_stays(self) -> None:
        # Guards against a second run of what may run once.
        entry = self.entry(after(BEGUN, endless(chunk(COMMENT))), GOOD)
        caller = entry.fetch("/once/", deadline_s=5.0)
        self.assertFalse(caller.answer.complete)
        self.check_served(entry, "0 left")
        self.assertEqual(self.states(entry), [])

    def test_a_pause_of_a_second_is_no_cut(self) -> None:
        # Guards against a stream that leaves before the next place is sure.
        for moves in (ALWAYS_REFUSED, 9 * (NEVER,)):
            entry = self.entry(PAUSE, GOOD, moves=moves)
            self.check_whole(entry.fetch())
            self.check_served(entry, "0 done")


class InstanceTests(MoveTestCase):
    """Requests that another instance was asked to serve."""

    def cut_off(self, *plans: Plan) -> VirtualEntry:
        """Return an entry that reaches other instances only, one for each plan."""
        entry = self.entry(GOOD)
        entry.connectivity.others_reach = lambda: True
        entry.connectivity.set_unreachable(1)
        for number, plan in enumerate(plans):
            entry.add_server(f"instance-{number}", plan)
        self.list_instance(entry, "instance-0")
        return entry

    def list_instance(self, entry: VirtualEntry, name: str) -> None:
        """Set which instance reaches upstreams."""
        entry.instances[:] = [ForwardingInstance(name, "zone", f"{name}:1")]

    def test_an_instance_that_reaches_upstreams_keeps_its_requests(self) -> None:
        entry = self.cut_off(in_two(2.0, 2.0), GOOD)
        self.check_whole(entry.fetch("/safe/"), BODY)
        self.check_served(entry, "instance-0 done")

    def test_a_head_without_end_is_left_for_another_instance(self) -> None:
        # Guards against a request that waits until its deadline for a head.
        entry = self.cut_off(after(STATUS_LINE, endless(b"a")), GOOD)
        entry.after(0.25, partial(self.list_instance, entry, "instance-1"))
        began = entry.now
        caller = entry.fetch("/safe/")
        self.check_whole(caller, BODY)
        self.check_served(entry, "instance-0 left", "instance-1 done")
        assert caller.ended_s is not None
        self.assertLess(caller.ended_s - began, DEADLINE_S / 2)

    def test_a_stream_without_events_is_left_for_another_instance(self) -> None:
        # Guards against a stream that waits until its deadline for an event.
        entry = self.cut_off(after(BEGUN, endless(chunk(event(1)))), GOOD)
        entry.after(0.25, partial(self.list_instance, entry, "instance-1"))
        self.check_whole(entry.fetch())
        self.check_served(entry, "instance-0 left", "instance-1 done")

    def test_a_stream_without_events_stays_at_an_available_instance(self) -> None:
        # Guards against a stream that leaves an instance that reaches its upstream.
        entry = self.cut_off(after(BEGUN, endless(chunk(event(1)))), GOOD)
        self.assertFalse(entry.fetch().answer.complete)
        self.check_served(entry, "instance-0 left")


if __name__ == "__main__":
    unittest.main()
