"""Rate-limited upstreams, under faults of the log, links, processes and the leader.

Whichever instances are disconnected, killed or frozen, and even with two leaders at
once: the instances that know of a limit together send no more than it allows, and the
instances in contact know of it.
"""

import unittest
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from ashhoist.control.core import Core
from ashhoist.control.limit_notices import LimitNotices
from ashhoist.control.permits import Permits
from ashhoist.placement.messages import Target
from ashhoist.rates import DelegatedShares
from ashhoist.upstreams import Permit, PermitRequest, StatedLimit, UpstreamState

from .control_world import Machine
from .test_many_changes import ENGINES, ChangesDay
from .world_requests import want

LIMITED = 2
"""Number of engines that name limits in a run; these are the first ones."""
ADAPTERS = 8
LIMITS = (0.0, 0.5, 1.0, 1.2, 3.0, 6.0)
FIRST_NAMED_S = 2.0
CHANGES_EVERY_S = 14.0
REQUESTS_PER_STEP = 5
WINDOW_S = 4.0
KNOWN_FOR_S = 0.5
"""How long an instance knows of a limit before its sends count."""
RATE_TOLERANCE = 1.5
COUNT_TOLERANCE = 5
"""A window may have this factor of its limit, plus this number, before it fails."""
ANSWERED_AFTER_S = 0.06
SEEDS_OF_VARIANTS = (1, 6)


@dataclass(frozen=True)
class Arrival:
    """A request that has reached a limited engine.

    Parameters
    ----------
    must_comply : bool
        Whether its sender has to comply with the limit.
    """

    at: float
    engine: str
    must_comply: bool


