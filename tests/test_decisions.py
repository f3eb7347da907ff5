"""Differential tests: the weighted policy against the naive one."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from ashhoist.policies import PolicyOptions, create
from ashhoist.types import Priority
from ashhoist_bench.decisions import DecisionBench, figures
from ashhoist_bench.report import Case, make_workload, run_case
from ashhoist_bench.workloads import Arrival, Deployment, Trouble, Workload

SMALL = Deployment("small", 1, 2, 6, 2.0, 1.0, 8, 0.8, slots=2, max_batch=4)
LOAD_SECONDS = 0.5
EXTRA_LOADS = 3
"""The weighted policy may lose so many load times a request to luck."""

ARRIVALS = st.lists(
    st.tuples(st.floats(0, 20), st.integers(0, 5), st.sampled_from(list(Priority))),
    min_size=1,
    max_size=25,
)


def run(name: str, items: list, restarts: list[float]) -> DecisionBench:
    arrivals = [
        Arrival(at, adapter, priority, 8) for at, adapter, priority in sorted(items)
    ]
    workload = Workload(arrivals, 25.0, Trouble(engine_restarts=restarts))
    policy = create(name, PolicyOptions(0.8))
    return DecisionBench(SMALL, workload, policy, 1).run()


class DifferentialTests(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(ARRIVALS, st.lists(st.floats(1, 20), max_size=2))
    def test_same_safety(self, items: list, restarts: list[float]) -> None:
        for name in ("naive", "weighted"):
            bench = run(name, items, restarts)
            for engine in bench.engines.values():
                self.assertEqual(engine.violations, [])
                self.assertLessEqual(len(engine.resident), SMALL.slots)
            self.assertEqual(bench.store.most_at_once, min(1, bench.store.started))
            for record in bench.records.values():
                self.assertTrue(record.ended_at or record.reason)

    @settings(max_examples=40, deadline=None)
    @given(ARRIVALS)
    def test_never_more_stall_than_naive_beyond_a_bound(self, items: list) -> None:
        stalls = []
        for name in ("naive", "weighted"):
            bench = run(name, items, [])
            stalls.append(sum(record.stall for record in bench.records.values()))
        self.assertLessEqual(
            stalls[1], stalls[0] + len(items) * EXTRA_LOADS * LOAD_SECONDS
        )

    def test_less_stall_and_fuller_batches_on_the_users_workloads(self) -> None:
        for workload in ("tournament", "drafting"):
            with self.subTest(workload):
                naive = run_case(Case("tablero", workload, "naive"), 60.0, 1)
                ours = run_case(Case("tablero", workload, "weighted"), 60.0, 1)
                self.assertLessEqual(ours.stall_p95, naive.stall_p95 / 2)
                self.assertLessEqual(ours.loads, naive.loads)
                self.assertGreater(ours.batch, naive.batch)

    def test_same_seed_gives_the_same_figures(self) -> None:
        case = Case("tablero", "tournament", "weighted")
        self.assertEqual(run_case(case, 30.0, 2), run_case(case, 30.0, 2))

    def test_urgent_work_waits_less_than_casual_work_when_all_is_full(self) -> None:
        case = Case("tablero", "overload", "weighted")
        workload = make_workload(case, 20.0, 1)
        bench = DecisionBench(
            Deployment("tiny", 1, 2, 40, 2.0, 8.0, 48, 0.8),
            workload,
            create("weighted", PolicyOptions(0.8)),
            1,
        ).run()
        answered = {
            priority: [
                bool(record.ended_at)
                for record in bench.records.values()
                if record.arrival.priority is priority
            ]
            for priority in (Priority.URGENT, Priority.NORMAL)
        }
        shares = {key: sum(found) / len(found) for key, found in answered.items()}
        self.assertGreater(shares[Priority.URGENT], shares[Priority.NORMAL])
        self.assertGreater(figures(bench).batch, 0.9)


class SeedTests(unittest.TestCase):
    def test_workloads_are_seeded(self) -> None:
        case = Case("roster", "deadline", "weighted")
        self.assertEqual(make_workload(case, 20.0, 3), make_workload(case, 20.0, 3))
        self.assertNotEqual(
            random.Random("a 1").random(), random.Random("a 2").random()
        )


if __name__ == "__main__":
    unittest.main()
