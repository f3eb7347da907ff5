"""Who is told at which software version a stream began, and who knows it later."""

import unittest
from unittest import mock

import cbor2

from ashhoist.control.messages.streams import STREAMS_REVISION
from ashhoist.control.stream_replicas import INSTANCES_TOLD, ranked
from ashhoist.streams import (
    VERSIONS_KEY_PREFIX,
    FoundVersion,
    MalformedVersionsError,
    ServedVersions,
    StreamBegan,
    VersionLookup,
    VersionLookupTimedOut,
    VersionSource,
    begun,
)

from .control_world import World
from .world_writes import PLAIN_SERVICE, SERVICE

OLD, NEW = "v1", "v2"
SETTLED_S = 5.0
LIFETIME_S = 10.0
"""Of a stream, in a world without routes."""
LOOKUP_S = 0.15
STREAM = "7869f99eb3b15c4f"


class StreamNoticesTestCase(unittest.TestCase):
    lookups = 0

    def start(self, instances: int = 7, *versions: str) -> World:
        """Start instances before one engine of each software version."""
        world = World(instances, 0, zones=3)
        for number, version in enumerate(versions or (OLD,)):
            self.add(world, number, version)
        world.start()
        world.run(SETTLED_S)
        return world

    def add(self, world: World, number: int, version: str) -> None:
        name = f"engine-{number}"
        world.software_by_engine[name] = version
        world.add_engine(name)

    def begin(
        self, world: World, name: str, version: str = OLD, stream: str = STREAM
    ) -> None:
        core = world.machines[name].core
        assert core is not None
        core.stream_notices.began(StreamBegan(stream, SERVICE, version))

    def look_up(
        self, world: World, name: str, stream: str = STREAM, service: str = SERVICE
    ) -> FoundVersion:
        core = world.machines[name].core
        assert core is not None
        self.lookups += 1
        lookup = VersionLookup(self.lookups, stream, service)
        core.stream_lookups.ask(lookup)
        world.run(LOOKUP_S, lookup.answer.done)
        core.stream_lookups.timed_out(VersionLookupTimedOut(lookup.number))
        return lookup.answer.result()

    def told(self, world: World) -> set[str]:
        """Return the instances that know the stream."""
        return {
            name
            for name, machine in world.machines.items()
            if machine.core is not None
            and machine.core.stream_lookups.begun.find(STREAM) is not None
        }


