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

from .endless_senders import head
from .platform_stand_ins.server import Call
from .test_moves import (
    ALWAYS_REFUSED,
    DARK_HEAD,
    GOOD,
    LATE_S,
    NEVER,
    SOON_S,
    MoveTestCase,
)
from .virtual_entry import DEADLINE_S, VirtualEntry
from .virtual_places import Place
from .virtual_upstreams import BODY, Plan

Pieces = Iterable[tuple[float, bytes]]

RESPONSE_S = 1.0
"""The silence after which a request without an event asks for another place."""
STEP_S = 0.2
"""Well within each limit."""
SIZED = head(f"Content-Length: {len(BODY)}")
CHUNKED = head("Transfer-Encoding: chunked")
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def endless(unit: bytes, step_s: float = STEP_S) -> Iterator[tuple[float, bytes]]:
    """Return the same bytes without end."""
    return itertools.repeat((step_s, unit))


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


if __name__ == "__main__":
    unittest.main()
