"""Tests of a lease whose log is restored from an older copy.

A restore starts a new era and may lose the newest records.
"""

import unittest
from datetime import timedelta

import cbor2

from ashhoist.clock import ManualClock
from ashhoist.orders import AppendClaim, Claim, Lease, LeaseTiming, ReadClaims
from ashhoist.store import (
    Appended,
    ConditionFailed,
    Newest,
    Position,
    Record,
    Unknown,
    position,
)

KEY = "orders"
TIMING = LeaseTiming()
SECOND = timedelta(seconds=1)
SUCCESSOR_WAIT = TIMING.term + TIMING.clock_margin


def claim_record(
    name: str, at: Position, released: bool = False, era: int = 0
) -> Record:
    """Return the record of a first claim."""
    claim = Claim(KEY, name, f"{name}-1", released=released, era=era)
    return Record(at, KEY, claim.encode())


class RestoredLeaseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(SECOND)
        self.lease = Lease(KEY, "one", "one-1", TIMING, self.clock)

    def read(self, era: int, end: int, *records: Record) -> None:
        self.assertIsInstance(self.lease.due(), ReadClaims)
        self.lease.claims_read(Newest(records, position(era, end)))

    def due_append(self) -> AppendClaim:
        action = self.lease.due()
        assert isinstance(action, AppendClaim)
        return action

    def acquire(self) -> None:
        """Claim the lease at offset 5 of the first era."""
        self.read(0, 5)
        self.lease.appended(self.due_append(), Appended(position(0, 5)))
        self.assertEqual(self.lease.fence(), 5)

    def fail_renewal(self, end: int) -> None:
        """Fail a renewal because the restored log ends at a lower offset."""
        self.clock.advance(TIMING.renew_every)
        failed = ConditionFailed(position(1, end))
        self.lease.appended(self.due_append(), failed)
        self.clock.advance(SECOND)

    def test_a_holder_keeps_its_token_and_renews_in_the_new_era(self) -> None:
        self.acquire()
        self.fail_renewal(3)
        self.read(1, 3, claim_record("two", position(1, 2), released=True))
        action = self.due_append()
        self.assertEqual(action.at, position(1, 3))
        self.lease.appended(action, Appended(position(1, 3)))
        self.clock.advance(TIMING.renew_every)
        self.assertEqual(self.lease.fence(), 5)

    def test_a_holder_that_reads_a_claim_of_the_new_era_loses_the_lease(self) -> None:
        self.acquire()
        self.fail_renewal(3)
        self.read(1, 4, claim_record("two", position(1, 3), era=1))
        self.assertIsNone(self.lease.fence())
        self.assertFalse(self.lease.held)

    def test_a_claim_appended_in_another_era_is_not_valid(self) -> None:
        self.read(0, 5)
        action = self.due_append()
        self.lease.appended(action, Appended(position(1, 5)))
        self.assertIsNone(self.lease.fence())
        self.clock.advance(SECOND)
        self.read(1, 6, Record(position(1, 5), KEY, action.claim.encode()))
        self.assertIsNone(self.lease.fence())
        self.assertIsNone(self.lease.due())

    def test_an_unanswered_claim_found_in_another_era_is_not_valid(self) -> None:
        self.read(0, 5)
        action = self.due_append()
        self.lease.appended(action, Unknown())
        self.clock.advance(SECOND)
        self.read(1, 6, Record(position(1, 5), KEY, action.claim.encode()))
        self.assertIsNone(self.lease.fence())

    def test_a_successor_that_reads_a_copied_claim_waits_for_a_term(self) -> None:
        # The restore may have lost a later claim whose term has not expired.
        self.read(1, 3, claim_record("two", position(1, 2), released=True))
        self.clock.advance(SUCCESSOR_WAIT - SECOND)
        self.assertIsNone(self.lease.due())
        self.clock.advance(SECOND)
        action = self.due_append()
        self.lease.appended(action, Appended(position(1, 3)))
        self.assertEqual(self.lease.claim.token, position(1, 3))

    def test_a_new_process_of_the_holders_machine_waits_as_well(self) -> None:
        self.read(1, 3, claim_record("one", position(1, 2)))
        self.clock.advance(SUCCESSOR_WAIT - SECOND)
        self.assertIsNone(self.lease.due())
        self.clock.advance(SECOND)
        self.assertEqual(self.due_append().claim.fence, -1)

    def test_a_claim_heard_from_a_later_era_replaces_the_known_one(self) -> None:
        self.read(0, 3, claim_record("two", position(0, 2)))
        self.lease.receive_claim(Claim(KEY, "two", "two-1", 2, position(1, 1), True))
        self.assertIsInstance(self.lease.due(), AppendClaim)
        self.lease.receive_claim(Claim(KEY, "two", "two-1", 2, position(0, 2)))
        self.assertEqual(self.lease.claim.offset, position(1, 1))

    def test_a_released_claim_of_the_present_era_is_succeeded_at_once(self) -> None:
        self.read(1, 3, claim_record("two", position(1, 2), released=True, era=1))
        self.assertIsInstance(self.lease.due(), AppendClaim)

    def test_an_answer_from_an_earlier_era_is_rejected(self) -> None:
        self.read(1, 3, claim_record("two", position(1, 2), released=True, era=1))
        action = self.due_append()
        self.lease.appended(action, ConditionFailed(position(1, 4)))
        self.clock.advance(SECOND)
        self.read(0, 9, claim_record("three", position(0, 8)))
        self.clock.advance(SECOND)
        self.assertIsInstance(self.lease.due(), ReadClaims)
        assert self.lease.claim is not None
        self.assertEqual(self.lease.claim.holder, "two")

    def test_claims_in_era_0_are_encoded_without_an_era(self) -> None:
        # Instances of the previous version read only five fields.
        self.acquire()
        self.clock.advance(TIMING.renew_every)
        written = cbor2.loads(self.due_append().claim.encode())
        self.assertEqual(len(written), 5)


if __name__ == "__main__":
    unittest.main()
