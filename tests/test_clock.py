"""The clock that leases and proofs go by.

Symptom: a machine was suspended for five seconds; when it went on, its leases held for
five seconds longer than everybody else thought, and so did its proof that keys are
current. Cause: ``time.monotonic`` stands still while a machine is suspended.
"""

import time
import unittest
from datetime import timedelta
from unittest import mock

from ashhoist.clock import SystemClock
from ashhoist.customers import Proof

SECOND_NS = 1_000_000_000
SUSPENDED = timedelta(seconds=5)


class _Machine:
    """The clocks of a machine's system; one stands still while it is suspended."""

    def __init__(self) -> None:
        self.running_ns = 100 * SECOND_NS
        self.suspended_ns = 0

    def read(self, clock: int) -> int:
        if clock == time.CLOCK_BOOTTIME:
            return self.running_ns + self.suspended_ns
        return self.running_ns

    def suspend(self, span: timedelta) -> None:
        self.suspended_ns += round(span.total_seconds() * SECOND_NS)


class SuspensionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = machine = _Machine()
        for name, read in (
            ("clock_gettime_ns", machine.read),
            ("monotonic_ns", lambda: machine.read(time.CLOCK_MONOTONIC)),
            ("monotonic", lambda: machine.read(time.CLOCK_MONOTONIC) / SECOND_NS),
        ):
            patch = mock.patch.object(time, name, read)
            patch.start()
            self.addCleanup(patch.stop)

    def test_it_counts_the_time_for_which_a_machine_is_suspended(self) -> None:
        clock = SystemClock()
        before = clock.monotonic()
        self.machine.suspend(SUSPENDED)
        self.assertEqual(clock.monotonic() - before, SUSPENDED)

    def test_a_proof_does_not_outlast_a_suspension(self) -> None:
        clock = SystemClock()
        proof = Proof(SUSPENDED)
        proof.prove(clock.monotonic())
        self.assertTrue(proof.is_recent(clock.monotonic()))
        self.machine.suspend(SUSPENDED)
        self.assertFalse(proof.is_recent(clock.monotonic()))


if __name__ == "__main__":
    unittest.main()
