"""A store that comes back from a copy some seconds old: offsets are given out again."""

import random
import unittest

from ashhoist.process_settings import BoundsSection
from ashhoist.upstreams import UpstreamState

from .control_world import World
from .test_knowledge import states, versions
from .test_log_returns import RELAYED, running
from .world_requests import want
from .world_restores import Restore

WITHIN_S = (BoundsSection().configuration + RELAYED).total_seconds()
LOOKS_EVERY_S = 0.05


LOST_VERSIONS = 4
"""Configurations that were confirmed and are lost; the newest is written again."""


def restored(world: World, lost_s: float = 2.0) -> None:
    """Lose what was written for a while, until the newest of it is written again."""
    copied = world.log.copy()
    for version in range(2, 2 + LOST_VERSIONS):
        world.put_configuration(version)
        for engine in world.engines:
            world.write_engine(engine)
        world.run(lost_s / LOST_VERSIONS)
    restore = Restore()
    restore.begin(world, copied, random.Random(1))
    world.run(restore.away_s + restore.written_again_s)


class RestoredStoreTests(unittest.TestCase):
    def test_a_change_confirmed_after_it_is_in_force_in_time(self) -> None:
        world = running()
        restored(world)
        world.put_configuration(9)
        world.run(WITHIN_S)
        self.assertEqual(versions(world), {9})

    def test_an_upstream_that_leaves_after_it_is_known_in_time(self) -> None:
        world = running()
        restored(world)
        world.write_engine("engine-0", UpstreamState.DRAINING)
        world.run(WITHIN_S)
        self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})

    def test_one_instance_at_a_time_holds_the_lease_behind_it(self) -> None:
        # The holder renews its lease, and nobody is told of it but by the log.
        world = running()
        restored(world, 4.0)
        for name in world.holders():
            world.machines[name].links_cut = True
        held_twice = []
        for step in range(400):
            world.run(LOOKS_EVERY_S)
            if step % 4 == 0:
                want(world, f"instance-{step % 7}", f"a{step % 29}")
            if len(world.holders()) > 1:
                held_twice.append(round(world.now, 2))
        self.assertEqual(held_twice, [])
        self.assertEqual(world.broken_turns(), [])


if __name__ == "__main__":
    unittest.main()
