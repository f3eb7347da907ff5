"""Large deployments: only hubs link to all instances, and one of them leads."""

import unittest
from datetime import timedelta

from ashhoist.control.hubs import HUBS_PER_ZONE, RANK_KEY
from ashhoist.control.peers import rank
from ashhoist.orders import LeaseTiming
from ashhoist.placement.messages import Target

from .control_world import World
from .world_requests import want

ZONES = 3
MAX_LINKS_OF_NON_HUBS = 8
"""Links that a non-hub may keep: to two hubs of each zone, and two more."""


class ManyInstancesTests(unittest.TestCase):
    """Forty instances; the first two of each zone are larger than the others."""

    def make(self, machines: int = 40) -> World:
        """Return instances that are not started yet."""
        world = World(machines, 6, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(world.machines.values()):
            machine.capacity = 2.15 if index < 2 * ZONES else 0.52
        return world

    def start(self, machines: int = 40) -> World:
        world = self.make(machines)
        world.start()
        world.run(6.0)
        return world

    def start_in_groups(self) -> World:
        """Start ten instances after ten others, each as its first start."""
        world = self.make()
        names = list(world.machines)
        world.store.registered = set()
        for first in range(0, len(names), 10):
            world.start(*names[first : first + 10])
            world.run(2.0)
        return world

    def assert_no_violations(self, world: World) -> None:
        self.assertEqual(world.broken_turns(), [])
        self.assertEqual(world.fallen(), [])

    def large(self, world: World) -> set[str]:
        return {
            name for name, machine in world.machines.items() if machine.capacity > 1
        }

    def test_the_only_leader_is_a_large_instance(self) -> None:
        world = self.start()
        [leader] = world.leaders()
        self.assertIn(leader, self.large(world))

    def test_every_instance_follows_the_same_leader(self) -> None:
        world = self.start()
        cores = [machine.core for machine in world.machines.values()]
        followed = {core.leader for core in cores if core is not None}
        self.assertEqual(followed, set(world.leaders()))

    def test_only_hubs_have_many_links(self) -> None:
        world = self.start()
        large = self.large(world)
        for name, machine in world.machines.items():
            assert machine.core is not None
            links = len(machine.core.peers.linked())
            if name in large:
                self.assertEqual(links, 39, name)
            else:
                self.assertLessEqual(links, MAX_LINKS_OF_NON_HUBS, name)

    def test_links_of_a_smaller_deployment_are_closed(self) -> None:
        world = self.start_in_groups()
        world.run(12.0)
        for name, machine in world.machines.items():
            assert machine.core is not None
            if machine.capacity < 1:
                links = len(machine.core.peers.linked())
                self.assertLessEqual(links, MAX_LINKS_OF_NON_HUBS, name)

    def test_hubs_that_start_last_are_linked_by_all(self) -> None:
        # Guards against instances that never hear of those that registered later.
        world = World(24, 6, LeaseTiming())
        names = sorted(world.machines, key=lambda name: rank(RANK_KEY, name))
        world.store.registered = set()
        world.start(*names[4:])
        world.run(6.0)
        world.start(*names[:4])
        world.run(12.0)
        for name in names[:HUBS_PER_ZONE]:
            core = world.machines[name].core
            assert core is not None
            self.assertEqual(len(core.peers.linked()), len(names) - 1, name)

    def test_all_instances_know_those_that_registered_later(self) -> None:
        # Guards against instances that do not find the next hub when hubs are lost.
        world = self.start_in_groups()
        names = list(world.machines)
        world.run(10.0)
        for name, machine in world.machines.items():
            assert machine.core is not None
            known = set(machine.core.peers.by_name)
            self.assertEqual(known, set(names) - {name}, name)

    def test_few_read_the_log(self) -> None:
        world = self.start()
        reading = [
            name
            for name, machine in world.machines.items()
            if machine.core is not None and machine.core.is_log_reader
        ]
        self.assertLessEqual(len(reading), 2)

    def test_start_of_all_instances_makes_few_store_calls(self) -> None:
        world = self.start()
        # The hubs read both topics once or twice; two continue every 0.4 s.
        self.assertLessEqual(world.store.reads, 2 * 2 * 2 * ZONES + 4 * 15)
        # Claims of the hubs; no other instance has to read who holds a lease.
        self.assertLessEqual(world.store.lease_calls, 3 * 2 * ZONES * 2)

    def test_large_change_is_pulled_from_hubs_not_read_from_the_log(self) -> None:
        world = self.start()
        before = world.store.reads
        world.put_configuration(2, size=20_000)
        world.run(1.2)
        versions = {
            machine.core._in_force.version
            for machine in world.machines.values()
            if machine.core is not None
        }
        self.assertEqual(versions, {2})
        # Two readers of two topics, every 0.4 s.
        self.assertLessEqual(world.store.reads - before, 4 * 4)

    def test_large_change_is_known_in_a_zone_that_has_lost_its_hubs(self) -> None:
        world = self.start()
        lost = [
            name
            for name in self.large(world)
            if world.machines[name].zone == "zone-1" and name not in world.leaders()
        ]
        for name in lost:
            world.freeze(name, 30.0)
        world.put_configuration(2, size=20_000)
        world.run(1.9)
        for machine in world.machines.values():
            if machine.core is not None and not machine.frozen:
                self.assertEqual(machine.core._in_force.version, 2, machine.name)

    def test_other_instances_read_where_all_hubs_are_lost(self) -> None:
        world = self.start()
        for name in self.large(world):
            world.freeze(name, 30.0)
        world.put_configuration(2)
        world.run(2.9)
        for machine in world.machines.values():
            if machine.core is not None and not machine.frozen:
                self.assertEqual(machine.core._in_force.version, 2, machine.name)

    def test_requests_of_all_instances_are_served(self) -> None:
        world = self.start()
        answers = [
            want(world, name, f"a{number % 20}")
            for number, name in enumerate(world.machines)
        ]
        world.run(3.0)
        for answer in answers:
            self.assertIsInstance(answer.result(0), Target)
        self.assert_no_violations(world)

    def test_killed_leader_is_replaced_by_one_other(self) -> None:
        world = self.start()
        [leader] = world.leaders()
        world.kill(leader)
        world.run(1.5)
        self.assertEqual(len(world.leaders()), 1)
        name = next(name for name in world.machines if name != leader)
        answer = want(world, name, "a1")
        self.assertTrue(world.run(1.0, lambda: answer.done()))

    def test_hubs_killed_at_once_are_replaced(self) -> None:
        world = self.start()
        for name in self.large(world):
            world.kill(name)
        self.assertTrue(world.run(4.0, lambda: len(world.leaders()) == 1))
        world.run(2.0)
        self.assertEqual(len(world.leaders()), 1)
        cores = [machine.core for machine in world.machines.values()]
        followed = {core.leader for core in cores if core is not None}
        self.assertEqual(followed, set(world.leaders()))

    def test_each_side_of_a_partition_has_one_leader(self) -> None:
        world = self.start()
        world.links.cut_zones.add("zone-1")
        world.run(4.0)
        zones = [world.machines[name].zone for name in world.leaders()]
        self.assertEqual(len(zones), 2)
        self.assertEqual(zones.count("zone-1"), 1)
        world.links.cut_zones.clear()
        self.assertTrue(world.run(8.0, lambda: len(world.leaders()) == 1))
        for number in range(20):
            want(world, f"instance-{number}", f"b{number}")
            world.run(0.1)
        self.assert_no_violations(world)

    def test_partition_of_more_than_a_minute_heals(self) -> None:
        world = self.start(24)
        world.links.cut_zones.add("zone-1")
        world.run(timedelta(seconds=75).total_seconds())
        world.links.cut_zones.clear()
        self.assertTrue(world.run(8.0, lambda: len(world.leaders()) == 1))

    def test_leases_are_held_by_hubs(self) -> None:
        world = self.start()
        for zone in ("zone-0", "zone-1", "zone-2"):
            [holder] = world.holders(zone)
            self.assertIn(holder, self.large(world))
            self.assertEqual(world.machines[holder].zone, zone)

    def test_restart_of_all_instances_elects_one_leader_soon(self) -> None:
        world = self.start()
        for name in list(world.machines):
            world.kill(name)
        world.start()
        world.run(3.0)
        self.assertEqual(len(world.leaders()), 1)

    def test_instance_that_knows_only_seeds_finds_the_leader(self) -> None:
        world = self.start()
        world.kill("instance-30")
        world.seeds = ("instance-10", "instance-11")
        world.machines["instance-30"].store_cut = True
        world.start("instance-30")
        core = world.machines["instance-30"].core
        assert core is not None
        world.run(4.0, lambda: core.leader is not None)
        world.run(1.0)
        self.assertEqual([core.leader], world.leaders())

    def test_instance_that_could_not_register_does_so_later(self) -> None:
        world = self.start()
        world.kill("instance-30")
        world.store.registered.discard("instance-30")
        world.machines["instance-30"].store_cut = True
        world.start("instance-30")
        world.run(2.0)
        world.machines["instance-30"].store_cut = False
        self.assertTrue(world.run(5.0, lambda: "instance-30" in world.store.registered))


if __name__ == "__main__":
    unittest.main()
