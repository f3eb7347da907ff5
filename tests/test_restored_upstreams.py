"""Tests of upstreams that a restored log lists again after their records had ended."""

import unittest
from datetime import timedelta

from ashhoist.clock import ManualClock
from ashhoist.control.restored_upstreams import HOLD_BACK_FOR, RestoredUpstreams
from ashhoist.store import Position, Record, position
from ashhoist.upstreams import Upstream, UpstreamState

SECOND = timedelta(seconds=1)
ENDED_AT = position(0, 20)


def upstream(
    at: Position, born: int = 1, state: UpstreamState = UpstreamState.READY
) -> Upstream:
    return Upstream(
        "one", "service", "one:1", "zone", state=state, offset=at, born=born
    )


class ReturnedUpstreamsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(SECOND)
        self.returned = RestoredUpstreams(self.clock)
        self.returned.note_end("one", ENDED_AT, 1)

    def hold_back(self, listed: Upstream) -> bool:
        return self.returned.hold_back(listed, Record(listed.offset, "one", b"x"))

    def test_possible_copy_is_due_after_the_hold_back_time(self) -> None:
        self.assertTrue(self.hold_back(upstream(position(1, 10))))
        self.clock.advance(HOLD_BACK_FOR - SECOND)
        self.assertEqual(self.returned.due(), [])
        self.clock.advance(SECOND)
        self.assertEqual(self.returned.due(), [Record(position(1, 10), "one", b"x")])
        self.assertEqual(self.returned.due(), [])
        self.assertFalse(self.hold_back(upstream(position(1, 10))))

    def test_record_that_ends_while_held_back_is_dropped(self) -> None:
        self.assertTrue(self.hold_back(upstream(position(1, 10))))
        self.assertTrue(self.returned.note_end("one", position(1, 15), None))
        self.clock.advance(2 * HOLD_BACK_FOR)
        self.assertEqual(self.returned.due(), [])
        self.assertTrue(self.hold_back(upstream(position(2, 10))))

    def test_another_restore_restarts_the_hold_back_time(self) -> None:
        self.assertTrue(self.hold_back(upstream(position(1, 10))))
        self.clock.advance(HOLD_BACK_FOR - SECOND)
        self.assertTrue(self.hold_back(upstream(position(2, 10))))
        self.clock.advance(HOLD_BACK_FOR - SECOND)
        self.assertEqual(self.returned.due(), [])

    def test_record_written_after_the_end_is_not_held_back(self) -> None:
        for listed in (upstream(position(0, 21)), upstream(position(1, 21))):
            self.assertFalse(self.hold_back(listed))

    def test_later_incarnation_is_not_held_back(self) -> None:
        self.assertFalse(self.hold_back(upstream(position(1, 10), born=2)))
        self.assertTrue(self.hold_back(upstream(position(1, 10), born=1)))

    def test_leaving_upstream_is_not_held_back(self) -> None:
        listed = upstream(position(1, 10), state=UpstreamState.DRAINING)
        self.assertFalse(self.hold_back(listed))

    def test_upstream_without_a_known_end_is_not_held_back(self) -> None:
        other = Upstream("two", "service", "two:1", "zone", offset=position(1, 10))
        record = Record(other.offset, "two", b"x")
        self.assertFalse(self.returned.hold_back(other, record))


if __name__ == "__main__":
    unittest.main()
