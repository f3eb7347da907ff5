"""The lease on orders under random faults, where engines check no fences."""

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

NO_WAIT = (17, 59)
"""Days in which a holder that comes back without waiting does harm."""


class RandomDay:
    """A world under faults drawn from a seed; each fault heals by itself."""

    STEPS = 80
    FAULTS = FAULTS

    def __init__(self, seed: int, timing: LeaseTiming | None = None) -> None:
        self._source = random.Random(seed)
        self.world = World(3, 2, timing or TIMING)
        self.most_holders = 0
        self.world.start()

    def play(self) -> "RandomDay":
        """Play to the end."""
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
        """Return how often the machine that orders has changed."""
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
    """A random day whose faults include restores of the store from a snapshot."""

    FAULTS = FAULTS_AND_RESTORES


class RandomFaultTests(unittest.TestCase):
    """Any mix of faults: never two holders in turn, never an engine overfull."""

    def assert_sound(self, day: RandomDay) -> None:
        self.assertLessEqual(day.most_holders, 1)
        self.assertEqual(day.world.broken_turns(), [])
        self.assertEqual(day.world.fallen(), [])

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

    def test_the_days_have_takeovers(self) -> None:
        takeovers = [RandomDay(seed).play().takeovers for seed in range(20)]
        self.assertGreater(sum(takeovers), 10)

    def test_a_successor_that_does_not_wait_is_caught(self) -> None:
        hasty = replace(TIMING, clock_margin=timedelta(seconds=-2.4))
        days = [RandomDay(seed, hasty).play() for seed in range(12)]
        self.assertTrue(any(day.world.broken_turns() for day in days))

    def test_a_holder_that_comes_back_without_waiting_is_caught(self) -> None:
        with mock.patch.object(Lease, "_turn_left_from", lambda *_: ZERO):
            days = [RandomDay(seed).play() for seed in NO_WAIT]
        self.assertTrue(any(day.world.broken_turns() for day in days))


if __name__ == "__main__":
    unittest.main()
