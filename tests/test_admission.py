"""Admission to contended services, in virtual time."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist import logs
from ashhoist.clock import ZERO, ManualClock
from ashhoist.metrics import Metrics
from ashhoist.overload import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Decision,
    Rejected,
    RequestKey,
)
from ashhoist.overload.concurrency import DEFAULT_SERVICE_TIME, ConcurrencyLimit

from .admission_world import (
    DEADLINE,
    MILLISECOND,
    QUEUE,
    SECOND,
    SLOTS,
    TARGET,
    WORK,
    AdmissionWorld,
    upstream,
)

RATES = {
    **{f"small{number}": 15.0 for number in range(10)},
    **{f"big{number}": 45.0 for number in range(5)},
    "flood": 9 * 25.0,
}
"""Requests per second of 16 customers: twice what three upstreams take."""
FAIR_RATE = 25.0
"""What is left for each of the six customers that send more than this."""
CAPACITY = 3 * SLOTS / WORK.total_seconds()
WARM_UP, MEASURED = 2 * SECOND, 6 * SECOND


class LoadTests(unittest.TestCase):
    def run_overload(self, seed: int) -> AdmissionWorld:
        world = AdmissionWorld(RATES, seed=seed)
        for simulated in world.simulated.values():
            for _ in range(SLOTS + QUEUE):
                simulated.send(lambda outcome: None)
        world.run(WARM_UP)
        self.since = world.clock.monotonic()
        world.run(MEASURED)
        return world

    def test_twice_the_capacity_meets_the_acceptance_criteria(self) -> None:
        # Guards against an overload by one customer that has requests of all refused.
        for seed in (1, 2):
            with self.subTest(seed=seed):
                world = self.run_overload(seed)
                seconds = MEASURED.total_seconds()
                goodput = world.served(self.since) / seconds
                self.assertGreaterEqual(goodput, 0.9 * CAPACITY)
                longest = max(world.waits_before_rejection)
                self.assertLessEqual(longest, TARGET / 2)
                self.check_promises(world)
                for customer in RATES:
                    self.check_share(world, customer, seconds)

    def check_promises(self, world: AdmissionWorld) -> None:
        now = world.clock.monotonic()
        promised = [
            caller
            for caller in world.callers
            if caller.promises and caller.deadline < now
        ]
        served = sum(caller.served_at is not None for caller in promised)
        self.assertGreater(len(promised), 100)
        self.assertGreaterEqual(served, 0.9 * len(promised))

    def check_share(self, world: AdmissionWorld, customer: str, seconds: float) -> None:
        sent = sum(
            caller.customer == customer and caller.deadline - DEADLINE >= self.since
            for caller in world.callers
        )
        share = min(sent, FAIR_RATE * seconds)
        served = world.served(self.since, customer)
        self.assertGreaterEqual(served, 0.9 * share, customer)

    def test_one_upstream_of_three_takes_what_it_can(self) -> None:
        # Requests would be queued for upstreams that have left.
        world = AdmissionWorld({"a": 200.0, "b": 100.0})
        world.run(SECOND)
        world.controller.set_upstreams([upstream("u1")])
        world.run(SECOND)
        since = world.clock.monotonic()
        world.run(4 * SECOND)
        self.assertGreaterEqual(world.served(since) / 4, 0.9 * CAPACITY / 3)

    def test_an_upstream_that_fails_half_gets_less_but_not_nothing(self) -> None:
        # Fast failures free places at once and would attract most of the requests.
        world = AdmissionWorld({"a": 400.0})
        world.simulated["u1"].failing = 0.5
        world.run(4 * SECOND)
        asked, failed = len(world.callers), world.outcomes[AttemptOutcome.FAILED]
        self.assertGreater(failed, 0)
        self.assertLess(failed, asked / 10)
        self.assertGreater(world.served(ZERO) / 4, 0.9 * CAPACITY * 2 / 3)


class ControllerTestCase(unittest.TestCase):
    """A controller with one upstream of two slots, unless a test says otherwise."""

    def setUp(self) -> None:
        self.clock = ManualClock(10 * SECOND)
        self.metrics = Metrics()
        self.controller = AdmissionController(
            "s", lambda name: 1.0, self.clock, self.metrics, logs.get("control")
        )
        self.controller.set_upstreams([upstream("u1", "zone-a", slots=2)])

    def request(
        self,
        number: int,
        fingerprint: str = "",
        instance: str = "node-1",
        excluded: frozenset[str] = frozenset(),
        zone: str = "zone-a",
    ) -> AdmissionRequest:
        now = self.clock.monotonic()
        return AdmissionRequest(
            (instance, number),
            fingerprint or f"f{number}",
            "c",
            0,
            now + TARGET,
            now + DEADLINE,
            zone,
            excluded,
        )

    def submit(self, *numbers: int) -> list[Decision]:
        for number in numbers:
            self.controller.submit(self.request(number))
        return self.controller.step()

    def after(self, delay: timedelta) -> list[Decision]:
        self.clock.advance(delay)
        return self.controller.step()

    def end(
        self, number: int, outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED
    ) -> list[Decision]:
        self.controller.ended(("node-1", number), outcome, WORK)
        return self.controller.step()

    def admitted(self, decisions: list[Decision]) -> list[int]:
        return [d.request.key[1] for d in decisions if isinstance(d, Admitted)]

    def rejected(self, decisions: list[Decision]) -> list[Rejected]:
        return [d for d in decisions if isinstance(d, Rejected)]


class ControllerTests(ControllerTestCase):
    def test_without_upstreams_requests_are_rejected_at_once(self) -> None:
        # They would be held until half of their target latency and then rejected.
        self.controller.set_upstreams([])
        rejected = self.rejected(self.submit(1))
        self.assertEqual([one.retry_after for one in rejected], [DEADLINE / 3])

    def test_a_request_after_its_deadline_is_not_granted(self) -> None:
        # Its grant would take a place for an answer without value.
        request = self.request(1)
        self.clock.advance(DEADLINE)
        self.controller.submit(request)
        rejected = self.rejected(self.controller.step())
        self.assertEqual([one.retry_after for one in rejected], [ZERO])

    def test_late_work_is_served_where_a_place_is_free(self) -> None:
        # A late answer is worth less, but more than an idle place.
        request = self.request(1)
        self.clock.advance(2 * TARGET)
        self.controller.submit(request)
        self.assertEqual(self.admitted(self.controller.step()), [1])

    def test_queued_requests_are_rejected_when_all_upstreams_leave(self) -> None:
        # They would wait for an upstream that is not there.
        self.submit(1, 2, 3)
        self.controller.set_upstreams([])
        self.assertEqual(len(self.rejected(self.after(20 * MILLISECOND))), 1)

    def test_a_rejected_caller_that_returns_goes_first(self) -> None:
        # It would be rejected again, or queued behind new requests of its customer.
        decisions = self.submit(*range(8))
        first = self.rejected(decisions)[0]
        self.clock.advance(first.retry_after)
        self.controller.submit(self.request(20))
        back = self.request(21, first.request.fingerprint)
        self.controller.submit(back)
        self.controller.step()
        self.assertEqual(self.admitted(self.end(0)), [21])

    def test_a_new_leader_treats_returning_callers_as_new(self) -> None:
        # Reservations are lost with the leader; their callers must get a decision.
        rejected = self.rejected(self.submit(*range(8)))[0]
        self.setUp()
        self.controller.submit(self.request(30, rejected.request.fingerprint))
        self.assertEqual(self.admitted(self.controller.step()), [30])

    def test_a_missed_reservation_is_counted(self) -> None:
        # Capacity would stay reserved for a caller that never returns.
        self.submit(*range(8))
        self.after(3 * SECOND)
        counts = Counter(self.metrics._counts["reservations"])
        self.assertEqual(counts[("missed",)], counts[("made",)])

    def test_rejections_say_whether_there_is_a_reservation(self) -> None:
        # Callers with a reservation would be told a later time, and lose it.
        rejected = self.rejected(self.submit(*range(60)))
        made = Counter(self.metrics._counts["reservations"])[("made",)]
        self.assertGreater(made, 0)
        self.assertGreater(len(rejected), made)
        self.assertEqual(sum(one.reserved for one in rejected), made)

    def test_callers_that_leave_do_not_make_an_upstream_look_failing(self) -> None:
        # Guards against fewer requests to an upstream whose callers have left early.
        self.submit(1, 2)
        for number in (1, 2):
            self.end(number, AttemptOutcome.UNKNOWN)
        self.clock.advance(DEFAULT_SERVICE_TIME)
        self.assertEqual(self.admitted(self.submit(3, 4)), [3, 4])

    def test_a_refusal_after_a_grant_lowers_the_limit(self) -> None:
        # The refused place would be granted again at once, and refused again.
        self.submit(1, 2, 3)
        self.assertEqual(self.admitted(self.end(1, AttemptOutcome.REFUSED)), [])
        again = self.request(9, "f1", excluded=frozenset({"u1"}))
        self.controller.submit(again)
        self.controller.step()
        self.assertEqual(len(self.admitted(self.end(2))), 0)
        self.assertEqual(len(self.admitted(self.after(100 * MILLISECOND))), 1)

    def test_uneven_service_times_do_not_lower_the_limit_below_the_slots(self) -> None:
        # Guards against a limit that falls to 1: a lower limit makes answers faster, so
        # that the next usual one looks slow again.
        source = random.Random(1)
        now = ZERO
        limit = ConcurrencyLimit(SLOTS)
        for _ in range(2000):
            now += 10 * MILLISECOND
            took = WORK * source.lognormvariate(0, 0.7)
            limit.succeeded(took, source.random() < 0.5, now)
            self.assertGreaterEqual(limit.value, SLOTS)

    def test_the_limit_rises_to_the_slots_again_after_refusals(self) -> None:
        # Guards against slow answers that keep a limit low after a short overload.
        limit, now = ConcurrencyLimit(SLOTS), SECOND
        limit.succeeded(WORK, True, now)
        limit.refused(1, now)
        self.assertEqual(limit.value, 1)
        for _ in range(60):
            now += WORK
            limit.succeeded(2 * WORK, True, now)
        self.assertGreaterEqual(limit.value, SLOTS)

    def test_a_grant_without_an_end_ends_at_its_deadline(self) -> None:
        # Its place would be lost for good.
        self.submit(1, 2)
        self.after(DEADLINE)
        self.assertEqual(self.admitted(self.submit(3)), [3])

    def test_a_lost_instance_frees_its_places_and_its_queue(self) -> None:
        # The ends of its requests are never reported.
        self.submit(1, 2, 3)
        self.controller.remove_instance("node-1")
        self.assertEqual(self.controller.step(), [])
        self.controller.submit(self.request(4, instance="node-2"))
        self.assertEqual(self.admitted(self.controller.step()), [4])

    def test_a_cancelled_request_gets_no_decision_and_frees_its_place(self) -> None:
        # A caller that left would take a place from others.
        self.submit(1, 2, 3)
        self.controller.cancel(("node-1", 3))
        self.controller.cancel(("node-1", 1))
        self.assertEqual(self.controller.step(), [])
        self.assertEqual(self.admitted(self.submit(4)), [4])

    def test_a_key_in_flight_is_not_granted_again(self) -> None:
        # A request that must not run twice would run twice.
        self.submit(1)
        self.assertEqual(self.submit(1), [])

    def test_a_grant_at_an_upstream_that_left_is_not_granted_elsewhere(self) -> None:
        # It may have run there; only the instance knows.
        self.submit(1)
        self.controller.set_upstreams([upstream("u2"), upstream("u1", born=2)])
        self.assertEqual(self.controller.step(), [])
        self.assertEqual(self.end(1, AttemptOutcome.UNKNOWN), [])

    def test_excluded_upstreams_are_avoided_and_the_own_zone_preferred(self) -> None:
        # A retry would go to the upstream that has just refused it.
        near, far = upstream("u1", "zone-a"), upstream("u2", "zone-b")
        self.controller.set_upstreams([far, near])
        self.controller.submit(self.request(1))
        self.controller.submit(self.request(2, excluded=frozenset({"u1"})))
        self.controller.submit(self.request(3, excluded=frozenset({"u1", "u2"})))
        chosen = {
            decision.request.key[1]: decision.upstream_id
            for decision in self.controller.step()
            if isinstance(decision, Admitted)
        }
        self.assertEqual((chosen[1], chosen[2]), ("u1", "u2"))
        self.assertEqual(len(chosen), 3)

    def test_contention_ends_after_three_calm_seconds(self) -> None:
        # Instances would ask the leader for each request for ever.
        self.submit(1, 2, 3)
        for number in (1, 2, 3):
            self.end(number)
        self.after(2.9 * SECOND)
        self.assertFalse(self.controller.idle)
        self.after(2 * SECOND)
        self.assertTrue(self.controller.idle)


class ControllerPropertyTests(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 2**32))
    def test_each_request_gets_one_decision_and_limits_hold(self, seed: int) -> None:
        # A request without a decision is held; one with two may run twice.
        source = random.Random(seed)
        clock = ManualClock(10 * SECOND)
        controller = AdmissionController(
            "s", lambda name: 1.0, clock, Metrics(), logs.get("control")
        )
        controller.set_upstreams([upstream("u1"), upstream("u2")])
        submitted: set[RequestKey] = set()
        cancelled: set[RequestKey] = set()
        running: list[RequestKey] = []
        decided: Counter[RequestKey] = Counter()

        def step() -> None:
            for decision in controller.step():
                decided[decision.request.key] += 1
                if isinstance(decision, Admitted):
                    running.append(decision.request.key)
                    load = controller._loads._by_id[decision.upstream_id]
                    self.assertLessEqual(load.in_flight + load.held, load.places)

        for number in range(200):
            now, key = clock.monotonic(), (f"node-{number % 3}", number)
            customer = source.choice("abc")
            controller.submit(
                AdmissionRequest(
                    key, f"f{number % 50}", customer, 0, now + TARGET, now + DEADLINE
                )
            )
            submitted.add(key)
            step()
            if running and source.random() < 0.8:
                ended = running.pop(source.randrange(len(running)))
                outcome = source.choice(list(AttemptOutcome))
                controller.ended(ended, outcome, WORK)
            if source.random() < 0.1:
                gone = source.choice(sorted(submitted))
                controller.cancel(gone)
                cancelled.add(gone)
            clock.advance(source.uniform(0, 20) * MILLISECOND)
        while (at := controller.next_step_at()) is not None:
            clock.advance(max(at - clock.monotonic(), ZERO))
            step()
        self.assertTrue(submitted - cancelled <= set(decided))
        self.assertLessEqual(max(decided.values()), 1)


if __name__ == "__main__":
    unittest.main()
