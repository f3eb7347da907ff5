"""Requests to contended services: asking the leader, waiting, and reporting the end."""

import random
import unittest
from collections.abc import Generator
from datetime import timedelta
from typing import Any

from structlog.testing import capture_logs

from ashhoist.clock import ManualClock
from ashhoist.customers import Customer
from ashhoist.failures import Reason
from ashhoist.http import Request
from ashhoist.loop import Wait
from ashhoist.metrics import Metrics
from ashhoist.overload import AttemptOutcome
from ashhoist.overload.sends import (
    SendAnswer,
    SendCancelled,
    SendEnded,
    SendGranted,
    SendQuery,
    SendRefused,
    ServiceOverloaded,
)
from ashhoist.placement.messages import Refusal, RequestOutcome, Target
from ashhoist.requests.admission_gate import (
    ADMISSION_TIMEOUT,
    LATE_DECISION_TIMEOUT,
    AdmissionGate,
)
from ashhoist.requests.authentication import Identity
from ashhoist.requests.call import Call
from ashhoist.requests.choosers import PlainChooser
from ashhoist.requests.results import CallerLeft, OutOfTime
from ashhoist.requests.retries import MAX_REFUSED_SENDS
from ashhoist.requests.room_check import RoomCheck
from ashhoist.requests.send_permits import SendPermits
from ashhoist.routing import Route, RouteKind
from ashhoist.upstreams import (
    Backoffs,
    Balancer,
    Directory,
    Health,
    Permit,
    PermitRequest,
    RateLimits,
    RejectionLimits,
    StatedLimit,
    Upstream,
)

from .platform_stand_ins.server import Call as UpstreamCall
from .request_harness import response_headers
from .request_scripts import RequestTestCase, good, refuse

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
SERVICE = "service"
CALLER_FD = 99


class WatchedCaller:
    """A caller whose connection is watched while its request waits."""

    watched = CALLER_FD

    def __init__(self) -> None:
        self.has_left = False

    def left(self) -> bool:
        return self.has_left


