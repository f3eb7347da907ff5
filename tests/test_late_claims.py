"""Claims that the log appends late, after the read that follows the lost answer.

Regression tests for three faults:

- An instance claimed the lease after another holder's release. The append was not
  answered, the next read did not find the claim, and it was appended before the retry,
  whose condition then failed. When the instance found its claim, it treated it as a
  renewal of a lease that it had held all along. It skipped the return interval and
  sent an order 0.81 s after its own last order, although another machine may have sent
  one in between.
- A renewal was appended late in the same way, and the retry was not answered either.
  The record found was the one of the first attempt, which others may have read by
  then, but the term was counted from the second attempt. If the process was suspended
  for 2 s in between, it could send orders until 1.5 s after a successor could.
- A claim made after a rejected token was appended late. The instance still relied on
  the term of the rejected token and sent orders with the new token at once, before its
  waiting time was set.
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
RETRY_DELAY = timedelta(milliseconds=150)
SUSPENDED_FOR = timedelta(seconds=2)
TICK = timedelta(milliseconds=10)


class LateClaimTests(unittest.TestCase):
    """One lease; the test plays the log."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = Lease(KEY, "one", "one-1", TIMING, self.clock)
        self.newest: tuple[Record, ...] = ()
        self.end = 0
        self.read()
        self.append(0)

    def read(self, takes: timedelta = ZERO) -> None:
        """Read the newest claim; the result arrives after `takes`."""
        self.assertIsInstance(self.lease.due(), ReadClaims)
        self.clock.advance(takes)
        self.lease.claims_read(Newest(self.newest, self.end))

    def due(self) -> AppendClaim:
        action = self.lease.due()
        assert isinstance(action, AppendClaim)
        return action

    def append(self, offset: int) -> None:
        action = self.due()
        self.log(action.claim, offset)
        self.lease.appended(action, Appended(offset))

    def log(self, claim: Claim, offset: int) -> None:
        """Make a claim the newest record of the log."""
        self.newest = (Record(offset, KEY, claim.encode()),)
        self.end = offset + 1

    def answer(self, action: AppendClaim, result: AppendResult) -> None:
        self.lease.appended(action, result)
        self.clock.advance(RETRY_DELAY)

    def append_late(self) -> None:
        """Append a claim that was not answered just before its retry arrives."""
        first = self.due()
        self.answer(first, Unknown())
        self.read()
        second = self.due()
        self.log(first.claim, first.at)
        self.answer(second, ConditionFailed(self.end))
        self.read()

    def test_a_claim_after_another_holder_waits_for_the_return_interval(self) -> None:
        # The instance sends an order at the end of its term. Then another instance
        # holds the lease and releases it.
        until = TIMING.term - TIMING.send_margin - TICK
        self.clock.advance(until)
        self.assertEqual(self.lease.fence(), 0)
        last = self.clock.monotonic()
        self.clock.advance(TIMING.send_margin + TIMING.clock_margin + TICK)
        released = Claim(KEY, "two", "two-1", 1, 2, True, ("one",))
        self.log(released, 2)
        self.lease.receive_claim(released)
        self.append_late()
        self.append(self.end)
        while self.lease.fence() is None:
            self.clock.advance(TICK)
        self.assertGreaterEqual(self.clock.monotonic() - last, TIMING.return_interval)

    def test_the_term_starts_before_other_instances_can_read_the_renewal(self) -> None:
        self.clock.advance(TIMING.renew_every)
        first = self.due()
        self.answer(first, Unknown())
        # The renewal is appended right after the read, and other instances learn of
        # it while this process is suspended.
        self.read(SUSPENDED_FOR)
        learned_at = self.clock.monotonic() - SUSPENDED_FOR + TICK
        second = self.due()
        self.log(first.claim, first.at)
        self.answer(second, Unknown())
        self.read()
        successor_orders_from = learned_at + TIMING.term + TIMING.clock_margin
        self.clock.advance(successor_orders_from - self.clock.monotonic())
        self.assertIsNone(self.lease.fence())

    def test_a_new_token_after_a_rejected_one_waits_as_well(self) -> None:
        # The instance with the higher token may have sent an order just now.
        self.assertEqual(self.lease.fence(), 0)
        self.lease.reject_token(0)
        self.append_late()
        self.assertIsNone(self.lease.fence())


if __name__ == "__main__":
    unittest.main()
