"""Gauges and log lines about an instance's reads of the log."""

import unittest
from typing import Any

from ashhoist.store import Topic

from .control_world import World
from .test_log_returns import readers, running


class _EventRecorder:
    """A logger that records events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **_: Any) -> None:
        self.events.append(event)

    warning = error = exception = info


def lag(world: World, name: str, topic: Topic) -> float:
    """Return the value of an instance's ``topic_lag_seconds`` for a topic."""
    core = world.machines[name].core
    assert core is not None
    seconds: float = core._metrics._gauges["topic_lag_seconds"][(topic,)]
    return seconds


class LogAgeTests(unittest.TestCase):
    def test_each_topic_has_its_own_lag(self) -> None:
        world = running()
        name = readers(world)[0]
        world.machines[name].unanswered_topics.add(Topic.CONFIGURATION)
        world.run(9.0)
        self.assertGreater(lag(world, name, Topic.CONFIGURATION), 8.0)
        self.assertLess(lag(world, name, Topic.UPSTREAMS), 2.0)

    def test_begin_and_end_of_reading_are_logged(self) -> None:
        world = World(7, 2)
        recorder = _EventRecorder()
        world.logger = recorder
        world.start()
        world.run(3.0)
        began = recorder.events.count("reads the log")
        left = recorder.events.count("leaves the log to others")
        self.assertEqual(began - left, len(readers(world)))


if __name__ == "__main__":
    unittest.main()
