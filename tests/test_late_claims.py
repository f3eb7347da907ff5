"""A claim that the log appends late keeps the lease's rules.

Behind another holder's release an instance claims anew. Its append gets no answer, the
read that follows does not find it, and it is done before the next try, whose condition
then fails. The instance finds its claim at last and renews it, and takes that for a
renewal of a lease it had held all the time: it waits for no turn, and orders 0.81 s
after its own last order, though another machine may have ordered in between.

A renewal is done late in the same way, and the second try gets no answer either. What
is found then was sent with the first, and may have been read since; the term counts
from the second. Where the process stood still for 2 s in between, it may order until
1.5 s after a successor may.

A claim behind a refused token is done late too. The instance still counts on the term
of the refused one, and orders under the new token at once, before its wait is set.
"""

import unittest
from datetime import timedelta

from ashhoist.clock import ZERO, ManualClock
from ashhoist.orders import (
    AppendClaim,
    Claim,
    Lease,
    LeaseTiming,
    ReadClaims,
)
from ashhoist.store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Record,
    Unknown,
)

KEY = "orders"
TIMING = LeaseTiming()
RETRIED = timedelta(milliseconds=150)
STOOD_STILL = timedelta(seconds=2)
NOTICED = timedelta(milliseconds=10)


class LateClaimTests(unittest.TestCase):
    """One lease, and its log by hand."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = Lease(KEY, "one", "one-1", TIMING, self.clock)
        self.newest: tuple[Record, ...] = ()
        self.end = 0
        self.read()
        self.append(0)

    def read(self, takes: timedelta = ZERO) -> None:
        """Read the newest claim; the answer is taken in after a while."""
        self.assertIsInstance(self.lease.due(), ReadClaims)
        self.clock.advance(takes)
        self.lease.read(Newest(self.newest, self.end))

    def due(self) -> AppendClaim:
        action = self.lease.due()
        assert isinstance(action, AppendClaim)
        return action

    def append(self, offset: int) -> None:
        action = self.due()
        self.log(action.claim, offset)
        self.lease.appended(action, Appended(offset))

    def log(self, claim: Claim, offset: int) -> None:
        """Have a claim stand on the log."""
        self.newest = (Record(offset, KEY, claim.encode()),)
        self.end = offset + 1

    def answer(self, action: AppendClaim, result: AppendResult) -> None:
        self.lease.appended(action, result)
        self.clock.advance(RETRIED)

    def land_late(self) -> None:
        """Have a claim that got no answer stand on the log when it is tried again."""
        first = self.due()
        self.answer(first, Unknown())
        self.read()
        second = self.due()
        self.log(first.claim, first.at)
        self.answer(second, ConditionFailed(self.end))
        self.read()

    def test_behind_another_holder_it_waits_for_its_turn(self) -> None:
        # Its last order leaves in the last moment; two others order and hand over.
        until = TIMING.term - TIMING.send_margin - NOTICED
        self.clock.advance(until)
        self.assertEqual(self.lease.fence(), 0)
        last = self.clock.monotonic()
        self.clock.advance(TIMING.send_margin + TIMING.clock_margin + NOTICED)
        released = Claim(KEY, "two", "two-1", 1, 2, True, ("one",))
        self.log(released, 2)
        self.lease.heard(released)
        self.land_late()
        self.append(self.end)
        while self.lease.fence() is None:
            self.clock.advance(NOTICED)
        self.assertGreaterEqual(self.clock.monotonic() - last, TIMING.turn)

    def test_its_term_counts_from_before_it_could_be_read(self) -> None:
        self.clock.advance(TIMING.renew_every)
        first = self.due()
        self.answer(first, Unknown())
        # Done right behind the read; others learn of it. This process stands still.
        self.read(STOOD_STILL)
        learnt = self.clock.monotonic() - STOOD_STILL + NOTICED
        second = self.due()
        self.log(first.claim, first.at)
        self.answer(second, Unknown())
        self.read()
        successor_orders = learnt + TIMING.term + TIMING.clock_margin
        self.clock.advance(successor_orders - self.clock.monotonic())
        self.assertIsNone(self.lease.fence())

    def test_a_new_token_behind_a_refused_one_waits_as_well(self) -> None:
        # Whoever an engine has obeyed meanwhile may have ordered a moment ago.
        self.assertEqual(self.lease.fence(), 0)
        self.lease.refused(0)
        self.land_late()
        self.assertIsNone(self.lease.fence())


if __name__ == "__main__":
    unittest.main()
