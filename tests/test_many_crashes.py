"""A request that crashes upstreams, under faults of the log, links and processes.

The request arrives repeatedly, at any instance. After it has crashed three upstreams,
instances in contact may send it at most three more times in total.
"""

import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import given, settings, strategies as st

from ashhoist.control.core import Core
from ashhoist.control.crash_notices import CrashNotices
from ashhoist.control.crash_reports import CrashReports
from ashhoist.quarantine import CRASH_THRESHOLD, Quarantine, RequestInterrupted
from ashhoist.store import Topic

from .control_world import Machine, World
from .test_many_changes import ChangesDay

REQUEST = "fingerprint"
FURTHER = 3
"""Sends that are allowed after the third crash."""
RUN_S = 0.05
"""Time from sending the request until its upstream crashes."""
SEND_PROBABILITY = 0.15
PROPAGATION_S = 0.3
ATTEMPTS_IN_18_S = 8
"""With pauses of 0.5, 1, 2 and then 4 s, and 0.4 s per attempt without an answer."""
SEEDS_OF_VARIANTS = (3, 5)
"""Seeds for which every broken variant below causes violations, and the unmodified code
causes none."""


def cut(world: World, name: str, incarnation: str, request: str = REQUEST) -> None:
    """Let an upstream crash while it runs a request of an instance."""
    machine = world.machines[name]
    core = machine.core
    assert core is not None
    machine.run_step(core, lambda: _cut(core, incarnation, request))


def _cut(core: Core, incarnation: str, request: str) -> None:
    core.crashes.request_interrupted(RequestInterrupted(request, incarnation))
    core.settle()


def quarantining(world: World) -> list[str]:
    """Return the instances that quarantine the request."""
    return [
        name
        for name, machine in world.machines.items()
        if machine.core is not None and machine.quarantine.holds_back(REQUEST)
    ]


def all_instances(world: World) -> list[str]:
    return list(world.machines)


class PropagationTests(unittest.TestCase):
    def start(self, instances: int, zones: int = 1) -> World:
        world = World(instances, 2, zones=zones)
        world.start()
        world.run(6.0)
        return world

    def crash_at_three(self, world: World) -> None:
        for number, name in enumerate(list(world.machines)[-CRASH_THRESHOLD:]):
            cut(world, name, f"life-{number}")

    def test_all_instances_learn_of_crashes_quickly(self) -> None:
        for instances in (7, 24):
            world = self.start(instances, zones=3)
            self.crash_at_three(world)
            world.run(PROPAGATION_S)
            self.assertEqual(quarantining(world), all_instances(world))

    def test_two_crashes_do_not_quarantine(self) -> None:
        world = self.start(3)
        for incarnation in ("one", "two"):
            for name in world.machines:
                cut(world, name, incarnation)
        world.run(5.0)
        self.assertEqual(quarantining(world), [])

    def test_disconnected_instance_learns_from_the_log(self) -> None:
        world = self.start(7, zones=3)
        disconnected = "instance-2"
        world.machines[disconnected].links_cut = True
        world.run(3.0)
        for number, name in enumerate(("instance-0", "instance-1", "instance-3")):
            cut(world, name, f"life-{number}")
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(quarantining(world), all_instances(world))

    def test_quarantine_survives_a_kill_of_all_instances(self) -> None:
        self.assertEqual(self.holding_after_restart_of_all(), self.names())

    def holding_after_restart_of_all(self) -> list[str]:
        """Return the instances that quarantine the request after a restart of all."""
        world = self.start(7)
        self.crash_at_three(world)
        world.run(1.0)
        for name in world.machines:
            world.kill(name)
        world.run(1.0)
        world.start()
        world.run(world.bounds.contact.total_seconds())
        return quarantining(world)

    def names(self) -> list[str]:
        return [f"instance-{number}" for number in range(7)]

    def test_notices_do_not_replace_the_log(self) -> None:
        # No instance that received notices is left: breaking either the writing or the
        # reading of crash records must be detected.
        with mock.patch.object(CrashReports, "step"):
            self.assertEqual(self.holding_after_restart_of_all(), [])
        with mock.patch.object(Quarantine, "put", return_value=False):
            self.assertEqual(self.holding_after_restart_of_all(), [])

    def test_restarted_instance_learns_from_the_others(self) -> None:
        world = self.start(24, zones=3)
        self.crash_at_three(world)
        world.run(1.0)
        world.kill("instance-23")
        world.run(1.0)
        world.start("instance-23")
        world.run(1.0)
        self.assertIn("instance-23", quarantining(world))

    def test_crashes_during_a_log_outage_are_written_afterwards(self) -> None:
        world = self.start(7)
        world.store.is_down = True
        world.run(3.0)
        self.crash_at_three(world)
        world.run(3.0)
        world.store.is_down = False
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(quarantining(world), all_instances(world))

    def test_unavailable_log_is_retried_with_backoff(self) -> None:
        # Fault: while the log was unavailable, each instance with records to write
        # retried twice a second, all of a fleet at once: 80 attempts of three instances
        # in 18 s.
        world = self.start(7)
        world.store.is_down = True
        self.crash_at_three(world)
        before = world.store.crash_writes
        world.run(18.0)
        self.assertLessEqual(
            world.store.crash_writes - before, CRASH_THRESHOLD * ATTEMPTS_IN_18_S
        )
        world.store.is_down = False
        world.run(world.bounds.contact.total_seconds())
        self.assertEqual(quarantining(world), all_instances(world))

    def test_instance_without_log_access_writes_through_another(self) -> None:
        world = self.start(7)
        rejected = "instance-6"
        world.machines[rejected].store_cut = True
        for number in range(CRASH_THRESHOLD):
            cut(world, rejected, f"life-{number}")
        world.run(2.0)
        self.assertEqual(quarantining(world), all_instances(world))

    def test_quarantine_survives_the_loss_of_log_history(self) -> None:
        world = self.start(3)
        self.crash_at_three(world)
        world.run(PROPAGATION_S)
        world.log.forget_history(Topic.CRASHES)
        world.run(5.0)
        self.assertEqual(quarantining(world), all_instances(world))

    def test_expired_crashes_are_deleted_everywhere(self) -> None:
        world = self.start(3)
        with mock.patch("ashhoist.quarantine.quarantine.WINDOW", world.bounds.stop):
            self.crash_at_three(world)
            world.run(2.0)
            self.assertEqual(quarantining(world), all_instances(world))
            world.run(world.bounds.stop.total_seconds() + 12.0)
        self.assertEqual(quarantining(world), [])
        self.assertEqual(world.log.topics[Topic.CRASHES].newest, {})


