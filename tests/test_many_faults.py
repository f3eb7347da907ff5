"""Many instances under random faults: invariants, and full recovery afterwards."""

import random
import unittest

from hypothesis import example, given, settings, strategies as st

from ashhoist.orders import LeaseTiming

from .control_world import World
from .world_requests import want

INSTANCES = 24
ZONES = 3
HUBS = 2 * ZONES
STEPS = 30
RECOVERY_S = 14.0
"""Recovery time: longer than the term of a lease and than any fault below."""


class ManyFaultsDay:
    """A simulated run of instances in three zones, with faults drawn from a seed.

    The first `HUBS` instances have the capacity of hubs.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = World(INSTANCES, 6, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(self.world.machines.values()):
            machine.capacity = 2.15 if index < HUBS else 0.52
        self.version = 1
        self.world.start()
        self.world.run(6.0)

    def play(self) -> "ManyFaultsDay":
        """Inject faults and send requests, then let the instances recover."""
        for _ in range(STEPS):
            if self.rng.random() < 0.5:
                self._inject_fault()
            for name, machine in self.world.machines.items():
                if machine.core is not None and self.rng.random() < 0.2:
                    want(self.world, name, f"a{self.rng.randrange(40)}")
            self.world.run(self.rng.uniform(0.1, 0.6))
        self.world.run(RECOVERY_S)
        return self

    def _inject_fault(self) -> None:
        faults = (
            self._kill_many,
            self._freeze,
            self._disconnect_store,
            self._cut_zone,
            self._cut_links,
            self._reset_links,
            self._stop,
            self._store_down,
            self._lose_answers,
            self._change_configuration,
        )
        self.rng.choice(faults)()

    def _pick_machines(self) -> list[str]:
        """Return a few machines, with hubs more likely than others."""
        names = list(self.world.machines)
        hubs = self.rng.sample(names[:HUBS], self.rng.randrange(1, 4))
        return hubs + self.rng.sample(names[HUBS:], self.rng.randrange(0, 8))

    def _kill_many(self) -> None:
        """Kill many at the same moment; they start again after about a second."""
        all_machines = self.rng.random() < 0.3
        for name in (
            list(self.world.machines) if all_machines else self._pick_machines()
        ):
            if self.world.machines[name].core is not None:
                self.world.kill(name)
                delay = self.rng.uniform(0.4, 1.6)
                self.world.after(delay, lambda name=name: self._start(name))

    def _start(self, name: str) -> None:
        if self.world.machines[name].core is None:
            self.world.start(name)

    def _freeze(self) -> None:
        for name in self._pick_machines()[:3]:
            machine = self.world.machines[name]
            if machine.core is not None and not machine.frozen:
                self.world.freeze(name, self.rng.uniform(0.3, 5.0))

    def _disconnect_store(self) -> None:
        for name in self._pick_machines():
            machine = self.world.machines[name]
            machine.store_cut = True
            delay = self.rng.uniform(0.5, 6.0)
            self.world.after(delay, lambda m=machine: setattr(m, "store_cut", False))

    def _cut_zone(self) -> None:
        zone = f"zone-{self.rng.randrange(ZONES)}"
        self.world.links.cut_zones.add(zone)
        delay = self.rng.uniform(0.5, 5.0)
        self.world.after(delay, lambda: self.world.links.cut_zones.discard(zone))

    def _cut_links(self) -> None:
        """Cut the links of single machines to all others."""
        for name in self._pick_machines()[:3]:
            machine = self.world.machines[name]
            machine.links_cut = True
            delay = self.rng.uniform(0.5, 5.0)
            self.world.after(delay, lambda m=machine: setattr(m, "links_cut", False))

    def _reset_links(self) -> None:
        """Break all links of some machines; they may be dialled again at once."""
        for name in self._pick_machines():
            for other in self.world.machines:
                if other != name:
                    self.world.links.unlink(name, other)

    def _stop(self) -> None:
        """Perform planned stops of some machines, one after the other, and restarts."""
        for number, name in enumerate(self._pick_machines()):
            self.world.after(number * 0.7, lambda name=name: self._stop_one(name))

    def _stop_one(self, name: str) -> None:
        machine = self.world.machines[name]
        if machine.core is None or machine.frozen:
            return
        life = machine.process_number
        machine.core.stop()
        self.world.after(2.6, lambda: self._kill_if_same_life(name, life))
        self.world.after(3.2, lambda: self._start(name))

    def _kill_if_same_life(self, name: str, life: int) -> None:
        if self.world.machines[name].process_number == life:
            self.world.kill(name)

    def _store_down(self) -> None:
        self.world.store.is_down = True
        delay = self.rng.uniform(0.5, 6.0)
        self.world.after(delay, lambda: setattr(self.world.store, "is_down", False))

    def _lose_answers(self) -> None:
        """Lose answers of the store and of engines."""
        self.world.store.lost_append_answers += self.rng.randrange(2)
        self.world.store.delayed_appends += self.rng.randrange(2)
        self.world.lose_orders += self.rng.randrange(4)

    def _change_configuration(self) -> None:
        self.version += 1
        size = self.rng.choice((1, 20_000))
        self.world.put_configuration(self.version, size)


class FirstLeaderTests(unittest.TestCase):
    """An instance that is not a hub starts first, and leads before there are hubs."""

    def test_hub_takes_over_from_a_leader_that_is_not_a_hub(self) -> None:
        world = World(INSTANCES, 6, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(world.machines.values()):
            machine.capacity = 2.15 if index < HUBS else 0.52
        world.start("instance-15")
        world.run(3.0)
        self.assertEqual(world.leaders(), ["instance-15"])
        world.start(*(name for name in world.machines if name != "instance-15"))
        world.run(6.0)
        [leader] = world.leaders()
        self.assertLess(int(leader.removeprefix("instance-")), HUBS)
        followed = {
            machine.core.leader for machine in world.machines.values() if machine.core
        }
        self.assertEqual(followed, {leader})
        answer = want(world, "instance-20", "a1")
        world.run(1.0)
        self.assertTrue(answer.done())


class ManyFaultsTests(unittest.TestCase):
    @settings(max_examples=12, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(
        85
    )  # The leader was not a hub, and only hubs could receive its heartbeats.
    def test_all_is_well_after_any_mix_of_faults(self, seed: int) -> None:
        day = ManyFaultsDay(seed).play()
        world = day.world
        self.assertEqual(world.broken_turns(), [])
        self.assertEqual(world.fallen(), [])
        [leader] = world.leaders()
        answers = {
            name: want(world, name, f"b{number}")
            for number, name in enumerate(world.machines)
        }
        world.run(4.0)
        for name, machine in world.machines.items():
            core = machine.core
            assert core is not None
            self.assertTrue(core.ready, name)
            self.assertEqual(core.leader, leader, name)
            self.assertEqual(core._in_force.version, day.version, name)
            self.assertEqual(len(core._directory.view.by_id), 6, name)
            self.assertTrue(answers[name].done(), name)


if __name__ == "__main__":
    unittest.main()