class GateTests(unittest.TestCase):
    """Two plain upstreams; the test answers in place of the leader."""

    def setUp(self) -> None:
        self.clock = ManualClock(10 * SECOND)
        self.directory = Directory()
        for name in ("one", "two"):
            upstream = Upstream(name, SERVICE, f"{name}:1", "zone", offset=1)
            self.directory.put(upstream)
        self.limits = RateLimits(self.directory.incarnation_of)
        self.backoffs = Backoffs(self.directory.incarnation_of, self.clock)
        self.health = Health(self.clock)
        self.balancer = Balancer("zone", self.health, self.backoffs, random.Random(1))
        self.contended = True
        self.sent: list[Any] = []
        self.permit: Permit | None = Permit(True)
        self.metrics = Metrics()
        self.gate = AdmissionGate(
            lambda service: self.contended and service == SERVICE,
            self.sent.append,
            self.clock,
            self.metrics,
        )
        permits = SendPermits(self.limits, self._grant_permit, self.clock)
        self.rejections = RejectionLimits(self.clock)
        room_check = RoomCheck(self.rejections, self.balancer, lambda: self.instances)
        self.instances = 1
        self.chooser = PlainChooser(
            self.directory, self.balancer, permits, room_check, self.gate
        )
        self.caller = WatchedCaller()
        self.result: Any = None

    def _grant_permit(self, message: Any) -> None:
        assert isinstance(message, PermitRequest)
        if self.permit is not None:
            message.answer.set_result(self.permit)

    def call(self, service: str = SERVICE) -> Call:
        now = self.clock.monotonic()
        route = Route(
            "r", "host", "/", RouteKind.SAFE, (), 5 * SECOND, SECOND, priority=2
        )
        request = Request("POST", "/", [], b"", now)
        identity = Identity(Customer("customer", frozenset()))
        return Call(
            "id",
            request,
            route,
            service,
            now + 3 * SECOND,
            fingerprint="print",
            identity=identity,
        )

    def begin(self, call: Call) -> Generator[Any, Any, Any]:
        """Begin to choose an upstream; the call waits for the leader then."""
        steps = self.chooser.choose(call, self.caller)
        self.assertIsInstance(next(steps), Wait)
        return steps

    def go_on(
        self, steps: Generator[Any, Any, Any], ready: int | None = None
    ) -> Wait | None:
        """Wake a call; return what it waits for, or None if it has its choice."""
        try:
            return steps.send(ready)
        except StopIteration as stop:
            self.result = stop.value
            return None

    def answered(self, call: Call, answer: SendAnswer) -> Any:
        """Return the choice for a call that the leader gives this answer."""
        steps = self.begin(call)
        self.query.answer.set_result(answer)
        self.assertIsNone(self.go_on(steps))
        return self.result

    @property
    def query(self) -> SendQuery:
        """Return the last query."""
        return [one for one in self.sent if isinstance(one, SendQuery)][-1]

    def test_without_contention_no_message_is_sent_and_nothing_waits(self) -> None:
        # Guards against a cost of admission on calm days.
        self.contended = False
        call = self.call()
        with self.assertRaises(StopIteration) as stop:
            next(self.chooser.choose(call, self.caller))
        target = stop.exception.value
        self.assertIsInstance(target, Target)
        self.chooser.on_attempt_ended(
            call, target, RequestOutcome.SUCCEEDED, AttemptOutcome.SUCCEEDED
        )
        self.assertEqual(self.sent, [])
        self.assertEqual(call.admission_wait, timedelta())

    def test_the_query_has_what_the_leader_decides_by(self) -> None:
        # Guards against decisions by wrong times, customers or priorities.
        call = self.call()
        call.tried.add("two")
        now = self.clock.monotonic()
        self.begin(call)
        query = self.query
        self.assertEqual((query.service, query.fingerprint), (SERVICE, "print"))
        self.assertEqual((query.customer, query.priority), ("customer", 2))
        self.assertEqual(query.on_time_until, now + SECOND)
        self.assertEqual(query.deadline, now + 3 * SECOND)
        self.assertEqual(query.excluded, {"two"})

    def test_a_request_is_sent_to_the_granted_upstream(self) -> None:
        # Guards against a choice of the instance's own beside the leader's.
        for name in ("one", "two"):
            target = self.answered(self.call(), SendGranted(name))
            self.assertEqual(target, Target(name, f"{name}:1"))
            self.assertEqual(self.balancer.in_flight(name), 1)

    def test_a_refusal_names_when_to_come_back(self) -> None:
        # Guards against callers that come back before their reservation.
        refusal = self.answered(self.call(), SendRefused(0.3 * SECOND))
        self.assertEqual(refusal, Refusal(Reason.OVERLOADED, 0.3 * SECOND))

    def test_without_an_answer_no_upstream_is_filled_that_must_not_reject(self) -> None:
        # Guards against instances that each fill an upstream while the leader is lost.
        self.rejections.set(SERVICE, 8.0)
        self.instances = 3
        refusal = self.answered(self.call(), None)
        self.assertEqual(refusal, Refusal(Reason.OVERLOADED, SECOND))

    def test_without_contention_upstreams_that_must_not_reject_are_used(self) -> None:
        # Guards against refusals before the leader has begun to admit requests.
        self.contended = False
        self.rejections.set(SERVICE, 8.0)
        self.instances = 3
        with self.assertRaises(StopIteration) as stop:
            next(self.chooser.choose(self.call(), self.caller))
        self.assertIsInstance(stop.exception.value, Target)

    def test_without_an_answer_a_request_is_sent_as_before(self) -> None:
        # Guards against requests that wait for a leader that can't be reached.
        call = self.call()
        steps = self.begin(call)
        number = self.query.number
        self.clock.advance(ADMISSION_TIMEOUT - MILLISECOND)
        self.assertIsNotNone(self.go_on(steps))
        self.clock.advance(MILLISECOND)
        self.assertIsNone(self.go_on(steps))
        self.assertIsInstance(self.result, Target)
        self.assertEqual(self.sent[-1], SendCancelled(number))
        self.assertEqual(call.admission_wait, ADMISSION_TIMEOUT)
        self.assertEqual(self.metrics.total("undecided_sends"), 1)

    def test_without_a_leader_a_request_is_sent_at_once(self) -> None:
        # Guards against a wait while nobody leads.
        self.assertIsInstance(self.answered(self.call(), None), Target)
        self.assertEqual(len(self.sent), 1)

    def test_an_acknowledged_request_waits_to_the_end_of_its_target(self) -> None:
        # Guards against a queued request that is sent past the leader, and against
        # one that waits for ever for a decision.
        steps = self.begin(self.call())
        self.query.acknowledged.set_result(None)
        self.clock.advance(ADMISSION_TIMEOUT)
        self.assertIsNotNone(self.go_on(steps))
        self.clock.advance(SECOND - ADMISSION_TIMEOUT - MILLISECOND)
        self.assertIsNotNone(self.go_on(steps))
        self.clock.advance(MILLISECOND)
        self.assertIsNone(self.go_on(steps))
        self.assertIsInstance(self.result, Target)
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))

    def test_a_late_request_waits_for_its_decision_too(self) -> None:
        # Guards against reservations of late callers that are sent past the leader.
        call = self.call()
        self.clock.advance(2 * SECOND)
        steps = self.begin(call)
        self.query.acknowledged.set_result(None)
        self.clock.advance(LATE_DECISION_TIMEOUT - MILLISECOND)
        self.assertIsNotNone(self.go_on(steps))
        self.query.answer.set_result(SendGranted("one"))
        self.assertIsNone(self.go_on(steps))
        self.assertEqual(self.result.upstream, "one")

    def test_a_request_is_withdrawn_when_its_caller_leaves(self) -> None:
        # Guards against places in the queue for callers that have left.
        steps = self.begin(self.call())
        self.caller.has_left = True
        self.assertIsNone(self.go_on(steps, CALLER_FD))
        self.assertIsInstance(self.result, CallerLeft)
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))

    def test_a_grant_is_given_back_if_the_caller_leaves_at_that_moment(self) -> None:
        # Guards against a slot lost between the grant and the send.
        call = self.call()
        steps = self.begin(call)
        self.query.answer.set_result(SendGranted("one"))
        self.caller.has_left = True
        self.assertIsNone(self.go_on(steps, CALLER_FD))
        self.assertIsInstance(self.result, CallerLeft)
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))
        self.assertEqual(call.grant_number, 0)

    def test_a_request_that_is_broken_off_is_withdrawn(self) -> None:
        # Guards against a queue with requests of an instance that stops.
        steps = self.begin(self.call())
        steps.close()
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))

    def test_a_grant_is_given_back_if_the_request_is_broken_off(self) -> None:
        # Guards against a slot that is held until the deadline of a request that ended
        # between its grant and its send.
        steps = self.begin(self.call())
        self.query.answer.set_result(SendGranted("one"))
        steps.close()
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))

    def test_a_grant_is_given_back_if_the_wait_for_a_permit_is_broken_off(self) -> None:
        # Guards against a slot that is held while nobody waits for its permit.
        self.limits.take(StatedLimit("one", 1.0, SECOND, SECOND))
        self.permit = None
        steps = self.begin(self.call())
        self.query.answer.set_result(SendGranted("one"))
        self.assertIsNotNone(self.go_on(steps))
        steps.close()
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))

    def test_a_request_is_not_sent_after_its_deadline(self) -> None:
        # Guards against a request that runs after its caller has given up, and against
        # an upstream that counts as unreachable as there is no time left to connect.
        call = self.call()
        steps = self.begin(call)
        self.query.acknowledged.set_result(None)
        self.clock.advance(ADMISSION_TIMEOUT)
        self.assertIsNotNone(self.go_on(steps))
        self.clock.advance(call.deadline - self.clock.monotonic())
        self.assertIsNone(self.go_on(steps))
        self.assertIsInstance(self.result, OutOfTime)
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))
        self.assertEqual(self.balancer.in_flight("one"), 0)
        self.assertEqual(self.balancer.in_flight("two"), 0)

    def test_a_grant_for_an_upstream_that_was_excluded_is_given_back(self) -> None:
        # Guards against a request that is granted the same upstream again and again,
        # and against a second send to an upstream that has refused it: the leader
        # grants an excluded one if it knows no other.
        call = self.call()
        call.tried.add("one")
        target = self.answered(call, SendGranted("one"))
        self.assertEqual(target.upstream, "two")
        self.assertIn(SendCancelled(self.query.number), self.sent)
        self.assertFalse(self.chooser.is_admitted_by_leader(call))

    def test_a_grant_that_is_not_used_is_given_back(self) -> None:
        # Guards against slots lost to requests that are refused before the send.
        call = self.call()
        target = self.answered(call, SendGranted("one"))
        self.chooser.on_attempt_ended(call, target, RequestOutcome.UNKNOWN, None)
        self.assertEqual(self.sent[-1], SendCancelled(self.query.number))
        self.assertEqual(self.balancer.in_flight("one"), 0)

    def test_the_end_of_a_granted_send_is_reported(self) -> None:
        # Guards against slots that stay taken, and against wrong service times.
        for outcome in AttemptOutcome:
            call = self.call()
            target = self.answered(call, SendGranted("one"))
            call.sent_at = self.clock.monotonic()
            self.clock.advance(60 * MILLISECOND)
            self.chooser.on_attempt_ended(call, target, RequestOutcome.UNKNOWN, outcome)
            ended = SendEnded(self.query.number, outcome, 60 * MILLISECOND)
            self.assertEqual(self.sent[-1], ended)

    def test_a_refusal_without_a_grant_is_reported_as_overload(self) -> None:
        # Guards against a service that never becomes contended.
        self.contended = False
        call, target = self.call(), Target("one", "one:1")
        for outcome in AttemptOutcome:
            self.balancer.begin("one")
            self.chooser.on_attempt_ended(call, target, RequestOutcome.UNKNOWN, outcome)
        self.assertEqual(self.sent, [ServiceOverloaded(SERVICE)])

    def test_without_an_upstream_to_send_to_the_leader_is_not_asked(self) -> None:
        # Guards against a wait whose end can only be a refusal.
        call = self.call()
        call.tried.update(("one", "two"))
        with self.assertRaises(StopIteration) as stop:
            next(self.chooser.choose(call, self.caller))
        self.assertEqual(stop.exception.value, Refusal(Reason.NO_UPSTREAM))
        self.assertEqual(self.sent, [])

    def test_the_leader_does_not_grant_an_upstream_that_backs_off_here(self) -> None:
        # Guards against grants that are given back again and again.
        self.backoffs.begin("one", self.directory.incarnation_of("one"), SECOND)
        self.begin(self.call())
        self.assertEqual(self.query.excluded, {"one"})

    def test_the_leader_does_not_grant_an_upstream_that_is_unreachable_here(
        self,
    ) -> None:
        # Guards against requests that wait for connections to an upstream that only
        # other instances reach.
        self.health.failed("one", unreachable=True)
        self.begin(self.call())
        self.assertEqual(self.query.excluded, {"one"})
        self.health.failed("two", unreachable=True)
        self.begin(self.call())
        self.assertEqual(self.query.excluded, frozenset())

    def test_a_granted_upstream_with_a_limit_needs_a_permit_too(self) -> None:
        # Guards against sends beyond a limit that an upstream has stated.
        self.limits.take(StatedLimit("one", 1.0, SECOND, SECOND))
        target = self.answered(self.call(), SendGranted("one"))
        self.assertEqual(target, Target("one", "one:1", permitted=True))

    def test_a_grant_without_a_permit_is_given_back_and_another_sought(self) -> None:
        # Guards against a slot that is held while the limit closes its upstream.
        self.limits.take(StatedLimit("one", 1.0, SECOND, SECOND))
        self.permit = Permit(False, SECOND)
        steps = self.begin(self.call())
        first = self.query
        first.answer.set_result(SendGranted("one"))
        self.assertIsNotNone(self.go_on(steps))
        self.assertIn(SendCancelled(first.number), self.sent)
        self.assertEqual(self.query.excluded, {"one"})
        self.query.answer.set_result(SendGranted("two"))
        self.assertIsNone(self.go_on(steps))
        self.assertEqual(self.result.upstream, "two")

    def test_retries_are_the_leaders_only_if_it_decides(self) -> None:
        # Guards against retries without a bound while the leader is silent.
        call = self.call()
        self.answered(call, SendGranted("one"))
        self.assertTrue(self.chooser.is_admitted_by_leader(call))
        self.answered(call, None)
        self.assertFalse(self.chooser.is_admitted_by_leader(call))
        self.answered(call, SendGranted("one"))
        self.contended = False
        self.assertFalse(self.chooser.is_admitted_by_leader(call))


