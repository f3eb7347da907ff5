"""What is learnt about an engine's batch, and the wait for a place in it."""

import unittest
from datetime import timedelta

from ashhoist.placement.batch import (
    DEFAULT_RUN_TIME,
    MAX_DELAY_COST,
    MAX_RUN_TIME_RATIO,
    Batch,
)
from ashhoist.placement.inflight_requests import MAX_REQUEST_AGE, InflightRequests

from .scheduler_world import SECOND, adapter

ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)
SIZE = 16


def with_streams(
    batch: int, count: int, gap_ms: int = 0, observed: bool = False
) -> InflightRequests:
    """Return the requests of an engine where streams have started at time 0."""
    inflight = InflightRequests(batch)
    for number in range(count):
        inflight.add(f"s{number}", "instance", adapter(1), 0, ZERO, gap_ms)
        inflight.record_first_token(f"s{number}", ZERO, observed)
    return inflight


class PlaceWaitTests(unittest.TestCase):
    def test_nothing_is_added_below_a_full_batch(self) -> None:
        # Guards against avoiding engines with large batches while they have room.
        below = with_streams(SIZE, SIZE - 1)
        idle = InflightRequests(SIZE)
        self.assertEqual(below.wait_for_place(ZERO), ZERO)
        self.assertEqual(
            below.time_to_first_token(800, ZERO), idle.time_to_first_token(800, ZERO)
        )

    def test_streams_that_began_together_end_together(self) -> None:
        # Guards against a far too short expected wait after a burst: no place is free
        # before a whole run time has passed.
        inflight = with_streams(SIZE, SIZE, observed=True)
        self.assertEqual(inflight.wait_for_place(ZERO), DEFAULT_RUN_TIME)

    def test_the_wait_is_that_for_the_end_that_frees_a_place(self) -> None:
        # Guards against an expected wait that ignores the requests queued ahead.
        batch = Batch(4)
        for number in range(4):
            batch.start(f"s{number}", 0, number * SECOND / 4)
        now = SECOND
        ends_at = [number * SECOND / 4 + DEFAULT_RUN_TIME for number in range(4)]
        for waiting in range(4):
            self.assertEqual(
                batch.wait_for_place(4 + waiting, now),
                max(ends_at[waiting] - now, DEFAULT_RUN_TIME * (waiting + 1) / 4),
            )

    def test_streams_past_their_expected_end_free_no_place_at_once(self) -> None:
        # Guards against no expected wait where all streams last longer than usual.
        inflight = with_streams(SIZE, SIZE)
        wait = inflight.wait_for_place(10 * SECOND)
        self.assertEqual(wait, DEFAULT_RUN_TIME / SIZE)

    def test_a_batch_that_is_absent_0_or_1_is_ignored(self) -> None:
        # Guards against an engine without a known batch that counts as always full.
        for size in (0, 1):
            inflight = with_streams(size, 50)
            self.assertEqual(inflight.wait_for_place(ZERO), ZERO)
            self.assertEqual(inflight.cost_to_others(800, 0), ZERO)
            self.assertEqual(inflight.batch.share_in_use(50), 0.0)
        self.assertEqual(InflightRequests().batch.size, 0)

    def test_a_small_batch_that_is_half_free_is_not_crowded(self) -> None:
        # Guards against avoiding an engine with a batch of 2 for one running stream.
        for size in (2, 3, 4):
            self.assertEqual(Batch(size).crowding_cost(size // 2), ZERO)
            self.assertGreater(Batch(size).crowding_cost(size), ZERO)

    def test_large_batches_are_not_crowded_until_nearly_full(self) -> None:
        # Guards against another choice of engines while large batches have room.
        for size in (64, 96):
            nearly_full = round(size * 0.85)
            self.assertEqual(Batch(size).crowding_cost(nearly_full), ZERO)
            self.assertGreater(Batch(size).crowding_cost(size - 1), ZERO)


class RunTimeTests(unittest.TestCase):
    def run_streams(self, inflight: InflightRequests, count: int, took: float) -> None:
        now = SECOND
        for number in range(count):
            request_id = f"r{number}"
            inflight.add(request_id, "instance", adapter(1), 0, now)
            now += 90 * MILLISECOND
            inflight.record_first_token(request_id, now)
            now += took * SECOND
            inflight.complete(request_id, now)

    def test_run_times_are_learnt(self) -> None:
        # Guards against a slow engine that gets as much work as a fast one.
        slow, fast = InflightRequests(SIZE), InflightRequests(SIZE)
        self.run_streams(slow, 40, 4.0)
        self.run_streams(fast, 40, 0.6)
        self.assertAlmostEqual(slow.batch.run_time / SECOND, 4.0, delta=0.1)
        self.assertAlmostEqual(fast.batch.run_time / SECOND, 0.6, delta=0.1)

    def test_a_stalled_stream_counts_as_a_limited_time(self) -> None:
        # Guards against an engine that looks slow because one caller reads slowly.
        inflight = InflightRequests(SIZE)
        self.run_streams(inflight, 1, 50.0)
        self.assertLess(inflight.batch.run_time, DEFAULT_RUN_TIME * MAX_RUN_TIME_RATIO)
        self.assertLess(inflight.batch.run_time, 1.5 * DEFAULT_RUN_TIME)

    def test_very_short_streams_do_not_end_the_learning(self) -> None:
        # Guards against an average of 0, which would limit long run times to 0 as well.
        inflight = InflightRequests(SIZE)
        self.run_streams(inflight, 200, 0.0)
        self.run_streams(inflight, 80, 2.0)
        self.assertAlmostEqual(inflight.batch.run_time / SECOND, 2.0, delta=0.1)

    def test_only_ends_of_complete_runs_are_learnt_from(self) -> None:
        # Guards against an engine that looks fast because streams were cut off.
        inflight = InflightRequests(SIZE)
        for number, remove in enumerate(
            (
                lambda now: inflight.remove("r0"),
                lambda now: inflight.remove_instance("instance"),
                lambda now: inflight.remove_expired(now + 2 * MAX_REQUEST_AGE),
            )
        ):
            inflight.add(f"r{number}", "instance", adapter(1), 0, SECOND)
            inflight.record_first_token(f"r{number}", SECOND)
            remove(SECOND)
            self.assertEqual(len(inflight), 0)
        inflight.add("no-events", "instance", adapter(1), 0, SECOND)
        inflight.complete("no-events", 9 * SECOND)
        self.assertEqual(inflight.batch.run_time, DEFAULT_RUN_TIME)

    def test_the_wait_for_a_place_does_not_change_the_latency_factor(self) -> None:
        # Guards against a full engine that seems to prefill slowly, even once empty.
        inflight = with_streams(SIZE, SIZE)
        inflight.add("next", "instance", adapter(1), 800, ZERO)
        inflight.record_first_token("next", 20 * SECOND)
        self.assertEqual(inflight.latency_factor, 1.0)


class PrefillTests(unittest.TestCase):
    def test_a_prefill_within_the_allowed_pause_costs_nothing(self) -> None:
        # Guards against a cost of prefills that make no stream late. 2,000 tokens take
        # 118 ms.
        inflight = with_streams(SIZE, 4, gap_ms=300)
        self.assertEqual(inflight.cost_to_others(2000, 0), ZERO)

    def test_the_cost_rises_with_the_streams_that_run(self) -> None:
        # Guards against a long prompt at the engine with most streams. 118 ms at 100 ms
        # allowed: each stream is delayed by 18 ms.
        costs = [
            with_streams(32, count, gap_ms=100).cost_to_others(2000, 0) / MILLISECOND
            for count in (0, 1, 5)
        ]
        self.assertAlmostEqual(costs[0], 0)
        self.assertAlmostEqual(costs[1], 17.6, delta=0.1)
        self.assertAlmostEqual(costs[2], 88.2, delta=0.1)

    def test_prompts_queued_before_count(self) -> None:
        # Guards against ignoring many short prompts, which delay streams as well.
        inflight = with_streams(SIZE, 4, gap_ms=300)
        inflight.add("queued", "instance", adapter(1), 6000, ZERO)
        self.assertGreater(inflight.cost_to_others(500, 0), ZERO)
        self.assertGreater(
            with_streams(SIZE, 4, gap_ms=300).cost_to_others(500, 6000), ZERO
        )

    def test_streams_without_a_known_pause_cost_nothing(self) -> None:
        # Guards against a cost by a wrong pause for streams of instances of the
        # previous version, which do not send the allowed pause.
        self.assertEqual(with_streams(SIZE, 4).cost_to_others(90_000, 0), ZERO)

    def test_the_cost_ends_with_the_streams(self) -> None:
        # Guards against avoiding an engine for streams that have ended.
        inflight = with_streams(SIZE, 2, gap_ms=100)
        inflight.complete("s0", SECOND)
        self.assertGreater(inflight.cost_to_others(9000, 0), ZERO)
        inflight.remove("s1")
        self.assertEqual(inflight.cost_to_others(9000, 0), ZERO)

    def test_the_cost_has_a_limit(self) -> None:
        # Guards against preferring a failing engine to one with many streams.
        inflight = with_streams(48, 40, gap_ms=100)
        cost = inflight.cost_to_others(90_000, 0)
        self.assertEqual(cost, MAX_DELAY_COST * SECOND)


if __name__ == "__main__":
    unittest.main()
