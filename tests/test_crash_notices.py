"""Crashes that one instance has seen but not yet written when another one starts.

One instance saw a request crash three upstreams and held it back from then on. Records
are written to the log in batches, two calls a second, so the third record was delayed
by up to half a second. An instance that started in this time read only two crashes from
the log, became ready and sent the request to a fourth upstream, which crashed too:

    node-1  503 crashes_upstreams
    node-2  502 answer_cut

While the log was unavailable, this continued until it was back, because instances did
not send each other their crashes.
"""

import unittest
from datetime import timedelta
from unittest import mock

from ashhoist.quarantine import CRASH_THRESHOLD

from .control_world import World
from .test_many_crashes import all_instances, cut, quarantining

WARM_UP_S = 6.0
BETWEEN_TRIES_S = 0.03
READY_TIMEOUT_S = 1.5
NOTICE_S = 0.1
"""Time for a notice to reach all instances: links take a millisecond or two, and hubs
forward messages at once."""
MANY = 24
"""Number of instances that is too large for a full mesh, so hubs forward messages."""
LONG_CUT_S = 8.0
"""Long enough for the other instances to drop their links."""


def running(instances: int, zones: int = 1) -> World:
    """Return a world after its warm-up."""
    world = World(instances, 2, zones=zones)
    world.seeds = ("instance-0",)
    world.start()
    world.run(WARM_UP_S)
    return world


def cut_often(world: World, name: str, times: int = CRASH_THRESHOLD) -> None:
    """Let the request crash upstreams at one instance, one after the other."""
    for number in range(times):
        cut(world, name, f"{name} life-{number}")
        world.run(BETWEEN_TRIES_S)


def is_ready(world: World, name: str) -> bool:
    core = world.machines[name].core
    return core is not None and core.ready


def holds_when_ready(world: World, name: str) -> bool:
    """Start an instance; return whether it holds the request back once it is ready."""
    world.start(name)
    assert world.run(READY_TIMEOUT_S, lambda: is_ready(world, name))
    return name in quarantining(world)


class StartTests(unittest.TestCase):
    def start_after_crashes(
        self, instances: int, zones: int = 1, log_down: bool = False
    ) -> bool:
        """Start the last instance right after another one has seen three crashes.

        Parameters
        ----------
        log_down : bool
            Whether the log is unavailable.

        Returns
        -------
        bool
            Whether the instance holds the request back once it is ready.
        """
        world = running(instances, zones)
        late = f"instance-{instances - 1}"
        world.kill(late)
        world.run(1.0)
        world.store.is_down = log_down
        cut_often(world, f"instance-{instances - 2}")
        return holds_when_ready(world, late)

    def test_a_starting_instance_knows_what_a_single_peer_has_just_seen(self) -> None:
        self.assertTrue(self.start_after_crashes(2))

    def test_a_starting_instance_knows_it_in_a_mesh_and_with_hubs(self) -> None:
        for instances, zones in ((7, 1), (MANY, 3)):
            with self.subTest(instances):
                self.assertTrue(self.start_after_crashes(instances, zones))

    def test_a_starting_instance_knows_it_while_the_log_is_down(self) -> None:
        for instances, zones in ((2, 1), (7, 1), (MANY, 3)):
            with self.subTest(instances):
                self.assertTrue(
                    self.start_after_crashes(instances, zones, log_down=True)
                )

    def test_it_is_on_the_log_at_once_for_an_instance_without_links(self) -> None:
        world = running(2)
        world.kill("instance-1")
        world.run(1.0)
        cut_often(world, "instance-0")
        world.machines["instance-1"].links_cut = True
        self.assertTrue(holds_when_ready(world, "instance-1"))

    def test_an_instance_that_reads_the_log_still_waits_for_its_peers(self) -> None:
        # The log answers reads, but accepts no writes from the instance that saw the
        # crashes.
        world = running(7)
        world.kill("instance-6")
        world.run(1.0)
        world.machines["instance-5"].store_cut = True
        cut_often(world, "instance-5")
        self.assertTrue(holds_when_ready(world, "instance-6"))

    def test_an_instance_without_peers_becomes_ready(self) -> None:
        world = running(7)
        for name in all_instances(world):
            world.kill(name)
        world.start("instance-0")
        self.assertTrue(
            world.run(READY_TIMEOUT_S, lambda: is_ready(world, "instance-0"))
        )


class LinkedTests(unittest.TestCase):
    def test_all_linked_instances_know_it_while_the_log_is_down(self) -> None:
        for instances, zones in ((7, 1), (MANY, 3)):
            with self.subTest(instances):
                world = running(instances, zones)
                world.store.is_down = True
                cut_often(world, f"instance-{instances - 1}")
                world.run(NOTICE_S)
                self.assertEqual(quarantining(world), all_instances(world))

    def test_crashes_of_two_instances_are_combined_once_they_are_linked(self) -> None:
        world = running(3)
        world.store.is_down = True
        world.machines["instance-2"].links_cut = True
        world.run(LONG_CUT_S)
        cut_often(world, "instance-0", 2)
        cut_often(world, "instance-2", 1)
        self.assertEqual(quarantining(world), [])
        world.machines["instance-2"].links_cut = False
        self.assertTrue(world.run(5.0, lambda: "instance-2" in quarantining(world)))

    def test_crashes_that_are_never_written_expire(self) -> None:
        # The instance that saw them is killed before the log is back; the others have
        # been told.
        world = running(3)
        window = timedelta(seconds=30)
        with mock.patch("ashhoist.quarantine.quarantine.WINDOW", window):
            world.store.is_down = True
            cut_often(world, "instance-0")
            world.kill("instance-0")
            world.run(1.0)
            self.assertEqual(quarantining(world), ["instance-1", "instance-2"])
            world.store.is_down = False
            world.run(window.total_seconds() + 12.0)
        self.assertEqual(quarantining(world), [])


if __name__ == "__main__":
    unittest.main()
