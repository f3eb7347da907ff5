"""Who starts asks its peers what the log says; few read it, also if all start."""

import json
import random
import unittest

import cbor2
from hypothesis import given, strategies as st

from ashhoist import codec
from ashhoist.adapter import Adapter
from ashhoist.control.knowledge import MOST_RELAYED, SHARED_TOPICS, Knowledge
from ashhoist.control.messages import Pull, Relay
from ashhoist.control.relays import LARGEST, LONG, pack, unpack
from ashhoist.orders import LeaseTiming
from ashhoist.placement.asks import Target
from ashhoist.store import Record, Topic

from .control_world import World
from .world_requests import want
from .world_writes import MODEL

ZONES = 3
HUBS = 2 * ZONES
SMALL = "instance-30"


def running() -> World:
    """Return a world of forty instances that have been up for a while."""
    world = World(40, 6, LeaseTiming(), zones=ZONES)
    for index, machine in enumerate(world.machines.values()):
        machine.capacity = 2.15 if index < HUBS else 0.52
    world.put_configuration(2, size=20_000)
    world.start()
    world.run(6.0)
    return world


def is_ready(world: World, name: str) -> bool:
    """Return whether an instance takes callers."""
    core = world.machines[name].core
    return core is not None and core.ready


class OneStartTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = running()
        self.world.kill(SMALL)
        self.world.run(1.0)

    def test_peers_tell_it_all_and_it_reads_nothing(self) -> None:
        reads = self.world.store.reads
        self.world.start(SMALL)
        self.assertTrue(self.world.run(0.3, lambda: is_ready(self.world, SMALL)))
        core = self.world.machines[SMALL].core
        assert core is not None
        self.assertEqual(len(core._directory.view.by_id), 6)
        # The two that read the log go on to, every 0.4 s.
        self.assertLessEqual(self.world.store.reads - reads, 4)

    def test_it_reads_the_log_where_no_peer_answers(self) -> None:
        for index in range(40):
            if index != 30:
                self.world.freeze(f"instance-{index}", 30.0)
        self.world.start(SMALL)
        self.assertTrue(self.world.run(1.0, lambda: is_ready(self.world, SMALL)))

    def test_it_reads_the_log_again_if_that_could_not_be_read(self) -> None:
        for index in range(40):
            if index != 30:
                self.world.freeze(f"instance-{index}", 30.0)
        self.world.store.is_down = True
        self.world.start(SMALL)
        self.world.run(1.5)
        self.world.store.is_down = False
        self.assertTrue(self.world.run(3.0, lambda: is_ready(self.world, SMALL)))

    def test_the_rest_of_what_upstreams_there_are_is_waited_for(self) -> None:
        core = self.world.machines[SMALL].core
        self.assertIsNone(core)
        self.world.machines[SMALL].links_cut = True
        self.world.machines[SMALL].store_cut = True
        self.world.start(SMALL)
        core = self.world.machines[SMALL].core
        assert core is not None
        log = self.world.log.topics[Topic.UPSTREAMS]
        offset, value = log.newest["engine-5"]
        told = pack([Record(offset, "engine-5", value)])
        relay = Relay(str(Topic.UPSTREAMS), offset - 1, offset, *told)
        core.peer_message("instance-0", relay)
        self.assertFalse(core.records.knows_all)
        self.assertEqual(core.records.knowledge.offsets()[str(Topic.UPSTREAMS)], -1)

    def test_more_than_fits_one_message_is_told_before_it_is_ready(self) -> None:
        for number in range(MOST_RELAYED + 500):
            self.world.name_version(f"a{number}", 2)
        self.world.run(2.0)
        reads = self.world.store.reads
        self.world.start(SMALL)
        self.assertTrue(self.world.run(0.5, lambda: is_ready(self.world, SMALL)))
        core = self.world.machines[SMALL].core
        assert core is not None
        last = Adapter(MODEL, f"a{MOST_RELAYED + 499}")
        self.assertIsNotNone(core._in_force.wanted(last))
        self.assertLessEqual(self.world.store.reads - reads, 6)

    def test_one_that_knows_a_part_tells_nobody(self) -> None:
        hub = self.world.machines["instance-0"].core
        assert hub is not None
        hub.records.knowledge = Knowledge()
        log = self.world.log.topics[Topic.UPSTREAMS]
        offset, value = log.newest["engine-5"]
        told = pack([Record(offset, "engine-5", value)])
        hub.peer_message(
            "instance-3", Relay(str(Topic.UPSTREAMS), offset - 1, offset, *told)
        )
        self.world.links.counts_bytes = True
        hub.peer_message("instance-33", Pull(str(Topic.UPSTREAMS), -1))
        self.assertEqual(self.world.links.sent["Relay"], 0)


