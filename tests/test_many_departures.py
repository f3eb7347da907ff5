"""Upstreams that announce in answers that they leave, under random faults.

Their records on the log say "ready" throughout; log, links and processes have faults.
An instance that got such an answer must never send to the upstream again, and all other
instances in contact must learn of it in time.
"""

import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.control.departure_notices import DepartureNotices
from ashhoist.upstreams import Directory, UpstreamLeaving, UpstreamState

from .control_world import Machine
from .test_many_changes import ENGINES, ChangesDay

ANSWER_PROBABILITY = 0.1
LEAVING = 2
"""Number of engines that leave during a run; these are the first ones."""
FIRST_DEPARTURE_S = 4.0
SEEDS_OF_VARIANTS = (1, 2, 3, 4)


@dataclass
class DeparturesDay(ChangesDay):
    """A simulated run in which two engines leave without a record on the log."""

    announced_at: dict[str, float] = field(default_factory=dict)
    """By engine, when an instance in contact first got an answer that it leaves."""
    announced_to: set[tuple[str, int, str]] = field(default_factory=set)
    """Instance, number of its process, and the leaving engine that answered it."""
    still_used: list[str] = field(default_factory=list)
    """Instances that would send to an engine that told them that it leaves."""
    not_notified: list[str] = field(default_factory=list)
    """Instances in contact that did not learn in time that an engine leaves."""
    started_at: float = 0.0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.world.links.delivers_after_interruption = True

    def change(self) -> None:
        """Write a change, and a record that says that a leaving engine is ready."""
        super().change()
        name = f"engine-{self.rng.randrange(LEAVING)}"
        drained = {change.drained for change in self.confirmed_changes}
        if not self.world.store.is_down and name not in drained:
            self.world.write_engine(name, UpstreamState.READY)

    def _check_state(self) -> None:
        super()._check_state()
        if all(machine.core is None for machine in self.world.machines.values()):
            # No instance that knows of a departure is left, and the log has no record
            # of it: each instance learns it from its own next answer.
            self.announced_at.clear()
        self._answer_request()
        for name, machine in self.world.machines.items():
            if machine.core is not None and not machine.frozen:
                self._check_instance(name, machine)

    def _answer_request(self) -> None:
        """With `ANSWER_PROBABILITY`, let a leaving engine answer an instance."""
        self.started_at = self.started_at or self.world.now
        if self.rng.random() > ANSWER_PROBABILITY:
            return
        if self.world.now < self.started_at + FIRST_DEPARTURE_S:
            return
        name = self.rng.choice(list(self.world.machines))
        engine = f"engine-{self.rng.randrange(LEAVING)}"
        machine = self.world.machines[name]
        if (
            machine.core is None
            or machine.frozen
            or not _has_record_of(machine, engine)
        ):
            return
        machine.core.departure_notices.noticed(UpstreamLeaving(engine, engine))
        self.announced_to.add((name, machine.process_number, engine))
        if self._in_contact(name):
            self.announced_at.setdefault(engine, self.world.now)

    def _in_contact(self, name: str) -> bool:
        contact = self.bounds.contact.total_seconds()
        return self.world.now > self.affected_until[name] + contact

    def _check_instance(self, name: str, machine: Machine) -> None:
        for number in range(LEAVING):
            engine = f"engine-{number}"
            if not _sends_to(machine, engine):
                continue
            violation = f"{name} at {self.world.now:.2f}: {engine}"
            if (name, machine.process_number, engine) in self.announced_to:
                self.still_used.append(violation)
            announced_at = self.announced_at.get(engine)
            is_overdue = (
                announced_at is not None
                and self.world.now > announced_at + self.within_s
            )
            if is_overdue and self._in_contact(name):
                self.not_notified.append(violation)


def _has_record_of(machine: Machine, engine: str) -> bool:
    assert machine.core is not None
    return engine in machine.core._directory.view.by_id


def _sends_to(machine: Machine, engine: str) -> bool:
    """Return whether an instance considers an engine available for requests."""
    assert machine.core is not None
    known = machine.core._directory.view.by_id.get(engine)
    return known is not None and known.accepts_requests


class ManyDeparturesTests(unittest.TestCase):
    def check(self, day: DeparturesDay) -> None:
        day.play()
        self.assertTrue(day.announced_to)
        self.assertEqual(day.still_used[:3], [])
        self.assertEqual(day.not_notified[:3], [])

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(144)  # All instances are killed at once, with what they had learned.
    @example(308)  # Three were disconnected for 2 s, and their links lasted.
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(DeparturesDay(7, seed))

    @settings(max_examples=4, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_many_instances_with_hubs(self, seed: int) -> None:
        self.check(DeparturesDay(24, seed, 3))


class BrokenVariantTests(unittest.TestCase):
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def is_caught(self) -> bool:
        """Return whether any of the seeded runs has a violation."""
        for seed in SEEDS_OF_VARIANTS:
            for instances, within_s in ((7, 2), (24, 3)):
                day = DeparturesDay(instances, seed, within_s)
                day.play()
                if day.still_used or day.not_notified:
                    return True
        return False

    def test_unmodified_code_has_no_violations(self) -> None:
        self.assertFalse(self.is_caught())

    def test_detects_notices_that_are_not_sent(self) -> None:
        with mock.patch.object(DepartureNotices, "_notify"):
            self.assertTrue(self.is_caught())

    def test_detects_missing_notices_on_new_links(self) -> None:
        with mock.patch.object(DepartureNotices, "greet"):
            self.assertTrue(self.is_caught())

    def test_detects_records_that_override_departures(self) -> None:
        with mock.patch.object(
            Directory, "_with_leaving_state", lambda _, upstream: upstream
        ):
            self.assertTrue(self.is_caught())

    def test_detects_hubs_that_do_not_relay(self) -> None:
        receive = DepartureNotices.notices_received

        def receive_without_relay(
            self: DepartureNotices, peer: str, message: object
        ) -> None:
            with mock.patch.object(self._hubs, "members", return_value=[]):
                receive(self, peer, message)  # type: ignore[arg-type]

        with mock.patch.object(
            DepartureNotices, "notices_received", receive_without_relay
        ):
            self.assertTrue(self.is_caught())


assert LEAVING < ENGINES


if __name__ == "__main__":
    unittest.main()
