"""Crashes that are known at one instance, and not written yet, as another starts.

One instance saw three upstreams end under a request and refused it from then on. Its
records go to the log together, two calls a second, so the third waited for up to half a
second. An instance that started meanwhile read two crashes, was ready, and sent the
request on; a fourth upstream ended:

    node-1  503 crashes_upstreams
    node-2  502 answer_cut

Where the log was away it went on so until the log returned: links told nothing of it.
"""

import unittest
from datetime import timedelta
from unittest import mock

from ashhoist.quarantine import CRASHES

from .control_world import World
from .test_many_crashes import cut, everybody, holding

UP_S = 6.0
BETWEEN_TRIES_S = 0.03
READY_S = 1.5
TOLD_S = 0.1
"""A moment: links take a millisecond or two, and hubs pass on at once."""
MANY = 24
"""Instances: more than link to each other, so that hubs pass on what they hear."""
LONG_CUT_S = 8.0
"""So long that the others have given its links up."""


def running(instances: int, zones: int = 1) -> World:
    """Return a world that has been up for a while."""
    world = World(instances, 2, zones=zones)
    world.seeds = ("instance-0",)
    world.start()
    world.run(UP_S)
    return world


def cut_often(world: World, name: str, times: int = CRASHES) -> None:
    """Let upstreams end under the request at an instance, one after the other."""
    for number in range(times):
        cut(world, name, f"{name} life-{number}")
        world.run(BETWEEN_TRIES_S)


def is_ready(world: World, name: str) -> bool:
    core = world.machines[name].core
    return core is not None and core.ready


def holds_when_ready(world: World, name: str) -> bool:
    """Start an instance; return whether it holds the request back once it is ready."""
    world.start(name)
    assert world.run(READY_S, lambda: is_ready(world, name))
    return name in holding(world)


class StartsTests(unittest.TestCase):
    def start_beside(self, instances: int, zones: int = 1, away: bool = False) -> bool:
        """Start the last instance right after the first has seen three crashes.

        Parameters
        ----------
        away : bool
            Whether the log is.
        """
        world = running(instances, zones)
        late = f"instance-{instances - 1}"
        world.kill(late)
        world.run(1.0)
        world.store.is_down = away
        cut_often(world, f"instance-{instances - 2}")
        return holds_when_ready(world, late)

    def test_one_of_two_knows_what_the_other_has_just_seen(self) -> None:
        self.assertTrue(self.start_beside(2))

    def test_one_of_a_mesh_and_of_many_know_it(self) -> None:
        for instances, zones in ((7, 1), (MANY, 3)):
            with self.subTest(instances):
                self.assertTrue(self.start_beside(instances, zones))

    def test_they_know_it_while_the_log_is_away(self) -> None:
        for instances, zones in ((2, 1), (7, 1), (MANY, 3)):
            with self.subTest(instances):
                self.assertTrue(self.start_beside(instances, zones, away=True))

    def test_it_is_on_the_log_at_once_for_one_that_has_no_links(self) -> None:
        world = running(2)
        world.kill("instance-1")
        world.run(1.0)
        cut_often(world, "instance-0")
        world.machines["instance-1"].links_cut = True
        self.assertTrue(holds_when_ready(world, "instance-1"))

    def test_one_that_could_serve_by_the_log_alone_waits_to_be_told(self) -> None:
        # The log answers reads, but takes no writes of the one that has seen it.
        world = running(7)
        world.kill("instance-6")
        world.run(1.0)
        world.machines["instance-5"].store_cut = True
        cut_often(world, "instance-5")
        self.assertTrue(holds_when_ready(world, "instance-6"))

    def test_one_that_nobody_greets_is_ready_all_the_same(self) -> None:
        world = running(7)
        for name in everybody(world):
            world.kill(name)
        world.start("instance-0")
        self.assertTrue(world.run(READY_S, lambda: is_ready(world, "instance-0")))


class LinkedTests(unittest.TestCase):
    def test_all_that_are_linked_know_it_while_the_log_is_away(self) -> None:
        for instances, zones in ((7, 1), (MANY, 3)):
            with self.subTest(instances):
                world = running(instances, zones)
                world.store.is_down = True
                cut_often(world, f"instance-{instances - 1}")
                world.run(TOLD_S)
                self.assertEqual(holding(world), everybody(world))

    def test_what_two_have_seen_counts_together_once_they_are_linked(self) -> None:
        world = running(3)
        world.store.is_down = True
        world.machines["instance-2"].links_cut = True
        world.run(LONG_CUT_S)
        cut_often(world, "instance-0", 2)
        cut_often(world, "instance-2", 1)
        self.assertEqual(holding(world), [])
        world.machines["instance-2"].links_cut = False
        self.assertTrue(world.run(5.0, lambda: "instance-2" in holding(world)))

    def test_what_is_never_written_does_not_count_for_ever(self) -> None:
        # Whoever saw it ends before the log is back; the others were told.
        world = running(3)
        window = timedelta(seconds=30)
        with mock.patch("ashhoist.quarantine.quarantine.WINDOW", window):
            world.store.is_down = True
            cut_often(world, "instance-0")
            world.kill("instance-0")
            world.run(1.0)
            self.assertEqual(holding(world), ["instance-1", "instance-2"])
            world.store.is_down = False
            world.run(window.total_seconds() + 12.0)
        self.assertEqual(holding(world), [])


if __name__ == "__main__":
    unittest.main()
