"""The leader places streams that go on at engines of their software version only."""

import unittest
from datetime import timedelta

from ashhoist.orders.order import OrderAnswer
from ashhoist.placement.actions import Refused

from .scheduler_world import SchedulerWorld, adapter

OLD, NEW = "v1", "v2"


def world(served: dict[str, list[int]]) -> SchedulerWorld:
    """Return a scheduler whose engines are named after their software version."""
    return SchedulerWorld(served, software={name: name[:2] for name in served})


class PlacementTests(unittest.TestCase):
    def test_a_stream_goes_on_at_its_version_though_another_engine_is_idle(
        self,
    ) -> None:
        tested = world({"v1-a": [1], "v2-a": [1], "v2-b": [1]})
        ids = [tested.submit(1, software_version=OLD) for _ in range(20)]
        self.assertEqual({tested.placed()[one] for one in ids}, {"v1-a"})

    def test_an_adapter_is_loaded_at_the_version_though_another_one_serves_it(
        self,
    ) -> None:
        tested = world({"v1-a": [], "v2-a": [1]})
        stream = tested.submit(1, software_version=OLD)
        [order] = tested.plan()
        self.assertEqual((order.upstream, order.adapter), ("v1-a", adapter(1)))
        tested.answer_order(order, OrderAnswer.ACCEPTED)
        tested.clock.advance(timedelta(seconds=1))
        tested.plan()
        tested.report("v1-a", [1])
        self.assertEqual(tested.placed(), {stream: "v1-a"})

    def test_a_load_for_others_does_not_hold_up_a_stream_of_another_version(
        self,
    ) -> None:
        # Guards against one demand for an adapter, whatever the version needed.
        tested = world({"v1-a": [], "v2-a": []})
        tested.submit(1)
        tested.submit(1, software_version=OLD)
        tested.submit(1, software_version=NEW)
        ordered = {order.upstream for order in (*tested.plan(), *tested.plan())}
        self.assertEqual(ordered, {"v1-a", "v2-a"})

    def test_a_loaded_adapter_does_not_serve_a_stream_of_another_version(self) -> None:
        tested = world({"v1-a": [], "v2-a": []})
        stream = tested.submit(1, software_version=OLD)
        other = tested.submit(1, software_version=NEW)
        tested.report("v2-a", [1])
        self.assertEqual(tested.placed(), {other: "v2-a"})
        tested.report("v1-a", [1])
        self.assertEqual(tested.placed(), {other: "v2-a", stream: "v1-a"})

    def test_a_queued_stream_is_refused_once_its_version_is_gone(self) -> None:
        tested = world({"v1-a": [], "v2-a": [1]})
        stream = tested.submit(1, software_version=OLD)
        tested.plan()
        self.assertEqual(tested.refused(), set())
        tested.remove_engine("v1-a")
        tested.plan()
        self.assertEqual(tested.refused(), {stream})
        [refused] = [one for one in tested.actions if isinstance(one, Refused)]
        self.assertEqual(refused.reason, "no_upstream_of_version")


if __name__ == "__main__":
    unittest.main()
