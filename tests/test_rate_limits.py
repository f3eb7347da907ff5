"""Rate limits announced by upstreams.

How they are parsed, which one applies, how instances learn of them, and how permits are
granted.
"""

import random
import unittest
from datetime import timedelta
from typing import Any

from ashhoist.clock import ManualClock
from ashhoist.control.permits import MIN_RATE
from ashhoist.failures import Reason
from ashhoist.http import Head, Request
from ashhoist.placement.messages import Refusal, Target
from ashhoist.requests import HeaderNames
from ashhoist.requests.call import Call
from ashhoist.requests.choosers import PlainChooser
from ashhoist.requests.notices import MAX_LIMIT, UnreadableLimit, announced_limit
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

from .control_world import World
from .loops import finish
from .platform_stand_ins.server import Call as UpstreamCall
from .request_harness import (
    HEADER_NAMES as HARNESS_HEADER_NAMES,
    NEVER_SILENT,
    response_headers,
)
from .request_scripts import ConnectedCaller, RequestTestCase, good

SECOND = timedelta(seconds=1)
HEADER_NAMES = HeaderNames()
ENGINE = "engine-0"
PROPAGATION_TIME = 1.5
MANY = 24


def head(*texts: str, status: int = 200) -> Head:
    pairs = [(HEADER_NAMES.limit, text) for text in texts]
    return Head(status, pairs, {name.lower(): text for name, text in pairs})


