"""The return interval of a lease during a rolling restart.

No machine may send an order within three seconds of its own last order if another
machine has sent one in between. Regression tests for two faults:

- The instances of one zone were stopped one after the other, as in an upgrade. The
  first sent orders until 4.00 s, the second from 4.25 s and the third from 4.70 s on.
  Then the first, which had been restarted, got the lease back and sent orders from
  5.45 s on. A claim named only the one machine that held the lease before it, so the
  third's claim did not show that the first had sent orders shortly before.
- A process that restarted during this wait did not know of the wait either.
"""

import unittest

from ashhoist.orders import LeaseTiming

from .control_world import World
from .world_requests import want

STEP_S = 0.05
HANDOVER_TIMEOUT_S = 1.2
LOAD_S = 4.0


class ReturnIntervalTests(unittest.TestCase):
    """Three instances of one zone, each stopped while it holds the zone's lease."""

    def setUp(self) -> None:
        self.world = World(3, 1, LeaseTiming())
        self.world.start()
        self.world.run(3.0)
        self.request_count = 0
        self.run_under_load(1.0)

    def run_under_load(self, seconds: float) -> None:
        """Keep requesting changing adapters at all instances."""
        until = self.world.now + seconds
        while self.world.now < until:
            for name, machine in self.world.machines.items():
                if machine.core is None or machine.core.stopping:
                    continue
                self.request_count += 1
                want(self.world, name, f"a{self.request_count % 20}")
            self.world.run(STEP_S)

    def holder(self) -> str:
        """Return the instance that holds the lease by its own clock."""
        [name] = [
            name
            for name, machine in self.world.machines.items()
            if machine.core is not None and machine.core.leases.held
        ]
        return name

    def stop(self, name: str) -> None:
        """Stop the holder gracefully; another instance has the lease afterwards."""
        core = self.world.machines[name].core
        assert core is not None
        core.stop()
        until = self.world.now + HANDOVER_TIMEOUT_S
        while core.leases.held and self.world.now < until:
            self.run_under_load(STEP_S)
        self.world.kill(name)
        self.run_under_load(4 * STEP_S)

    def test_a_holder_that_returns_after_two_others_waits(self) -> None:
        first = self.holder()
        self.stop(first)
        self.stop(self.holder())
        self.world.start(first)
        self.run_under_load(0.4)
        self.stop(self.holder())
        self.run_under_load(LOAD_S)
        self.assertEqual(self.holder(), first)
        self.assertEqual(self.world.seen[-1].machine, first)
        self.assertEqual(self.world.broken_turns(), [])

    def test_a_holder_that_restarts_while_it_waits_continues_to_wait(self) -> None:
        first = self.holder()
        self.stop(first)
        second = self.holder()
        self.world.start(first)
        self.run_under_load(0.4)
        self.stop(second)
        self.assertEqual(self.holder(), first)
        self.world.kill(first)
        self.world.start(first)
        self.run_under_load(LOAD_S)
        self.assertEqual(self.world.seen[-1].machine, first)
        self.assertEqual(self.world.broken_turns(), [])


if __name__ == "__main__":
    unittest.main()
