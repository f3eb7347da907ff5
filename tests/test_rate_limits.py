"""Limits that upstreams name: their form, which one counts, who is told, who grants."""

import random
import unittest
from datetime import timedelta
from typing import Any

from ashhoist.clock import ManualClock
from ashhoist.control.permits import LEAST_RATE
from ashhoist.failures import Reason
from ashhoist.http import Head, Request
from ashhoist.placement.asks import Refusal, Target
from ashhoist.requests import Dialect
from ashhoist.requests.call import Call
from ashhoist.requests.choosers import PlainChooser
from ashhoist.requests.limited_sends import LimitedSends
from ashhoist.requests.notices import HIGHEST_LIMIT, UnreadableLimit, limit_named
from ashhoist.routing import Route, RouteKind
from ashhoist.upstreams import (
    Balancer,
    Directory,
    Health,
    NamedLimit,
    Permit,
    PermitWanted,
    RateLimits,
    Rests,
    Upstream,
)

from .control_world import World
from .loops import finish
from .platform_stand_ins.server import Call as UpstreamCall
from .request_harness import DIALECT as HARNESS_DIALECT, sealed
from .request_scripts import RequestTestCase, StayingCaller, good

SECOND = timedelta(seconds=1)
DIALECT = Dialect()
ENGINE = "engine-0"
SOON = 1.5
MANY = 24


def head(*texts: str, status: int = 200) -> Head:
    pairs = [(DIALECT.limit, text) for text in texts]
    return Head(status, pairs, {name.lower(): text for name, text in pairs})


