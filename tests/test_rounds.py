"""Which adapters a planning round loads, and on which engines."""

import unittest
from datetime import timedelta
from random import Random

from hypothesis import given, settings, strategies as st

from ashhoist.orders import OrderAnswer
from ashhoist.placement.planning_round import PlanningRound

from .scheduler_world import SECOND, SchedulerWorld, adapter


class LoadPlacementTests(unittest.TestCase):
    def test_loads_are_spread_by_the_prompts_that_wait_for_them(self) -> None:
        # One engine loads an adapter for a long prompt, so the next load goes to the
        # other one.
        world = SchedulerWorld({"one": [], "two": []})
        world.submit(1, tokens=9000)
        [first] = world.plan()
        world.answer_order(first, OrderAnswer.ACCEPTED)
        world.submit(2, tokens=9000)
        [second] = world.plan()
        self.assertNotEqual(first.upstream, second.upstream)

    def test_loads_of_one_round_are_spread_too(self) -> None:
        world = SchedulerWorld({"one": [], "two": []})
        for number in (1, 2):
            world.submit(number, tokens=9000)
        orders = world.plan()
        self.assertEqual({order.upstream for order in orders}, {"one", "two"})

    def test_a_reservation_ends_with_its_load(self) -> None:
        world = SchedulerWorld({"one": [], "two": []})
        request_id = world.submit(1, tokens=9000)
        [order] = world.plan()
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        self.assertIn(request_id, world.placed())
        self.assertEqual(world.scheduler.engines[order.upstream].reserved_tokens, 0)


class BatchPlacementTests(unittest.TestCase):
    """Loads on engines whose batches are small."""

    def test_two_busy_adapters_are_loaded_on_different_engines(self) -> None:
        # Guards against engines with 20 streams and more while others run 2 or 3.
        world = SchedulerWorld({"one": [1], "two": []}, batch=16)
        engine = world.scheduler.engines["one"]
        for _ in range(60):
            world.scheduler.popularity.record_request(adapter(1))
        # The idle engine costs more as far as its slots and copies are concerned.
        world.report("two", [8, 9])
        self.assertEqual(len(engine.inflight), 0)
        world.submit(2, tokens=10)
        self.assertEqual([order.upstream for order in world.plan()], ["two"])

    def test_demand_counts_as_soon_as_a_load_has_begun(self) -> None:
        # Guards against a second busy adapter that joins the first one while it loads.
        world = SchedulerWorld({"one": [], "two": [6, 7, 8, 9]}, batch=16)
        for number in (1, 2):
            for _ in range(60):
                world.scheduler.popularity.record_request(adapter(number))
        world.submit(1, tokens=10)
        [first] = world.plan()
        world.answer_order(first, OrderAnswer.ACCEPTED)
        world.submit(2, tokens=10)
        [second] = world.plan()
        self.assertEqual((first.upstream, second.upstream), ("one", "two"))

    def test_loads_avoid_an_engine_whose_batch_is_filling(self) -> None:
        # Guards against a cost that knows queued prompts only, not running streams.
        world = SchedulerWorld({"one": [], "two": [8, 9]}, batch=16)
        self.run_streams(world, "one", 8)
        world.submit(2, tokens=10)
        self.assertEqual([order.upstream for order in world.plan()], ["two"])

    def test_streams_do_not_count_while_a_large_batch_has_room(self) -> None:
        # Guards against changes where batches are large, or where there is none.
        for batch, streams in ((0, 40), (1, 40), (64, 47), (96, 71)):
            with self.subTest(batch=batch):
                world = SchedulerWorld({"one": [], "two": [8, 9]}, batch=batch)
                self.run_streams(world, "one", streams)
                world.submit(2, tokens=10)
                self.assertEqual([order.upstream for order in world.plan()], ["one"])

    def run_streams(self, world: SchedulerWorld, name: str, count: int) -> None:
        """Let an engine run streams that have received their first tokens."""
        inflight = world.scheduler.engines[name].inflight
        now = world.clock.monotonic()
        for number in range(count):
            inflight.add(f"{name}-{number}", "instance", adapter(7), 10, now)
            inflight.record_first_token(f"{name}-{number}", now)


