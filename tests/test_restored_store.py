"""The store is restored from a copy some seconds old, and offsets are reused."""

import random
import unittest

from ashhoist.process_settings import BoundsSection
from ashhoist.store import Topic
from ashhoist.upstreams import UpstreamState

from .control_world import World
from .test_log_returns import RELAYED, running
from .test_replication import states, versions
from .world_requests import want
from .world_restores import Restore

WITHIN_S = (BoundsSection().configuration + RELAYED).total_seconds()
CHECK_INTERVAL_S = 0.05
LOST_VERSIONS = 4
"""Confirmed configurations that the restore loses; the last is written again."""
EXTRA_CALLS_LIMIT = 40
"""Exclusive bound on the store calls that a restore adds to those of an outage."""


def count_store_calls(is_restored: bool, instances: int) -> int:
    """Count the calls to the store in the ten seconds from the start of an outage."""
    world = running(instances)
    snapshot = world.log.snapshot()
    world.put_configuration(2)
    world.run(1.0)
    store = world.store
    before = store.reads + store.lease_calls + store.crash_writes
    store.is_down = True
    if is_restored:
        Restore().begin(world, snapshot, random.Random(1))
    else:
        world.after(Restore().outage_s, lambda: setattr(store, "is_down", False))
    world.run(10.0)
    return store.reads + store.lease_calls + store.crash_writes - before


def restore_store(world: World, lost_s: float = 2.0) -> None:
    """Restore the store without its newest records; return after the rewrites."""
    snapshot = world.log.snapshot()
    for version in range(2, 2 + LOST_VERSIONS):
        world.put_configuration(version)
        for engine in world.engines:
            world.write_engine(engine)
        world.run(lost_s / LOST_VERSIONS)
    restore = Restore()
    restore.begin(world, snapshot, random.Random(1))
    world.run(restore.outage_s + restore.rewrite_within_s)


class RestoredStoreTests(unittest.TestCase):
    def test_change_confirmed_after_a_restore_is_in_force_in_time(self) -> None:
        world = running()
        restore_store(world)
        world.put_configuration(9)
        world.run(WITHIN_S)
        self.assertEqual(versions(world), {9})

    def test_restore_adds_few_store_calls_to_those_of_an_outage(self) -> None:
        # Guards against a burst of calls to a store that has just been restored.
        for instances in (7, 24):
            with self.subTest(instances=instances):
                outage_calls = count_store_calls(False, instances)
                restore_calls = count_store_calls(True, instances)
                self.assertLess(restore_calls - outage_calls, EXTRA_CALLS_LIMIT)

    def test_upstream_leaving_after_a_restore_is_known_in_time(self) -> None:
        world = running()
        restore_store(world)
        world.write_engine("engine-0", UpstreamState.DRAINING)
        world.run(WITHIN_S)
        self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})

    def test_one_instance_at_a_time_holds_the_lease_after_a_restore(self) -> None:
        # With its links cut, a holder announces renewals through the log only.
        world = running()
        restore_store(world, 4.0)
        for name in world.holders():
            world.machines[name].links_cut = True
        with_two_holders = []
        for step in range(400):
            world.run(CHECK_INTERVAL_S)
            if step % 4 == 0:
                want(world, f"instance-{step % 7}", f"a{step % 29}")
            if len(world.holders()) > 1:
                with_two_holders.append(round(world.now, 2))
        self.assertEqual(with_two_holders, [])
        self.assertEqual(world.broken_turns(), [])

    def test_held_back_record_is_dropped_if_a_complete_list_lacks_it(self) -> None:
        # Guards against applying a held-back record that a complete list lacks.
        world = running()
        snapshot = world.log.snapshot()
        world.delete_engine_record("engine-0")
        world.run(1.0)
        world.log.restore(snapshot)
        world.run(1.0)
        world.delete_engine_record("engine-0")
        world.log.forget_history(Topic.UPSTREAMS)
        for _ in range(100):
            world.run(0.1)
            self.assertEqual(states(world, "engine-0"), {None})

    def test_starting_instance_gets_a_version_that_the_restore_lost(self) -> None:
        world = running()
        snapshot = world.log.snapshot()
        world.put_configuration(7)
        world.run(1.0)
        world.kill("instance-3")
        world.log.restore(snapshot)
        world.start("instance-3")
        world.run(WITHIN_S)
        self.assertEqual(versions(world), {7})

    def test_restored_record_does_not_make_a_leaving_upstream_ready(self) -> None:
        world = running()
        snapshot = world.log.snapshot()
        world.write_engine("engine-0", UpstreamState.DRAINING)
        world.run(1.0)
        world.log.restore(snapshot)
        for _ in range(40):
            world.run(0.1)
            self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})
        world.kill("instance-3")
        world.start("instance-3")
        world.run(WITHIN_S)
        self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})

    def test_upstream_that_the_restore_lost_ends_until_rewritten(self) -> None:
        world = running()
        snapshot = world.log.snapshot()
        world.add_engine("engine-9")
        world.run(2.0)
        world.log.restore(snapshot)
        world.run(2.0)
        self.assertEqual(states(world, "engine-9"), {UpstreamState.READY})
        world.run(3.0)
        self.assertEqual(states(world, "engine-9"), {None})
        world.rewrite(Topic.UPSTREAMS, "engine-9")
        world.run(2.0)
        self.assertEqual(states(world, "engine-9"), {UpstreamState.READY})


if __name__ == "__main__":
    unittest.main()
