"""Changes during and right after troubles: known in time at each instance in contact.

An instance is in contact when neither it nor the log has been in trouble for the time
that `contact` names. One learns of a change by reading, by being told, by asking a
peer that is ahead, or when it starts: here each of these ways is disturbed.

What it found. Symptom: a leaving upstream was known 2.5 s after that was confirmed, at
instances that were never in trouble, where 2 s are allowed. Sequence: the leader was
cut off, and 0.5 s later the instance that reads in its place. Cause: a beat that says
"I read the log" was believed for 2.4 times its sender's pace, 2.4 s for one that does
not lead. What settled it: ``leader changed`` at 7.15 s, to the one that had been cut
off at 6.5 s, and no line ``reads the log`` at the others before 8.55 s.
"""

import random
import unittest
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist import process_settings
from ashhoist.control import heartbeats, readers
from ashhoist.control.records import SharedRecords
from ashhoist.orders import LeaseTiming
from ashhoist.process_settings import BoundsSection
from ashhoist.store import Topic
from ashhoist.upstreams import UpstreamState

from .control_world import Machine, World
from .test_replication import versions

ENGINES = 6
ZONES = 3
STEP = 0.1
TROUBLES = 6
READER_PASSES = timedelta(seconds=1.2)
"""How long an answered read lets one pass for a reader where a change has 2 s."""
LONG_TRUST = timedelta(seconds=4.8)
"""2.4 times the pace of beats of a variant."""
SEEDS_OF_VARIANTS = (17, 31, 57)
"""Days in which every variant below does harm; nothing is wrong without one."""


@dataclass
class Confirmed:
    """A change that the log has confirmed."""

    at: float
    version: int | None = None
    drained: str = ""


