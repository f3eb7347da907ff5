"""Tests of crash records and registrations after a restore of the log."""

import unittest

from ashhoist.clock import ManualClock
from ashhoist.control.membership import RECENT_REGISTRATION
from ashhoist.quarantine import Completion, Crash, Quarantine, RequestInterrupted
from ashhoist.store import Topic, position

from .control_world import World
from .test_log_returns import running

REQUEST = "bad"
LIVES = ("a", "b", "c")
MANY_INSTANCES = 24


def crash(incarnation: str, *requests: str) -> Crash:
    return Crash(incarnation, "one", frozenset(requests or (REQUEST,)))


class QuarantineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine(ManualClock())
        for offset, incarnation in enumerate(LIVES):
            self.put(crash(incarnation), 0, offset)

    def put(self, record: Crash | Completion, era: int, offset: int) -> None:
        self.quarantine.put(record.key, record, position(era, offset))

    def test_a_request_stays_held_back_if_the_copy_lacks_a_crash(self) -> None:
        for offset, incarnation in enumerate(LIVES[:2]):
            self.put(crash(incarnation), 1, offset)
        listed = {crash(incarnation).key for incarnation in LIVES[:2]}
        self.quarantine.keep_only(listed, position(1, 2))
        self.assertTrue(self.quarantine.holds_back(REQUEST))
        self.assertEqual(self.quarantine.lost_records(), [crash("c")])
        self.put(crash("c"), 1, 2)
        self.assertEqual(self.quarantine.lost_records(), [])

    def test_a_request_stays_held_back_if_a_copied_crash_lacks_it(self) -> None:
        self.put(crash("a", REQUEST, "other"), 0, 5)
        self.put(crash("a", "other"), 1, 1)
        self.assertTrue(self.quarantine.holds_back(REQUEST))
        self.assertEqual(self.quarantine.lost_records(), [crash("a", REQUEST, "other")])

    def test_a_copied_complete_answer_does_not_clear_later_crashes(self) -> None:
        self.put(Completion(REQUEST), 0, 3)
        for offset, incarnation in enumerate(LIVES, 4):
            self.put(crash(incarnation, REQUEST, "other"), 0, offset)
        self.assertTrue(self.quarantine.holds_back(REQUEST))
        self.put(Completion(REQUEST), 1, 3)
        self.assertTrue(self.quarantine.holds_back(REQUEST))

    def test_a_copied_crash_stays_cleared(self) -> None:
        self.put(Completion(REQUEST), 0, 3)
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        for offset, incarnation in enumerate(LIVES):
            self.put(crash(incarnation), 1, offset)
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        self.quarantine.keep_only(
            {crash(incarnation).key for incarnation in LIVES}, position(1, 3)
        )
        self.assertEqual(self.quarantine.lost_records(), [Completion(REQUEST)])

    def test_a_crash_unlisted_in_its_own_era_is_forgotten(self) -> None:
        self.quarantine.keep_only(set(), position(0, 9))
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        self.assertEqual(self.quarantine.lost_records(), [])

    def test_a_copied_crash_does_not_restore_a_cleared_request(self) -> None:
        self.put(Completion(REQUEST), 0, 3)
        for offset, incarnation in enumerate(LIVES, 4):
            self.put(crash(incarnation, "other"), 0, offset)
        for offset, incarnation in enumerate(LIVES):
            self.put(crash(incarnation), 1, offset)
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        self.assertTrue(self.quarantine.holds_back("other"))

    def test_a_cleared_request_stays_cleared_as_another_is_interrupted(self) -> None:
        self.put(Completion(REQUEST), 0, 3)
        for offset, incarnation in enumerate(LIVES):
            self.put(crash(incarnation, REQUEST, "other"), 1, offset)
        self.assertFalse(self.quarantine.holds_back(REQUEST))
        self.assertTrue(self.quarantine.holds_back("other"))

    def test_a_complete_answer_is_lost_if_the_copy_has_an_older_one(self) -> None:
        self.put(Completion(REQUEST), 0, 3)
        for offset, incarnation in enumerate(LIVES, 4):
            self.put(crash(incarnation), 0, offset)
        self.put(Completion(REQUEST), 0, 7)
        self.put(Completion(REQUEST), 1, 3)
        self.assertEqual(self.quarantine.lost_records(), [Completion(REQUEST)])
        self.quarantine.note_written(Completion(REQUEST).key, position(1, 5))
        self.assertEqual(self.quarantine.lost_records(), [])
        self.put(Completion(REQUEST), 1, 5)
        self.assertEqual(self.quarantine.lost_records(), [])

    def test_a_late_record_of_an_earlier_era_marks_nothing_as_lost(self) -> None:
        self.put(crash("d", REQUEST, "other"), 1, 5)
        self.put(crash("d", "other"), 0, 7)
        self.assertEqual(self.quarantine.lost_records(), [])


class WorldTests(unittest.TestCase):
    def world_with_lost_crashes(self, instances: int) -> World:
        """Return a world in which a restored log lacks a request's crash records."""
        world = running(instances)
        snapshot = world.log.snapshot()
        for name, incarnation in zip(world.machines, LIVES, strict=False):
            core = world.machines[name].core
            assert core is not None
            core.crashes.request_interrupted(RequestInterrupted(REQUEST, incarnation))
            core.settle()
        world.run(3.0)
        self.assert_held_back(world)
        world.log.restore(snapshot)
        return world

    def assert_held_back(self, world: World) -> None:
        for machine in world.machines.values():
            self.assertTrue(machine.quarantine.holds_back(REQUEST), machine.name)

    def test_lost_crashes_are_rewritten_by_one_instance(self) -> None:
        for instances in (7, MANY_INSTANCES):
            with self.subTest(instances=instances):
                world = self.world_with_lost_crashes(instances)
                writes_before = world.store.crash_writes
                for _ in range(80):
                    world.run(0.1)
                    self.assert_held_back(world)
                self.assertLessEqual(world.store.crash_writes - writes_before, 2)
                self.assertEqual(len(world.log.topics[Topic.CRASHES].newest), 3)

    def test_rewritten_crashes_survive_a_restart_of_all_instances(self) -> None:
        world = self.world_with_lost_crashes(7)
        world.run(6.0)
        for name in world.machines:
            world.kill(name)
        world.start()
        world.run(5.0)
        self.assert_held_back(world)

    def test_only_recently_registered_instances_register_again(self) -> None:
        world = running()
        world.run(RECENT_REGISTRATION.total_seconds())
        world.kill("instance-3")
        world.start("instance-3")
        world.run(2.0)
        snapshot = world.log.snapshot()
        world.store.registered.clear()
        world.log.restore(snapshot)
        world.run(3.0)
        self.assertEqual(world.store.registered, {"instance-3"})


if __name__ == "__main__":
    unittest.main()
