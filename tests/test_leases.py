"""The lease that permits orders, with engines that check no fencing tokens."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.orders import AppendClaim, Claim, Lease, LeaseTiming, ReadClaims
from ashhoist.placement.messages import Target
from ashhoist.store import Appended, ConditionFailed, Newest, Record, Unknown

from .control_world import TIMING, World
from .world_faults import FAULTS
from .world_requests import started, want
from .world_writes import MODEL


class TakeoverTests(unittest.TestCase):
    def assert_sound(self, world: World) -> None:
        self.assertEqual(world.broken_turns(), [])
        self.assertEqual(world.fallen(), [])

    def test_one_instance_holds_the_lease_and_loads(self) -> None:
        world = started()
        answer = want(world, "instance-1", "a1")
        world.run(1.0)
        self.assertIsInstance(answer.result(0), Target)
        self.assertEqual(len(world.holders()), 1)
        self.assert_sound(world)

    def test_a_killed_holder_is_succeeded_after_its_term(self) -> None:
        world = started()
        [first] = world.holders()
        world.kill(first)
        other = next(name for name in world.machines if name != first)
        answer = want(world, other, "a1")
        self.assertTrue(world.run(4.0, lambda: answer.done()))
        self.assertNotEqual(world.holders(), [first])
        self.assert_sound(world)

    def test_a_restarted_holder_continues_at_once(self) -> None:
        world = started()
        [first] = world.holders()
        world.kill(first)
        world.start(first)
        self.assertTrue(world.run(0.5, lambda: world.holders() == [first]))
        answer = want(world, first, "a1")
        self.assertTrue(world.run(2.0, lambda: answer.done()))
        self.assert_sound(world)

    def test_a_suspended_holder_sends_no_order_when_it_resumes(self) -> None:
        world = started()
        [first] = world.holders()
        world.freeze(first, 6.0)
        other = next(name for name in world.machines if name != first)
        for number in range(20):
            want(world, other, f"a{number}")
            world.run(0.5)
        self.assertNotIn(first, world.holders())
        self.assert_sound(world)

    def isolated_holder(self, timing: LeaseTiming) -> World:
        """Simulate a holder that reaches engines, but no store and no instance."""
        world = World(3, 2)
        world.timing_by_machine["instance-0"] = timing
        world.start("instance-0")
        world.run(3.0, lambda: world.holders() == ["instance-0"])
        world.start("instance-1", "instance-2")
        world.run(1.0)
        world.machines["instance-0"].store_cut = True
        world.machines["instance-0"].links_cut = True
        for number in range(24):
            want(world, "instance-0", f"a{number}")
            want(world, "instance-1", f"b{number}")
            world.run(0.25)
        return world

    def test_a_holder_that_reaches_only_engines_stops_sending_orders(self) -> None:
        world = self.isolated_holder(TIMING)
        self.assertGreater(len({order.machine for order in world.seen}), 1)
        self.assert_sound(world)

    def test_a_holder_with_too_long_a_term_is_caught(self) -> None:
        world = self.isolated_holder(replace(TIMING, term=timedelta(seconds=8)))
        self.assertNotEqual(world.broken_turns(), [])

    def test_a_holder_without_the_store_loses_the_lease_by_its_own_clock(
        self,
    ) -> None:
        world = started(machines=1)
        world.machines["instance-0"].store_cut = True
        self.assertTrue(world.run(4.0, lambda: not world.holders()))

    def test_a_holder_without_the_store_renews_through_a_peer(self) -> None:
        world = started()
        [first] = world.holders()
        world.machines[first].store_cut = True
        for number in range(30):
            world.run(0.3)
            self.assertEqual(world.holders(), [first], f"after {number * 0.3} s")
        answer = want(world, first, "a1")
        self.assertTrue(world.run(1.0, lambda: answer.done()))
        self.assert_sound(world)

    def test_a_new_leader_knows_which_copies_engines_have(self) -> None:
        world = started(2, 1)
        [first] = world.leaders()
        other = next(name for name in world.machines if name != first)
        for number in range(12):
            want(world, other, f"a{number}")
            world.run(0.6)
        world.kill(first)
        world.run(4.0, lambda: world.leaders() == [other])
        core = world.machines[other].core
        assert core is not None and core.scheduling.scheduler is not None
        engine = core.scheduling.scheduler.engines["engine-0"]
        for number in range(12):
            self.assertTrue(engine.has_copy(Adapter(MODEL, f"a{number}"), 1), number)

    def test_a_graceful_stop_hands_the_lease_over(self) -> None:
        world = started()
        [first] = world.holders()
        core = world.machines[first].core
        assert core is not None
        core.stop()
        self.assertTrue(world.run(1.0, lambda: world.holders() not in ([], [first])))
        answer = want(world, world.holders()[0], "a1")
        self.assertTrue(world.run(1.5, lambda: answer.done()))
        self.assert_sound(world)

    def test_a_graceful_stop_sends_no_order_after_the_release_request(self) -> None:
        # The answer to the release is lost, and an instance that starts at that time
        # reads the release from the log before the stopping instance does.
        for when in range(6):
            with self.subTest(when=when):
                world = started(3, 1)
                [first] = world.holders()
                other = next(name for name in world.machines if name != first)
                core = world.machines[first].core
                assert core is not None
                world.kill(other)
                core.stop()
                world.machines[first].loses_append_answers = True
                world.store.call_timeout_s = 1.5
                for number in range(100):
                    if number == 20 + 5 * when:
                        world.start(other)
                    for name, machine in world.machines.items():
                        if machine.core is not None:
                            want(world, name, f"a{number}")
                    world.run(0.02)
                self.assert_sound(world)

    def test_a_lost_answer_to_a_renewal_keeps_the_lease(self) -> None:
        world = started()
        before = world.holders()
        world.store.lost_append_answers = 1
        for _ in range(40):
            world.run(0.1)
            self.assertEqual(world.holders(), before)

    def test_a_claim_appended_late_does_not_take_the_lease(self) -> None:
        world = World(2, 1)
        world.store.delayed_appends = 1
        world.start()
        for number in range(30):
            if world.machines["instance-0"].core is not None:
                want(world, "instance-0", f"a{number}")
            world.run(0.2)
            self.assertLessEqual(len(world.holders()), 1)
        self.assert_sound(world)


class ZoneTests(unittest.TestCase):
    """Partitioned zones and unavailable stores, with the default lease timing."""

    def start(self) -> World:
        world = World(6, 3, LeaseTiming(), zones=3)
        world.start()
        world.run(4.0)
        for zone in ("zone-0", "zone-1", "zone-2"):
            [holder] = world.holders(zone)
            self.assertEqual(world.machines[holder].zone, zone)
        return world

    def assert_sound(self, world: World) -> None:
        self.assertEqual(world.broken_turns(), [])
        self.assertEqual(world.fallen(), [])

    def test_both_sides_of_a_partition_continue_loading(self) -> None:
        world = self.start()
        world.links.cut_zones.add("zone-1")
        world.run(1.6)
        inside = want(world, "instance-1", "a1")
        outside = want(world, "instance-0", "a2")
        self.assertTrue(world.run(2.0, lambda: inside.done() and outside.done()))
        self.assertEqual(inside.result().upstream, "engine-1")
        self.assertNotEqual(outside.result().upstream, "engine-1")
        world.links.cut_zones.clear()
        for number in range(20):
            want(world, f"instance-{number % 6}", f"b{number}")
            world.run(0.3)
        self.assertEqual(len(world.leaders()), 1)
        self.assert_sound(world)

    def test_loads_continue_while_the_store_is_down(self) -> None:
        world = self.start()
        world.store.is_down = True
        for number in range(7):
            world.run(0.5)
            answer = want(world, f"instance-{number % 6}", f"a{number}")
            self.assertTrue(world.run(1.0, lambda answer=answer: answer.done()))
            self.assertIsInstance(answer.result(), Target)
        self.assert_sound(world)

    def test_a_killed_leader_is_succeeded_at_once(self) -> None:
        world = self.start()
        [leader] = world.leaders()
        world.kill(leader)
        others = [name for name in world.machines if name != leader]
        answer = want(world, others[0], "a1")
        self.assertTrue(world.run(1.2, lambda: answer.done()))
        self.assertIsInstance(answer.result(), Target)

    def test_a_suspended_leader_is_succeeded_within_seconds(self) -> None:
        world = self.start()
        [leader] = world.leaders()
        world.freeze(leader, 20.0)
        other = next(name for name in world.machines if name != leader)
        answer = want(world, other, "a1")
        self.assertTrue(world.run(2.5, lambda: answer.done()))
        self.assertIsInstance(answer.result(), Target)

    def test_a_zone_without_instances_gets_orders_from_another_zone(self) -> None:
        world = self.start()
        for name, machine in world.machines.items():
            if machine.zone == "zone-2":
                world.kill(name)
        world.run(12.0)
        [holder] = world.holders("zone-2")
        self.assertNotEqual(world.machines[holder].zone, "zone-2")
        self.assert_sound(world)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_no_two_holders_order_in_turn(self, seed: int) -> None:
        source = random.Random(seed)
        world = self.start()
        for _ in range(60):
            self._disturb(world, source)
            for name, machine in world.machines.items():
                if machine.core is not None and source.random() < 0.5:
                    want(world, name, f"a{source.randrange(40)}")
            world.run(source.uniform(0.1, 0.6))
        self.assert_sound(world)

    def _disturb(self, world: World, source: random.Random) -> None:
        if source.random() > 0.3:
            return
        healed_after = source.uniform(0.2, 8.0)
        fault = source.choice([*sorted(FAULTS), "cut zone", "cut zone"])
        if fault == "cut zone":
            zone = f"zone-{source.randrange(3)}"
            world.links.cut_zones.add(zone)
            world.after(healed_after, lambda: world.links.cut_zones.discard(zone))
            return
        machine = world.machines[source.choice(sorted(world.machines))]
        if machine.core is not None:
            FAULTS[fault](world, machine, healed_after)


class LostOrderTests(unittest.TestCase):
    def test_an_order_that_is_executed_late_changes_nothing(self) -> None:
        world = started(1, 1)
        world.lose_orders = 2
        for number in range(12):
            want(world, "instance-0", f"a{number}")
            world.run(0.7)
        self.assertEqual(world.fallen(), [])
        self.assertEqual(world.broken_turns(), [])

    def test_an_engine_without_a_base_model_gets_one(self) -> None:
        world = started(1, 0)
        world.add_engine("empty", models=False)
        world.run(1.0)
        answer = want(world, "instance-0", "a1")
        self.assertTrue(world.run(3.0, lambda: answer.done()))
        self.assertIsInstance(answer.result(0), Target)


class RefusedTokenTests(unittest.TestCase):
    """An engine that checks tokens has seen a higher one than the holder's."""

    def test_no_order_with_a_rejected_token_follows_and_loads_continue(self) -> None:
        world = World(3, 2, LeaseTiming())
        world.start()
        world.run(3.0)
        [holder] = world.holders()
        core = world.machines[holder].core
        assert core is not None
        token = core.leases.fence("zone-0")
        assert token is not None
        world.refuse_below = token + 1
        answer = want(world, "instance-0", "a1", 30.0)
        world.run(12.0)
        self.assertIsInstance(answer.result(0), Target)
        refused = [order for order in world.seen if order.fence == token]
        # Orders in flight when the first one was rejected.
        self.assertLessEqual(len(refused), 2)


