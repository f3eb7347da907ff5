"""What engines serve is told to hubs, as changes; others ask a hub for it."""

import unittest
from concurrent.futures import Future
from datetime import timedelta

from ashhoist.adapter import Adapter
from ashhoist.control.messages import Holds, HoldsChanged
from ashhoist.control.residency_feed import ResidencyFeed
from ashhoist.orders import LeaseTiming
from ashhoist.placement import Residency
from ashhoist.placement.asks import Lookup
from ashhoist.placement.residency import Place

from .control_world import World
from .scheduler_world import SchedulerWorld, adapter
from .test_log_returns import readers
from .world_requests import want
from .world_writes import MODEL

ZONES = 3
HUBS = 2 * ZONES
A1, A2, A3 = (Adapter(MODEL, name) for name in ("a1", "a2", "a3"))


class FeedTests(unittest.TestCase):
    def setUp(self) -> None:
        self.receivers = ["one", "two"]
        self.sent: list[tuple[str, object]] = []
        self.feed = ResidencyFeed(
            lambda: self.receivers, lambda name, item: self.sent.append((name, item))
        )

    def told(self, changed: dict[str, dict[Adapter, int]]) -> list[tuple[str, object]]:
        """Return what is sent when this has changed."""
        self.sent.clear()
        self.feed.tell(7, changed)
        return list(self.sent)

    def test_each_is_told_all_once_and_then_changes(self) -> None:
        whole = Holds(7, "e", [[MODEL, "a1", 1]])
        first = self.told({"e": {A1: 1}})
        self.assertEqual(first, [("one", whole), ("two", whole)])
        change = HoldsChanged(7, [["e", [[MODEL, "a2", 3]], [[MODEL, "a1"]]]])
        second = self.told({"e": {A2: 3}})
        self.assertEqual(second, [("one", change), ("two", change)])

    def test_nothing_new_is_not_told(self) -> None:
        self.told({"e": {A1: 1}})
        self.assertEqual(self.told({"e": {A1: 1}}), [])

    def test_a_newer_version_is_a_change(self) -> None:
        self.told({"e": {A1: 1}})
        change = HoldsChanged(7, [["e", [[MODEL, "a1", 2]], []]])
        self.assertIn(("one", change), self.told({"e": {A1: 2}}))

    def test_one_that_comes_later_or_was_lost_is_told_all(self) -> None:
        self.told({"e": {A1: 1}, "f": {}})
        self.receivers = ["one", "two", "three"]
        self.feed.forget_receiver("two")
        whole = [Holds(7, "e", [[MODEL, "a1", 1]]), Holds(7, "f", [])]
        expected = [(name, item) for name in ("three", "two") for item in whole]
        self.assertEqual(self.told({}), expected)

    def test_a_new_epoch_tells_all_anew(self) -> None:
        self.told({"e": {A1: 1}})
        self.feed.restart()
        whole = Holds(7, "e", [[MODEL, "a1", 1]])
        self.assertEqual(self.told({}), [("one", whole), ("two", whole)])

    def test_an_engine_that_has_gone_is_told_no_more(self) -> None:
        self.told({"e": {A1: 1}})
        self.feed.keep([])
        self.feed.restart()
        self.assertEqual(self.told({}), [])


class ChangeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.residency = Residency()
        self.residency.put(5, "e", {A1: 1, A2: 1})

    def test_a_change_adds_and_takes_away(self) -> None:
        self.residency.change(5, "e", {A3: 2}, [A1])
        self.assertEqual(self.residency.of("e"), {A2: 1, A3: 2})
        self.assertNotIn(A1, self.residency.view)

    def test_a_change_of_an_older_leader_is_passed_over(self) -> None:
        self.assertFalse(self.residency.change(4, "e", {A3: 2}, [A1]))
        self.assertEqual(self.residency.of("e"), {A1: 1, A2: 1})

    def test_a_newer_leader_does_not_build_on_the_older_ones_picture(self) -> None:
        self.residency.change(6, "e", {A3: 2}, [])
        self.assertEqual(self.residency.of("e"), {A3: 2})


class NewLeaderTests(unittest.TestCase):
    """A leader that begins knows what the last one told of an engine."""

    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": []})
        self.world.residency.put(1, "two", {Adapter(MODEL): 0, adapter(7): 1})
        self.world.add_engine("two")

    def test_requests_go_there_before_it_reports(self) -> None:
        _, upstream = self.world.place(7)
        self.assertEqual(upstream, "two")

    def test_no_order_does(self) -> None:
        self.world.want(8)
        for _ in range(6):
            orders = self.world.plan()
            self.assertNotIn("two", [order.upstream for order in orders])

    def test_its_report_knows_better(self) -> None:
        self.world.report("two", [9])
        want_id = self.world.want(7)
        self.assertNotIn(want_id, self.world.placed())
        _, upstream = self.world.place(9)
        self.assertEqual(upstream, "two")