class NoticeTests(StreamNoticesTestCase):
    def test_nobody_is_told_while_one_version_has_served(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        self.begin(world, "instance-0")
        world.run(1.0)
        self.assertEqual(self.told(world), {"instance-0"})

    def test_some_are_told_while_several_versions_serve(self) -> None:
        world = self.start(7, OLD, NEW)
        world.run(LIFETIME_S)
        self.begin(world, "instance-0")
        world.run(1.0)
        told = self.told(world)
        self.assertEqual(len(told), 1 + INSTANCES_TOLD)
        zones = {world.machines[name].zone for name in told - {"instance-0"}}
        self.assertEqual(len(zones), 3)

    def test_streams_from_before_a_new_version_are_told_when_it_appears(self) -> None:
        # Guards against streams that are lost with their instance right after a release
        # has begun.
        world = self.start()
        world.run(LIFETIME_S)
        self.begin(world, "instance-0")
        self.add(world, 1, NEW)
        world.run(2.0)
        self.assertEqual(len(self.told(world)), 1 + INSTANCES_TOLD)

    def test_a_version_that_one_instance_has_used_is_known_to_those_it_tells(
        self,
    ) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        self.begin(world, "instance-0", NEW)
        world.run(1.0)
        world.kill("instance-0")
        world.run(1.0)
        found = self.look_up(world, "instance-1")
        self.assertEqual(found.software_version, NEW)
        found = self.look_up(world, "instance-1", "another-stream")
        self.assertIs(found.source, VersionSource.UNKNOWN)

    def test_streams_outlive_a_release_of_all_instances_one_by_one(self) -> None:
        # Guards against streams that nobody knows once all instances were replaced.
        for instances in (3, 5):
            world = self.start(instances, OLD, NEW)
            world.run(LIFETIME_S)
            self.begin(world, "instance-0")
            world.run(1.0)
            for name in world.machines:
                core = world.machines[name].core
                assert core is not None
                core.stop()
                world.run(0.3)
                world.kill(name)
                world.start(name)
                world.run(1.5)
            for name in ("instance-0", "instance-1", f"instance-{instances - 1}"):
                found = self.look_up(world, name)
                self.assertEqual(found.software_version, OLD, (instances, name))

    def test_only_hubs_are_told_where_instances_are_many(self) -> None:
        world = self.start(24, OLD, NEW)
        self.begin(world, "instance-20")
        world.run(1.0)
        core = world.machines["instance-20"].core
        assert core is not None
        for name in self.told(world) - {"instance-20"}:
            self.assertTrue(core._hubs.is_hub(name))
        self.assertEqual(len(self.told(world)), 1 + INSTANCES_TOLD)

    def test_old_streams_are_forgotten(self) -> None:
        world = self.start(7, OLD, NEW)
        self.begin(world, "instance-0")
        world.run(LIFETIME_S + 1.0)
        self.begin(world, "instance-0", OLD, "later-stream")
        core = world.machines["instance-0"].core
        assert core is not None
        self.assertEqual(len(core.stream_lookups.begun), 1)

    def test_memory_is_bounded(self) -> None:
        world = self.start(1)
        with mock.patch.object(begun, "MAX_STREAMS", 10):
            for number in range(25):
                self.begin(world, "instance-0", OLD, f"stream-{number}")
        core = world.machines["instance-0"].core
        assert core is not None
        self.assertEqual(len(core.stream_lookups.begun), 10)
        self.assertIsNotNone(core.stream_lookups.begun.find("stream-24"))

    def test_instances_of_earlier_releases_get_no_unknown_messages(self) -> None:
        # Guards against links that the other side closes.
        world = World(3, 0, zones=3)
        self.add(world, 0, OLD)
        self.add(world, 1, NEW)
        for name in ("instance-1", "instance-2"):
            world.machines[name].revision = STREAMS_REVISION - 1
        world.start()
        world.run(SETTLED_S)
        self.begin(world, "instance-0")
        world.run(1.0)
        self.assertEqual(self.told(world), {"instance-0"})
        found = self.look_up(world, "instance-0", "another-stream")
        self.assertIs(found.source, VersionSource.UNKNOWN)


class LookupTests(StreamNoticesTestCase):
    def test_the_instance_that_began_a_stream_knows_it(self) -> None:
        world = self.start(7, OLD, NEW)
        self.begin(world, "instance-0")
        found = self.look_up(world, "instance-0")
        self.assertEqual((found.source, found.software_version), ("here", OLD))

    def test_any_other_instance_finds_it_after_a_kill(self) -> None:
        world = self.start(7, OLD, NEW)
        self.begin(world, "instance-0")
        world.run(0.1)
        world.kill("instance-0")
        world.run(1.0)
        others = [name for name in world.machines if name != "instance-0"]
        for name in others:
            self.assertEqual(self.look_up(world, name).software_version, OLD, name)

    def test_a_new_process_under_the_same_name_finds_it(self) -> None:
        world = self.start(7, OLD, NEW)
        self.begin(world, "instance-0")
        world.run(0.1)
        world.kill("instance-0")
        world.run(0.5)
        world.start("instance-0")
        world.run(2.0)
        found = self.look_up(world, "instance-0")
        self.assertEqual((found.source, found.software_version), ("instance", OLD))

    def test_while_one_version_has_served_an_unknown_stream_is_of_that_one(
        self,
    ) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-1")
        self.assertEqual((found.source, found.software_version), ("only_version", OLD))

    def test_a_process_that_starts_knows_what_the_others_have_watched(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        world.kill("instance-0")
        world.run(0.5)
        world.start("instance-0")
        world.run(2.0)
        found = self.look_up(world, "instance-0")
        self.assertIs(found.source, VersionSource.ONLY_VERSION)

    def test_a_version_that_has_ended_lately_is_remembered(self) -> None:
        # Guards against the claim that the version left is the only one there was.
        world = self.start(7, OLD, NEW)
        world.run(LIFETIME_S)
        world.end_engine("engine-0")
        world.run(3.0)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)
        world.kill("instance-1")
        world.run(0.5)
        world.start("instance-1")
        world.run(2.0)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-1")
        self.assertEqual((found.source, found.software_version), ("only_version", NEW))

    def restart_all(self, world: World) -> None:
        for name in world.machines:
            world.kill(name)
        world.run(0.5)
        world.start()
        world.run(SETTLED_S)

    def test_after_a_restart_of_all_the_log_tells_that_one_version_has_served(
        self,
    ) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        self.restart_all(world)
        found = self.look_up(world, "instance-1")
        self.assertEqual((found.source, found.software_version), ("only_version", OLD))

    def test_after_a_restart_of_all_a_version_that_had_ended_is_remembered(
        self,
    ) -> None:
        # Guards against the claim that the version left is the only one there was.
        world = self.start(7, OLD, NEW)
        world.run(LIFETIME_S)
        world.end_engine("engine-0")
        world.run(1.0)
        self.restart_all(world)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)

    def test_a_restart_of_all_before_anything_is_sure_leaves_nothing_to_claim(
        self,
    ) -> None:
        world = self.start()
        self.restart_all(world)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-1")
        self.assertIs(found.source, VersionSource.ONLY_VERSION)

    def test_a_version_that_appears_while_all_are_down_ends_the_claim(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        for name in world.machines:
            world.kill(name)
        self.add(world, 1, NEW)
        world.run(0.5)
        world.start()
        world.run(SETTLED_S)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)

    def test_versions_are_written_when_they_change_only(self) -> None:
        # Guards against a write for each stream, or each tick.
        world = self.start()
        world.run(LIFETIME_S)
        before = len(self.version_records(world))
        for number in range(20):
            self.begin(world, "instance-0", OLD, f"stream-{number}")
            world.run(0.5)
        self.assertEqual(len(self.version_records(world)), before)
        self.add(world, 1, NEW)
        world.run(2.0)
        records = self.version_records(world)
        self.assertEqual(len(records), before + 1)
        self.assertEqual(records[-1].versions, {OLD, NEW})

    def version_records(self, world: World) -> list[ServedVersions]:
        """Return what was written to the log about versions."""
        values = [
            value
            for key, value in world.store.appended
            if key.startswith(VERSIONS_KEY_PREFIX)
        ]
        return [ServedVersions.decode(value) for value in values]

    def test_nothing_is_claimed_from_an_old_list_of_upstreams(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        world.store.is_down = True
        world.run(SETTLED_S)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)

    def test_an_instance_without_links_claims_nothing(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        world.machines["instance-1"].links_cut = True
        world.run(SETTLED_S)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)

    def test_the_only_instance_of_a_deployment_claims_from_its_own_watch(self) -> None:
        world = self.start(1)
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-0")
        self.assertIs(found.source, VersionSource.ONLY_VERSION)

    def test_several_services_are_told_apart(self) -> None:
        # Versions are texts of one service; two services may use the same ones.
        world = self.start(7, OLD, NEW)
        world.write_plain_upstream("plain-0")
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-1", service=PLAIN_SERVICE)
        self.assertIs(found.source, VersionSource.ONLY_VERSION)
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)

    def test_a_route_to_several_services_claims_nothing(self) -> None:
        world = self.start()
        world.run(LIFETIME_S)
        found = self.look_up(world, "instance-1", service="")
        self.assertIs(found.source, VersionSource.UNKNOWN)

    def test_a_frozen_instance_holds_a_lookup_up_for_its_limit_only(self) -> None:
        world = self.start(7, OLD, NEW)
        for name in ("instance-2", "instance-3", "instance-4", "instance-5"):
            world.freeze(name, 2.0)
        began = world.now
        self.assertIs(self.look_up(world, "instance-1").source, VersionSource.UNKNOWN)
        self.assertLessEqual(world.now - began, LOOKUP_S + 0.01)