class LeaseTests(unittest.TestCase):
    """The `Lease` state machine in isolation."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = Lease("orders", "one", "one-1", TIMING, self.clock)

    def read(self, *records: Record, end: int) -> None:
        self.assertIsInstance(self.lease.due(), ReadClaims)
        self.lease.claims_read(Newest(records, end))

    def claim(self) -> AppendClaim:
        action = self.lease.due()
        assert isinstance(action, AppendClaim)
        return action

    def test_the_term_starts_when_the_renewal_is_sent(self) -> None:
        self.read(end=0)
        action = self.claim()
        self.clock.advance(timedelta(seconds=2))
        self.lease.appended(action, Appended(0))
        self.assertEqual(self.lease.fence(), 0)
        self.clock.advance(timedelta(milliseconds=300))
        self.assertIsNone(self.lease.fence())

    def test_a_successor_waits_from_when_it_learned_of_the_holder(self) -> None:
        claim = Claim("orders", "two", "two-1")
        self.read(Record(0, "orders", claim.encode()), end=1)
        self.assertIsNone(self.lease.due())
        self.clock.advance(timedelta(milliseconds=2500))
        self.assertIsNone(self.lease.due())
        self.clock.advance(timedelta(milliseconds=200))
        self.assertEqual(self.claim().at, 1)

    def test_a_failed_append_condition_causes_another_read(self) -> None:
        self.read(end=0)
        self.lease.appended(self.claim(), ConditionFailed(1))
        self.clock.advance(timedelta(seconds=1))
        self.assertIsInstance(self.lease.due(), ReadClaims)

    def test_an_unanswered_claim_is_valid_once_it_is_read(self) -> None:
        self.read(end=0)
        action = self.claim()
        self.lease.appended(action, Unknown())
        self.assertIsNone(self.lease.fence())
        self.clock.advance(timedelta(milliseconds=500))
        self.read(Record(0, "orders", action.claim.encode()), end=1)
        self.assertEqual(self.lease.fence(), 0)

    def test_a_previous_holder_waits_before_it_sends_orders_again(self) -> None:
        claim = Claim("orders", "two", "two-1", released=True, previous_holders="one")
        self.read(Record(5, "orders", claim.encode()), end=6)
        self.lease.appended(self.claim(), Appended(6))
        self.assertIsNone(self.lease.fence())

    def test_a_rejected_token_is_not_used_and_a_new_one_is_claimed(self) -> None:
        self.read(end=0)
        self.lease.appended(self.claim(), Appended(0))
        self.assertEqual(self.lease.fence(), 0)
        self.lease.reject_token(0)
        self.assertIsNone(self.lease.fence())
        action = self.claim()
        self.assertEqual(action.claim.fence, -1)
        self.lease.appended(action, Appended(7))
        # The instance with the higher token may have sent an order just now.
        self.assertIsNone(self.lease.fence())

    def test_the_new_token_is_valid_after_the_return_interval(self) -> None:
        lease = self.lease = Lease("orders", "one", "one-1", LeaseTiming(), self.clock)
        self.read(end=0)
        lease.appended(self.claim(), Appended(0))
        lease.reject_token(0)
        lease.appended(self.claim(), Appended(7))
        self.clock.advance(LeaseTiming().return_interval)
        self.assertEqual(lease.fence(), 7)

    def test_the_fencing_token_is_unchanged_by_renewals(self) -> None:
        self.read(end=0)
        self.lease.appended(self.claim(), Appended(0))
        self.clock.advance(timedelta(seconds=1))
        self.lease.appended(self.claim(), Appended(1))
        self.assertEqual(self.lease.fence(), 0)


if __name__ == "__main__":
    unittest.main()
