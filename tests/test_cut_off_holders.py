"""Holders of order leases that lose their connections to all upstreams."""

import unittest

from ashhoist.orders import LeaseTiming
from ashhoist.placement.messages import Target

from .control_world import TIMING, World
from .world_requests import want

TAKEOVER_S = 2.0
"""From the end of the term: delays by rank, the claim, and a report of each engine."""
RANDOM_CUTS = 6


class CutOffHolderTests(unittest.TestCase):
    def start(self, instances: int, timing: LeaseTiming = TIMING) -> World:
        world = World(instances, 4, timing)
        world.start()
        world.run(6.0)
        return world

    def cut_holder(self, world: World) -> str:
        [holder] = world.holders()
        world.cut_upstreams(holder)
        return holder

    def assert_loads(self, world: World, name: str, adapter: str) -> None:
        """Check that an adapter that no engine serves is loaded for an instance."""
        answer = want(world, name, adapter)
        self.assertTrue(world.run(2.0, answer.done))
        self.assertIsInstance(answer.result(), Target)

    def test_another_instance_takes_over_after_the_term(self) -> None:
        # Guards against a zone without loads for as long as its holder is cut off.
        for instances in (3, 24):
            with self.subTest(instances=instances):
                world = self.start(instances)
                holder = self.cut_holder(world)
                world.run(TIMING.term.total_seconds() + TAKEOVER_S)
                [successor] = world.holders()
                self.assertNotEqual(successor, holder)
                self.assert_loads(world, successor, "a1")
                self.assertEqual(world.broken_turns(), [])

    def test_holder_whose_links_are_back_in_time_stays_the_holder(self) -> None:
        world = self.start(3)
        holder = self.cut_holder(world)
        world.run(1.0)
        world.cut_upstreams(holder, is_cut=False)
        world.run(0.2)
        self.assertEqual(world.holders(), [holder])
        self.assert_loads(world, holder, "a1")
        self.assertEqual(world.broken_turns(), [])

    def test_lease_is_not_given_up_if_nobody_reaches_engines(self) -> None:
        world = self.start(3)
        [holder] = world.holders()
        for name in world.machines:
            world.cut_upstreams(name)
        world.run(3 * TIMING.term.total_seconds())
        for name in world.machines:
            world.cut_upstreams(name, is_cut=False)
        world.run(0.5)
        self.assertEqual(world.holders(), [holder])

    def test_no_two_holders_order_in_turn_while_links_come_and_go(self) -> None:
        for pause_s in (0.4, 1.7, 2.5, 3.1, 4.6):
            with self.subTest(pause_s=pause_s):
                world = self.start(5)
                for number in range(RANDOM_CUTS):
                    holders = world.holders()
                    for name in holders:
                        world.cut_upstreams(name)
                    for name in world.machines:
                        want(world, name, f"a{number}")
                    world.run(pause_s)
                    for name in holders:
                        world.cut_upstreams(name, is_cut=False)
                self.assertEqual(world.broken_turns(TIMING.term.total_seconds()), [])


if __name__ == "__main__":
    unittest.main()