class LimitHeaderTests(unittest.TestCase):
    def test_a_decimal_number_is_the_limit(self) -> None:
        for text, limit in (("1.2", 1.2), ("3", 3.0), ("0", 0.0), ("0.05", 0.05)):
            self.assertEqual(announced_limit(HEADER_NAMES, head(text)), limit)
            self.assertEqual(
                announced_limit(HEADER_NAMES, head(text, status=503)), limit
            )

    def test_a_huge_limit_is_reduced(self) -> None:
        self.assertEqual(announced_limit(HEADER_NAMES, head("9" * 400)), MAX_LIMIT)

    def test_the_smallest_of_several_limits_applies(self) -> None:
        self.assertEqual(announced_limit(HEADER_NAMES, head("3", "1.5")), 1.5)
        self.assertEqual(announced_limit(HEADER_NAMES, head("1.5, 3")), 1.5)

    def test_other_values_are_reported_as_unreadable(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e3", "few", "1,5.", "0x2"):
            self.assertIsInstance(
                announced_limit(HEADER_NAMES, head(text)), UnreadableLimit
            )
        self.assertIsInstance(
            announced_limit(HEADER_NAMES, head("1", "-1")), UnreadableLimit
        )

    def test_no_limit_without_the_header_or_from_another_upstream(self) -> None:
        self.assertIsNone(announced_limit(HEADER_NAMES, head()))
        self.assertIsNone(announced_limit(HEADER_NAMES, head("1", status=421)))


def limit_notice(
    rate: float | None, asked_at: float, heard_at: float, incarnation: str = "e"
) -> StatedLimit:
    return StatedLimit(incarnation, rate, asked_at * SECOND, heard_at * SECOND)


class RateLimitsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.incarnation = "e"
        self.limits = RateLimits(lambda _: self.incarnation)
        self.limits.take(limit_notice(2.0, 1.0, 2.0))

    def test_a_later_response_replaces_the_limit(self) -> None:
        self.assertTrue(self.limits.take(limit_notice(5.0, 2.0, 2.1)))
        self.assertEqual(self.limits.of("e"), 5.0)

    def test_a_later_response_without_a_limit_lifts_it(self) -> None:
        self.assertTrue(self.limits.take(limit_notice(None, 2.5, 2.6)))
        self.assertIsNone(self.limits.of("e"))
        self.assertTrue(self.limits.take(limit_notice(2.0, 3.0, 3.1)))
        self.assertEqual(self.limits.of("e"), 2.0)

    def test_an_overtaken_response_is_ignored(self) -> None:
        self.assertFalse(self.limits.take(limit_notice(0.5, 0.5, 0.9)))
        self.assertFalse(self.limits.take(limit_notice(None, 0.5, 0.9)))
        self.assertEqual(self.limits.of("e"), 2.0)

    def test_of_concurrent_responses_the_lower_limit_applies(self) -> None:
        self.assertFalse(self.limits.take(limit_notice(None, 1.5, 2.5)))
        self.assertFalse(self.limits.take(limit_notice(5.0, 1.5, 2.5)))
        self.assertEqual(self.limits.of("e"), 2.0)
        self.assertTrue(self.limits.take(limit_notice(0.5, 1.5, 2.5)))
        self.assertEqual(self.limits.of("e"), 0.5)

    def test_an_unchanged_limit_is_not_a_change(self) -> None:
        self.assertFalse(self.limits.take(limit_notice(2.0, 3.0, 4.0)))

    def test_a_new_incarnation_has_no_limit(self) -> None:
        self.incarnation = "e@2"
        self.assertIsNone(self.limits.of("e"))
        self.limits.take(limit_notice(7.0, 1.0, 9.0))
        self.assertIsNone(self.limits.of("e"))

    def test_an_upstream_that_never_had_a_limit_is_not_stored(self) -> None:
        self.assertFalse(self.limits.take(limit_notice(None, 1.0, 2.0, "other")))
        self.assertFalse(self.limits.knows("other"))


class ChooserTests(unittest.TestCase):
    """Two plain upstreams, the first of them limited; the test grants permits."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        directory = Directory()
        for name in ("one", "two"):
            directory.put(Upstream(name, "s", f"{name}:1", "zone", offset=1))
        self.limits = RateLimits(directory.incarnation_of)
        self.limits.take(limit_notice(1.0, 1.0, 1.0, "one"))
        self.asked: list[str] = []
        self.permit = Permit(False, SECOND)
        health = Health(self.clock)
        backoffs = Backoffs(directory.incarnation_of, self.clock)
        balancer = Balancer("zone", health, backoffs, random.Random(1))
        rejections = RejectionLimits(self.clock)
        self.chooser = PlainChooser(
            directory,
            balancer,
            SendPermits(self.limits, self._answer, self.clock),
            RoomCheck(rejections, balancer, lambda: 1),
        )

    def _answer(self, message: Any) -> None:
        assert isinstance(message, PermitRequest)
        self.asked.append(message.upstream_id)
        message.answer.set_result(self.permit)

    def choose(self, *tried: str, sends: int = 0) -> Any:
        call = self.call(*tried, sends=sends)
        return finish(self.chooser.choose(call, ConnectedCaller()))

    def call(self, *tried: str, sends: int = 0) -> Call:
        now = self.clock.monotonic()
        route = Route("r", "host", "/", RouteKind.SAFE, (), 5 * SECOND, SECOND)
        request = Request("POST", "/", [], b"", now)
        call = Call("id", request, route, "s", now + 5 * SECOND, sends=sends)
        call.tried.update(tried)
        return call

    def test_a_silent_upstream_is_kept_while_a_limit_closes_the_other(self) -> None:
        # Guards against 502 for a request whose only upstream is merely slow.
        self.assertTrue(self.chooser.has_alternative(self.call("two")))
        self.choose("two")
        self.assertFalse(self.chooser.has_alternative(self.call("two")))
        self.assertTrue(self.chooser.has_alternative(self.call("one")))
        self.clock.advance(SECOND)
        self.assertTrue(self.chooser.has_alternative(self.call("two")))

    def test_after_a_refused_permit_the_other_upstream_is_used(
        self,
    ) -> None:
        for _ in range(MANY):
            self.assertEqual(self.choose().upstream, "two")
        self.assertEqual(self.asked, ["one"])
        self.clock.advance(SECOND)
        self.choose("two")
        self.assertEqual(self.asked, ["one", "one"])

    def test_a_granted_permit_is_used(self) -> None:
        self.permit = Permit(True)
        target = self.choose("two")
        assert isinstance(target, Target)
        self.assertEqual((target.upstream, target.permitted), ("one", True))

    def test_with_no_upstream_left_it_is_refused_with_a_retry_delay(self) -> None:
        refusal = self.choose("two")
        self.assertEqual(refusal, Refusal(Reason.UPSTREAMS_LIMITED, SECOND))

    def test_retries_leave_permits_to_first_sends(self) -> None:
        self.permit = Permit(True)
        for _ in range(MANY):
            self.assertEqual(self.choose(sends=1).upstream, "two")
        self.assertEqual(self.choose("two", sends=1).upstream, "one")


class ServingTests(RequestTestCase):
    """The chooser here ignores limits, like a leader that placed requests earlier."""

    def test_a_placement_made_before_the_limit_was_known_is_rejected(
        self,
    ) -> None:
        def limited(call: UpstreamCall) -> None:
            call.respond(
                200, b"ok", response_headers(call, **{HARNESS_HEADER_NAMES.limit: "1"})
            )

        harness = self.start(limited, good, **NEVER_SILENT)
        self.assertEqual(harness.ask("/safe/", id="first").status, 200)
        [named_limit] = [
            m for m in harness.control_messages if isinstance(m, StatedLimit)
        ]
        harness.limits.take(named_limit)
        for number in range(MANY):
            self.assertEqual(harness.ask("/safe/", id=f"id-{number}").status, 200)
        self.assertEqual(len(harness.calls(0)), 1)
        self.assertEqual(len(harness.calls(1)), MANY)


class WorldTests(unittest.TestCase):
    """Several instances on one clock; the leader grants permits."""

    def start(self, machines: int = 3, zones: int = 1) -> World:
        world = World(machines, 2, zones=zones)
        world.start()
        self.assertTrue(world.run(10.0, lambda: len(world.leaders()) == 1))
        world.run(PROPAGATION_TIME)
        return world

    def announce_limit(self, world: World, name: str, rate: float | None) -> None:
        """Let an instance receive a response that announces this engine limit."""
        core = world.machines[name].core
        assert core is not None
        now = world.clock.monotonic()
        core.limit_notices.noticed(StatedLimit(ENGINE, rate, now, now))

    def count_granted(self, world: World, seconds: float, *names: str) -> int:
        """Request permits in turn at these instances; return how many are granted."""
        total = 0
        until = world.now + seconds
        while world.now < until:
            answers = [self._ask(world, name).answer for name in names]
            world.run(0.05)
            total += sum(one.done() and one.result().granted for one in answers)
        return total

    def _ask(self, world: World, name: str) -> PermitRequest:
        core = world.machines[name].core
        assert core is not None
        wanted = PermitRequest(ENGINE)
        core.permits.ask(wanted)
        return wanted

    def known_limits(self, world: World) -> set[float | None]:
        return {machine.limits.of(ENGINE) for machine in world.machines.values()}

    def test_all_instances_learn_of_a_limit_and_of_its_end(self) -> None:
        for machines, zones in ((3, 1), (MANY, 3)):
            with self.subTest(machines):
                world = self.start(machines, zones)
                self.announce_limit(world, f"instance-{machines - 1}", 1.5)
                world.run(PROPAGATION_TIME)
                self.assertEqual(self.known_limits(world), {1.5})
                self.announce_limit(world, "instance-0", None)
                world.run(PROPAGATION_TIME)
                self.assertEqual(self.known_limits(world), {None})

    def test_a_starting_instance_learns_of_limits_before_it_is_ready(self) -> None:
        world = self.start()
        self.announce_limit(world, "instance-0", 1.5)
        world.kill("instance-2")
        world.run(PROPAGATION_TIME)
        world.start("instance-2")
        machine = world.machines["instance-2"]
        self.assertTrue(
            world.run(
                PROPAGATION_TIME,
                lambda: machine.core is not None and machine.core.ready,
            )
        )
        self.assertEqual(machine.limits.of(ENGINE), 1.5)

    def test_all_instances_together_get_the_full_limit_and_no_more(self) -> None:
        world = self.start()
        self.announce_limit(world, "instance-0", 2.0)
        world.run(PROPAGATION_TIME)
        granted = self.count_granted(world, 10.0, *world.machines)
        self.assertGreaterEqual(granted, 18)
        self.assertLessEqual(granted, 22)

    def test_an_upstream_with_limit_zero_is_probed_occasionally(
        self,
    ) -> None:
        world = self.start()
        self.announce_limit(world, "instance-0", 0.0)
        world.run(PROPAGATION_TIME)
        granted = self.count_granted(world, 3 / MIN_RATE, *world.machines)
        self.assertGreaterEqual(granted, 2)
        self.assertLessEqual(granted, 4)

    def test_both_sides_of_a_partition_together_keep_the_limit(self) -> None:
        world = self.start(6, 2)
        self.announce_limit(world, "instance-0", 4.0)
        world.run(PROPAGATION_TIME)
        world.links.cut_zones.add("zone-1")
        self.assertTrue(world.run(20.0, lambda: len(world.leaders()) == 2))
        world.run(PROPAGATION_TIME)
        granted = self.count_granted(world, 10.0, *world.machines)
        self.assertGreaterEqual(granted, 34)
        self.assertLessEqual(granted, 46)

    def test_many_isolated_leaders_together_grant_only_a_few(self) -> None:
        world = self.start(MANY, 3)
        self.announce_limit(world, "instance-0", 0.5)
        world.run(PROPAGATION_TIME)
        for machine in world.machines.values():
            machine.links_cut = True
        self.assertTrue(world.run(30.0, lambda: len(world.leaders()) == MANY))
        self.assertLessEqual(
            self.count_granted(world, 4.0, *world.machines), 4 * 0.5 + 5
        )

    def test_a_new_leader_starts_without_permits_and_recovers(self) -> None:
        world = self.start()
        self.announce_limit(world, "instance-0", 4.0)
        world.run(PROPAGATION_TIME)
        [leader] = world.leaders()
        others = [name for name in world.machines if name != leader]
        world.kill(leader)
        granted = self.count_granted(world, 4.0, *others)
        self.assertLessEqual(granted, 16)
        # No instance has taken over the share of the killed leader.
        self.assertGreaterEqual(self.count_granted(world, 6.0, *others), 14)

    def test_without_a_leader_nothing_is_granted(self) -> None:
        world = self.start()
        self.announce_limit(world, "instance-0", 4.0)
        core = world.machines["instance-0"].core
        assert core is not None
        core.permits.follow(None)
        answer = self._ask(world, "instance-0").answer
        self.assertFalse(answer.result().granted)
        self.assertGreater(answer.result().wait, timedelta())


if __name__ == "__main__":
    unittest.main()