class ManyInstancesTests(unittest.TestCase):
    """Forty instances, six of them hubs."""

    def setUp(self) -> None:
        self.world = World(40, 6, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(self.world.machines.values()):
            machine.capacity = 2.15 if index < HUBS else 0.52
        self.world.start()
        self.world.run(6.0)

    def load(self, count: int) -> None:
        """Have so many adapters loaded, asked for by instances in turn."""
        for number in range(count):
            want(self.world, f"instance-{number}", f"a{number}")
        self.world.run(2.0)

    def look_up(self, instance: str, adapter: str) -> "Future[tuple[Place, ...]]":
        core = self.world.machines[instance].core
        assert core is not None
        lookup = Lookup(Adapter(MODEL, adapter))
        core.lookups.ask(lookup)
        self.world.run(0.1)
        return lookup.answer

    def test_only_hubs_are_told_of_loads(self) -> None:
        self.world.links.counts_bytes = True
        self.load(20)
        told = self.world.links.sent["Holds"] + self.world.links.sent["HoldsChanged"]
        rounds = 8  # Two seconds, four times a second.
        self.assertGreater(told, 0)
        self.assertLessEqual(told, (HUBS - 1) * rounds)

    def test_all_hubs_know_what_engines_serve(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        for index in range(HUBS):
            core = self.world.machines[f"instance-{index}"].core
            assert core is not None
            for name, engine in self.world.engines.items():
                held = {key.name for key in core.residency.of(name) if key.name}
                self.assertEqual(held, set(engine.adapters), (index, leader))

    def test_one_that_becomes_a_hub_is_told_all(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        lost = next(
            f"instance-{index}"
            for index in range(HUBS)
            if f"instance-{index}" != leader
        )
        self.world.kill(lost)
        self.world.run(3.0)
        hubs = [
            machine.core
            for name, machine in self.world.machines.items()
            if machine.core is not None and machine.core._hubs.is_hub(name)
        ]
        self.assertEqual(len(hubs), HUBS)
        known = {len(core.residency.view) for core in hubs}
        self.assertEqual(len(known), 1, known)

    def test_others_find_an_adapter_through_a_hub_while_nobody_leads(self) -> None:
        self.load(20)
        [leader] = self.world.leaders()
        self.world.freeze(leader, 30.0)
        answer = self.look_up("instance-30", "a3")
        [place] = answer.result(0)
        self.assertIn("a3", self.world.engines[place.upstream].adapters)

    def test_a_hub_answers_at_once_and_for_what_nobody_serves(self) -> None:
        answer = self.look_up("instance-0", "never")
        self.assertEqual(answer.result(0), ())

    def test_bytes_between_zones_grow_less_than_the_instances(self) -> None:
        self.world.links.counts_bytes = True
        self.load(20)
        found = sum(self.world.links.far_bytes.values())
        # 40 instances: 34 beats a second and hub to those of two other zones, and
        # the same back at their slower pace; requests and residency beside them.
        self.assertLess(found / 2, 75_000)


class BeatTests(unittest.TestCase):
    def test_readers_beat_most_often_and_others_far_hubs_most_seldom(self) -> None:
        world = World(40, 6, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(world.machines.values()):
            machine.capacity = 2.15 if index < HUBS else 0.52
        world.start()
        world.run(6.0)
        [leader] = world.leaders()
        reading = readers(world)
        self.assertEqual((len(reading), leader in reading), (2, True))
        hub = next(
            f"instance-{index}"
            for index in range(HUBS)
            if f"instance-{index}" not in reading
        )
        core = world.machines[hub].core
        assert core is not None
        zone = world.machines[hub].zone
        for name, peer in core.peers.by_name.items():
            assert peer.beat is not None
            near = world.machines[name].zone == zone
            is_hub = int(name.removeprefix("instance-")) < HUBS
            expected = 500 if name in reading else 1000 if near or is_hub else 2500
            self.assertEqual(peer.beat.every_ms, expected, name)
            self.assertTrue(peer.is_fresh(world.clock.monotonic()), name)

    def test_one_that_beats_seldom_is_not_taken_for_silent(self) -> None:
        world = World(40, 6, LeaseTiming(), zones=ZONES)
        world.start()
        world.run(12.0)
        for machine in world.machines.values():
            assert machine.core is not None
            now = world.clock.monotonic() + timedelta(milliseconds=200)
            self.assertEqual(machine.core.peers.silent(now), [])


if __name__ == "__main__":
    unittest.main()
