"""An instance that starts gets the log's records from its peers.

Only a few instances read the log themselves, even if all start at the same time.
"""

import json
import random
import unittest

import cbor2
from hypothesis import given, strategies as st

from ashhoist import codec
from ashhoist.adapter import Adapter
from ashhoist.control.messages import Pull, Relay
from ashhoist.control.record_codec import COMPRESS_FROM, MAX_SIZE, pack, unpack
from ashhoist.control.replica import MAX_RELAYED, SHARED_TOPICS, Replica
from ashhoist.orders import LeaseTiming
from ashhoist.placement.messages import Target
from ashhoist.store import Record, Topic

from .control_world import World
from .world_requests import want
from .world_writes import MODEL

ZONE_COUNT = 3
HUB_COUNT = 2 * ZONE_COUNT
NON_HUB = "instance-30"


def running_world() -> World:
    """Return a world of 40 instances that have been up for six seconds."""
    world = World(40, 6, LeaseTiming(), zones=ZONE_COUNT)
    for index, machine in enumerate(world.machines.values()):
        machine.capacity = 2.15 if index < HUB_COUNT else 0.52
    world.put_configuration(2, size=20_000)
    world.start()
    world.run(6.0)
    return world


def is_ready(world: World, name: str) -> bool:
    """Return whether an instance accepts callers."""
    core = world.machines[name].core
    return core is not None and core.ready


class OneStartTests(unittest.TestCase):
    """One instance starts while the others are running."""

    def setUp(self) -> None:
        self.world = running_world()
        self.world.kill(NON_HUB)
        self.world.run(1.0)

    def test_it_gets_everything_from_peers_without_reading_the_log(self) -> None:
        reads = self.world.store.reads
        self.world.start(NON_HUB)
        self.assertTrue(self.world.run(0.3, lambda: is_ready(self.world, NON_HUB)))
        core = self.world.machines[NON_HUB].core
        assert core is not None
        self.assertEqual(len(core._directory.view.by_id), 6)
        # The two instances that read the log keep reading it, every 0.4 s.
        self.assertLessEqual(self.world.store.reads - reads, 4)

    def test_it_reads_the_log_where_no_peer_answers(self) -> None:
        for index in range(40):
            if index != 30:
                self.world.freeze(f"instance-{index}", 30.0)
        self.world.start(NON_HUB)
        self.assertTrue(self.world.run(1.0, lambda: is_ready(self.world, NON_HUB)))

    def test_it_reads_the_log_again_after_the_store_was_down(self) -> None:
        for index in range(40):
            if index != 30:
                self.world.freeze(f"instance-{index}", 30.0)
        self.world.store.is_down = True
        self.world.start(NON_HUB)
        self.world.run(1.5)
        self.world.store.is_down = False
        self.assertTrue(self.world.run(3.0, lambda: is_ready(self.world, NON_HUB)))

    def test_a_partial_list_of_upstreams_is_not_complete_knowledge(self) -> None:
        core = self.world.machines[NON_HUB].core
        self.assertIsNone(core)
        self.world.machines[NON_HUB].links_cut = True
        self.world.machines[NON_HUB].store_cut = True
        self.world.start(NON_HUB)
        core = self.world.machines[NON_HUB].core
        assert core is not None
        log = self.world.log.topics[Topic.UPSTREAMS]
        offset, value = log.newest["engine-5"]
        relayed = pack([Record(offset, "engine-5", value)])
        relay = Relay(str(Topic.UPSTREAMS), offset - 1, offset, *relayed)
        core.handle_message("instance-0", relay)
        self.assertFalse(core.records.knows_all)
        self.assertEqual(core.records.replica.offsets()[str(Topic.UPSTREAMS)], -1)

    def test_records_in_several_messages_arrive_before_it_is_ready(self) -> None:
        for number in range(MAX_RELAYED + 500):
            self.world.name_version(f"a{number}", 2)
        self.world.run(2.0)
        reads = self.world.store.reads
        self.world.start(NON_HUB)
        self.assertTrue(self.world.run(0.5, lambda: is_ready(self.world, NON_HUB)))
        core = self.world.machines[NON_HUB].core
        assert core is not None
        last = Adapter(MODEL, f"a{MAX_RELAYED + 499}")
        self.assertIsNotNone(core._in_force.required_version(last))
        self.assertLessEqual(self.world.store.reads - reads, 6)

    def test_a_hub_with_partial_knowledge_relays_nothing(self) -> None:
        hub = self.world.machines["instance-0"].core
        assert hub is not None
        hub.records.replica = Replica()
        log = self.world.log.topics[Topic.UPSTREAMS]
        offset, value = log.newest["engine-5"]
        relayed = pack([Record(offset, "engine-5", value)])
        hub.handle_message(
            "instance-3", Relay(str(Topic.UPSTREAMS), offset - 1, offset, *relayed)
        )
        self.world.links.counts_bytes = True
        hub.handle_message("instance-33", Pull(str(Topic.UPSTREAMS), -1))
        self.assertEqual(self.world.links.sent["Relay"], 0)