class LoadWaitTests(unittest.TestCase):
    """A request waits for one load only."""

    def test_a_request_is_sent_where_its_adapter_was_loaded_for_it(self) -> None:
        # The engine became busy during the load, while the other one is idle.
        world = SchedulerWorld({"one": [7], "two": []})
        request_id = world.submit(1, tokens=9000)
        [order] = world.plan()
        inflight = world.scheduler.engines[order.upstream].inflight
        for number in range(4):
            now = world.clock.monotonic()
            inflight.add(f"other-{number}", "instance", adapter(7), 9000, now)
        world.answer_order(order, OrderAnswer.ALREADY_DONE)
        self.assertEqual(world.placed().get(request_id), order.upstream)
        self.assertEqual(world.plan(), [])


class PlanningTimeTests(unittest.TestCase):
    def test_slow_rounds_are_planned_less_often(self) -> None:
        """A leader that plans all the time does not handle the answers to loads.

        After a burst, all requests were late for seconds although engines were idle.
        Many requests were queued, a round took 50 ms, and the next one followed at
        once. Meanwhile answers were not read, so even more requests were queued. The
        cause was that the time between rounds did not depend on how long they take.
        """
        world = SchedulerWorld({"one": [], "two": []})
        scheduler = world.scheduler
        rounds = 0
        plan_round = scheduler._plan_round

        def slow(now: timedelta) -> None:
            nonlocal rounds
            rounds += 1
            plan_round(now)
            world.clock.advance(timedelta(milliseconds=50))

        scheduler._plan_round = slow  # type: ignore[method-assign]
        began = world.clock.monotonic()
        while world.clock.monotonic() - began < 10 * SECOND:
            scheduler.plan(on_timer=True)
            world.clock.advance(timedelta(milliseconds=1))
        self.assertLessEqual(rounds, 10 / 0.2 + 1)


class BestEngineTests(unittest.TestCase):
    """The engine that a round chooses without computing the cost of all of them."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.randoms(use_true_random=False),
        st.integers(1, 12),
        st.sampled_from((0, 3, 4, 16, 96)),
    )
    def test_it_is_the_one_that_an_exhaustive_search_finds(
        self, rng: Random, engines: int, batch: int
    ) -> None:
        world = SchedulerWorld(
            {f"e{index}": [] for index in range(engines)}, capacity=3, batch=batch
        )
        self.populate(world, rng)
        for number in range(100, 108):
            world.submit(number, tokens=rng.choice((200, 2400, 9000)))
        scheduler = world.scheduler
        round_ = PlanningRound(
            scheduler.engines.values(),
            scheduler._index,
            {"zone"},
            scheduler.popularity,
            scheduler.pending_requests.demands(),
            scheduler._first_token_wait,
            scheduler._limited.permit_wait,
            world.clock.monotonic(),
        )
        for demand in scheduler.pending_requests.demands():
            found = round_.best_engine(demand)
            costs = {
                engine.id: round_._cost(engine, demand, demand.max_tokens)
                for engine in scheduler.engines.values()
                if round_._can_load(engine, demand)
            }
            if found is None:
                self.assertEqual(costs, {})
                continue
            self.assertAlmostEqual(costs[found.id], min(costs.values()))
            found.reserved_tokens += rng.choice((0, 5000))
            round_.record_order(found, demand)

    def populate(self, world: SchedulerWorld, rng: Random) -> None:
        """Give engines random adapters, copies and requests in flight."""
        for name, engine in world.scheduler.engines.items():
            copies = rng.sample(range(95, 115), rng.randrange(6))
            world.report(name, copies[:3])
            world.report(name, copies[3:])
            for number in range(rng.randrange(5)):
                now = world.clock.monotonic()
                request_id, tokens = f"{name}-{number}", rng.randrange(9000)
                engine.inflight.add(
                    request_id, "instance", adapter(1), tokens, now, 300
                )
                if rng.random() < 0.5:
                    engine.inflight.record_first_token(request_id, now, observed=False)
            for number in copies:
                for _ in range(rng.randrange(40)):
                    world.scheduler.popularity.record_request(adapter(number))
        world.clock.advance(SECOND)


if __name__ == "__main__":
    unittest.main()
