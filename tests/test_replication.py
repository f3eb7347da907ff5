"""Replication of log records from the few instances that read them to the others."""

import unittest
from unittest import mock

from ashhoist.control.messages import Relay
from ashhoist.control.record_codec import pack
from ashhoist.control.records import SharedRecords
from ashhoist.control.replica import SHARED_TOPICS
from ashhoist.placement.messages import Target
from ashhoist.quarantine import CRASH_THRESHOLD, Crash
from ashhoist.store import Position, Record, Topic
from ashhoist.upstreams import UpstreamState

from .control_world import World
from .world_requests import started, want

REQUEST = "0a1b2c"
"""Fingerprint of a request."""


def versions(world: World) -> set[int]:
    """Return the configuration versions in force at any running machine."""
    return {
        machine.core._in_force.version
        for machine in world.machines.values()
        if machine.core is not None
    }


def states(world: World, engine: str) -> set[UpstreamState | None]:
    """Return the states of an engine as known by the running machines."""
    found: set[UpstreamState | None] = set()
    for machine in world.machines.values():
        if machine.core is None:
            continue
        upstream = machine.core._directory.view.by_id.get(engine)
        found.add(None if upstream is None else upstream.state)
    return found


def crash_request(world: World) -> list[str]:
    """Record enough crashes to hold a request back; return the keys of the records."""
    crashes = [
        Crash(f"engine-{number}", "instance-0", frozenset([REQUEST]))
        for number in range(CRASH_THRESHOLD)
    ]
    for crash in crashes:
        world.log.append(Topic.CRASHES, crash.key, crash.encode())
    return [crash.key for crash in crashes]


