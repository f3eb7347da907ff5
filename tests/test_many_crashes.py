"""A request that crashes upstreams, amid troubles of the log, the links and processes.

It comes again and again, at any instance. After three upstreams have ended under it,
instances in contact may send it three times more, over all of them together.
"""

import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import given, settings, strategies as st

from ashhoist.control.core import Core
from ashhoist.control.crash_notices import CrashNotices
from ashhoist.control.crash_reports import CrashReports
from ashhoist.quarantine import CRASHES, Quarantine, RequestCut
from ashhoist.store import Topic

from .control_world import Machine, World
from .test_many_changes import ChangesDay

REQUEST = "fingerprint"
FURTHER = 3
RUNS_S = 0.05
"""From the sending of the request until its upstream ends."""
COMES_PER_STEP = 0.15
TOLD_S = 0.3
TRIES_IN_18_S = 8
"""With pauses of 0.5, 1, 2 and then 4 s, and 0.4 s for each that gets no answer."""
SEEDS_OF_VARIANTS = (3, 5)
"""Days in which every variant below does harm; nothing is wrong without one."""


def cut(world: World, name: str, life: str, request: str = REQUEST) -> None:
    """Let an upstream break off under a request of an instance."""
    machine = world.machines[name]
    core = machine.core
    assert core is not None
    machine.do(core, lambda: _cut(core, life, request))


def _cut(core: Core, life: str, request: str) -> None:
    core.crashes.cut(RequestCut(request, life))
    core.settle()


def holding(world: World) -> list[str]:
    """Return the instances that hold the request back."""
    return [
        name
        for name, machine in world.machines.items()
        if machine.core is not None and machine.quarantine.holds(REQUEST)
    ]


def everybody(world: World) -> list[str]:
    return list(world.machines)


class ToldTests(unittest.TestCase):
    def start(self, instances: int, zones: int = 1) -> World:
        world = World(instances, 2, zones=zones)
        world.start()
        world.run(6.0)
        return world

    def crash_at_three(self, world: World) -> None:
        for number, name in enumerate(list(world.machines)[-CRASHES:]):
            cut(world, name, f"life-{number}")

    def test_all_know_within_a_moment(self) -> None:
        for instances in (7, 24):
            world = self.start(instances, zones=3)
            self.crash_at_three(world)
            world.run(TOLD_S)
            self.assertEqual(holding(world), everybody(world))

    def test_two_crashes_hold_nothing_back(self) -> None:
        world = self.start(3)
        for life in ("one", "two"):
            for name in world.machines:
                cut(world, name, life)
        world.run(5.0)
        self.assertEqual(holding(world), [])

    def test_a_zone_that_is_cut_off_but_reads_the_log_knows_too(self) -> None:
        world = self.start(7, zones=3)
        alone = "instance-2"
        world.machines[alone].links_cut = True
        world.run(3.0)
        for number, name in enumerate(("instance-0", "instance-1", "instance-3")):
            cut(world, name, f"life-{number}")
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(holding(world), everybody(world))

    def test_who_starts_after_all_were_killed_knows(self) -> None:
        self.assertEqual(self.hold_after_all_were_killed(), self.names())

    def hold_after_all_were_killed(self) -> list[str]:
        """Return the instances that hold the request back in their next life."""
        world = self.start(7)
        self.crash_at_three(world)
        world.run(1.0)
        for name in world.machines:
            world.kill(name)
        world.run(1.0)
        world.start()
        world.run(world.bounds.contact.total_seconds())
        return holding(world)

    def names(self) -> list[str]:
        return [f"instance-{number}" for number in range(7)]

    def test_what_links_tell_does_not_stand_for_the_log(self) -> None:
        # Nobody that was told is left: either of these broken alone has to show.
        with mock.patch.object(CrashReports, "step"):
            self.assertEqual(self.hold_after_all_were_killed(), [])
        with mock.patch.object(Quarantine, "put", return_value=False):
            self.assertEqual(self.hold_after_all_were_killed(), [])

    def test_who_starts_beside_others_knows(self) -> None:
        world = self.start(24, zones=3)
        self.crash_at_three(world)
        world.run(1.0)
        world.kill("instance-23")
        world.run(1.0)
        world.start("instance-23")
        world.run(1.0)
        self.assertIn("instance-23", holding(world))

    def test_what_happens_while_the_log_is_away_is_told_on_its_return(self) -> None:
        world = self.start(7)
        world.store.is_down = True
        world.run(3.0)
        self.crash_at_three(world)
        world.run(3.0)
        world.store.is_down = False
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(holding(world), everybody(world))

    def test_a_log_that_is_away_is_not_asked_without_end(self) -> None:
        # Each instance that had something to tell tried twice a second while the log
        # was away, all of a fleet at once: 80 tries of three instances in 18 seconds.
        world = self.start(7)
        world.store.is_down = True
        self.crash_at_three(world)
        before = world.store.crash_writes
        world.run(18.0)
        self.assertLessEqual(world.store.crash_writes - before, CRASHES * TRIES_IN_18_S)
        world.store.is_down = False
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(holding(world), everybody(world))

    def test_another_writes_for_one_that_the_log_turns_away(self) -> None:
        world = self.start(7)
        away = "instance-6"
        world.machines[away].store_cut = True
        for number in range(CRASHES):
            cut(world, away, f"life-{number}")
        world.run(2.0)
        self.assertEqual(holding(world), everybody(world))

    def test_a_history_that_is_gone_takes_nothing_with_it(self) -> None:
        world = self.start(3)
        self.crash_at_three(world)
        world.run(TOLD_S)
        world.log.forget_history(Topic.CRASHES)
        world.run(5.0)
        self.assertEqual(holding(world), everybody(world))

    def test_old_crashes_are_dropped_from_the_log_and_everywhere(self) -> None:
        world = self.start(3)
        with mock.patch("ashhoist.quarantine.quarantine.WINDOW", world.bounds.stop):
            self.crash_at_three(world)
            world.run(2.0)
            self.assertEqual(holding(world), everybody(world))
            world.run(world.bounds.stop.total_seconds() + 12.0)
        self.assertEqual(holding(world), [])
        self.assertEqual(world.log.topics[Topic.CRASHES].newest, {})