class FormTests(unittest.TestCase):
    def test_a_decimal_number_is_the_limit(self) -> None:
        for text, limit in (("1.2", 1.2), ("3", 3.0), ("0", 0.0), ("0.05", 0.05)):
            self.assertEqual(limit_named(DIALECT, head(text)), limit)
            self.assertEqual(limit_named(DIALECT, head(text, status=503)), limit)

    def test_a_huge_one_is_cut(self) -> None:
        self.assertEqual(limit_named(DIALECT, head("9" * 400)), HIGHEST_LIMIT)

    def test_of_several_the_smallest_counts(self) -> None:
        self.assertEqual(limit_named(DIALECT, head("3", "1.5")), 1.5)
        self.assertEqual(limit_named(DIALECT, head("1.5, 3")), 1.5)

    def test_what_is_no_decimal_number_is_told_as_such(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e3", "few", "1,5.", "0x2"):
            self.assertIsInstance(limit_named(DIALECT, head(text)), UnreadableLimit)
        self.assertIsInstance(limit_named(DIALECT, head("1", "-1")), UnreadableLimit)

    def test_an_answer_without_one_or_of_another_upstream_names_none(self) -> None:
        self.assertIsNone(limit_named(DIALECT, head()))
        self.assertIsNone(limit_named(DIALECT, head("1", status=421)))


def named(
    rate: float | None, asked: float, heard: float, life: str = "e"
) -> NamedLimit:
    return NamedLimit(life, rate, asked * SECOND, heard * SECOND)


class BeliefTests(unittest.TestCase):
    def setUp(self) -> None:
        self.life = "e"
        self.limits = RateLimits(lambda _: self.life)
        self.limits.take(named(2.0, 1.0, 2.0))

    def test_a_later_answer_counts(self) -> None:
        self.assertTrue(self.limits.take(named(5.0, 2.0, 2.1)))
        self.assertEqual(self.limits.of("e"), 5.0)

    def test_a_later_answer_without_a_limit_ends_it(self) -> None:
        self.assertTrue(self.limits.take(named(None, 2.5, 2.6)))
        self.assertIsNone(self.limits.of("e"))
        self.assertTrue(self.limits.take(named(2.0, 3.0, 3.1)))
        self.assertEqual(self.limits.of("e"), 2.0)

    def test_one_that_was_overtaken_does_not_count(self) -> None:
        self.assertFalse(self.limits.take(named(0.5, 0.5, 0.9)))
        self.assertFalse(self.limits.take(named(None, 0.5, 0.9)))
        self.assertEqual(self.limits.of("e"), 2.0)

    def test_where_nobody_can_say_which_is_later_the_lower_counts(self) -> None:
        self.assertFalse(self.limits.take(named(None, 1.5, 2.5)))
        self.assertFalse(self.limits.take(named(5.0, 1.5, 2.5)))
        self.assertEqual(self.limits.of("e"), 2.0)
        self.assertTrue(self.limits.take(named(0.5, 1.5, 2.5)))
        self.assertEqual(self.limits.of("e"), 0.5)

    def test_the_same_again_is_no_news(self) -> None:
        self.assertFalse(self.limits.take(named(2.0, 3.0, 4.0)))

    def test_a_new_life_has_named_none(self) -> None:
        self.life = "e@2"
        self.assertIsNone(self.limits.of("e"))
        self.limits.take(named(7.0, 1.0, 9.0))
        self.assertIsNone(self.limits.of("e"))

    def test_one_that_never_named_a_limit_is_not_remembered(self) -> None:
        self.assertFalse(self.limits.take(named(None, 1.0, 2.0, "other")))
        self.assertFalse(self.limits.knows("other"))


class ChooserTests(unittest.TestCase):
    """Two plain upstreams; the first is limited, and who grants is up to the test."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        directory = Directory()
        for name in ("one", "two"):
            directory.put(Upstream(name, "s", f"{name}:1", "zone", offset=1))
        self.limits = RateLimits(directory.life_of)
        self.limits.take(named(1.0, 1.0, 1.0, "one"))
        self.asked: list[str] = []
        self.permit = Permit(False, SECOND)
        health = Health(self.clock)
        rests = Rests(directory.life_of, self.clock)
        self.chooser = PlainChooser(
            directory,
            Balancer("zone", health, rests, random.Random(1)),
            LimitedSends(self.limits, self._answer, self.clock),
        )

    def _answer(self, message: Any) -> None:
        assert isinstance(message, PermitWanted)
        self.asked.append(message.upstream_id)
        message.answer.set_result(self.permit)

    def choose(self, *tried: str, sends: int = 0) -> Any:
        now = self.clock.monotonic()
        route = Route("r", "host", "/", RouteKind.SAFE, (), 5 * SECOND, SECOND)
        request = Request("POST", "/", [], b"", now)
        call = Call("id", request, route, "s", now + 5 * SECOND, sends=sends)
        call.tried.update(tried)
        return finish(self.chooser.choose(call, StayingCaller()))

    def test_what_is_refused_goes_to_the_other_and_is_not_asked_again_soon(
        self,
    ) -> None:
        for _ in range(MANY):
            self.assertEqual(self.choose().upstream, "two")
        self.assertEqual(self.asked, ["one"])
        self.clock.advance(SECOND)
        self.choose("two")
        self.assertEqual(self.asked, ["one", "one"])

    def test_what_is_granted_goes_there(self) -> None:
        self.permit = Permit(True)
        target = self.choose("two")
        assert isinstance(target, Target)
        self.assertEqual((target.upstream, target.permitted), ("one", True))

    def test_where_none_is_left_it_is_refused_with_the_time_to_come_back(self) -> None:
        refusal = self.choose("two")
        self.assertEqual(refusal, Refusal(Reason.UPSTREAMS_LIMITED, SECOND))

    def test_what_was_sent_before_leaves_the_permits_to_others(self) -> None:
        self.permit = Permit(True)
        for _ in range(MANY):
            self.assertEqual(self.choose(sends=1).upstream, "two")
        self.assertEqual(self.choose("two", sends=1).upstream, "one")


class ServingTests(RequestTestCase):
    """The chooser here knows no limits: it stands for a leader that placed before."""

    def test_a_place_that_was_granted_before_the_limit_was_heard_is_given_back(
        self,
    ) -> None:
        def limited(call: UpstreamCall) -> None:
            call.respond(200, b"ok", sealed(call, **{HARNESS_DIALECT.limit: "1"}))

        harness = self.start(limited, good)
        self.assertEqual(harness.ask("/safe/", id="first").status, 200)
        [named_limit] = [m for m in harness.charges if isinstance(m, NamedLimit)]
        harness.limits.take(named_limit)
        for number in range(MANY):
            self.assertEqual(harness.ask("/safe/", id=f"id-{number}").status, 200)
        self.assertEqual(len(harness.calls(0)), 1)
        self.assertEqual(len(harness.calls(1)), MANY)


class WorldTests(unittest.TestCase):
    """Instances on one clock; the leader grants."""

    def start(self, machines: int = 3, zones: int = 1) -> World:
        world = World(machines, 2, zones=zones)
        world.start()
        self.assertTrue(world.run(10.0, lambda: len(world.leaders()) == 1))
        world.run(SOON)
        return world

    def hear(self, world: World, name: str, rate: float | None) -> None:
        """Let an answer to an instance say so of the engine."""
        core = world.machines[name].core
        assert core is not None
        now = world.clock.monotonic()
        core.limit_notices.noticed(NamedLimit(ENGINE, rate, now, now))

    def granted(self, world: World, seconds: float, *names: str) -> int:
        """Let instances ask for one send after another; return how many are granted."""
        total = 0
        until = world.now + seconds
        while world.now < until:
            answers = [self._ask(world, name).answer for name in names]
            world.run(0.05)
            total += sum(one.done() and one.result().granted for one in answers)
        return total

    def _ask(self, world: World, name: str) -> PermitWanted:
        core = world.machines[name].core
        assert core is not None
        wanted = PermitWanted(ENGINE)
        core.permits.ask(wanted)
        return wanted

    def known(self, world: World) -> set[float | None]:
        return {machine.limits.of(ENGINE) for machine in world.machines.values()}

    def test_all_are_told_and_told_that_it_has_ended(self) -> None:
        for machines, zones in ((3, 1), (MANY, 3)):
            with self.subTest(machines):
                world = self.start(machines, zones)
                self.hear(world, f"instance-{machines - 1}", 1.5)
                world.run(SOON)
                self.assertEqual(self.known(world), {1.5})
                self.hear(world, "instance-0", None)
                world.run(SOON)
                self.assertEqual(self.known(world), {None})

    def test_one_that_starts_is_told_before_it_is_ready(self) -> None:
        world = self.start()
        self.hear(world, "instance-0", 1.5)
        world.kill("instance-2")
        world.run(SOON)
        world.start("instance-2")
        machine = world.machines["instance-2"]
        self.assertTrue(
            world.run(SOON, lambda: machine.core is not None and machine.core.ready)
        )
        self.assertEqual(machine.limits.of(ENGINE), 1.5)

    def test_all_together_get_what_it_takes_and_no_less(self) -> None:
        world = self.start()
        self.hear(world, "instance-0", 2.0)
        world.run(SOON)
        granted = self.granted(world, 10.0, *world.machines)
        self.assertGreaterEqual(granted, 18)
        self.assertLessEqual(granted, 22)

    def test_one_that_takes_nothing_is_asked_now_and_then_whether_it_still_does(
        self,
    ) -> None:
        world = self.start()
        self.hear(world, "instance-0", 0.0)
        world.run(SOON)
        granted = self.granted(world, 3 / LEAST_RATE, *world.machines)
        self.assertGreaterEqual(granted, 2)
        self.assertLessEqual(granted, 4)

    def test_the_two_sides_of_a_cut_grant_no_more_than_the_whole(self) -> None:
        world = self.start(6, 2)
        self.hear(world, "instance-0", 4.0)
        world.run(SOON)
        world.links.cut_zones.add("zone-1")
        self.assertTrue(world.run(20.0, lambda: len(world.leaders()) == 2))
        world.run(SOON)
        granted = self.granted(world, 10.0, *world.machines)
        self.assertGreaterEqual(granted, 34)
        self.assertLessEqual(granted, 46)

    def test_many_that_each_lead_alone_send_no_more_than_a_few(self) -> None:
        world = self.start(MANY, 3)
        self.hear(world, "instance-0", 0.5)
        world.run(SOON)
        for machine in world.machines.values():
            machine.links_cut = True
        self.assertTrue(world.run(30.0, lambda: len(world.leaders()) == MANY))
        self.assertLessEqual(self.granted(world, 4.0, *world.machines), 4 * 0.5 + 5)

    def test_a_new_leader_begins_with_nothing_and_goes_on(self) -> None:
        world = self.start()
        self.hear(world, "instance-0", 4.0)
        world.run(SOON)
        [leader] = world.leaders()
        others = [name for name in world.machines if name != leader]
        world.kill(leader)
        granted = self.granted(world, 4.0, *others)
        self.assertLessEqual(granted, 16)
        # The one that was killed has left its share to nobody.
        self.assertGreaterEqual(self.granted(world, 6.0, *others), 14)

    def test_without_a_leader_nothing_is_granted(self) -> None:
        world = self.start()
        self.hear(world, "instance-0", 4.0)
        core = world.machines["instance-0"].core
        assert core is not None
        core.permits.follow(None)
        answer = self._ask(world, "instance-0").answer
        self.assertFalse(answer.result().granted)
        self.assertGreater(answer.result().wait, timedelta())


if __name__ == "__main__":
    unittest.main()