BUDGET_OF_FOUR = 5
"""An allowance of which the safety margin leaves four retries."""


class RetryBudgetTests(RequestTestCase):
    """Requests over the network, refused by full upstreams."""

    def test_refused_sends_spend_the_budget_though_the_leader_admits(self) -> None:
        # Guards against retries beyond the budget of all instances.
        harness = self.start(refuse, good, extra=0)
        harness.chooser.admits = True
        self.assertEqual(harness.ask("/unsafe/").status, 503)
        self.assertEqual(harness.calls(1), [])

    def test_refused_sends_leave_a_part_of_the_budget_to_failures(self) -> None:
        # Guards against a budget that overload uses up and failures then lack.
        harness = self.start(refuse, good, extra=BUDGET_OF_FOUR)
        harness.chooser.admits = True
        answers = [
            harness.ask("/unsafe/", id=f"{number}").status for number in range(6)
        ]
        self.assertEqual(answers, [200] * 3 + [503] * 3)

        def fail(call: UpstreamCall) -> None:
            call.respond(500, b"", response_headers(call))

        harness.upstreams["upstream-0"].handler = fail
        self.assertEqual(harness.ask("/safe/").status, 200)

    def test_without_contention_refused_sends_spend_the_budget(self) -> None:
        # Guards against retries beyond the budget on services that are not contended.
        harness = self.start(refuse, good, extra=0)
        self.assertEqual(harness.ask("/unsafe/").status, 503)
        self.assertEqual(harness.calls(1), [])

    def test_a_request_is_refused_by_so_many_upstreams_at_most(self) -> None:
        # Guards against a request that goes round all upstreams for free.
        harness = self.start(*[refuse] * (MAX_REFUSED_SENDS + 3))
        harness.chooser.admits = True
        self.assertEqual(harness.ask("/safe/").status, 503)
        sends = [outcome for outcome in harness.chooser.outcomes if outcome]
        self.assertEqual(len(sends), MAX_REFUSED_SENDS + 1)

    def test_a_failure_spends_the_budget_though_the_leader_admits(self) -> None:
        # Guards against failures that are retried without a bound.
        harness = self.start(
            lambda call: call.respond(500, b"", response_headers(call)), good, extra=0
        )
        harness.chooser.admits = True
        self.assertEqual(harness.ask("/safe/").status, 500)
        self.assertEqual(harness.chooser.outcomes, [AttemptOutcome.FAILED])

    def test_a_refusal_by_the_leader_gets_503_with_the_time_to_wait(self) -> None:
        # Guards against callers that don't know when their reservation is due.
        harness = self.start(good)
        harness.chooser.refusal = Refusal(Reason.OVERLOADED, 0.42 * SECOND)
        with capture_logs() as lines:
            answer = harness.ask("/unsafe/", id="refused-one")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["retry-after"], "0.420")
        self.assertEqual(answer.body, b"overloaded\n")
        self.assertEqual(harness.calls(), [])
        [line] = [line for line in lines if line["event"] == "request refused"]
        self.assertEqual(line["request"], "refused-one")
        self.assertEqual((line["customer"], line["retry_after_ms"]), ("", 420))

    def test_the_answer_of_an_upstream_remains_if_its_retry_is_refused(self) -> None:
        # Guards against a caller that is told to come back, as if its request had not
        # run, though an upstream has run it and answered.
        def fail(call: UpstreamCall) -> None:
            harness.chooser.refusal = Refusal(Reason.OVERLOADED, SECOND)
            call.respond(500, b"broken", response_headers(call))

        harness = self.start(fail)
        answer = harness.ask("/safe/")
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
        self.assertNotIn("retry-after", answer.headers)

    def test_a_request_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        # Guards against a second run by a caller that was told it has not run.
        def lose(call: UpstreamCall) -> None:
            harness.chooser.refusal = Refusal(Reason.OVERLOADED, SECOND)
            call.reset()

        harness = self.start(lose)
        self.assertEqual(harness.ask("/safe/").status, 502)


if __name__ == "__main__":
    unittest.main()