class KnowledgeTests(unittest.TestCase):
    def test_a_change_is_in_force_everywhere_soon(self) -> None:
        world = started(6)
        world.put_configuration(2)
        world.run(0.6)
        self.assertEqual(versions(world), {2})

    def test_an_upstream_that_leaves_is_known_everywhere_soon(self) -> None:
        world = started(6)
        world.write_engine("engine-0", UpstreamState.DRAINING)
        world.run(0.6)
        self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})
        world.end_engine("engine-0")
        world.run(0.6)
        self.assertEqual(states(world, "engine-0"), {None})

    def test_end_whose_record_was_dropped_is_known_everywhere_soon(self) -> None:
        # Guards against not relaying an end that only a complete list shows.
        for instances in (6, 24):
            with self.subTest(instances=instances):
                world = started(instances)
                world.run(2.0)
                world.end_engine("engine-0")
                world.log.forget_history(Topic.UPSTREAMS)
                world.run(1.9)
                self.assertEqual(states(world, "engine-0"), {None})

    def test_ends_that_a_newly_started_instance_never_saw_reach_older_ones(
        self,
    ) -> None:
        # Guards against a position that claims all changes, told after a list alone.
        for dropped in (False, True):
            with self.subTest(history_dropped=dropped):
                world = started(3)
                keys = crash_request(world)
                world.run(2.0)
                world.kill("instance-0")
                world.kill("instance-1")
                older = world.machines["instance-2"]
                older.store_cut = True
                world.run(1.0)
                assert older.core is not None
                self.assertTrue(older.quarantine.holds_back(REQUEST))
                world.end_engine("engine-0")
                for key in keys:
                    world.log.append(Topic.CRASHES, key, None)
                if dropped:
                    for topic in SHARED_TOPICS:
                        world.log.forget_history(topic)
                world.start("instance-0", "instance-1")
                world.run(3.0)
                self.assertEqual(states(world, "engine-0"), {None})
                self.assertFalse(older.quarantine.holds_back(REQUEST))

    def test_upstream_that_ended_is_not_brought_back_by_an_older_record(self) -> None:
        # Guards against taking a record from before a list, which lacks it, for news.
        world = started(2)
        offset, value = world.log.topics[Topic.UPSTREAMS].newest["engine-0"]
        for name in world.machines:
            world.kill(name)
        world.end_engine("engine-0")
        world.start("instance-0")
        world.run(3.0)
        core = world.machines["instance-0"].core
        assert core is not None
        packed = pack([Record(Position(offset), "engine-0", value)])
        relay = Relay(str(Topic.UPSTREAMS), -1, offset, *packed, -1, -1)
        core.handle_message("instance-1", relay)
        self.assertNotIn("engine-0", core._directory.view.by_id)

    def test_peers_that_are_behind_do_not_hide_the_one_ahead(self) -> None:
        # Guards against never reading the log while pulls get no answer.
        world = started(6)
        world.run(2.0)
        late = "instance-5"
        core = world.machines[late].core
        assert core is not None
        world.end_engine("engine-0")
        with (
            mock.patch.object(SharedRecords, "pulled"),
            mock.patch.object(SharedRecords, "handle_relay"),
        ):
            for _ in range(15):
                seen = core.records.replica.seen(Topic.UPSTREAMS)
                core.records.catch_up("instance-1", Topic.UPSTREAMS, Position(seen + 1))
                core.records.catch_up("instance-2", Topic.UPSTREAMS, seen)
                world.run(0.1)
        self.assertNotIn("engine-0", core._directory.view.by_id)

    def test_two_instances_read_without_faults(self) -> None:
        world = started(8)
        world.run(2.0)
        before = world.store.reads
        world.run(10.0)
        # Two topics, each read every 0.4 s by two instances.
        self.assertLess(world.store.reads - before, 120)

    def test_restart_of_an_instance_adds_no_reads(self) -> None:
        world = started(8)
        world.write_engine("engine-0")
        other = next(name for name in world.machines if name not in world.holders())
        world.kill(other)
        world.start(other)
        world.run(3.0)
        before = world.store.reads
        world.run(10.0)
        self.assertLess(world.store.reads - before, 120)

    def test_machines_that_the_store_rejects_get_changes_from_others(self) -> None:
        for rejected in range(1, 6):
            with self.subTest(rejected=rejected):
                world = started(6)
                names = world.holders() + [
                    name for name in world.machines if name not in world.holders()
                ]
                for name in names[:rejected]:
                    world.machines[name].store_cut = True
                world.run(3.0)
                world.put_configuration(5)
                world.write_engine("engine-0", UpstreamState.DRAINING)
                world.run(1.9)
                self.assertEqual(versions(world), {5})
                self.assertEqual(states(world, "engine-0"), {UpstreamState.DRAINING})

    def test_lost_readers_cost_little_more_than_a_second(self) -> None:
        world = started(6)
        world.run(2.0)
        readers = [
            name
            for name, machine in world.machines.items()
            if machine.core is not None and machine.core.is_log_reader
        ]
        self.assertLessEqual(len(readers), 2)
        for name in readers:
            world.freeze(name, 30.0)
        world.put_configuration(3)
        world.run(1.9)
        awake = [
            machine.core._in_force.version
            for machine in world.machines.values()
            if machine.core is not None and not machine.frozen
        ]
        self.assertEqual(set(awake), {3})

    def test_change_that_reads_did_not_return_is_in_force_later(self) -> None:
        # For a while reads return no new records, although the log's end has moved.
        world = started(6)
        world.store.hides_new_records = True
        world.put_configuration(2)
        world.run(1.0)
        self.assertNotIn(2, versions(world))
        world.store.hides_new_records = False
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            world.log.forget_history(topic)
        world.run(1.5)
        self.assertEqual(versions(world), {2})

    def test_relayed_record_behind_a_gap_does_not_advance_the_position(self) -> None:
        world = started(2)
        core = world.machines["instance-0"].core
        assert core is not None
        seen = core.records.replica.seen(Topic.CONFIGURATION)
        packed = pack([Record(seen + 5, "version/a1", b"x")])
        relay = Relay(str(Topic.CONFIGURATION), seen + 4, seen + 5, *packed, -1, -1)
        core.handle_message("instance-1", relay)
        self.assertEqual(core.records.replica.seen(Topic.CONFIGURATION), seen)
        packed = pack([Record(seen + 1, "version/a2", b"x")])
        relay = Relay(str(Topic.CONFIGURATION), seen, seen + 1, *packed, -1, -1)
        core.handle_message("instance-1", relay)
        self.assertEqual(core.records.replica.seen(Topic.CONFIGURATION), seen + 1)

    def test_older_configuration_never_replaces_a_newer_one(self) -> None:
        world = started(3)
        world.put_configuration(9)
        world.run(1.0)
        world.put_configuration(4)
        world.run(2.0)
        self.assertEqual(versions(world), {9})

    def test_instance_that_starts_while_the_store_is_down_gets_ready(self) -> None:
        world = started(3)
        world.store.is_down = True
        world.kill("instance-2")
        world.start("instance-2")
        world.run(4.0)
        core = world.machines["instance-2"].core
        assert core is not None
        self.assertTrue(core.ready)


