"""The order lease under random faults, with engines that check no fencing tokens."""

import itertools
import random
import unittest
from dataclasses import replace
from datetime import timedelta
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.clock import ZERO
from ashhoist.orders import Lease, LeaseTiming

from .control_world import TIMING, World
from .world_faults import FAULTS, FAULTS_AND_RESTORES
from .world_requests import want

NO_WAIT_SEEDS = (17, 59)
"""Seeds with which a returning holder that does not wait violates a rule."""


class RandomDay:
    """A simulation with random faults drawn from a seed; each fault heals by itself."""

    STEPS = 80
    FAULTS = FAULTS

    def __init__(self, seed: int, timing: LeaseTiming | None = None) -> None:
        self._source = random.Random(seed)
        self.world = World(3, 2, timing or TIMING)
        self.most_holders = 0
        self.world.start()

    def play(self) -> "RandomDay":
        """Run the whole simulation."""
        for _ in range(self.STEPS):
            if self._source.random() < 0.35:
                self._disturb()
            for name, machine in self.world.machines.items():
                if machine.core is not None and self._source.random() < 0.8:
                    want(self.world, name, f"a{self._source.randrange(25)}")
            self.world.run(self._source.uniform(0.05, 0.5))
            holders = len(self.world.holders())
            self.most_holders = max(self.most_holders, holders)
        return self

    @property
    def takeovers(self) -> int:
        """Return how often the machine that sends orders has changed."""
        machines = [order.machine for order in self.world.seen]
        return sum(one != other for one, other in itertools.pairwise(machines))

    def _disturb(self) -> None:
        world, source = self.world, self._source
        holders = world.holders() or list(world.machines)
        name = source.choice(holders if source.random() < 0.7 else list(world.machines))
        machine = world.machines[name]
        healed_after = source.uniform(0.2, 7.0)
        fault = source.choice(sorted(self.FAULTS))
        if machine.core is not None:
            self.FAULTS[fault](world, machine, healed_after)


class RestoresDay(RandomDay):
    """A simulation whose faults include restores of the store from a snapshot."""

    FAULTS = FAULTS_AND_RESTORES


class RandomFaultTests(unittest.TestCase):
    """Any mix of faults: the return interval is kept and no engine is overfilled."""

    def assert_sound(self, simulation: RandomDay) -> None:
        self.assertLessEqual(simulation.most_holders, 1)
        self.assertEqual(simulation.world.broken_turns(), [])
        self.assertEqual(simulation.world.fallen(), [])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(40)
    @example(27)
    def test_no_two_holders_order_in_turn(self, seed: int) -> None:
        self.assert_sound(RandomDay(seed).play())

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_nor_where_the_store_is_restored(self, seed: int) -> None:
        self.assert_sound(RestoresDay(seed).play())

    @settings(max_examples=20, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(56)
    @example(63)
    def test_nor_with_leases_as_they_ship(self, seed: int) -> None:
        self.assert_sound(RandomDay(seed, LeaseTiming()).play())

    def test_the_simulations_contain_takeovers(self) -> None:
        takeovers = [RandomDay(seed).play().takeovers for seed in range(20)]
        self.assertGreater(sum(takeovers), 10)

    def test_a_successor_that_does_not_wait_is_caught(self) -> None:
        no_wait = replace(TIMING, clock_margin=timedelta(seconds=-2.4))
        simulations = [RandomDay(seed, no_wait).play() for seed in range(12)]
        self.assertTrue(
            any(simulation.world.broken_turns() for simulation in simulations)
        )

    def test_a_holder_that_returns_without_waiting_is_caught(self) -> None:
        with mock.patch.object(Lease, "_return_wait_until", lambda *_: ZERO):
            simulations = [RandomDay(seed).play() for seed in NO_WAIT_SEEDS]
        self.assertTrue(
            any(simulation.world.broken_turns() for simulation in simulations)
        )


if __name__ == "__main__":
    unittest.main()
