"""Upstreams that break connections off and live on: what they broke off may go on."""

import unittest
from datetime import timedelta

from ashhoist.clock import ManualClock
from ashhoist.quarantine import (
    CRASH_THRESHOLD,
    RECORD_LAPSES_AFTER,
    Crash,
    Quarantine,
)
from ashhoist.store import Position, Topic

from .control_world import World
from .test_many_crashes import all_instances, cut, quarantining

REQUEST = "shared"
SECOND = timedelta(seconds=1)
ENGINES = tuple(f"engine-{number}" for number in range(CRASH_THRESHOLD))
DECIDED_S = RECORD_LAPSES_AFTER.total_seconds() + 0.5
DELETED_S = 12.0
"""The leader deletes records that are no longer needed each ten seconds."""


class QuarantineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(100 * SECOND)
        self.quarantine = Quarantine(self.clock)
        self.crashes = [Crash(name, "one", frozenset([REQUEST])) for name in ENGINES]
        for offset, crash in enumerate(self.crashes):
            self.quarantine.put(crash.key, crash, Position(offset))

    def test_answer_to_a_request_that_was_sent_later_releases(self) -> None:
        self.clock.advance(2 * SECOND)
        self.assertTrue(self.quarantine.answered(ENGINES[0], self.clock.monotonic()))
        self.assertFalse(self.quarantine.holds_back(REQUEST))

    def test_answer_to_a_request_from_around_the_crash_shows_nothing(self) -> None:
        # Guards against taking the last answers of a crashing upstream for survival.
        for sent_before in (-SECOND, 0 * SECOND, 0.9 * SECOND):
            sent_at = 100 * SECOND + sent_before
            self.assertFalse(self.quarantine.answered(ENGINES[0], sent_at))
        self.assertTrue(self.quarantine.holds_back(REQUEST))

    def test_record_shows_nothing_before_that_of_a_crashed_one_lapses(self) -> None:
        self.clock.advance(RECORD_LAPSES_AFTER - SECOND)
        self.assertEqual(self.quarantine.overdue(), [])
        self.quarantine.decide(ENGINES[0], is_recorded=True)
        self.assertTrue(self.quarantine.holds_back(REQUEST))

    def test_upstream_that_is_still_recorded_later_has_survived(self) -> None:
        self.clock.advance(RECORD_LAPSES_AFTER)
        self.assertEqual(sorted(self.quarantine.overdue()), list(ENGINES))
        self.quarantine.decide(ENGINES[0], is_recorded=True)
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        self.assertEqual(self.quarantine.expired(), [self.crashes[0].key])

    def test_upstream_whose_record_is_gone_has_crashed(self) -> None:
        self.clock.advance(RECORD_LAPSES_AFTER)
        for name in ENGINES:
            self.quarantine.decide(name, is_recorded=False)
            self.assertFalse(self.quarantine.answered(name, self.clock.monotonic()))
        self.assertTrue(self.quarantine.holds_back(REQUEST))
        self.assertEqual(self.quarantine.overdue(), [])

    def test_retry_after_is_short_until_it_is_known(self) -> None:
        # Guards against sending callers away for minutes on a suspicion.
        self.assertLessEqual(self.quarantine.retry_after(REQUEST), RECORD_LAPSES_AFTER)
        for name in ENGINES:
            self.quarantine.decide(name, is_recorded=False)
        self.assertGreater(self.quarantine.retry_after(REQUEST), 60 * SECOND)

    def test_crash_after_a_survived_cut_counts(self) -> None:
        # Guards against sparing an upstream's requests for good.
        for write in (False, True):
            with self.subTest(written=write):
                self.setUp()
                self.clock.advance(RECORD_LAPSES_AFTER)
                for name in ENGINES:
                    self.quarantine.decide(name, is_recorded=True)
                self.assertFalse(self.quarantine.holds_back(REQUEST))
                for offset, crash in enumerate(self.crashes, 10):
                    if write:
                        self.quarantine.put(crash.key, crash, Position(offset))
                    else:
                        self.quarantine.add_unwritten(crash)
                self.assertTrue(self.quarantine.holds_back(REQUEST))


class WorldTests(unittest.TestCase):
    """Simulated instances, whose log shows which upstreams live."""

    def start(self, instances: int) -> World:
        world = World(instances, 6, zones=3)
        world.start()
        world.run(6.0)
        for number, name in enumerate(ENGINES):
            cut(world, f"instance-{number % instances}", name, "fingerprint")
        world.run(0.5)
        self.assertEqual(quarantining(world), all_instances(world))
        return world

    def test_shared_request_is_sent_again_once_upstreams_have_survived(self) -> None:
        # Guards against refusing what all callers ask for because connections broke.
        for instances in (3, 24):
            with self.subTest(instances=instances):
                world = self.start(instances)
                world.run(DECIDED_S)
                self.assertEqual(quarantining(world), [])
                world.run(DELETED_S)
                self.assertEqual(world.log.topics[Topic.CRASHES].newest, {})

    def test_restart_of_all_instances_does_not_keep_it_held_back(self) -> None:
        world = self.start(3)
        for name in world.machines:
            world.kill(name)
        world.run(0.5)
        world.start()
        world.run(1.5)
        self.assertEqual(quarantining(world), all_instances(world))
        world.run(DECIDED_S + 1.0)
        self.assertEqual(quarantining(world), [])

    def test_request_stays_held_back_if_the_upstreams_have_ended(self) -> None:
        for instances in (3, 24):
            with self.subTest(instances=instances):
                world = self.start(instances)
                for name in ENGINES:
                    world.run(0.5)
                    world.end_engine(name)
                world.run(DECIDED_S + DELETED_S)
                self.assertEqual(quarantining(world), all_instances(world))

    def test_nothing_is_decided_while_the_log_is_away(self) -> None:
        # Guards against taking a record that can't lapse for a sign of life.
        world = self.start(3)
        world.store.is_down = True
        world.run(3 * DECIDED_S)
        self.assertEqual(quarantining(world), all_instances(world))
        for name in ENGINES:
            world.end_engine(name)
        world.store.is_down = False
        world.run(2 * DECIDED_S)
        self.assertEqual(quarantining(world), all_instances(world))


if __name__ == "__main__":
    unittest.main()
