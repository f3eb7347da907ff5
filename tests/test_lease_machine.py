"""Leases of a few machines on one log, in any order of calls, answers and ends.

Calls may be lost, be done late, or be answered late; processes stand still, end and
start again, stop as planned, and have their tokens refused.
"""

import copy
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import mock

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ashhoist.clock import ZERO, ManualClock
from ashhoist.orders import AppendClaim, Lease, LeaseAction, LeaseTiming, ReadClaims
from ashhoist.store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Position,
    Record,
    Unavailable,
    Unknown,
    offset_of,
    position,
)

KEY = "orders"
TIMING = LeaseTiming()
CALL_PATIENCE = timedelta(milliseconds=1200)
"""After so long a call to the log is given up; it may still be done later."""
STEPS_MS = (20, 100, 200, 300, 500, 1000, 2500)
MANY_STEPS = 30
NAMES = ("one", "two", "three")


class Log:
    """One partition: records, appended only where it ends as wanted."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.era = 0

    @property
    def end(self) -> Position:
        return position(self.era, len(self.records))

    def do(self, action: LeaseAction) -> Newest | AppendResult:
        """Do a call and return its answer."""
        if isinstance(action, ReadClaims):
            newest = [
                Record(Position(self.end - 1), key, value)
                for key, value in self.records[-1:]
            ]
            return Newest(tuple(newest), self.end)
        if offset_of(action.at) != len(self.records):
            return ConditionFailed(self.end)
        self.records.append((action.claim.key, action.claim.encode()))
        return Appended(Position(self.end - 1))

    def restore(self, lost: int) -> None:
        """Start a new era without the last `lost` records; at least one is kept."""
        self.era += 1
        del self.records[max(1, len(self.records) - lost) :]


@dataclass(slots=True)
class Process:
    """One life of a machine, and the call it waits for."""

    lease: Lease
    call: LeaseAction | None = None
    called_at: timedelta = ZERO
    answer: Newest | AppendResult | None = None
    frozen: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """An order as it left."""

    machine: str
    token: int
    at: timedelta


@dataclass(slots=True)
class World:
    """Machines by name, their log, and what they have ordered."""

    clock: ManualClock = field(default_factory=ManualClock)
    log: Log = field(default_factory=Log)
    by_name: dict[str, Process] = field(default_factory=dict)
    late: list[LeaseAction] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    lives: int = 0

    def start(self, name: str) -> None:
        """Start a process; what an earlier one asked of the log may come later."""
        self.end(name)
        self.lives += 1
        lease = Lease(KEY, name, f"{name}-{self.lives}", TIMING, self.clock)
        self.by_name[name] = Process(lease)

    def end(self, name: str) -> None:
        """End a process."""
        process = self.by_name.pop(name, None)
        if process is not None and process.call and process.answer is None:
            self.late.append(process.call)

    def call(self, process: Process) -> None:
        """Make the call that is due, if any."""
        if process.frozen or process.call is not None:
            return
        process.call = process.lease.due()
        process.called_at = self.clock.monotonic()

    def do(self, process: Process) -> None:
        """Have the log do the call that a process waits for."""
        if process.call is not None and process.answer is None:
            process.answer = self.log.do(process.call)

    def tell(self, process: Process) -> None:
        """Give a process the answer to its call."""
        if process.frozen or process.answer is None:
            return
        self._take(process, process.answer)

    def give_up(self, process: Process) -> None:
        """Have a process give up its call; the log may do it later."""
        if process.frozen or process.call is None:
            return
        if process.answer is None:
            self.late.append(process.call)
        read = isinstance(process.call, ReadClaims)
        self._take(process, Unavailable() if read else Unknown())

    def _take(self, process: Process, answer: object) -> None:
        call, process.call, process.answer = process.call, None, None
        if isinstance(call, AppendClaim):
            assert isinstance(answer, AppendResult)
            process.lease.appended(call, answer)
            return
        assert isinstance(answer, Newest | Unavailable)
        process.lease.read(answer)

    def advance(self, step: timedelta) -> None:
        """Let time pass; calls are given up that take too long."""
        self.clock.advance(step)
        now = self.clock.monotonic()
        for process in self.by_name.values():
            if now - process.called_at >= CALL_PATIENCE:
                self.give_up(process)

    def order(self, name: str) -> None:
        """Send an order if the machine may."""
        process = self.by_name[name]
        if process.frozen:
            return
        token = process.lease.fence()
        if token is not None:
            self.sent.append(Sent(name, token, self.clock.monotonic()))

    def holders(self) -> list[str]:
        """Return who might order now; asking counts as no order."""
        return [
            name
            for name, process in self.by_name.items()
            if copy.copy(process.lease).fence() is not None
        ]


def broken_rule(sent: list[Sent]) -> str:
    """Return what the newest order breaks, or an empty text."""
    if len(sent) < 2:
        return ""
    newest, before = sent[-1], sent[-2]
    if newest.token < before.token:
        return "a lower token behind a higher one"
    machines = {order.machine for order in sent if order.token == newest.token}
    if len(machines) > 1:
        return "two machines under one token"
    if newest.machine == before.machine:
        return ""
    for earlier in reversed(sent[:-1]):
        if earlier.machine != newest.machine:
            continue
        if newest.at - earlier.at < TIMING.turn:
            return "back within a turn"
        return ""
    return ""


class LeaseMachine(RuleBasedStateMachine):
    """Any order of what may happen."""

    names = st.sampled_from(NAMES)

    @initialize()
    def begin(self) -> None:
        """Start all machines."""
        self.world = World()
        for name in NAMES:
            self.world.start(name)

    def _process(self, name: str) -> Process:
        if name not in self.world.by_name:
            self.world.start(name)
        return self.world.by_name[name]

    def _exchange(self, process: Process) -> None:
        self.world.call(process)
        self.world.do(process)
        self.world.tell(process)

    @rule(name=names, part=st.sampled_from(("call", "do", "tell", "give_up")))
    def take_part(self, name: str, part: str) -> None:
        """Do one part of an exchange with the log."""
        getattr(self.world, part)(self._process(name))

    @rule(name=names)
    def lose(self, name: str) -> None:
        """Make a call that is given up; the log may do it later."""
        process = self._process(name)
        self.world.call(process)
        self.world.give_up(process)

    @rule(name=names)
    def exchange(self, name: str) -> None:
        """Make calls that are answered at once, and order."""
        for _ in range(2):
            self._exchange(self._process(name))
        self._order(name)

    @rule(which=st.integers(0, 7))
    def late(self, which: int) -> None:
        """Do a call that was given up."""
        late = self.world.late
        if late:
            self.world.log.do(late.pop(-1 - which % len(late)))

    def _order(self, name: str) -> None:
        self.world.order(name)
        assert not broken_rule(self.world.sent), self.world.sent[-3:]

    @rule(name=names, other=names)
    def hear(self, name: str, other: str) -> None:
        """Tell one machine what another knows."""
        process, teller = self._process(name), self._process(other)
        claim = teller.lease.claim
        if claim is not None and not process.frozen and not teller.frozen:
            process.lease.heard(claim)

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms: int) -> None:
        """Let time pass."""
        self.world.advance(timedelta(milliseconds=step_ms))

    @rule(name=names)
    def live_on(self, name: str) -> None:
        """Let one machine work for longer than a term, while others rest."""
        for _ in range(10):
            self.world.advance(timedelta(seconds=1))
            self._exchange(self._process(name))
            self._order(name)

    @rule(name=names, ends=st.booleans())
    def disturb(self, name: str, ends: bool) -> None:
        """End a process and start another, or halt it, or let it go on."""
        if ends:
            self.world.start(name)
            return
        process = self._process(name)
        process.frozen = not process.frozen

    @rule(name=names)
    def order(self, name: str) -> None:
        """Send an order, under what was claimed a while ago."""
        self._process(name)
        self._order(name)

    @rule(name=names, other=st.sampled_from((*NAMES, None)))
    def hand_over(self, name: str, other: str | None) -> None:
        """Stop a process as planned, which releases its lease; another one claims."""
        process = self._process(name)
        if process.frozen:
            return
        process.lease.stop()
        for _ in range(2):
            self._exchange(process)
        if process.lease.released:
            self.world.start(name)
        if other is not None:
            self.exchange(other)

    @rule(name=names)
    def refuse(self, name: str) -> None:
        """Have an engine refuse a process's token."""
        process = self._process(name)
        token = copy.copy(process.lease).fence()
        if token is not None:
            process.lease.refused(token)

    @invariant()
    def one_holder(self) -> None:
        """Check that one machine at most may order."""
        if hasattr(self, "world"):
            assert len(self.world.holders()) <= 1, self.world.holders()


