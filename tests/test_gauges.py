"""What gauges and log lines say of how an instance reads the log."""

import unittest
from typing import Any

from ashhoist.store import Topic

from .control_world import World
from .test_log_returns import readers, running


class _Lines:
    """A logger that keeps the events it is given."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **_: Any) -> None:
        self.events.append(event)

    warning = error = exception = info


def lag(world: World, name: str, topic: Topic) -> float:
    """Return a topic's age as an instance's metrics tell it, in seconds."""
    core = world.machines[name].core
    assert core is not None
    found: float = core._metrics._gauges["topic_lag_seconds"][(topic,)]
    return found


class LogAgeTests(unittest.TestCase):
    def test_each_topic_has_an_age_of_its_own(self) -> None:
        world = running()
        name = readers(world)[0]
        world.machines[name].unread.add(Topic.CONFIGURATION)
        world.run(9.0)
        self.assertGreater(lag(world, name, Topic.CONFIGURATION), 8.0)
        self.assertLess(lag(world, name, Topic.UPSTREAMS), 2.0)

    def test_it_is_logged_who_begins_to_read_and_who_leaves_it_to_others(self) -> None:
        world = World(7, 2)
        lines = _Lines()
        world.logger = lines
        world.start()
        world.run(3.0)
        began = lines.events.count("reads the log")
        left = lines.events.count("leaves the log to others")
        self.assertEqual(began - left, len(readers(world)))


if __name__ == "__main__":
    unittest.main()
