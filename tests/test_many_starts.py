"""Quarantined requests are known to instances that start or are newly linked.

Requests crash upstreams throughout a run, most of them at one instance within a tenth
of a second. Meanwhile instances are killed and restarted, links are reset, and the log
is unavailable to all or some instances. An instance that is ready must quarantine what
a linked instance quarantines, whether or not the crash records are on the log.
"""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.control.core import Core
from ashhoist.control.crash_notices import CrashNotices
from ashhoist.control.messages import CrashNotice
from ashhoist.quarantine import CRASH_THRESHOLD

from .control_world import Machine
from .test_many_changes import ChangesDay
from .test_many_crashes import cut

CHECK_INTERVAL_S = 0.02
REQUEST_PROBABILITY = 0.02
"""Probability per check that a request arrives: about one a second."""
RETRY_INTERVAL_S = 0.03
DOWNTIME_S = (0.05, 0.7)
"""Range of the downtime of an instance that is killed as a request arrives."""
PROPAGATION_AT_START_S = 0.1
"""Time within which a starting instance must learn what a linked one quarantines."""
PROPAGATION_S = 0.6
"""The same for a running instance, which asks for the log's records every 0.4 s."""
SEEDS_OF_VARIANTS = (1, 2, 3, 4, 5, 6)
"""Some of these seeds cause violations in each broken variant below, and none does in
the unmodified code."""
SEED_WITH_HUBS = 0

Quarantined = tuple[str, int, str]
"""An instance, the number of its process, and a request that it quarantines."""
Pair = tuple[str, int, str, int]
"""Two linked instances, each with the number of its process."""