@dataclass
class ChangesDay:
    """A deployment, troubles drawn from a seed, and changes confirmed meanwhile."""

    instances: int
    seed: int
    within_s: int = 2
    """Seconds that a change has to be in force, and a leaving upstream to be known."""
    source: random.Random = field(init=False)
    bounds: BoundsSection = field(init=False)
    world: World = field(init=False)
    touched: dict[str, float] = field(init=False)
    confirmed: list[Confirmed] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    went_back: list[str] = field(default_factory=list)
    seen: dict[tuple[str, int], int] = field(default_factory=dict)
    version: int = 1

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)
        self.bounds = self.make_bounds()
        self.world = World(
            self.instances, ENGINES, LeaseTiming(), zones=ZONES, bounds=self.bounds
        )
        for index, machine in enumerate(self.world.machines.values()):
            machine.capacity = 2.15 if index < 2 * ZONES else 0.52
        self.world.start()
        self.world.run(6.0)
        self.touched = dict.fromkeys(self.world.machines, self.world.now - 60.0)

    def make_bounds(self) -> BoundsSection:
        """Return what has to be kept on this day."""
        within = timedelta(seconds=self.within_s)
        return BoundsSection(
            configuration=within, drain=within, contact=within + timedelta(seconds=1)
        )

    def play(self) -> "ChangesDay":
        """Play troubles, overlapping, and look at every instance all the while."""
        for _ in range(TROUBLES):
            lasts = self.source.choice((0.3, 1.0, 2.0, 4.0, 6.5))
            self._begin_trouble(lasts)
            self._change_during_and_after(lasts)
            self.pass_time(self.source.choice((0.5, lasts + 0.2, lasts + 4.0)))
        self.pass_time(12.0)
        return self

    def _begin_trouble(self, lasts: float) -> None:
        self.source.choice(TROUBLE_KINDS)(self, lasts)

    def pass_time(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.run(STEP)
            self._look()

    def _change_during_and_after(self, lasts: float) -> None:
        for after in (0.01, lasts * self.source.random(), lasts + 0.01):
            self.world.after(after, self.change)

    def change(self) -> None:
        """Write a change, where the log takes it."""
        if self.world.store.is_down:
            return
        if self.source.random() < 0.7:
            self.version += 1
            self.world.put_configuration(self.version, self.source.choice((1, 20_000)))
            self.confirmed.append(Confirmed(self.world.now, version=self.version))
            return
        name = f"engine-{self.source.randrange(ENGINES)}"
        if any(change.drained == name for change in self.confirmed):
            return
        self.world.write_engine(name, UpstreamState.DRAINING)
        self.confirmed.append(Confirmed(self.world.now, drained=name))

    def _look(self) -> None:
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            in_contact_at = self.touched[name] + self.bounds.contact.total_seconds()
            for change in self.confirmed:
                due = max(change.at + self.within_s, in_contact_at)
                if self.world.now > due + STEP and not _knows(machine, change):
                    self.late.append(f"{name} at {self.world.now:.2f}: {change}")
            self._look_back(name, machine)

    def _look_back(self, name: str, machine: Machine) -> None:
        """Note a version that is older than one that this process has had in force."""
        assert machine.core is not None
        version = machine.core._in_force.version
        life = (name, machine.lives)
        if version < self.seen.get(life, -1):
            self.went_back.append(f"{name} at {self.world.now:.2f}: {version}")
        self.seen[life] = version

    # Troubles: each ends by itself and touches the machines that it strikes.

    def touch(self, names: list[str], lasts: float) -> None:
        for name in names:
            self.touched[name] = max(self.touched[name], self.world.now + lasts)

    def some(self) -> list[str]:
        """Return a few instances, those that read the log more often than others."""
        names = list(self.world.machines)
        readers = [
            name
            for name, machine in self.world.machines.items()
            if machine.core is not None and machine.core.is_log_reader
        ]
        chosen = self.source.sample(names, self.source.randrange(0, len(names) // 2))
        return list({*chosen, *readers[: self.source.randrange(0, 4)]})

    def log_down(self, lasts: float) -> None:
        self.touch(list(self.world.machines), lasts)
        self.world.store.is_down = True
        self.world.after(lasts, lambda: setattr(self.world.store, "is_down", False))

    def reads_unanswered(self, lasts: float) -> None:
        """Answers of the log are lost, at some instances and for some topics."""
        self.touch(list(self.world.machines), lasts)
        for name in self.some():
            machine = self.world.machines[name]
            topic = self.source.choice((Topic.CONFIGURATION, Topic.UPSTREAMS))
            machine.unread.add(topic)
            self.world.after(lasts, lambda m=machine, t=topic: m.unread.discard(t))

    def history_gone(self, lasts: float) -> None:
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            self.world.log.forget_history(topic)

    def cut_from_log(self, lasts: float) -> None:
        for name in self.some():
            self.touch([name], lasts)
            self._cut(self.world.machines[name], lasts, "store_cut")

    def cut_off(self, lasts: float) -> None:
        for name in self.some():
            self.touch([name], lasts)
            self._cut(self.world.machines[name], lasts, "store_cut", "links_cut")

    def _cut(self, machine: Machine, lasts: float, *ways: str) -> None:
        for way in ways:
            setattr(machine, way, True)
            self.world.after(lasts, lambda way=way: setattr(machine, way, False))

    def zone_cut(self, lasts: float) -> None:
        zone = f"zone-{self.source.randrange(ZONES)}"
        self.touch([n for n, m in self.world.machines.items() if m.zone == zone], lasts)
        self.world.links.cut_zones.add(zone)
        self.world.after(lasts, lambda: self.world.links.cut_zones.discard(zone))

    def freeze(self, lasts: float) -> None:
        for name in self.some():
            machine = self.world.machines[name]
            if machine.core is None or machine.frozen:
                continue
            self.touch([name], lasts)
            self.world.freeze(name, lasts)

    def herd_kill(self, lasts: float) -> None:
        whole = self.source.random() < 0.3
        for name in list(self.world.machines) if whole else self.some():
            if self.world.machines[name].core is None:
                continue
            self.touch([name], lasts)
            self.world.kill(name)
            self.world.after(lasts, lambda name=name: self._start(name))

    def _start(self, name: str) -> None:
        if self.world.machines[name].core is None:
            self.world.start(name)

    def links_reset(self, lasts: float) -> None:
        for name in self.some():
            self.touch([name], 0.0)
            for other in self.world.machines:
                if other != name:
                    self.world.links.unlink(name, other)


TROUBLE_KINDS = (
    ChangesDay.log_down,
    ChangesDay.reads_unanswered,
    ChangesDay.history_gone,
    ChangesDay.cut_from_log,
    ChangesDay.cut_off,
    ChangesDay.zone_cut,
    ChangesDay.freeze,
    ChangesDay.herd_kill,
    ChangesDay.links_reset,
)


def _knows(machine: Machine, change: Confirmed) -> bool:
    """Return whether an instance acts on a change."""
    core = machine.core
    assert core is not None
    if change.version is not None:
        return core._in_force.version >= change.version
    upstream = core._directory.view.by_id.get(change.drained)
    return upstream is None or upstream.state is UpstreamState.DRAINING


class ManyChangesTests(unittest.TestCase):
    def check(self, day: ChangesDay) -> None:
        self.assertEqual(day.late[:3], [])
        self.assertEqual(day.went_back, [])
        self.assertEqual(versions(day.world), {day.version})

    @settings(max_examples=20, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(34)  # Leader and deputy were cut off; one was trusted to read for 2.4 s.
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(ChangesDay(7, seed).play())

    @settings(max_examples=8, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.integers(2, 4))
    def test_many_instances_with_hubs(self, seed: int, within_s: int) -> None:
        self.check(ChangesDay(24, seed, within_s).play())


class BrokenVariantTests(unittest.TestCase):
    """Each mechanism, broken on purpose: some of a few days must show it."""

    def is_caught(self) -> bool:
        """Return whether any of a few days finds something wrong."""
        for seed in SEEDS_OF_VARIANTS:
            day = ChangesDay(7, seed).play()
            if day.late or day.went_back or versions(day.world) != {day.version}:
                return True
        return False

    def test_the_days_find_nothing_in_what_is_whole(self) -> None:
        self.assertFalse(self.is_caught())

    def test_a_read_that_is_waited_for_too_long(self) -> None:
        with mock.patch.object(
            process_settings, "DEFAULT_CALL_TIMEOUT", timedelta(seconds=-4)
        ):
            self.assertTrue(self.is_caught())

    def test_one_topic_that_stands_for_all(self) -> None:
        upstreams_alone = property(
            lambda records: READER_PASSES * records.replica.is_complete(Topic.UPSTREAMS)
        )
        with mock.patch.object(SharedRecords, "reads_for", upstreams_alone):
            self.assertTrue(self.is_caught())

    def test_readers_that_are_trusted_for_too_long(self) -> None:
        # Either one alone does no harm: a reader's word ends by the other.
        with (
            mock.patch.object(heartbeats, "READER_INTERVAL", timedelta(seconds=2)),
            mock.patch.object(readers, "READER_GRACE", LONG_TRUST),
        ):
            self.assertTrue(self.is_caught())

    def test_what_is_read_and_not_told_to_others(self) -> None:
        with (
            mock.patch.object(SharedRecords, "_pass_on"),
            mock.patch.object(SharedRecords, "catch_up"),
        ):
            self.assertTrue(self.is_caught())

    def test_peers_that_are_asked_and_do_not_answer(self) -> None:
        with mock.patch.object(SharedRecords, "pulled"):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
