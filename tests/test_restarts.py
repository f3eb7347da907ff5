"""Upstreams that start again under the id that they had.

Symptom: an engine that had crashed and come back within a heartbeat passed for the one
that it was before: requests went to it for adapters that it no longer held, and crashes
of both lives counted as one. Cause: a life was told by its id alone.
"""

import json
import unittest
from typing import Any

from ashhoist_platform.records import decode

from ashhoist.adapter import Adapter
from ashhoist.control.changes import UpstreamPut
from ashhoist.control.core import Core
from ashhoist.orders import EngineReport
from ashhoist.placement.actions import AskReport, Placed, Serving
from ashhoist.placement.asks import Target
from ashhoist.store import Record, Topic
from ashhoist.upstreams import Directory, Upstream

from .control_world import World
from .scheduler_world import SERVICE, SchedulerWorld, adapter
from .world_requests import want
from .world_writes import MODEL

ENTRY: dict[str, Any] = {
    "service": "engines",
    "address": "10.0.0.1:8",
    "zone": "z",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 0,
    "models": [],
    "born": 1_776_000_000_000,
}
SOON = 1.5
HELD = "a1"


def decoded(offset: int, **changed: object) -> Upstream:
    """Return the upstream in an entry that differs in some fields."""
    value = json.dumps({**ENTRY, **changed}).encode()
    change = decode(Topic.UPSTREAMS, Record(offset, "id-1", value))
    assert isinstance(change, UpstreamPut)
    return change.upstream


class LifeTests(unittest.TestCase):
    def test_another_start_is_another_life(self) -> None:
        first, again = decoded(1), decoded(2, born=ENTRY["born"] + 1)
        self.assertNotEqual(first.life, again.life)
        self.assertEqual(first.life, decoded(3).life)

    def test_an_entry_without_a_start_is_named_by_its_id(self) -> None:
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        record = Record(1, "id-1", json.dumps(entry).encode())
        change = decode(Topic.UPSTREAMS, record)
        assert isinstance(change, UpstreamPut)
        self.assertEqual(change.upstream.life, "id-1")

    def test_the_directory_tells_a_start_as_a_change(self) -> None:
        directory = Directory()
        directory.put(decoded(1))
        before = directory.life_of("id-1")
        self.assertFalse(directory.put(decoded(2, sequence=5)))
        self.assertTrue(directory.put(decoded(3, born=ENTRY["born"] + 1)))
        self.assertNotEqual(directory.life_of("id-1"), before)


class SchedulerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": [1]})

    def restart(self) -> None:
        """Let the engine start again, and its entry say so."""
        before = self.world.upstreams[0]
        self.world.upstreams[0] = Upstream(
            "one", SERVICE, before.address, "zone", slots=96, models=(MODEL,), born=7
        )
        self.world.scheduler.set_upstreams(
            {SERVICE: self.world.settings}, self.world.upstreams
        )

    def placed(self) -> list[str]:
        return [
            action.upstream
            for action in self.world.actions
            if isinstance(action, Placed)
        ]

    def test_what_it_held_before_is_not_held_any_more(self) -> None:
        self.world.want(1)
        self.assertEqual(self.placed(), ["one"])
        self.restart()
        self.world.want(1)
        self.assertEqual(self.placed(), ["one"])

    def test_it_is_asked_again_and_hubs_are_told_that_it_serves_nothing(self) -> None:
        self.restart()
        told = [item for item in self.world.actions if isinstance(item, Serving)]
        self.assertEqual(told[-1].held, {})
        self.world.actions.clear()
        self.world.plan()
        asked = [item for item in self.world.actions if isinstance(item, AskReport)]
        self.assertEqual([item.upstream for item in asked], ["one"])

    def test_a_report_of_another_start_takes_its_copies_for_gone(self) -> None:
        engine = self.world.scheduler.engines["one"]
        first = EngineReport(0, (MODEL,), (), {adapter(1): 1}, {}, False, 0, 0, born=5)
        self.world.scheduler.reported("one", first)
        self.assertTrue(engine.has_copy(adapter(1), 1))
        report = EngineReport(0, (MODEL,), (), {}, {}, False, 0, 0, born=7)
        self.world.scheduler.reported("one", report)
        self.assertFalse(engine.has_copy(adapter(1), 1))
        again = EngineReport(1, (MODEL,), (), {adapter(2): 1}, {}, False, 0, 0, born=7)
        self.world.scheduler.reported("one", again)
        self.assertTrue(engine.has_copy(adapter(2), 1))


class WorldTests(unittest.TestCase):
    def cores(self, world: World) -> list[Core]:
        return [m.core for m in world.machines.values() if m.core is not None]

    def test_all_instances_forget_what_it_served_and_it_is_loaded_anew(self) -> None:
        world = World(3, 1)
        world.start()
        world.run(4.0)
        first = want(world, "instance-0", HELD)
        self.assertTrue(world.run(SOON, first.done))
        world.run(SOON)
        world.restart_engine("engine-0")
        world.run(SOON)
        for core in self.cores(world):
            self.assertNotIn(Adapter(MODEL, HELD), core.residency.of("engine-0"))
        second = want(world, "instance-0", HELD)
        self.assertTrue(world.run(SOON * 2, second.done))
        self.assertIsInstance(second.result(), Target)
        self.assertIn(HELD, world.engines["engine-0"].adapters)
        self.assertEqual(world.fallen(), [])


if __name__ == "__main__":
    unittest.main()
