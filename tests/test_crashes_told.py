"""Crashes that are known at one instance, and not written yet, as another starts.

One instance saw three upstreams end under a request and refused it from then on. Its
records go to the log together, two calls a second, so the third waited for up to half a
second. An instance that started meanwhile read two crashes, was ready, and sent the
request on; a fourth upstream ended:

    node-1  503 crashes_upstreams
    node-2  502 answer_cut
"""

import unittest

from ashhoist.quarantine import CRASHES

from .control_world import World
from .test_many_crashes import cut, holding

UP_S = 6.0
BETWEEN_TRIES_S = 0.03
READY_S = 1.5


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
    def test_it_is_on_the_log_at_once_for_one_that_has_no_links(self) -> None:
        world = running(2)
        world.kill("instance-1")
        world.run(1.0)
        cut_often(world, "instance-0")
        world.machines["instance-1"].links_cut = True
        self.assertTrue(holds_when_ready(world, "instance-1"))


if __name__ == "__main__":
    unittest.main()
