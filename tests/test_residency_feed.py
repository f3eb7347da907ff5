"""Hubs are sent what engines serve, as changes; other instances look it up there."""

import unittest
from concurrent.futures import Future
from datetime import timedelta

from ashhoist.adapter import Adapter
from ashhoist.control.messages import EngineAdapters, EngineAdaptersChanged
from ashhoist.control.residency_feed import ResidencyFeed
from ashhoist.orders import LeaseTiming
from ashhoist.placement import Residency
from ashhoist.placement.messages import Lookup
from ashhoist.placement.residency import AdapterLocation

from .control_world import World
from .scheduler_world import SchedulerWorld, adapter
from .test_log_returns import readers
from .world_requests import want
from .world_writes import MODEL

ZONE_COUNT = 3
HUB_COUNT = 2 * ZONE_COUNT
A1, A2, A3 = (Adapter(MODEL, name) for name in ("a1", "a2", "a3"))


class FeedTests(unittest.TestCase):
    def setUp(self) -> None:
        self.receivers = ["one", "two"]
        self.sent: list[tuple[str, object]] = []
        self.feed = ResidencyFeed(
            lambda: self.receivers, lambda name, item: self.sent.append((name, item))
        )

    def messages_for(
        self, changed: dict[str, dict[Adapter, int]]
    ) -> list[tuple[str, object]]:
        """Return the messages that are sent after a change."""
        self.sent.clear()
        self.feed.publish(7, changed)
        return list(self.sent)

    def test_each_receiver_gets_everything_once_and_then_changes(self) -> None:
        full = EngineAdapters(7, "e", [[MODEL, "a1", 1]])
        first = self.messages_for({"e": {A1: 1}})
        self.assertEqual(first, [("one", full), ("two", full)])
        change = EngineAdaptersChanged(7, [["e", [[MODEL, "a2", 3]], [[MODEL, "a1"]]]])
        second = self.messages_for({"e": {A2: 3}})
        self.assertEqual(second, [("one", change), ("two", change)])

    def test_nothing_is_sent_if_nothing_has_changed(self) -> None:
        self.messages_for({"e": {A1: 1}})
        self.assertEqual(self.messages_for({"e": {A1: 1}}), [])

    def test_a_newer_version_is_a_change(self) -> None:
        self.messages_for({"e": {A1: 1}})
        change = EngineAdaptersChanged(7, [["e", [[MODEL, "a1", 2]], []]])
        self.assertIn(("one", change), self.messages_for({"e": {A1: 2}}))

    def test_new_and_reconnected_receivers_get_everything(self) -> None:
        self.messages_for({"e": {A1: 1}, "f": {}})
        self.receivers = ["one", "two", "three"]
        self.feed.forget_receiver("two")
        full = [EngineAdapters(7, "e", [[MODEL, "a1", 1]]), EngineAdapters(7, "f", [])]
        expected = [(name, item) for name in ("three", "two") for item in full]
        self.assertEqual(self.messages_for({}), expected)

    def test_everything_is_sent_again_in_a_new_epoch(self) -> None:
        self.messages_for({"e": {A1: 1}})
        self.feed.restart()
        full = EngineAdapters(7, "e", [[MODEL, "a1", 1]])
        self.assertEqual(self.messages_for({}), [("one", full), ("two", full)])

    def test_a_removed_engine_is_not_sent_any_more(self) -> None:
        self.messages_for({"e": {A1: 1}})
        self.feed.keep([])
        self.feed.restart()
        self.assertEqual(self.messages_for({}), [])


class ChangeTests(unittest.TestCase):
    """Changes that are applied to the residency of an instance."""

    def setUp(self) -> None:
        self.residency = Residency()
        self.residency.put(5, "e", {A1: 1, A2: 1})

    def test_a_change_adds_and_removes_adapters(self) -> None:
        self.residency.change(5, "e", {A3: 2}, [A1])
        self.assertEqual(self.residency.served_by("e"), {A2: 1, A3: 2})
        self.assertNotIn(A1, self.residency.view)

    def test_a_change_from_an_older_leader_is_ignored(self) -> None:
        self.assertFalse(self.residency.change(4, "e", {A3: 2}, [A1]))
        self.assertEqual(self.residency.served_by("e"), {A1: 1, A2: 1})

    def test_a_change_from_a_newer_leader_drops_what_the_older_one_sent(self) -> None:
        self.residency.change(6, "e", {A3: 2}, [])
        self.assertEqual(self.residency.served_by("e"), {A3: 2})


class NewLeaderTests(unittest.TestCase):
    """A new leader starts from what the previous one published of an engine."""

    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": []})
        self.world.residency.put(1, "two", {Adapter(MODEL): 0, adapter(7): 1})
        self.world.add_engine("two")

    def test_requests_are_sent_to_it_before_it_reports(self) -> None:
        _, upstream = self.world.place_request(7)
        self.assertEqual(upstream, "two")

    def test_no_order_is_sent_to_it_before_it_reports(self) -> None:
        self.world.submit(8)
        for _ in range(6):
            orders = self.world.plan()
            self.assertNotIn("two", [order.upstream for order in orders])

    def test_its_report_replaces_the_published_state(self) -> None:
        self.world.report("two", [9])
        request_id = self.world.submit(7)
        self.assertNotIn(request_id, self.world.placed())
        _, upstream = self.world.place_request(9)
        self.assertEqual(upstream, "two")


