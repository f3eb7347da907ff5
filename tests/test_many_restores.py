"""Random days with repeated restores of the store, amid other troubles.

A confirmed change is in force in time and stays so, even if the restore loses its
record until it is written again. An upstream that leaves, or has ended, does not become
ready through a restored record. A live upstream is not removed because the restored
store lacks it.
"""

import random
import unittest
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.control import records
from ashhoist.control.restored_upstreams import RestoredUpstreams
from ashhoist.upstreams import directory

from . import world_log
from .platform_stand_ins.log_state import Topic as TopicState
from .test_many_changes import ENGINES, STEP, TROUBLE_KINDS, ChangesDay
from .test_replication import versions
from .world_restores import Restore

SNAPSHOTS_KEPT = 10
SNAPSHOT_INTERVAL_S = 0.5
LONGEST_OUTAGE_S = 2.0
END_INTERVAL_S = 8.0
SEEDS_OF_VARIANTS = (3, 8, 21, 34)
"""Each variant below fails on at least one of these days; the real code on none."""


@dataclass
class RestoresDay(ChangesDay):
    """A day of changes on which many of the troubles are restores of the store."""

    snapshots: deque[dict[str, TopicState]] = field(
        default_factory=lambda: deque(maxlen=SNAPSHOTS_KEPT)
    )
    snapshot_at: float = -1.0
    lost: list[str] = field(default_factory=list)
    returned: list[str] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    known_ended: set[tuple[str, int, str]] = field(default_factory=set)
    known_live: set[tuple[str, int, str]] = field(default_factory=set)
    added: int = 0
    ended_at: float = -END_INTERVAL_S

    def play(self) -> "RestoresDay":
        super().play()
        return self

    def pass_time(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            snapshot_age = self.world.now - self.snapshot_at
            if snapshot_age >= SNAPSHOT_INTERVAL_S and not self.world.store.is_down:
                self.snapshot_at = self.world.now
                self.snapshots.append(self.world.log.snapshot())
            super().pass_time(min(STEP, until - self.world.now))

    def _begin_trouble(self, lasts: float) -> None:
        if self.snapshots and self.source.random() < 0.6:
            self.restore(lasts)
            return
        self.source.choice(TROUBLE_KINDS)(self, lasts)

    def restore(self, lasts: float) -> None:
        """Begin an outage that ends with a restore of a snapshot.

        At its start, the snapshot is one of the last `SNAPSHOTS_KEPT`.
        """
        if self.world.store.is_down:
            return
        outage_s = min(lasts, LONGEST_OUTAGE_S)
        self.touch(list(self.world.machines), outage_s)
        snapshot = self.source.choice(self.snapshots)
        self.snapshots.clear()
        for _ in range(self.source.randrange(4)):
            self.change()
        ChangesDay.pass_time(self, self.source.choice((0.0, 1.5)))
        rewrite_within_s = self.source.choice((0.1, 1.0, 1.9))
        Restore(outage_s, rewrite_within_s).begin(
            self.world, snapshot, random.Random(self.source.random())
        )

    def change(self) -> None:
        """Write a change of operators or engines, where the log takes it."""
        kind = self.source.random()
        if self.world.store.is_down or kind < 0.6:
            super().change()
            return
        if kind < 0.8:
            self.added += 1
            self.world.add_engine(f"added-{self.added}")
            return
        self._end_upstream()

    def _end_upstream(self) -> None:
        """End the record of an upstream that does not leave.

        Ends are spaced: many together count as lapsed, and a restore brings them back.
        """
        if self.world.now - self.ended_at < END_INTERVAL_S:
            return
        self.ended_at = self.world.now
        drained = {change.drained for change in self.confirmed}
        found = sorted(set(self.world.engines) - drained)
        if len(found) > ENGINES / 2:
            name = self.source.choice(found)
            self.ended.add(name)
            self.world.end_engine(name)

    def _look(self) -> None:
        super()._look()
        self._look_for_lost()
        self._look_for_returned()

    def _look_for_returned(self) -> None:
        """Note upstreams that a process knew to leave or to have ended, and uses."""
        leaving = {change.drained for change in self.confirmed if change.drained}
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            view = machine.core._directory.view.by_id
            for upstream in self.ended | leaving:
                found = view.get(upstream)
                known = (name, machine.lives, upstream)
                dropped = found is None and known in self.known_live
                if dropped or (found is not None and not found.takes_work):
                    self.known_ended.add(known)
                elif found and found.takes_work and known in self.known_ended:
                    self.returned.append(f"{name} at {self.world.now:.2f}: {upstream}")

    def _look_for_lost(self) -> None:
        """Note live upstreams that a process knew, and has dropped."""
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            view = machine.core._directory.view.by_id
            for upstream in self.world.engines:
                known = (name, machine.lives, upstream)
                if upstream in view:
                    self.known_live.add(known)
                elif known in self.known_live:
                    self.lost.append(f"{name} at {self.world.now:.2f}: {upstream}")


class ManyRestoresTests(unittest.TestCase):
    def check(self, day: RestoresDay) -> None:
        self.assertEqual(day.late[:3], [])
        self.assertEqual(day.lost[:3], [])
        self.assertEqual(day.returned[:3], [])
        self.assertEqual(day.went_back, [])
        self.assertEqual(versions(day.world), {day.version})

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    # Seeds that dropped a live upstream or brought back an ended one.
    @example(1002)
    @example(1096)
    @example(1100)
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(RestoresDay(7, seed).play())

    @settings(max_examples=6, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.integers(2, 4))
    def test_many_instances_with_hubs(self, seed: int, within_s: int) -> None:
        self.check(RestoresDay(24, seed, within_s).play())

    def test_a_large_deployment(self) -> None:
        self.check(RestoresDay(83, 1, 3).play())


class BrokenVariantTests(unittest.TestCase):
    """Guards against days that do not detect a disabled mechanism."""

    def is_caught(self) -> bool:
        """Return whether any day of `SEEDS_OF_VARIANTS` finds a fault."""
        for seed in SEEDS_OF_VARIANTS:
            day = RestoresDay(7, seed).play()
            if day.late or day.lost or day.returned or day.went_back:
                return True
            if versions(day.world) != {day.version}:
                return True
        return False

    def test_unmodified_code_passes(self) -> None:
        self.assertFalse(self.is_caught())

    def test_positions_without_eras_are_caught(self) -> None:
        with mock.patch.object(world_log, "position", lambda _, offset: offset):
            self.assertTrue(self.is_caught())

    def test_copies_that_supersede_newer_records_are_caught(self) -> None:
        is_newer = lambda at, other: at > other  # noqa: E731
        with mock.patch.object(directory, "supersedes", is_newer):
            self.assertTrue(self.is_caught())

    def test_copies_of_ended_records_that_are_not_held_back_are_caught(self) -> None:
        with mock.patch.object(RestoredUpstreams, "hold_back", lambda *_: False):
            self.assertTrue(self.is_caught())

    def test_lost_upstreams_that_end_at_once_are_caught(self) -> None:
        with mock.patch.object(records, "REWRITE_WITHIN", timedelta()):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