class AllStartTests(unittest.TestCase):
    """All instances start at the same time."""

    def test_only_hubs_read_the_log(self) -> None:
        world = running_world()
        for name in list(world.machines):
            world.kill(name)
        world.run(0.5)
        world.store.reads_by_topic.clear()
        world.start()
        names = list(world.machines)
        all_ready = lambda: all(is_ready(world, name) for name in names)  # noqa: E731
        self.assertTrue(world.run(0.5, all_ready))
        for topic in SHARED_TOPICS:
            self.assertLessEqual(world.store.reads_by_topic[topic], HUB_COUNT, topic)

    def test_all_are_ready_soon_if_the_hubs_do_not_come_back(self) -> None:
        world = running_world()
        for name in list(world.machines):
            world.kill(name)
        world.run(0.5)
        names = list(world.machines)[HUB_COUNT:]
        world.start(*names)
        all_ready = lambda: all(is_ready(world, name) for name in names)  # noqa: E731
        self.assertTrue(world.run(1.2, all_ready))


class FirstRequestTests(unittest.TestCase):
    """All instances restart, and requests arrive before there is a leader."""

    def setUp(self) -> None:
        self.world = running_world()
        for number in range(20):
            want(self.world, f"instance-{number}", f"a{number}")
        self.world.run(3.0)
        for name in list(self.world.machines):
            self.world.kill(name)
        self.world.run(0.5)
        self.world.start()
        self.world.run(0.1)

    def test_requests_from_before_the_leader_began_are_not_lost(self) -> None:
        answers = [
            want(self.world, name, f"a{number % 20}")
            for number, name in enumerate(self.world.machines)
        ]
        all_answered = lambda: all(answer.done() for answer in answers)  # noqa: E731
        self.assertTrue(self.world.run(1.5, all_answered))
        for answer in answers:
            self.assertIsInstance(answer.result(0), Target)


RECORDS = st.lists(
    st.builds(
        Record,
        st.integers(0, 2**40),
        st.text(max_size=40),
        st.none() | st.binary(max_size=3000),
    ),
    max_size=4,
)


class RelayTests(unittest.TestCase):
    @given(RECORDS)
    def test_records_are_unchanged_by_a_round_trip(self, records: list[Record]) -> None:
        self.assertEqual(unpack(*pack(records)), records)

    def test_a_long_value_is_compressed(self) -> None:
        data, _ = pack([Record(1, "config", b"route " * COMPRESS_FROM)])
        self.assertLess(len(data), COMPRESS_FROM)

    def test_many_short_records_are_compressed(self) -> None:
        # After a restart of all instances, the hub of an availability zone sends all
        # upstreams to every instance of its zone at the same time. With 1,001 upstreams
        # that was 378 kB for each instance before short records were compressed too.
        rng = random.Random(1)
        records = [
            Record(offset, f"i-{rng.randrange(16**10):010x}", _upstream(rng))
            for offset in range(1001)
        ]
        relayed = Relay(str(Topic.UPSTREAMS), -1, 1000, *pack(records))
        self.assertLess(len(codec.encode_one(relayed)) / len(records), 80)

    def test_truncated_malformed_and_oversized_data_is_refused(self) -> None:
        data, is_compressed = pack([Record(1, "config", b"x" * 10 * COMPRESS_FROM)])
        for bad, compressed in (
            (data[:-3], is_compressed),
            (b"not packed", True),
            (b"not packed", False),
            (cbor2.dumps([[1, "config"]]), False),
            (cbor2.dumps(7), False),
            pack([Record(1, "config", b"x" * (MAX_SIZE + 1))]),
        ):
            with self.assertRaises(ValueError):
                unpack(bad, compressed)


def _upstream(rng: random.Random) -> bytes:
    """Return the value of an engine's record on the log."""
    return json.dumps(
        {
            "service": "engines",
            "address": f"10.{rng.randrange(6)}.64.{rng.randrange(250)}:8080",
            "zone": f"zone-{rng.randrange(6)}",
            "slots": 96,
            "state": "ready",
            "sequence": rng.randrange(99),
            "models": [
                {
                    "name": MODEL,
                    "version": 1,
                    "adapters": [f"a{rng.randrange(24_000)}@1" for _ in range(6)],
                }
            ],
        }
    ).encode()


if __name__ == "__main__":
    unittest.main()