class RestoredLeaseMachine(LeaseMachine):
    """As above, and the log may be restored at any time."""

    @rule(lost=st.integers(0, 5), pause_ms=st.sampled_from((0, 500, 3000)))
    def restore(self, lost: int, pause_ms: int) -> None:
        """Restore the log from a copy, after a while in which it answered nobody."""
        self.world.advance(timedelta(milliseconds=pause_ms))
        self.world.log.restore(lost)


LIMITS = settings(
    max_examples=60,
    stateful_step_count=MANY_STEPS,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CAUGHT = settings(LIMITS, max_examples=600, phases=(Phase.generate,))
"""A broken variant needs no shortest example."""


def _claims_at_once(lease: Lease) -> timedelta:
    return lease._known_since


class LeaseMachineTests(unittest.TestCase):
    """One holder, tokens that only rise, and no machine back within a turn."""

    def test_no_rule_is_broken(self) -> None:
        run_state_machine_as_test(LeaseMachine, settings=LIMITS)

    def test_nor_where_the_log_is_restored(self) -> None:
        run_state_machine_as_test(RestoredLeaseMachine, settings=LIMITS)

    def assert_caught(
        self,
        attribute: str,
        broken: Callable[..., object],
        machine: type[LeaseMachine] = LeaseMachine,
    ) -> None:
        with mock.patch.object(Lease, attribute, broken):
            with self.assertRaises(AssertionError):
                run_state_machine_as_test(machine, settings=CAUGHT)

    def test_a_successor_that_does_not_wait_is_caught(self) -> None:
        self.assert_caught("_claimable_from", _claims_at_once)

    def test_a_successor_that_does_not_wait_after_a_restore_is_caught(self) -> None:
        self.assert_caught(
            "_is_from_earlier_era", lambda *_: False, RestoredLeaseMachine
        )

    def test_a_holder_that_comes_back_without_waiting_is_caught(self) -> None:
        self.assert_caught("_turn_left_from", lambda *_: ZERO)


if __name__ == "__main__":
    unittest.main()
