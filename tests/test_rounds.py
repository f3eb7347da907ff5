"""What a round of planning loads, and where."""

import unittest

from ashhoist.orders import OrderAnswer

from .scheduler_world import SchedulerWorld, adapter


class LoadPlaceTests(unittest.TestCase):
    def test_what_waits_together_is_spread_by_what_will_be_read(self) -> None:
        # A large prompt is on its way to one engine; the next goes to the other.
        world = SchedulerWorld({"one": [], "two": []})
        world.want(1, tokens=9000)
        [first] = world.plan()
        world.answer(first, OrderAnswer.ACCEPTED)
        world.want(2, tokens=9000)
        [second] = world.plan()
        self.assertNotEqual(first.upstream, second.upstream)

    def test_in_one_round_as_well(self) -> None:
        world = SchedulerWorld({"one": [], "two": []})
        for number in (1, 2):
            world.want(number, tokens=9000)
        orders = world.plan()
        self.assertEqual({order.upstream for order in orders}, {"one", "two"})

    def test_a_promise_ends_with_its_load(self) -> None:
        world = SchedulerWorld({"one": [], "two": []})
        want_id = world.want(1, tokens=9000)
        [order] = world.plan()
        world.answer(order, OrderAnswer.HOLDS)
        self.assertIn(want_id, world.placed())
        self.assertEqual(world.scheduler.engines[order.upstream].promised, 0)


class WaitingTests(unittest.TestCase):
    """How many loads a request waits for."""

    def test_a_request_goes_where_its_adapter_was_loaded_for_it(self) -> None:
        # The engine has got busy in the meantime; the other one is idle.
        world = SchedulerWorld({"one": [7], "two": []})
        want_id = world.want(1, tokens=9000)
        [order] = world.plan()
        busy = world.scheduler.engines[order.upstream].work
        for number in range(4):
            now = world.clock.monotonic()
            busy.begin(f"other-{number}", "instance", adapter(7), 9000, now)
        world.answer(order, OrderAnswer.HOLDS)
        self.assertEqual(world.placed().get(want_id), order.upstream)
        self.assertEqual(world.plan(), [])


if __name__ == "__main__":
    unittest.main()