@dataclass
class StartsDay(ChangesDay):
    """A simulated run with requests that crash upstreams, restarts and new links."""

    missing_when_ready: list[str] = field(default_factory=list)
    """Requests that an instance did not quarantine when it became ready."""
    missing_when_linked: list[str] = field(default_factory=list)
    """Requests that a ready instance did not learn of from a linked one in time."""
    quarantined_since: dict[Quarantined, float] = field(default_factory=dict)
    connected_since: dict[Pair, float] = field(default_factory=dict)
    were_ready: set[tuple[str, int]] = field(default_factory=set)
    requests: int = 0
    checked_starts: int = 0
    """Checks of a new instance against the requests that a linked one quarantines."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.world.links.delivers_after_interruption = True
        self.world.seeds = tuple(list(self.world.machines)[:2])

    def pass_time(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.run(CHECK_INTERVAL_S)
            self._send_request()
            self._check_state()

    def _running(self) -> list[str]:
        return [
            name
            for name, machine in self.world.machines.items()
            if machine.core is not None and not machine.frozen
        ]

    def _send_request(self) -> None:
        """With `REQUEST_PROBABILITY`, let a request crash upstreams at one instance.

        Another instance is restarted meanwhile, or the link between them reset.
        """
        running = self._running()
        if self.rng.random() > REQUEST_PROBABILITY or len(running) < 2:
            return
        name, other = self.rng.sample(running, 2)
        self.requests += 1
        request = f"request-{self.requests}"
        machine = self.world.machines[name]
        for number in range(CRASH_THRESHOLD):
            incarnation = f"{request} life-{number}"
            self.world.after(
                number * RETRY_INTERVAL_S, self._crash_step(name, incarnation, request)
            )
        if self.rng.random() < 0.5:
            self.world.links.unlink(machine.name, other)
            return
        self.world.kill(other)
        self.world.after(self.rng.uniform(*DOWNTIME_S), lambda: self._start(other))

    def _crash_step(
        self, name: str, incarnation: str, request: str
    ) -> Callable[[], None]:
        core = self.world.machines[name].core
        assert core is not None
        return lambda: self._cut_at(name, core, incarnation, request)

    def _cut_at(self, name: str, core: Core, incarnation: str, request: str) -> None:
        machine = self.world.machines[name]
        if machine.core is core and not machine.frozen:
            cut(self.world, name, incarnation, request)

    def _check_state(self) -> None:
        self._record_quarantined()
        pairs = self._connected_pairs()
        self.connected_since = {
            pair: self.connected_since.get(pair, self.world.now) for pair in pairs
        }
        for one, _, other, _ in pairs:
            self._compare(self.world.machines[one], self.world.machines[other])
        for name in self._running():
            machine = self.world.machines[name]
            if machine.core is not None and machine.core.ready:
                self.were_ready.add((name, machine.process_number))

    def _record_quarantined(self) -> None:
        held = {
            (name, self.world.machines[name].process_number, request)
            for name in self._running()
            for request in self.world.machines[name].quarantine.held
        }
        self.quarantined_since = {
            item: self.quarantined_since.get(item, self.world.now) for item in held
        }

    def _connected_pairs(self) -> list[Pair]:
        """Return the linked pairs that can exchange messages now, in both orders."""
        found: list[Pair] = []
        running = set(self._running())
        for name, peer in sorted(self.world.links._linked):
            if not {name, peer} <= running:
                continue
            one, other = self.world.machines[name], self.world.machines[peer]
            if one.links_cut or other.links_cut:
                continue
            if not self.world.links.connected(one.zone, other.zone):
                continue
            found.append((name, one.process_number, peer, other.process_number))
            found.append((peer, other.process_number, name, one.process_number))
        return found

    def _compare(self, one: Machine, other: Machine) -> None:
        """Record requests that `one` quarantines and `other`, if ready, does not."""
        core = other.core
        assert core is not None
        if not core.ready:
            return
        now = self.world.now
        is_new = (other.name, other.process_number) not in self.were_ready
        connected_at = self.connected_since[
            one.name, one.process_number, other.name, other.process_number
        ]
        for request in one.quarantine.held:
            since = self.quarantined_since[one.name, one.process_number, request]
            violation = f"{other.name} at {now:.2f}: {request} of {one.name}"
            if is_new and now - since >= PROPAGATION_AT_START_S:
                self.checked_starts += 1
            if other.quarantine.holds_back(request):
                continue
            if is_new and now - since >= PROPAGATION_AT_START_S:
                self.missing_when_ready.append(violation)
            is_overdue = now - max(since, connected_at) >= PROPAGATION_S
            if is_overdue and _relays_to(one, other):
                self.missing_when_linked.append(violation)


def _relays_to(one: Machine, other: Machine) -> bool:
    """Return whether an instance relays to another one the notices that it receives.

    Hubs relay within their zone. Instances of another zone whose own hubs are frozen
    learn of the notices from those hubs later, or from a reader of the log.
    """
    assert one.core is not None
    return one.zone == other.zone or one.core._hubs.is_hub(other.name)


class ManyStartsTests(unittest.TestCase):
    def check(self, day: StartsDay) -> None:
        day.play()
        self.assertGreater(day.requests, 0)
        self.assertEqual(day.missing_when_ready[:3], [])
        self.assertEqual(day.missing_when_linked[:3], [])

    @settings(max_examples=8, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(StartsDay(7, seed))

    @settings(max_examples=2, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(2)  # Both hubs of a zone are frozen when a request is quarantined.
    def test_many_instances_with_hubs(self, seed: int) -> None:
        self.check(StartsDay(24, seed, 3))


class BrokenVariantTests(unittest.TestCase):
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def is_caught(self) -> bool:
        """Return whether any of the seeded runs has a violation."""
        for seed in SEEDS_OF_VARIANTS:
            day = StartsDay(7, seed)
            day.play()
            if day.missing_when_ready or day.missing_when_linked:
                return True
        return False

    def test_unmodified_code_has_no_violations(self) -> None:
        self.assertFalse(self.is_caught())

    def test_detects_notices_that_are_not_sent(self) -> None:
        with mock.patch.object(CrashNotices, "_notify"):
            self.assertTrue(self.is_caught())

    def test_detects_missing_notices_on_new_links(self) -> None:
        with mock.patch.object(CrashNotices, "greet"):
            self.assertTrue(self.is_caught())

    def test_detects_missing_notices_on_existing_links(self) -> None:
        with mock.patch.object(CrashNotices, "notify_quarantined"):
            self.assertTrue(self.is_caught())

    def test_detects_hubs_that_do_not_relay(self) -> None:
        receive = CrashNotices.notices_received

        def receive_without_relay(
            self: CrashNotices, peer: str, message: CrashNotice
        ) -> None:
            with mock.patch.object(self._hubs, "members", return_value=[]):
                receive(self, peer, message)

        with mock.patch.object(CrashNotices, "notices_received", receive_without_relay):
            day = StartsDay(24, SEED_WITH_HUBS, 3)
            day.play()
        self.assertTrue(day.missing_when_linked)

    def test_detects_readiness_before_the_first_notices(self) -> None:
        with mock.patch.object(Core, "_has_peer_state", True):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
