"""Which requests and prompt parts are held back, and which parts are suspected."""

import unittest
from datetime import timedelta

from ashhoist.clock import ManualClock
from ashhoist.quarantine import (
    CRASH_THRESHOLD,
    PART_CRASH_THRESHOLD,
    PartHistory,
    part_names,
)
from ashhoist.quarantine.held_names import HeldNames
from ashhoist.quarantine.parts import SOUND_BEFORE_CRASH, SOUND_FOR

LIFE = "life-0"
REQUEST, PART, OTHER_PART = "f1", "part:a", "part:b"


def crashes(*numbers: int) -> dict[str, timedelta]:
    return {f"life-{n}": timedelta(seconds=n) for n in numbers}


class HeldNamesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.held = HeldNames()

    def test_a_request_is_held_back_at_three_crashes_and_a_part_at_four(self) -> None:
        self.held.set_crashes(REQUEST, crashes(*range(CRASH_THRESHOLD)))
        self.held.set_crashes(PART, crashes(*range(10, 10 + CRASH_THRESHOLD)))
        self.assertEqual(self.held.names(), {REQUEST})
        self.held.set_crashes(PART, crashes(*range(10, 10 + PART_CRASH_THRESHOLD)))
        self.assertEqual(self.held.names(), {REQUEST, PART})

    def test_a_request_cut_beside_a_part_at_fault_goes_free(self) -> None:
        # Guards against neighbours that are held back for minutes.
        self.held.set_crashes(REQUEST, crashes(1, 2, 3))
        self.assertEqual(self.held.names(), {REQUEST})
        self.held.set_crashes(PART, crashes(1, 2, 3, 4))
        self.assertEqual(self.held.names(), {PART})

    def test_a_request_with_another_crash_stays_held_back(self) -> None:
        self.held.set_crashes(PART, crashes(1, 2, 3, 4))
        self.held.set_crashes(REQUEST, crashes(2, 3, 5))
        self.assertEqual(self.held.names(), {PART, REQUEST})

    def test_a_part_of_a_request_at_fault_goes_free(self) -> None:
        # Guards against sound neighbours of one request that is sent again and again.
        self.held.set_crashes(REQUEST, crashes(1, 2, 3, 4))
        self.held.set_crashes(PART, crashes(1, 2, 3, 4))
        self.assertEqual(self.held.names(), {REQUEST})

    def test_a_part_that_stood_beside_another_one_goes_free(self) -> None:
        self.held.set_crashes(PART, crashes(1, 2, 3, 4, 5))
        self.held.set_crashes(OTHER_PART, crashes(1, 2, 3, 4))
        self.assertEqual(self.held.names(), {PART})

    def test_two_parts_at_fault_are_both_held_back(self) -> None:
        self.held.set_crashes(PART, crashes(1, 3, 5, 7))
        self.held.set_crashes(OTHER_PART, crashes(2, 4, 6, 8))
        self.assertEqual(self.held.names(), {PART, OTHER_PART})

    def test_what_is_cleared_is_released(self) -> None:
        self.held.set_crashes(PART, crashes(1, 2, 3, 4))
        self.held.set_crashes(PART, crashes(4))
        self.assertEqual(self.held.names(), frozenset())
        self.assertIsNone(self.held.since(PART))


class PartTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=10))
        self.history = PartHistory(self.clock)

    def test_the_last_part_is_the_requests_own(self) -> None:
        self.assertEqual(part_names(("a", "b", "own")), ("part:a", "part:b"))
        self.assertEqual(part_names(("own",)), ())
        self.assertEqual(part_names(()), ())

    def test_long_ids_are_hashed(self) -> None:
        [name] = part_names(("a" * 1000, "own"))
        self.assertLess(len(name), 40)

    def test_a_part_that_was_never_answered_is_a_suspect(self) -> None:
        self.assertEqual(self.history.cut((PART,), LIFE), (PART,))

    def test_a_part_that_was_just_answered_is_no_suspect(self) -> None:
        self.history.answered((PART,))
        self.assertEqual(self.history.cut((PART, OTHER_PART), LIFE), (OTHER_PART,))

    def test_a_second_crash_without_an_answer_makes_a_suspect(self) -> None:
        self.history.answered((PART,))
        self.assertEqual(self.history.cut((PART,), LIFE), ())
        self.assertEqual(self.history.cut((PART,), "another"), (PART,))

    def test_requests_that_one_crash_breaks_off_count_once(self) -> None:
        # Guards against a shared part that each crash makes a suspect.
        self.history.answered((PART,))
        for _ in range(3):
            self.assertEqual(self.history.cut((PART,), LIFE), ())

    def test_an_answer_is_forgotten_after_a_while(self) -> None:
        self.history.answered((PART,))
        self.assertTrue(self.history.is_sound(PART))
        self.clock.advance(SOUND_FOR)
        self.assertFalse(self.history.is_sound(PART))
        self.clock.advance(SOUND_BEFORE_CRASH)
        self.assertEqual(self.history.cut((PART,), LIFE), (PART,))


if __name__ == "__main__":
    unittest.main()