@dataclass
class LimitsDay(ChangesDay):
    """A simulated run in which two engines name limits, change and remove them."""

    limit_by_engine: dict[str, float] = field(default_factory=dict)
    named_at: dict[str, float] = field(default_factory=dict)
    """Since when an engine has named its current limit."""
    knows_since: dict[tuple[str, int, str], float] = field(default_factory=dict)
    """By instance, number of its process, and engine: since when it knows the limit."""
    arrivals: list[Arrival] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    """Windows with more arrivals than a limit allows."""
    checked_windows: int = 0
    requests_sent: int = 0
    next_change: float = 0.0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.world.links.delivers_after_interruption = True
        self.next_change = self.world.now + FIRST_NAMED_S

    def change(self) -> None:
        """Write a change, but keep the limited engines in service."""
        super().change()
        name = f"engine-{self.rng.randrange(LIMITED)}"
        if not self.world.store.is_down:
            self.world.write_engine(name, UpstreamState.READY)

    def _check_state(self) -> None:
        super()._check_state()
        self._change_limits()
        self._record_who_knows()
        for _ in range(REQUESTS_PER_STEP):
            self._send()

    def _change_limits(self) -> None:
        """Change or remove the engines' limits every `CHANGES_EVERY_S`."""
        if self.world.now < self.next_change:
            return
        self.next_change = self.world.now + CHANGES_EVERY_S
        for number in range(LIMITED):
            engine = f"engine-{number}"
            if engine in self.limit_by_engine and self.rng.random() < 0.2:
                del self.limit_by_engine[engine]
                self.named_at.pop(engine, None)
                continue
            limit = self.rng.choice(LIMITS)
            self.limit_by_engine[engine] = limit
            # A lower limit is checked only once all have had the time to learn of it.
            self.named_at[engine] = self.world.now

    def _record_who_knows(self) -> None:
        for name, machine in self.world.machines.items():
            for number in range(LIMITED):
                engine = f"engine-{number}"
                key = (name, machine.process_number, engine)
                if machine.core is None or machine.limits.of(engine) is None:
                    self.knows_since.pop(key, None)
                    continue
                self.knows_since.setdefault(key, self.world.now)

    # Requests

    def _send(self) -> None:
        name = self.rng.choice(list(self.world.machines))
        machine = self.world.machines[name]
        if machine.core is None or machine.frozen:
            return
        self.requests_sent += 1
        if self.rng.random() < 0.3:
            self._send_plain(machine, machine.core)
            return
        answer = want(self.world, name, f"a{self.rng.randrange(ADAPTERS)}")
        answer.add_done_callback(self._placed(machine, machine.core))

    def _placed(self, machine: Machine, core: Core) -> Callable[[Future[Any]], None]:
        """Return the callback for a request that has been placed or refused."""

        def arrive(answer: Future[Any]) -> None:
            target = answer.result()
            if not isinstance(target, Target):
                return
            if machine.limits.of(target.upstream) is not None and not target.permitted:
                # The instance returns the placement right before it would send.
                return
            self._record_arrival(machine, core, target.upstream)

        return arrive

    def _send_plain(self, machine: Machine, core: Core) -> None:
        """Send a request that needs no placement by the leader."""
        engine = f"engine-{self.rng.randrange(LIMITED)}"
        if machine.limits.of(engine) is None:
            self._record_arrival(machine, core, engine)
            return
        wanted = PermitRequest(engine)

        def permitted(answer: Future[Permit]) -> None:
            if answer.result().granted and machine.core is core:
                self._record_arrival(machine, core, engine)

        wanted.answer.add_done_callback(permitted)
        machine.run_step(core, lambda: core.permits.ask(wanted))

    def _record_arrival(self, machine: Machine, core: Core, engine: str) -> None:
        if engine not in {f"engine-{number}" for number in range(LIMITED)}:
            return
        if engine not in self.world.engines:
            return
        now = self.world.now
        self.arrivals.append(Arrival(now, engine, self._must_comply(machine, engine)))
        limit = self.limit_by_engine.get(engine)
        asked_at = self.world.clock.monotonic()

        def answer() -> None:
            incarnation = core._directory.incarnation_of(engine)
            if limit is None and not machine.limits.knows(incarnation):
                return
            answered_at = self.world.clock.monotonic()
            core.limit_notices.noticed(
                StatedLimit(incarnation, limit, asked_at, answered_at)
            )
            core.settle()

        self.world.after(ANSWERED_AFTER_S, lambda: machine.run_step(core, answer))

    def _must_comply(self, machine: Machine, engine: str) -> bool:
        since = self.knows_since.get((machine.name, machine.process_number, engine))
        if since is not None and self.world.now >= since + KNOWN_FOR_S:
            return True
        return self._in_contact(machine.name)

    def _in_contact(self, name: str) -> bool:
        contact = self.bounds.contact.total_seconds()
        return self.world.now > self.affected_until[name] + contact

    # What is checked

    def pass_time(self, seconds: float) -> None:
        """Let time pass, and check the arrivals against the limits."""
        until = self.world.now + seconds
        while self.world.now < until:
            super().pass_time(0.1)
            self._check()

    def _check(self) -> None:
        contact = self.bounds.contact.total_seconds()
        self.arrivals = [a for a in self.arrivals if a.at > self.world.now - WINDOW_S]
        for engine, named_at in self.named_at.items():
            if self.world.now - WINDOW_S < named_at + contact:
                continue
            arrived = sum(a.engine == engine and a.must_comply for a in self.arrivals)
            allowed = (
                RATE_TOLERANCE * self.limit_by_engine[engine] * WINDOW_S
                + COUNT_TOLERANCE
            )
            self.checked_windows += 1
            if arrived > allowed:
                violation = f"{engine} at {self.world.now:.2f}: {arrived} of {allowed}"
                self.violations.append(violation)


class ManyLimitsTests(unittest.TestCase):
    def check(self, day: LimitsDay) -> None:
        day.play()
        self.assertGreater(day.checked_windows, 0)
        self.assertEqual(day.violations[:3], [])

    @settings(max_examples=12, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        self.check(LimitsDay(7, seed))

    @settings(max_examples=4, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    # Twelve disconnected instances each led alone, and each sent a request immediately.
    @example(648)
    def test_many_instances_with_hubs(self, seed: int) -> None:
        self.check(LimitsDay(24, seed, 3))


class BrokenVariantTests(unittest.TestCase):
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def is_caught(self) -> bool:
        for seed in SEEDS_OF_VARIANTS:
            day = LimitsDay(24, seed, 3)
            day.play()
            if day.violations:
                return True
        return False

    def test_unmodified_code_has_no_violations(self) -> None:
        self.assertFalse(self.is_caught())

    def test_detects_a_leader_that_grants_everything(self) -> None:
        with mock.patch.object(Permits, "take", return_value=True):
            self.assertTrue(self.is_caught())

    def test_detects_limits_that_are_not_relayed(self) -> None:
        with mock.patch.object(LimitNotices, "_notify"):
            self.assertTrue(self.is_caught())

    def test_detects_leaders_that_each_grant_the_full_limit(self) -> None:
        with mock.patch.object(DelegatedShares, "share", return_value=1.0):
            self.assertTrue(self.is_caught())


assert LIMITED < ENGINES


if __name__ == "__main__":
    unittest.main()