@dataclass
class CrashesDay(ChangesDay):
    """A day on which one request crashes each upstream that it reaches."""

    ended: list[float] = field(default_factory=list)
    """When upstreams have ended under it."""
    sent_in_contact: list[tuple[float, str]] = field(default_factory=list)
    lives: int = 0

    def pass_time(self, seconds: float) -> None:
        self._come()
        super().pass_time(seconds)

    def _look(self) -> None:
        super()._look()
        self._come()

    def _come(self) -> None:
        """Let the request come at an instance, now and then."""
        if self.source.random() > COMES_PER_STEP:
            return
        name = self.source.choice(list(self.world.machines))
        machine = self.world.machines[name]
        core = machine.core
        if core is None or machine.frozen or machine.quarantine.holds(REQUEST):
            return
        if self._in_contact(name):
            self.sent_in_contact.append((self.world.now, name))
        self.lives += 1
        life = f"life-{self.lives}"
        self.world.after(RUNS_S, lambda: self._end(machine, core, life))

    def _in_contact(self, name: str) -> bool:
        contact = self.bounds.contact.total_seconds()
        return self.world.now > self.touched[name] + contact

    def _end(self, machine: Machine, core: Core, life: str) -> None:
        self.ended.append(self.world.now)
        machine.do(core, lambda: _cut(core, life, REQUEST))

    @property
    def sent_too_often(self) -> list[tuple[float, str]]:
        """Return the sends that count after the third upstream has ended."""
        if len(self.ended) < CRASHES:
            return []
        after = self.ended[CRASHES - 1] + self.bounds.contact.total_seconds()
        return [sent for sent in self.sent_in_contact if sent[0] > after]


class ManyCrashesTests(unittest.TestCase):
    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        day = CrashesDay(7, seed)
        day.play()
        self.assertLessEqual(len(day.sent_too_often), FURTHER, day.sent_too_often)

    @settings(max_examples=4, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_many_instances_with_hubs(self, seed: int) -> None:
        day = CrashesDay(24, seed, 3)
        day.play()
        self.assertLessEqual(len(day.sent_too_often), FURTHER, day.sent_too_often)


class BrokenVariantTests(unittest.TestCase):
    """Each mechanism, broken on purpose: some of a few days must show it."""

    def is_caught(self) -> bool:
        """Return whether any of a few days finds too many sends."""
        for seed in SEEDS_OF_VARIANTS:
            day = CrashesDay(7, seed)
            day.play()
            if len(day.sent_too_often) > FURTHER:
                return True
        return False

    def test_the_days_find_nothing_in_what_is_whole(self) -> None:
        self.assertFalse(self.is_caught())

    def test_an_instance_that_tells_nobody(self) -> None:
        with (
            mock.patch.object(CrashReports, "step"),
            mock.patch.object(CrashNotices, "_tell_all"),
        ):
            self.assertTrue(self.is_caught())

    def test_nothing_that_is_told_is_taken_in(self) -> None:
        with (
            mock.patch.object(Quarantine, "put", return_value=False),
            mock.patch.object(CrashNotices, "told"),
        ):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
