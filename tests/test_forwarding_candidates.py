"""Which instances take the requests of cut-off ones where instances are many."""

import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from ashhoist.clock import ManualClock
from ashhoist.control.forwarding_candidates import (
    CANDIDATES,
    QUERY_INTERVAL,
    VALID_FOR,
    AssignedCandidates,
    CandidateQueries,
    choose,
)
from ashhoist.control.hubs import FULL_MESH, HUBS_PER_ZONE, Hubs, Identity
from ashhoist.control.messages import Heartbeat
from ashhoist.control.peers import InstanceRecord, Peers
from ashhoist.forwarding import ForwardingInstance
from ashhoist.orders import LeaseTiming

from .control_world import World

ZONES = 6
PLANNED, CUT_OFF = 330, 110
MOST_ASSIGNED = 3 * 4
"""Cut-off instances that one of the others helps: three on average, some more."""


def instances(count: int, zones: int = ZONES) -> list[ForwardingInstance]:
    return [
        ForwardingInstance(f"node-{n}", f"zone-{n % zones}", f"node-{n}:80")
        for n in range(count)
    ]


def known(found: list[ForwardingInstance]) -> Peers:
    peers = Peers("own")
    for one in found:
        peers.add_registered(InstanceRecord(one.name, one.zone, one.address, 1.0))
        peers.link_up(one.name, timedelta())
    return peers


class NobodyLinkedTests(unittest.TestCase):
    def test_nobody_is_asked_while_no_instance_is_linked(self) -> None:
        # Guards against an error of the control task, which left requests untried.
        clock = ManualClock()
        peers = known(instances(FULL_MESH))
        for name in peers.by_name:
            peers.link_down(name, timedelta())
        own = Identity("own", "zone-0", "own:1")
        queries = CandidateQueries(peers, Hubs(own, peers, clock), clock)
        self.assertEqual(queries.asked(), [])


class ChoiceTests(unittest.TestCase):
    def test_the_load_spreads_over_all_that_reach_upstreams(self) -> None:
        # Guards against few instances that carry the requests of many.
        found = instances(PLANNED)
        peers = known(found)
        sound = found[CUT_OFF:]
        helped: Counter[str] = Counter()
        for asking in found[:CUT_OFF]:
            chosen = choose(asking.name, asking.zone, peers, sound)
            self.assertEqual(len(chosen), CANDIDATES)
            helped.update(one.name for one in chosen)
        self.assertLessEqual(max(helped.values()), MOST_ASSIGNED)

    def test_all_who_are_asked_name_the_same(self) -> None:
        found = instances(PLANNED)
        peers = known(found)
        answers = [
            choose("node-0", "zone-0", peers, order)
            for order in (found[1:], found[:0:-1])
        ]
        self.assertEqual(answers[0], answers[1])

    def test_the_own_zone_helps_if_half_of_it_can(self) -> None:
        found = instances(PLANNED)
        chosen = choose("node-0", "zone-0", known(found), found[1:])
        self.assertEqual({one.zone for one in chosen}, {"zone-0"})

    def test_the_few_left_of_a_zone_do_not_carry_all_of_it(self) -> None:
        # Guards against a zone that is overloaded by those of it that are cut off.
        found = instances(PLANNED)
        others = [one for one in found if one.zone != "zone-0" or one == found[6]]
        chosen = choose("node-0", "zone-0", known(found), others)
        self.assertGreater(len({one.zone for one in chosen}), 1)

    def test_larger_instances_help_more(self) -> None:
        found = instances(PLANNED, zones=1)
        peers = known(found)
        large = replace(found[CUT_OFF], capacity=8.0)
        sound = [large, *found[CUT_OFF + 1 :]]
        asking = found[:CUT_OFF]
        counts = Counter(
            one.name
            for each in asking
            for one in choose(each.name, each.zone, peers, sound)
        )
        self.assertEqual(counts.most_common(1)[0][0], large.name)


class QueryTests(unittest.TestCase):
    """An instance that is linked to four of many."""

    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=10))
        self.peers = Peers("own")
        self.hubs = Hubs(Identity("own", "zone-0", "own:81"), self.peers, self.clock)
        self.queries = CandidateQueries(self.peers, self.hubs, self.clock)

    def know(self, registered: int, linked: int) -> None:
        now = self.clock.monotonic()
        heartbeat = Heartbeat(False, 0, False, 0, 0, {}, [], 5000, 2, 0, [])
        for number, one in enumerate(instances(registered)):
            self.peers.add_registered(InstanceRecord(one.name, one.zone, one.address))
            if number < linked:
                self.peers.link_up(one.name, now)
                self.peers.record_heartbeat(one.name, heartbeat, now)

    def test_a_small_deployment_asks_nobody(self) -> None:
        self.know(FULL_MESH - 1, FULL_MESH - 1)
        self.assertFalse(self.queries.is_due(has_candidates=False))

    def test_all_linked_ones_are_asked_in_turn(self) -> None:
        # Guards against an instance that asks a dead one only.
        self.know(40, 4)
        asked = {name for _ in range(2) for name in self.queries.asked()}
        self.assertEqual(len(asked), 4)

    def test_one_that_is_linked_to_most_asks_nobody(self) -> None:
        self.know(40, 39)
        self.assertTrue(self.queries.is_due(has_candidates=False))
        self.assertEqual(self.queries.asked(), [])

    def test_known_candidates_are_asked_for_again_after_a_while(self) -> None:
        self.know(40, 4)
        self.assertTrue(self.queries.is_due(has_candidates=False))
        self.assertTrue(self.queries.is_due(has_candidates=False))
        self.assertFalse(self.queries.is_due(has_candidates=True))
        self.clock.advance(QUERY_INTERVAL)
        self.assertTrue(self.queries.is_due(has_candidates=True))

    def test_an_answer_expires(self) -> None:
        assigned = AssignedCandidates(self.clock)
        self.assertTrue(assigned.set(instances(2)))
        self.assertFalse(assigned.set([]))
        self.assertEqual(assigned.current(), instances(2))
        self.clock.advance(VALID_FOR)
        self.assertEqual(assigned.current(), [])


class CutOffHubTests(unittest.TestCase):
    """Forty instances in three zones, all of whose hubs lose their links."""

    def test_cut_off_hubs_are_replaced_and_return(self) -> None:
        # Guards against many leaders where no hub reaches upstreams.
        world = World(40, 3, LeaseTiming(), zones=3)
        hubs = list(world.machines)[: 3 * HUBS_PER_ZONE]
        for name, machine in world.machines.items():
            machine.capacity = 2.15 if name in hubs else 0.52
        world.start()
        world.run(12.0)
        self.set_cut_off(world, hubs, True)
        most = 0
        for _ in range(60):
            world.run(0.05)
            most = max(most, len(world.leaders()))
        self.assertLessEqual(most, 3 * HUBS_PER_ZONE)
        [leader] = world.leaders()
        self.assertNotIn(leader, hubs)
        self.set_cut_off(world, hubs, False)
        world.run(3.0)
        [leader] = world.leaders()
        self.assertIn(leader, hubs)

    def set_cut_off(self, world: World, names: list[str], is_cut_off: bool) -> None:
        for name in names:
            core = world.machines[name].core
            assert core is not None
            core.connectivity_changed(is_cut_off)


if __name__ == "__main__":
    unittest.main()
