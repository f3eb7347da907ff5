"""Random runs with repeated restores of the store, among other faults.

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
from .test_many_changes import ENGINES, FAULTS, STEP, ChangesDay
from .test_replication import versions
from .world_restores import Restore

SNAPSHOTS_KEPT = 10
SNAPSHOT_INTERVAL_S = 0.5
LONGEST_OUTAGE_S = 2.0
UPSTREAM_END_INTERVAL_S = 8.0
SEEDS_OF_VARIANTS = (3, 8, 21, 34)
"""Each broken variant below fails for at least one of these seeds, and the unmodified
code for none."""


@dataclass
class RestoresDay(ChangesDay):
    """A simulated run in which many of the faults are restores of the store.

    Attributes
    ----------
    snapshots : deque
        The last snapshots of the log.
    lost : list of str
        Live upstreams that an instance has dropped.
    returned : list of str
        Upstreams that an instance uses although it knew that they left or ended.
    ended : set of str
        Upstreams whose records were deleted.
    known_ended, known_live : set of tuple
        Instance, number of its process, and an upstream that it knew to have left or
        ended, or to be live.
    """

    snapshots: deque[dict[str, TopicState]] = field(
        default_factory=lambda: deque(maxlen=SNAPSHOTS_KEPT)
    )
    last_snapshot_at: float = -1.0
    lost: list[str] = field(default_factory=list)
    returned: list[str] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    known_ended: set[tuple[str, int, str]] = field(default_factory=set)
    known_live: set[tuple[str, int, str]] = field(default_factory=set)
    added: int = 0
    ended_at: float = -UPSTREAM_END_INTERVAL_S

    def play(self) -> "RestoresDay":
        super().play()
        return self

    def pass_time(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            snapshot_age = self.world.now - self.last_snapshot_at
            if snapshot_age >= SNAPSHOT_INTERVAL_S and not self.world.store.is_down:
                self.last_snapshot_at = self.world.now
                self.snapshots.append(self.world.log.snapshot())
            super().pass_time(min(STEP, until - self.world.now))

    def _begin_fault(self, duration_s: float) -> None:
        if self.snapshots and self.rng.random() < 0.6:
            self.restore(duration_s)
            return
        self.rng.choice(FAULTS)(self, duration_s)

    def restore(self, duration_s: float) -> None:
        """Begin an outage that ends with a restore of a snapshot.

        At its start, the snapshot is one of the last `SNAPSHOTS_KEPT`.
        """
        if self.world.store.is_down:
            return
        outage_s = min(duration_s, LONGEST_OUTAGE_S)
        self.mark_affected(list(self.world.machines), outage_s)
        snapshot = self.rng.choice(self.snapshots)
        self.snapshots.clear()
        for _ in range(self.rng.randrange(4)):
            self.change()
        ChangesDay.pass_time(self, self.rng.choice((0.0, 1.5)))
        rewrite_within_s = self.rng.choice((0.1, 1.0, 1.9))
        Restore(outage_s, rewrite_within_s).begin(
            self.world, snapshot, random.Random(self.rng.random())
        )

    def change(self) -> None:
        """Write a change of operators or engines if the log is available."""
        kind = self.rng.random()
        if self.world.store.is_down or kind < 0.6:
            super().change()
            return
        if kind < 0.8:
            self.added += 1
            self.world.add_engine(f"added-{self.added}")
            return
        self._end_upstream()

    def _end_upstream(self) -> None:
        """Delete the record of an upstream that does not drain.

        The deletions are spaced: many at once count as lapsed records, which a restore
        brings back.
        """
        if self.world.now - self.ended_at < UPSTREAM_END_INTERVAL_S:
            return
        self.ended_at = self.world.now
        drained = {change.drained for change in self.confirmed_changes}
        found = sorted(set(self.world.engines) - drained)
        if len(found) > ENGINES / 2:
            name = self.rng.choice(found)
            self.ended.add(name)
            self.world.end_engine(name)

    def _check_state(self) -> None:
        super()._check_state()
        self._check_for_lost()
        self._check_for_returned()

    def _check_for_returned(self) -> None:
        """Record upstreams in use that a process knew to have left or ended."""
        leaving = {
            change.drained for change in self.confirmed_changes if change.drained
        }
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            view = machine.core._directory.view.by_id
            for upstream in self.ended | leaving:
                found = view.get(upstream)
                known = (name, machine.process_number, upstream)
                dropped = found is None and known in self.known_live
                if dropped or (found is not None and not found.accepts_requests):
                    self.known_ended.add(known)
                elif found and found.accepts_requests and known in self.known_ended:
                    self.returned.append(f"{name} at {self.world.now:.2f}: {upstream}")

    def _check_for_lost(self) -> None:
        """Record live upstreams that a process knew and has dropped."""
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            view = machine.core._directory.view.by_id
            for upstream in self.world.engines:
                known = (name, machine.process_number, upstream)
                if upstream in view:
                    self.known_live.add(known)
                elif known in self.known_live:
                    self.lost.append(f"{name} at {self.world.now:.2f}: {upstream}")


class ManyRestoresTests(unittest.TestCase):
    def check(self, day: RestoresDay) -> None:
        self.assertEqual(day.overdue_changes[:3], [])
        self.assertEqual(day.lost[:3], [])
        self.assertEqual(day.returned[:3], [])
        self.assertEqual(day.version_regressions, [])
        self.assertEqual(versions(day.world), {day.version})

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    # Seeds of runs that dropped a live upstream or brought back an ended one.
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
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def is_caught(self) -> bool:
        """Return whether a run for any of `SEEDS_OF_VARIANTS` has a violation."""
        for seed in SEEDS_OF_VARIANTS:
            day = RestoresDay(7, seed).play()
            if (
                day.overdue_changes
                or day.lost
                or day.returned
                or day.version_regressions
            ):
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
