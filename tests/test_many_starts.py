"""Instances that start, or are linked anew, between what others know and tell.

Requests crash upstreams all day, most of them at one instance within a tenth of a
second. Meanwhile instances are killed and start again, links are reset, and the log is
away or turns some of them away. Whoever is ready must hold back what a linked instance
holds back, whether or not it stands on the log.
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

LOOK_EVERY_S = 0.02
COMES_PER_LOOK = 0.02
"""So a request comes each second or so."""
BETWEEN_TRIES_S = 0.03
DOWN_S = (0.05, 0.7)
"""How long an instance is gone that is killed as a request comes."""
TOLD_S = 0.1
"""After so long an instance that starts must know what a linked one holds back."""
CAUGHT_UP_S = 0.6
"""After so long one that runs must: it asks again for the log's records each 0.4 s."""
SEEDS_OF_VARIANTS = (1, 2, 3, 4, 5, 6)
"""Days of which some show each variant below; nothing is wrong without one."""
SEED_OF_HUBS = 0

Held = tuple[str, int, str]
"""An instance, its process, and a request that it holds back."""
Pair = tuple[str, int, str, int]
"""Two linked instances, and their processes."""


@dataclass
class StartsDay(ChangesDay):
    """A day of requests that crash upstreams, starts and new links."""

    unknown_when_ready: list[str] = field(default_factory=list)
    unknown_when_linked: list[str] = field(default_factory=list)
    held_since: dict[Held, float] = field(default_factory=dict)
    calm_since: dict[Pair, float] = field(default_factory=dict)
    were_ready: set[tuple[str, int]] = field(default_factory=set)
    requests: int = 0
    compared: int = 0
    """Starts beside an instance that held something back."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.world.links.holds_up = True
        self.world.seeds = tuple(list(self.world.machines)[:2])

    def pass_time(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.run(LOOK_EVERY_S)
            self._come()
            self._look()

    def _running(self) -> list[str]:
        return [
            name
            for name, machine in self.world.machines.items()
            if machine.core is not None and not machine.frozen
        ]

    def _come(self) -> None:
        """Let a request crash upstreams at an instance, and another start meanwhile."""
        running = self._running()
        if self.source.random() > COMES_PER_LOOK or len(running) < 2:
            return
        at, late = self.source.sample(running, 2)
        self.requests += 1
        request = f"request-{self.requests}"
        machine = self.world.machines[at]
        for number in range(CRASH_THRESHOLD):
            life = f"{request} life-{number}"
            self.world.after(number * BETWEEN_TRIES_S, self._cutter(at, life, request))
        if self.source.random() < 0.5:
            self.world.links.unlink(machine.name, late)
            return
        self.world.kill(late)
        self.world.after(self.source.uniform(*DOWN_S), lambda: self._start(late))

    def _cutter(self, name: str, life: str, request: str) -> Callable[[], None]:
        core = self.world.machines[name].core
        assert core is not None
        return lambda: self._cut_at(name, core, life, request)

    def _cut_at(self, name: str, core: Core, life: str, request: str) -> None:
        machine = self.world.machines[name]
        if machine.core is core and not machine.frozen:
            cut(self.world, name, life, request)

    def _look(self) -> None:
        self._note_held()
        pairs = self._calm_pairs()
        self.calm_since = {
            pair: self.calm_since.get(pair, self.world.now) for pair in pairs
        }
        for one, _, other, _ in pairs:
            self._compare(self.world.machines[one], self.world.machines[other])
        for name in self._running():
            machine = self.world.machines[name]
            if machine.core is not None and machine.core.ready:
                self.were_ready.add((name, machine.lives))

    def _note_held(self) -> None:
        held = {
            (name, self.world.machines[name].lives, request)
            for name in self._running()
            for request in self.world.machines[name].quarantine.held
        }
        self.held_since = {
            item: self.held_since.get(item, self.world.now) for item in held
        }

    def _calm_pairs(self) -> list[Pair]:
        """Return the linked pairs between which messages go now, both ways round."""
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
            found.append((name, one.lives, peer, other.lives))
            found.append((peer, other.lives, name, one.lives))
        return found

    def _compare(self, one: Machine, other: Machine) -> None:
        """Note what one holds back, and another that is ready does not."""
        core = other.core
        assert core is not None
        if not core.ready:
            return
        now = self.world.now
        is_new = (other.name, other.lives) not in self.were_ready
        linked_at = self.calm_since[one.name, one.lives, other.name, other.lives]
        for request in one.quarantine.held:
            since = self.held_since[one.name, one.lives, request]
            said = f"{other.name} at {now:.2f}: {request} of {one.name}"
            if is_new and now - since >= TOLD_S:
                self.compared += 1
            if other.quarantine.holds_back(request):
                continue
            if is_new and now - since >= TOLD_S:
                self.unknown_when_ready.append(said)
            is_late = now - max(since, linked_at) >= CAUGHT_UP_S
            if is_late and _passes_on(one, other):
                self.unknown_when_linked.append(said)


def _passes_on(one: Machine, other: Machine) -> bool:
    """Return whether an instance passes on to another what it was told itself.

    Hubs do so within their zone; members of another whose own hubs stand still hear
    it from these later, or from whoever reads the log.
    """
    assert one.core is not None
    return one.zone == other.zone or one.core._hubs.is_hub(other.name)


class ManyStartsTests(unittest.TestCase):
    def check(self, day: StartsDay) -> None:
        day.play()
        self.assertGreater(day.requests, 0)
        self.assertEqual(day.unknown_when_ready[:3], [])
        self.assertEqual(day.unknown_when_linked[:3], [])

    @settings(max_examples=8, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(StartsDay(7, seed))

    @settings(max_examples=2, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    @example(2)  # Both hubs of a zone stand still as a request is held back.
    def test_many_instances_with_hubs(self, seed: int) -> None:
        self.check(StartsDay(24, seed, 3))


class BrokenVariantTests(unittest.TestCase):
    """Each mechanism, broken on purpose: some of a few days must show it."""

    def is_caught(self) -> bool:
        """Return whether any of a few days finds something unknown."""
        for seed in SEEDS_OF_VARIANTS:
            day = StartsDay(7, seed)
            day.play()
            if day.unknown_when_ready or day.unknown_when_linked:
                return True
        return False

    def test_the_days_find_nothing_in_what_is_whole(self) -> None:
        self.assertFalse(self.is_caught())

    def test_links_that_tell_nothing(self) -> None:
        with mock.patch.object(CrashNotices, "_notify"):
            self.assertTrue(self.is_caught())

    def test_an_instance_that_tells_nobody_whom_it_is_linked_to_later(self) -> None:
        with mock.patch.object(CrashNotices, "greet"):
            self.assertTrue(self.is_caught())

    def test_an_instance_that_tells_only_whom_it_is_linked_to_later(self) -> None:
        with mock.patch.object(CrashNotices, "notify_quarantined"):
            self.assertTrue(self.is_caught())

    def test_hubs_that_pass_nothing_on(self) -> None:
        received = CrashNotices.notices_received

        def alone(self: CrashNotices, peer: str, message: CrashNotice) -> None:
            with mock.patch.object(self._hubs, "members", return_value=[]):
                received(self, peer, message)

        with mock.patch.object(CrashNotices, "notices_received", alone):
            day = StartsDay(24, SEED_OF_HUBS, 3)
            day.play()
        self.assertTrue(day.unknown_when_linked)

    def test_one_that_starts_and_does_not_wait_to_be_told(self) -> None:
        with mock.patch.object(Core, "_has_peer_state", True):
            self.assertTrue(self.is_caught())


if __name__ == "__main__":
    unittest.main()
