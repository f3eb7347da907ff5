"""No machine orders within three seconds of its own last order if others did between.

Instances of one zone were stopped one after the other, as in an upgrade. The first
ordered until 4.00 s, the second from 4.25 s and the third from 4.70 s on; then the
first, which had started again, was given the lease back and ordered from 5.45 s on. A
claim names the one machine that held the lease before it, so the third's claim did not
show that the first had ordered a moment ago. A process that starts again in the middle
of its wait knows nothing of that wait either.
"""

import unittest

from ashhoist.orders import LeaseTiming

from .control_world import World
from .world_requests import want

STEP_S = 0.05
HANDED_OVER_S = 1.2
PRESSED_S = 4.0


class TurnTests(unittest.TestCase):
    """Three instances of one zone, each stopped while it holds the zone's lease."""

    def setUp(self) -> None:
        self.world = World(3, 1, LeaseTiming())
        self.world.start()
        self.world.run(3.0)
        self.asked = 0
        self.press(1.0)

    def press(self, seconds: float) -> None:
        """Let requests at all instances want other adapters all the time."""
        until = self.world.now + seconds
        while self.world.now < until:
            for name, machine in self.world.machines.items():
                if machine.core is None or machine.core.stopping:
                    continue
                self.asked += 1
                want(self.world, name, f"a{self.asked % 20}")
            self.world.run(STEP_S)

    def holder(self) -> str:
        """Return the instance that counts on holding the lease."""
        [name] = [
            name
            for name, machine in self.world.machines.items()
            if machine.core is not None and machine.core.leases.held
        ]
        return name

    def stop(self, name: str) -> None:
        """Stop the holder as planned; somebody else has the lease then."""
        core = self.world.machines[name].core
        assert core is not None
        core.stop()
        until = self.world.now + HANDED_OVER_S
        while core.leases.held and self.world.now < until:
            self.press(STEP_S)
        self.world.kill(name)
        self.press(4 * STEP_S)

    def test_a_holder_that_returns_behind_two_others_waits(self) -> None:
        first = self.holder()
        self.stop(first)
        self.stop(self.holder())
        self.world.start(first)
        self.press(0.4)
        self.stop(self.holder())
        self.press(PRESSED_S)
        self.assertEqual(self.holder(), first)
        self.assertEqual(self.world.seen[-1].machine, first)
        self.assertEqual(self.world.broken_turns(), [])

    def test_one_that_starts_again_while_it_waits_goes_on_waiting(self) -> None:
        first = self.holder()
        self.stop(first)
        second = self.holder()
        self.world.start(first)
        self.press(0.4)
        self.stop(second)
        self.assertEqual(self.holder(), first)
        self.world.kill(first)
        self.world.start(first)
        self.press(PRESSED_S)
        self.assertEqual(self.world.seen[-1].machine, first)
        self.assertEqual(self.world.broken_turns(), [])


if __name__ == "__main__":
    unittest.main()