class LapseTests(unittest.TestCase):
    """Records of upstreams that lapsed because the store was unavailable."""

    def lapsed(self, engines: int, ended: int) -> World:
        """Return a world in which the records of `ended` engines have just lapsed."""
        world = started(4, engines)
        answer = want(world, "instance-0", "a1")
        world.run(1.0, lambda: answer.done())
        for index in range(ended):
            world.delete_engine_record(f"engine-{index}")
        world.run(0.7)
        return world

    def test_upstreams_that_lapse_together_stay_ready(self) -> None:
        world = self.lapsed(4, 4)
        self.assertEqual(states(world, "engine-1"), {UpstreamState.READY})
        answer = want(world, "instance-1", "a2")
        self.assertTrue(world.run(0.5, lambda: answer.done()))
        self.assertIsInstance(answer.result(), Target)

    def test_lapsed_upstreams_stay_ready_once_rewritten(self) -> None:
        world = self.lapsed(4, 4)
        for index in range(4):
            world.write_engine(f"engine-{index}")
        world.run(4.0)
        for index in range(4):
            self.assertEqual(states(world, f"engine-{index}"), {UpstreamState.READY})
        answer = want(world, "instance-1", "a1")
        self.assertTrue(world.run(0.05, lambda: answer.done()))

    def test_lapsed_upstream_that_is_not_rewritten_ends(self) -> None:
        world = self.lapsed(4, 4)
        for index in range(1, 4):
            world.write_engine(f"engine-{index}")
        world.run(2.5)
        self.assertEqual(states(world, "engine-0"), {None})
        self.assertEqual(states(world, "engine-1"), {UpstreamState.READY})

    def test_machine_that_the_store_rejects_learns_of_the_rewrite(self) -> None:
        world = started(4, 4)
        world.machines["instance-3"].store_cut = True
        for index in range(4):
            world.delete_engine_record(f"engine-{index}")
        world.run(0.7)
        for index in range(4):
            world.write_engine(f"engine-{index}")
        world.run(4.0)
        self.assertEqual(states(world, "engine-2"), {UpstreamState.READY})

    def test_one_upstream_that_ends_by_itself_is_gone_at_once(self) -> None:
        world = self.lapsed(4, 1)
        self.assertEqual(states(world, "engine-0"), {None})

    def test_draining_upstream_is_gone_at_once(self) -> None:
        world = started(4, 4)
        world.write_engine("engine-0", UpstreamState.DRAINING)
        world.run(0.7)
        for index in range(4):
            world.delete_engine_record(f"engine-{index}")
        world.run(0.7)
        self.assertEqual(states(world, "engine-0"), {None})
        self.assertEqual(states(world, "engine-1"), {UpstreamState.READY})


if __name__ == "__main__":
    unittest.main()