class AllStartTests(unittest.TestCase):
    def test_only_hubs_read_when_all_start_anew(self) -> None:
        world = running()
        for name in list(world.machines):
            world.kill(name)
        world.run(0.5)
        world.store.reads_by_topic.clear()
        world.start()
        names = list(world.machines)
        ready = lambda: all(is_ready(world, name) for name in names)  # noqa: E731
        self.assertTrue(world.run(0.5, ready))
        for topic in SHARED_TOPICS:
            self.assertLessEqual(world.store.reads_by_topic[topic], HUBS, topic)

    def test_all_are_ready_soon_where_the_hubs_do_not_come_back(self) -> None:
        world = running()
        for name in list(world.machines):
            world.kill(name)
        world.run(0.5)
        names = list(world.machines)[HUBS:]
        world.start(*names)
        ready = lambda: all(is_ready(world, name) for name in names)  # noqa: E731
        self.assertTrue(world.run(1.2, ready))


class FirstRequestTests(unittest.TestCase):
    """All start anew; requests come before there is a leader."""

    def setUp(self) -> None:
        self.world = running()
        for number in range(20):
            want(self.world, f"instance-{number}", f"a{number}")
        self.world.run(3.0)
        for name in list(self.world.machines):
            self.world.kill(name)
        self.world.run(0.5)
        self.world.start()
        self.world.run(0.1)

    def test_what_was_asked_before_the_leader_began_is_not_lost(self) -> None:
        answers = [
            want(self.world, name, f"a{number % 20}")
            for number, name in enumerate(self.world.machines)
        ]
        answered = lambda: all(answer.done() for answer in answers)  # noqa: E731
        self.assertTrue(self.world.run(1.5, answered))
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
    def test_records_come_back_as_they_were(self, records: list[Record]) -> None:
        self.assertEqual(unpack(*pack(records)), records)

    def test_a_long_value_is_short_on_the_way(self) -> None:
        data, _ = pack([Record(1, "config", b"route " * LONG)])
        self.assertLess(len(data), LONG)

    def test_many_upstreams_are_short_on_the_way(self) -> None:
        # After a restart of all, each instance of a zone is told all of them by the
        # zone's hub, at the same time: 378 kB each, with 1,001 upstreams, before
        # short records were compressed as well.
        source = random.Random(1)
        records = [
            Record(offset, f"i-{source.randrange(16**10):010x}", _upstream(source))
            for offset in range(1001)
        ]
        told = Relay(str(Topic.UPSTREAMS), -1, 1000, *pack(records))
        self.assertLess(len(codec.encode_one(told)) / len(records), 80)

    def test_what_is_cut_or_malformed_or_too_large_is_refused(self) -> None:
        data, is_compressed = pack([Record(1, "config", b"x" * 10 * LONG)])
        for bad, compressed in (
            (data[:-3], is_compressed),
            (b"not packed", True),
            (b"not packed", False),
            (cbor2.dumps([[1, "config"]]), False),
            (cbor2.dumps(7), False),
            pack([Record(1, "config", b"x" * (LARGEST + 1))]),
        ):
            with self.assertRaises(ValueError):
                unpack(bad, compressed)


def _upstream(source: random.Random) -> bytes:
    """Return an engine's record as it stands on the log."""
    return json.dumps(
        {
            "service": "engines",
            "address": f"10.{source.randrange(6)}.64.{source.randrange(250)}:8080",
            "zone": f"zone-{source.randrange(6)}",
            "slots": 96,
            "state": "ready",
            "sequence": source.randrange(99),
            "models": [
                {
                    "name": MODEL,
                    "version": 1,
                    "adapters": [f"a{source.randrange(24_000)}@1" for _ in range(6)],
                }
            ],
        }
    ).encode()


if __name__ == "__main__":
    unittest.main()
