"""Whether an instance tells lost links from upstreams that fail."""

import random
import unittest
from datetime import timedelta

from ashhoist import logs
from ashhoist.clock import ManualClock
from ashhoist.control.election import Election
from ashhoist.control.forwarding_notices import ForwardingNotices
from ashhoist.control.hubs import Hubs, Identity
from ashhoist.control.messages import ForwardingNotice, Heartbeat
from ashhoist.control.peers import InstanceRecord, Peers
from ashhoist.forwarding import Connectivity, ConnectivityProbes
from ashhoist.forwarding.connectivity import (
    MAX_CRASHED_TOGETHER,
    MIN_FAILED_UPSTREAMS,
    SILENCE,
)
from ashhoist.forwarding.probes import PROBED_UPSTREAMS
from ashhoist.loop import Steps, Wait, sleep_until
from ashhoist.metrics import Metrics
from ashhoist.upstreams import Directory, Upstream

from .loops import new_loop

SOON = timedelta(seconds=20)
UPSTREAMS = 6
MOMENT = timedelta(milliseconds=5)


class ReportTests(unittest.TestCase):
    """Reports of connections that upstreams broke."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.connectivity = Connectivity(self.clock, Metrics(), logs.get("test"))
        self.connectivity.others_reach = lambda: self.others_reach
        self.connectivity.on_suspicion = self.suspect
        self.others_reach = True
        self.suspicions = 0
        self.sent: list[str] = []

    def suspect(self) -> None:
        self.suspicions += 1

    def report(self, name: str) -> None:
        self.connectivity.report_once_heard(lambda: self.sent.append(name))

    def test_a_report_waits_for_a_sign_of_an_upstream(self) -> None:
        self.report("one")
        self.assertEqual((self.sent, self.suspicions), ([], 1))
        self.connectivity.heard()
        self.assertEqual(self.sent, ["one"])

    def test_a_report_is_dropped_if_all_links_are_lost(self) -> None:
        # Guards against lost links that pass for crashes.
        self.report("one")
        self.connectivity.set_unreachable(UPSTREAMS)
        self.report("two")
        self.connectivity.set_restored()
        self.assertEqual(self.sent, [])

    def test_a_report_is_sent_if_one_request_may_have_crashed_all(self) -> None:
        # Guards against crashes of all upstreams that pass for lost links.
        self.others_reach = False
        self.report("one")
        self.connectivity.set_unreachable(MAX_CRASHED_TOGETHER)
        self.assertEqual(self.sent, ["one"])
        self.assertFalse(self.connectivity.is_cut_off)

    def test_a_report_is_dropped_if_all_instances_have_lost_their_links(self) -> None:
        # Guards against requests that are held back for minutes after a cut of all.
        self.others_reach = False
        self.report("one")
        self.connectivity.set_unreachable(MAX_CRASHED_TOGETHER + 1)
        self.connectivity.heard()
        self.assertEqual(self.sent, [])
        self.assertFalse(self.connectivity.is_cut_off)

    def test_several_failed_connections_raise_suspicion(self) -> None:
        for number in range(MIN_FAILED_UPSTREAMS):
            self.assertEqual(self.suspicions, 0)
            self.connectivity.connect_failed(f"upstream-{number}")
        self.assertEqual(self.suspicions, 1)

    def test_an_upstream_that_fails_again_and_again_raises_none(self) -> None:
        # Guards against probes for as long as one upstream is down.
        for _ in range(10):
            self.connectivity.connect_failed("upstream-0")
        self.assertEqual(self.suspicions, 0)

    def test_silence_raises_suspicion_only_if_no_upstream_is_heard(self) -> None:
        self.clock.advance(SILENCE)
        self.connectivity.heard()
        self.connectivity.response_overdue()
        self.assertEqual(self.suspicions, 0)
        self.clock.advance(SILENCE)
        self.connectivity.response_overdue()
        self.assertEqual(self.suspicions, 1)


class ProbeTests(unittest.TestCase):
    """Connections that are opened to find out whether upstreams can be reached."""

    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.connectivity = Connectivity(self.loop.clock, Metrics(), logs.get("test"))
        self.connectivity.others_reach = lambda: True
        self.directory = Directory()
        self.reached: set[str] = set()
        self.connects: list[str] = []
        self.put_upstreams(UPSTREAMS)

    def put_upstreams(self, count: int) -> None:
        for number in range(count):
            name = f"upstream-{number}"
            self.directory.put(Upstream(name, f"service-{number % 2}", name, "zone"))

    def connect(self, address: str, until: timedelta) -> Steps[bool]:
        yield from ()
        self.connects.append(address)
        return address in self.reached

    def probes(self) -> ConnectivityProbes:
        return ConnectivityProbes(
            "zone",
            self.connectivity,
            self.directory,
            self.loop,
            random.Random(1),
            self.connect,
        )

    def turn_until(self, condition: bool, rounds: int = 0) -> None:
        limit = self.loop.clock.monotonic() + SOON
        while self.connectivity.is_cut_off != condition or len(self.connects) < rounds:
            self.assertLess(self.loop.clock.monotonic(), limit)
            soon = self.loop.clock.monotonic() + timedelta(milliseconds=5)
            self.loop.call_at(soon, lambda: None)
            self.loop.run_turn()

    def test_an_instance_that_reaches_no_upstream_is_cut_off(self) -> None:
        self.probes().start()
        self.turn_until(True)
        self.assertGreater(len(set(self.connects)), 1)

    def test_one_upstream_that_can_be_reached_is_enough(self) -> None:
        # Guards against a crash of most upstreams that passes for lost links.
        self.reached = {f"upstream-{number}" for number in range(UPSTREAMS - 2)}
        self.probes().start()
        self.turn_until(False, rounds=1)
        self.assertFalse(self.connectivity.is_cut_off)

    def test_links_that_heal_are_noticed(self) -> None:
        self.probes().start()
        self.turn_until(True)
        self.reached = {f"upstream-{number}" for number in range(UPSTREAMS)}
        self.turn_until(False)

    def test_upstreams_that_are_heard_of_while_connections_fail(self) -> None:
        # Guards against an instance that is cut off as its upstreams end a silence.
        heard_rounds = 2
        last = 1 + heard_rounds * PROBED_UPSTREAMS

        def hear(address: str, until: timedelta) -> Steps[bool]:
            self.connects.append(address)
            if 1 < len(self.connects) <= last:
                yield from sleep_until(self.loop.clock.monotonic() + MOMENT)
                self.connectivity.heard()
            return False

        self.connect = hear  # type: ignore[method-assign]
        self.probes().start()
        self.turn_until(False, rounds=last)
        self.turn_until(True)
        self.assertGreater(len(self.connects), last)

    def test_the_only_upstream_says_nothing_of_links(self) -> None:
        # Guards against an upstream that is down and passes for lost links.
        self.directory = Directory()
        self.put_upstreams(1)
        probes = self.probes()
        probes.start()
        for _ in range(5):
            self.loop.call_at(
                self.loop.clock.monotonic() + timedelta(milliseconds=20), lambda: None
            )
            self.loop.run_turn()
        self.assertEqual((self.connects, self.connectivity.is_cut_off), ([], False))

    def test_connections_that_hang_end_in_time(self) -> None:
        # Guards against an instance that learns of lost links after its callers left.
        def hang(address: str, until: timedelta) -> Steps[bool]:
            yield Wait(until)
            return False

        self.connect = hang  # type: ignore[method-assign]
        began = self.loop.clock.monotonic()
        self.probes().start()
        self.turn_until(True)
        self.assertLess(self.loop.clock.monotonic() - began, timedelta(seconds=2))


class InstanceTests(unittest.TestCase):
    """What the instances know of each other's connectivity."""

    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=10))
        self.peers = Peers("own")
        self.sent: list[tuple[str, ForwardingNotice]] = []
        identity = Identity("own", "zone", "10.0.0.1:81")
        hubs = Hubs(identity, self.peers, self.clock)
        self.notices = ForwardingNotices(
            identity,
            "10.0.0.1:80",
            self.peers,
            hubs,
            lambda peer, message: self.sent.append((peer, message)),
            self.clock,
            logs.get("test"),
        )
        self.election = Election("own", self.peers, hubs, self.clock)
        self.clock.advance(timedelta(seconds=10))
        for name in ("one", "two"):
            self.link(name)

    def link(self, name: str) -> None:
        now = self.clock.monotonic()
        self.peers.add_registered(InstanceRecord(name, "zone", f"{name}:81"))
        self.peers.link_up(name, now)
        heartbeat = Heartbeat(False, 0, False, 0, 0, {}, [], 500, 2, 0, [])
        self.peers.record_heartbeat(name, heartbeat, now)
        self.notices.handle_notice(name, ForwardingNotice(f"{name}:80", False))

    def leader(self, leads: bool = False, cut_off: bool = False) -> str | None:
        return self.election.choose(leads, False, cut_off)

    def cut_off(self, *names: str) -> None:
        for name in names:
            self.notices.handle_notice(name, ForwardingNotice(f"{name}:80", True))

    def available(self) -> set[str]:
        return {instance.name for instance in self.notices.available()}

    def test_an_instance_that_is_cut_off_takes_no_requests(self) -> None:
        self.assertEqual(self.available(), {"one", "two"})
        self.cut_off("one")
        self.assertEqual(self.available(), {"two"})

    def test_an_instance_without_a_recent_heartbeat_takes_none(self) -> None:
        self.clock.advance(timedelta(seconds=2))
        self.assertEqual(self.available(), set())

    def test_others_are_told_once_of_each_change(self) -> None:
        for _ in range(2):
            self.notices.set_cut_off(True)
        notice = ForwardingNotice("10.0.0.1:80", True)
        self.assertEqual(self.sent, [("one", notice), ("two", notice)])

    def test_a_leader_that_is_cut_off_is_followed_by_another_instance(self) -> None:
        # Guards against a leader that can't get the reports of engines.
        self.assertEqual(self.leader(leads=True), "own")
        self.assertIn(self.leader(leads=True, cut_off=True), ("one", "two"))

    def test_the_only_instance_that_reaches_upstreams_leads(self) -> None:
        # Guards against two sides that each take the other one for the leader.
        self.cut_off("one", "two")
        self.assertEqual(self.leader(), "own")

    def test_there_is_a_leader_if_no_instance_reaches_upstreams(self) -> None:
        self.cut_off("one", "two")
        self.assertEqual(self.leader(leads=True, cut_off=True), "own")


if __name__ == "__main__":
    unittest.main()