class ManyInstancesTests(unittest.TestCase):
    """40 instances, six of which are hubs."""

    def setUp(self) -> None:
        self.world = World(40, 6, LeaseTiming(), zones=ZONE_COUNT)
        for index, machine in enumerate(self.world.machines.values()):
            machine.capacity = 2.15 if index < HUB_COUNT else 0.52
        self.world.start()
        self.world.run(6.0)

    def load(self, count: int) -> None:
        """Load a number of adapters, each requested by another instance."""
        for number in range(count):
            want(self.world, f"instance-{number}", f"a{number}")
        self.world.run(2.0)

    def look_up(
        self, instance: str, adapter: str
    ) -> "Future[tuple[AdapterLocation, ...]]":
        core = self.world.machines[instance].core
        assert core is not None
        lookup = Lookup(Adapter(MODEL, adapter))
        core.lookups.ask(lookup)
        self.world.run(0.1)
        return lookup.answer

    def test_only_hubs_are_sent_loads(self) -> None:
        self.world.links.counts_bytes = True
        self.load(20)
        message_count = (
            self.world.links.sent["EngineAdapters"]
            + self.world.links.sent["EngineAdaptersChanged"]
        )
        rounds = 8  # Four times a second for two seconds.
        self.assertGreater(message_count, 0)
        self.assertLessEqual(message_count, (HUB_COUNT - 1) * rounds)

    def test_all_hubs_know_what_engines_serve(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        for index in range(HUB_COUNT):
            core = self.world.machines[f"instance-{index}"].core
            assert core is not None
            for name, engine in self.world.engines.items():
                served = {
                    key.name for key in core.residency.served_by(name) if key.name
                }
                self.assertEqual(served, set(engine.adapters), (index, leader))

    def test_an_instance_that_becomes_a_hub_gets_everything(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        lost = next(
            f"instance-{index}"
            for index in range(HUB_COUNT)
            if f"instance-{index}" != leader
        )
        self.world.kill(lost)
        self.world.run(3.0)
        hubs = [
            machine.core
            for name, machine in self.world.machines.items()
            if machine.core is not None and machine.core._hubs.is_hub(name)
        ]
        self.assertEqual(len(hubs), HUB_COUNT)
        known = {len(core.residency.view) for core in hubs}
        self.assertEqual(len(known), 1, known)

    def test_others_find_an_adapter_through_a_hub_without_a_leader(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        self.world.freeze(leader, 30.0)
        answer = self.look_up("instance-30", "a3")
        [location] = answer.result(0)
        self.assertIn("a3", self.world.engines[location.upstream].adapters)

    def test_a_hub_answers_at_once_for_an_adapter_that_no_engine_serves(self) -> None:
        answer = self.look_up("instance-0", "never")
        self.assertEqual(answer.result(0), ())

    def test_bytes_between_zones_grow_less_than_the_instances(self) -> None:
        self.world.links.counts_bytes = True
        self.load(20)
        total_bytes = sum(self.world.links.cross_zone_bytes.values())
        # With 40 instances, each hub sends 34 heartbeats per second to the instances
        # of two other availability zones, which send theirs less often. Requests and
        # residency are added to that.
        self.assertLess(total_bytes / 2, 75_000)


class HeartbeatTests(unittest.TestCase):
    def test_readers_beat_most_often_and_others_beat_far_hubs_least(self) -> None:
        world = World(40, 6, LeaseTiming(), zones=ZONE_COUNT)
        for index, machine in enumerate(world.machines.values()):
            machine.capacity = 2.15 if index < HUB_COUNT else 0.52
        world.start()
        world.run(6.0)
        [leader] = world.leaders()
        reading = readers(world)
        self.assertEqual((len(reading), leader in reading), (2, True))
        hub = next(
            f"instance-{index}"
            for index in range(HUB_COUNT)
            if f"instance-{index}" not in reading
        )
        core = world.machines[hub].core
        assert core is not None
        zone = world.machines[hub].zone
        for name, peer in core.peers.by_name.items():
            assert peer.heartbeat is not None
            near = world.machines[name].zone == zone
            is_hub = int(name.removeprefix("instance-")) < HUB_COUNT
            expected = 500 if name in reading else 1000 if near or is_hub else 2500
            self.assertEqual(peer.heartbeat.next_heartbeat_ms, expected, name)
            self.assertTrue(peer.is_recent(world.clock.monotonic()), name)

    def test_an_instance_with_long_beat_intervals_is_not_silent(self) -> None:
        world = World(40, 6, LeaseTiming(), zones=ZONE_COUNT)
        world.start()
        world.run(12.0)
        for machine in world.machines.values():
            assert machine.core is not None
            now = world.clock.monotonic() + timedelta(milliseconds=200)
            self.assertEqual(machine.core.peers.silent(now), [])


if __name__ == "__main__":
    unittest.main()
