"""Upstreams that leave by their answers alone, amid troubles of log, links, processes.

Their records say "ready" all the while. An instance that got such an answer must never
send there again, and all others in contact must know of it soon after.
"""

import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.control.departure_notices import DepartureNotices
from ashhoist.upstreams import Directory, UpstreamLeaving, UpstreamState

from .control_world import Machine
from .test_many_changes import ENGINES, ChangesDay

HEARD_PER_STEP = 0.1
LEAVING = 2
"""Engines that leave on a day; the first ones."""
FIRST_LEAVES_S = 4.0
SEEDS_OF_VARIANTS = (1, 2, 3, 4)


@dataclass
class DeparturesDay(ChangesDay):
    """A day on which two engines leave, which the log does not say."""

    heard_at: dict[str, float] = field(default_factory=dict)
    """When an instance in contact first heard of each engine."""
    heard_by: set[tuple[str, int, str]] = field(default_factory=set)
    """Instance, its process, and the engine of which it got an answer."""
    sent_again: list[str] = field(default_factory=list)
    not_told: list[str] = field(default_factory=list)
    began: float = 0.0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.world.links.holds_up = True

    def change(self) -> None:
        """Write a change; engines that leave are written about as being ready."""
        super().change()
        name = f"engine-{self.source.randrange(LEAVING)}"
        drained = {change.drained for change in self.confirmed}
        if not self.world.store.is_down and name not in drained:
            self.world.write_engine(name, UpstreamState.READY)

    def _look(self) -> None:
        super()._look()
        if all(machine.core is None for machine in self.world.machines.values()):
            # Nobody is left who knows, and the log does not say it: each instance
            # hears it anew with its first answer.
            self.heard_at.clear()
        self._hear()
        for name, machine in self.world.machines.items():
            if machine.core is not None and not machine.frozen:
                self._look_at(name, machine)

    def _hear(self) -> None:
        """Let an instance get an answer of an engine that leaves, now and then."""
        self.began = self.began or self.world.now
        if self.source.random() > HEARD_PER_STEP:
            return
        if self.world.now < self.began + FIRST_LEAVES_S:
            return
        name = self.source.choice(list(self.world.machines))
        engine = f"engine-{self.source.randrange(LEAVING)}"
        machine = self.world.machines[name]
        if machine.core is None or machine.frozen or not _knows_of(machine, engine):
            return
        machine.core.departure_notices.noticed(UpstreamLeaving(engine, engine))
        self.heard_by.add((name, machine.lives, engine))
        if self._in_contact(name):
            self.heard_at.setdefault(engine, self.world.now)

    def _in_contact(self, name: str) -> bool:
        contact = self.bounds.contact.total_seconds()
        return self.world.now > self.touched[name] + contact

    def _look_at(self, name: str, machine: Machine) -> None:
        for number in range(LEAVING):
            engine = f"engine-{number}"
            if not _sends_to(machine, engine):
                continue
            said = f"{name} at {self.world.now:.2f}: {engine}"
            if (name, machine.lives, engine) in self.heard_by:
                self.sent_again.append(said)
            heard_at = self.heard_at.get(engine)
            late = heard_at is not None and self.world.now > heard_at + self.within_s
            if late and self._in_contact(name):
                self.not_told.append(said)


def _knows_of(machine: Machine, engine: str) -> bool:
    assert machine.core is not None
    return engine in machine.core._directory.view.by_id


def _sends_to(machine: Machine, engine: str) -> bool:
    """Return whether an instance takes an engine for one that takes work."""
    assert machine.core is not None
    known = machine.core._directory.view.by_id.get(engine)
    return known is not None and known.takes_work


class ManyDeparturesTests(unittest.TestCase):
    def check(self, day: DeparturesDay) -> None:
        day.play()
        self.assertTrue(day.heard_by)
        self.assertEqual(day.sent_again[:3], [])
        self.assertEqual(day.not_told[:3], [])

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(144)  # All instances are killed at once: what was heard goes with them.
    @example(308)  # Three were cut off for 2 s, in which their links lasted.
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(DeparturesDay(7, seed))

    @settings(max_examples=4, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_many_instances_with_hubs(self, seed: int) -> None:
        self.check(DeparturesDay(24, seed, 3))


class BrokenVariantTests(unittest.TestCase):
    """Each mechanism, broken on purpose: some of a few days must show it."""

    def is_caught(self) -> bool:
        for seed in SEEDS_OF_VARIANTS:
            for instances, within_s in ((7, 2), (24, 3)):
                day = DeparturesDay(instances, seed, within_s)
                day.play()
                if day.sent_again or day.not_told:
                    return True
        return False

    def test_the_days_find_nothing_in_what_is_whole(self) -> None:
        self.assertFalse(self.is_caught())

    def test_an_instance_that_tells_nobody(self) -> None:
        with mock.patch.object(DepartureNotices, "_notify"):
            self.assertTrue(self.is_caught())

    def test_an_instance_that_tells_nobody_whom_it_is_linked_to_later(self) -> None:
        with mock.patch.object(DepartureNotices, "greet"):
            self.assertTrue(self.is_caught())

    def test_a_record_that_brings_back_what_leaves(self) -> None:
        with mock.patch.object(
            Directory, "_with_leaving_state", lambda _, upstream: upstream
        ):
            self.assertTrue(self.is_caught())

    def test_hubs_that_pass_nothing_on(self) -> None:
        received = DepartureNotices.notices_received

        def alone(self: DepartureNotices, peer: str, message: object) -> None:
            with mock.patch.object(self._hubs, "members", return_value=[]):
                received(self, peer, message)  # type: ignore[arg-type]

        with mock.patch.object(DepartureNotices, "notices_received", alone):
            self.assertTrue(self.is_caught())


assert LEAVING < ENGINES


if __name__ == "__main__":
    unittest.main()
