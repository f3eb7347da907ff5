"""Reservations of callers that were told to come back."""

import unittest
from datetime import timedelta

from ashhoist.overload.reservations import KEPT_FOR, Reservations

SECOND = timedelta(seconds=1)


class ReservationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reservations = Reservations()

    def reserve(self, fingerprint: str = "f") -> timedelta | None:
        return self.reservations.reserve(
            "c", fingerprint, SECOND, SECOND / 4, 1.5 * SECOND
        )

    def test_callers_come_back_one_after_another(self) -> None:
        # All would come back at once, and most would be rejected again.
        dues = [self.reserve(f"f{number}") for number in range(4)]
        self.assertEqual(dues, [SECOND, 1.25 * SECOND, 1.5 * SECOND, None])

    def test_a_reservation_is_used_once(self) -> None:
        # A caller would go ahead of others with each request that has this body.
        self.reserve()
        self.assertFalse(self.reservations.take("other", "f", SECOND))
        self.assertFalse(self.reservations.take("c", "f", SECOND / 2))
        self.assertTrue(self.reservations.take("c", "f", SECOND))
        self.assertFalse(self.reservations.take("c", "f", SECOND))
        self.assertEqual(len(self.reservations), 0)

    def test_a_missed_reservation_is_removed_when_it_expires(self) -> None:
        # Capacity would be held for callers that never come back.
        self.reserve()
        at = self.reservations.next_expiry
        self.assertEqual(at, SECOND + KEPT_FOR)
        assert at is not None
        self.assertEqual(self.reservations.remove_expired(at - SECOND / 10), 0)
        self.assertEqual(self.reservations.remove_expired(at), 1)
        self.assertEqual(self.reservations.due_between("c", SECOND, 2 * SECOND), 0)
        self.assertIsNone(self.reservations.next_expiry)


if __name__ == "__main__":
    unittest.main()