@dataclass
class CrashesDay(ChangesDay):
    """A simulated run in which one request crashes each upstream that it reaches."""

    crashed_at: list[float] = field(default_factory=list)
    """The times of the crashes."""
    sent_in_contact: list[tuple[float, str]] = field(default_factory=list)
    lives: int = 0

    def pass_time(self, seconds: float) -> None:
        self._send_request()
        super().pass_time(seconds)

    def _check_state(self) -> None:
        super()._check_state()
        self._send_request()

    def _send_request(self) -> None:
        """Let the request arrive at a random instance, with `SEND_PROBABILITY`."""
        if self.rng.random() > SEND_PROBABILITY:
            return
        name = self.rng.choice(list(self.world.machines))
        machine = self.world.machines[name]
        core = machine.core
        if core is None or machine.frozen or machine.quarantine.holds_back(REQUEST):
            return
        if self._in_contact(name):
            self.sent_in_contact.append((self.world.now, name))
        self.lives += 1
        incarnation = f"life-{self.lives}"
        self.world.after(RUN_S, lambda: self._record_crash(machine, core, incarnation))

    def _in_contact(self, name: str) -> bool:
        contact = self.bounds.contact.total_seconds()
        return self.world.now > self.affected_until[name] + contact

    def _record_crash(self, machine: Machine, core: Core, incarnation: str) -> None:
        self.crashed_at.append(self.world.now)
        machine.run_step(core, lambda: _cut(core, incarnation, REQUEST))

    @property
    def sent_too_often(self) -> list[tuple[float, str]]:
        """Return the sends by instances that must know of the third crash."""
        if len(self.crashed_at) < CRASH_THRESHOLD:
            return []
        after = (
            self.crashed_at[CRASH_THRESHOLD - 1] + self.bounds.contact.total_seconds()
        )
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
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def is_caught(self) -> bool:
        """Return whether any of the seeded runs has too many sends."""
        for seed in SEEDS_OF_VARIANTS:
            day = CrashesDay(7, seed)
            day.play()
            if len(day.sent_too_often) > FURTHER:
                return True
        return False

    def test_unmodified_code_has_no_violations(self) -> None:
        self.assertFalse(self.is_caught())

    def test_detects_missing_records_and_notices(self) -> None:
        with (
            mock.patch.object(CrashReports, "step"),
            mock.patch.object(CrashNotices, "_notify"),
        ):
            self.assertTrue(self.is_caught())

    def test_detects_ignored_records_and_notices(self) -> None:
        with (
            mock.patch.object(Quarantine, "put", return_value=False),
            mock.patch.object(CrashNotices, "notices_received"),
        ):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