class RecordTests(unittest.TestCase):
    def test_a_record_is_read_as_it_was_written(self) -> None:
        served = ServedVersions("engines", frozenset({OLD, NEW}))
        self.assertEqual(ServedVersions.decode(served.encode()), served)

    def test_other_values_are_no_record(self) -> None:
        for row in ([], ["engines"], ["engines", "v1"], ["engines", [1]], {}, 7):
            with self.assertRaises(MalformedVersionsError):
                ServedVersions.decode(cbor2.dumps(row))
        with self.assertRaises(MalformedVersionsError):
            ServedVersions.decode(b"\xff")


class RankingTests(unittest.TestCase):
    ZONES = {f"instance-{number}": f"zone-{number % 3}" for number in range(12)}

    def test_the_first_are_of_different_zones(self) -> None:
        for number in range(50):
            first = ranked(f"stream-{number}", self.ZONES)[:3]
            self.assertEqual(len({self.ZONES[name] for name in first}), 3)

    def test_the_loss_of_others_moves_an_instance_up_only(self) -> None:
        # Guards against a survivor that is not asked.
        for number in range(50):
            stream = f"stream-{number}"
            told = ranked(stream, self.ZONES)[:INSTANCES_TOLD]
            survivor = told[-1]
            left = {
                name: zone
                for name, zone in self.ZONES.items()
                if name == survivor or name not in told
            }
            self.assertLess(ranked(stream, left).index(survivor), INSTANCES_TOLD)

    def test_streams_are_spread_over_instances(self) -> None:
        counts = dict.fromkeys(self.ZONES, 0)
        for number in range(1200):
            for name in ranked(f"stream-{number}", self.ZONES)[:INSTANCES_TOLD]:
                counts[name] += 1
        self.assertLess(max(counts.values()), 2 * min(counts.values()))


if __name__ == "__main__":
    unittest.main()
