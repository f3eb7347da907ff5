"""Upstreams that restart under the same id.

Fault: an engine that crashed and restarted within a heartbeat interval was taken for
the same process. Requests for adapters that it no longer held were sent to it, and
crashes of both incarnations counted as one, because the id alone identified an
incarnation.
"""

import json
import unittest
from typing import Any

from ashhoist_platform.records import decode

from ashhoist.adapter import Adapter
from ashhoist.control.changes import UpstreamPut
from ashhoist.control.core import Core
from ashhoist.orders import EngineReport
from ashhoist.placement.actions import FetchReport, Placed, ServedAdaptersChanged
from ashhoist.placement.messages import Target
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
SETTLE_S = 1.5
ADAPTER_NAME = "a1"


def decoded(offset: int, **changed: object) -> Upstream:
    """Return the upstream of an entry with some fields changed."""
    value = json.dumps({**ENTRY, **changed}).encode()
    change = decode(Topic.UPSTREAMS, Record(offset, "id-1", value))
    assert isinstance(change, UpstreamPut)
    return change.upstream


class IncarnationTests(unittest.TestCase):
    def test_each_start_is_a_new_incarnation(self) -> None:
        first, again = decoded(1), decoded(2, born=ENTRY["born"] + 1)
        self.assertNotEqual(first.incarnation, again.incarnation)
        self.assertEqual(first.incarnation, decoded(3).incarnation)

    def test_entry_without_start_time_uses_the_id(self) -> None:
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        record = Record(1, "id-1", json.dumps(entry).encode())
        change = decode(Topic.UPSTREAMS, record)
        assert isinstance(change, UpstreamPut)
        self.assertEqual(change.upstream.incarnation, "id-1")

    def test_directory_reports_a_restart_as_a_change(self) -> None:
        directory = Directory()
        directory.put(decoded(1))
        before = directory.incarnation_of("id-1")
        self.assertFalse(directory.put(decoded(2, sequence=5)))
        self.assertTrue(directory.put(decoded(3, born=ENTRY["born"] + 1)))
        self.assertNotEqual(directory.incarnation_of("id-1"), before)


class SchedulerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SchedulerWorld({"one": [1]})

    def restart(self) -> None:
        """Restart the engine, and update its entry."""
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

    def test_adapters_held_before_a_restart_are_gone(self) -> None:
        self.world.submit(1)
        self.assertEqual(self.placed(), ["one"])
        self.restart()
        self.world.submit(1)
        self.assertEqual(self.placed(), ["one"])

    def test_restart_requests_a_report_and_tells_hubs_it_serves_nothing(self) -> None:
        self.restart()
        told = [
            item
            for item in self.world.actions
            if isinstance(item, ServedAdaptersChanged)
        ]
        self.assertEqual(told[-1].served, {})
        self.world.actions.clear()
        self.world.plan()
        asked = [item for item in self.world.actions if isinstance(item, FetchReport)]
        self.assertEqual([item.upstream for item in asked], ["one"])

    def test_report_of_a_new_start_clears_known_copies(self) -> None:
        engine = self.world.scheduler.engines["one"]
        first = EngineReport(0, (MODEL,), (), {adapter(1): 1}, {}, False, 0, 0, born=5)
        self.world.scheduler.engine_reported("one", first)
        self.assertTrue(engine.has_copy(adapter(1), 1))
        report = EngineReport(0, (MODEL,), (), {}, {}, False, 0, 0, born=7)
        self.world.scheduler.engine_reported("one", report)
        self.assertFalse(engine.has_copy(adapter(1), 1))
        again = EngineReport(1, (MODEL,), (), {adapter(2): 1}, {}, False, 0, 0, born=7)
        self.world.scheduler.engine_reported("one", again)
        self.assertTrue(engine.has_copy(adapter(2), 1))


class WorldTests(unittest.TestCase):
    def cores(self, world: World) -> list[Core]:
        return [m.core for m in world.machines.values() if m.core is not None]

    def test_all_instances_forget_residency_and_load_again(self) -> None:
        world = World(3, 1)
        world.start()
        world.run(4.0)
        first = want(world, "instance-0", ADAPTER_NAME)
        self.assertTrue(world.run(SETTLE_S, first.done))
        world.run(SETTLE_S)
        world.restart_engine("engine-0")
        world.run(SETTLE_S)
        for core in self.cores(world):
            self.assertNotIn(
                Adapter(MODEL, ADAPTER_NAME), core.residency.served_by("engine-0")
            )
        second = want(world, "instance-0", ADAPTER_NAME)
        self.assertTrue(world.run(SETTLE_S * 2, second.done))
        self.assertIsInstance(second.result(), Target)
        self.assertIn(ADAPTER_NAME, world.engines["engine-0"].adapters)
        self.assertEqual(world.fallen(), [])


if __name__ == "__main__":
    unittest.main()
