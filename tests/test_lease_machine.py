"""Stateful tests of the leases of a few machines that share one log.

Hypothesis chooses the order of calls, results and failures. Calls may be lost, be
executed late, or be answered late. Processes are suspended, are killed and restarted,
stop gracefully, and have their tokens rejected.
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
CALL_TIMEOUT = timedelta(milliseconds=1200)
"""Timeout of a call to the log; the log may still execute the call later."""
STEPS_MS = (20, 100, 200, 300, 500, 1000, 2500)
STEP_COUNT = 30
NAMES = ("one", "two", "three")


class Log:
    """One partition; appends are conditional on the end of the log."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.era = 0

    @property
    def end(self) -> Position:
        return position(self.era, len(self.records))

    def execute(self, action: LeaseAction) -> Newest | AppendResult:
        """Execute a call and return its result."""
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
        """Start a new era and drop the last `lost` records, but keep at least one."""
        self.era += 1
        del self.records[max(1, len(self.records) - lost) :]


@dataclass(slots=True)
class Process:
    """One process of a machine, and its outstanding call."""

    lease: Lease
    call: LeaseAction | None = None
    called_at: timedelta = ZERO
    answer: Newest | AppendResult | None = None
    frozen: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """An order that was sent."""

    machine: str
    token: int
    at: timedelta


@dataclass(slots=True)
class World:
    """Processes by machine name, their log, and the orders that they sent."""

    clock: ManualClock = field(default_factory=ManualClock)
    log: Log = field(default_factory=Log)
    by_name: dict[str, Process] = field(default_factory=dict)
    timed_out: list[LeaseAction] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    start_count: int = 0

    def start(self, name: str) -> None:
        """Start a process; a call of its predecessor may still be executed later."""
        self.end(name)
        self.start_count += 1
        lease = Lease(KEY, name, f"{name}-{self.start_count}", TIMING, self.clock)
        self.by_name[name] = Process(lease)

    def end(self, name: str) -> None:
        """Kill a process."""
        process = self.by_name.pop(name, None)
        if process is not None and process.call and process.answer is None:
            self.timed_out.append(process.call)

    def call(self, process: Process) -> None:
        """Start the call that is due, if any."""
        if process.frozen or process.call is not None:
            return
        process.call = process.lease.due()
        process.called_at = self.clock.monotonic()

    def execute(self, process: Process) -> None:
        """Let the log execute the outstanding call of a process."""
        if process.call is not None and process.answer is None:
            process.answer = self.log.execute(process.call)

    def deliver(self, process: Process) -> None:
        """Deliver the result of its call to a process."""
        if process.frozen or process.answer is None:
            return
        self._deliver_result(process, process.answer)

    def time_out(self, process: Process) -> None:
        """Let the call of a process time out; the log may execute it later."""
        if process.frozen or process.call is None:
            return
        if process.answer is None:
            self.timed_out.append(process.call)
        read = isinstance(process.call, ReadClaims)
        self._deliver_result(process, Unavailable() if read else Unknown())

    def _deliver_result(self, process: Process, answer: object) -> None:
        call, process.call, process.answer = process.call, None, None
        if isinstance(call, AppendClaim):
            assert isinstance(answer, AppendResult)
            process.lease.appended(call, answer)
            return
        assert isinstance(answer, Newest | Unavailable)
        process.lease.claims_read(answer)

    def advance(self, step: timedelta) -> None:
        """Let time pass; calls that take too long time out."""
        self.clock.advance(step)
        now = self.clock.monotonic()
        for process in self.by_name.values():
            if now - process.called_at >= CALL_TIMEOUT:
                self.time_out(process)

    def order(self, name: str) -> None:
        """Send an order if the machine's lease permits it."""
        process = self.by_name[name]
        if process.frozen:
            return
        token = process.lease.fence()
        if token is not None:
            self.sent.append(Sent(name, token, self.clock.monotonic()))

    def holders(self) -> list[str]:
        """Return the machines that may send orders now, without recording an order.

        `Lease.fence` records the time of the order, so it is called on a copy.
        """
        return [
            name
            for name, process in self.by_name.items()
            if copy.copy(process.lease).fence() is not None
        ]


def broken_rule(sent: list[Sent]) -> str:
    """Return the rule that the newest order violates, or an empty string."""
    if len(sent) < 2:
        return ""
    newest, before = sent[-1], sent[-2]
    if newest.token < before.token:
        return "a lower token after a higher one"
    machines = {order.machine for order in sent if order.token == newest.token}
    if len(machines) > 1:
        return "two machines under one token"
    if newest.machine == before.machine:
        return ""
    for earlier in reversed(sent[:-1]):
        if earlier.machine != newest.machine:
            continue
        if newest.at - earlier.at < TIMING.return_interval:
            return "the same machine again within the return interval"
        return ""
    return ""


class LeaseMachine(RuleBasedStateMachine):
    """Events in any order."""

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
        self.world.execute(process)
        self.world.deliver(process)

    @rule(name=names, part=st.sampled_from(("call", "execute", "deliver", "time_out")))
    def exchange_step(self, name: str, part: str) -> None:
        """Run one step of an exchange with the log."""
        getattr(self.world, part)(self._process(name))

    @rule(name=names)
    def lose(self, name: str) -> None:
        """Make a call that times out; the log may execute it later."""
        process = self._process(name)
        self.world.call(process)
        self.world.time_out(process)

    @rule(name=names)
    def exchange(self, name: str) -> None:
        """Make calls that are answered at once, then send an order."""
        for _ in range(2):
            self._exchange(self._process(name))
        self._order(name)

    @rule(which=st.integers(0, 7))
    def execute_timed_out(self, which: int) -> None:
        """Execute a call that has timed out."""
        timed_out = self.world.timed_out
        if timed_out:
            self.world.log.execute(timed_out.pop(-1 - which % len(timed_out)))

    def _order(self, name: str) -> None:
        self.world.order(name)
        assert not broken_rule(self.world.sent), self.world.sent[-3:]

    @rule(name=names, other=names)
    def receive_claim(self, name: str, other: str) -> None:
        """Send one machine the newest claim that another one knows."""
        process, sender = self._process(name), self._process(other)
        claim = sender.lease.claim
        if claim is not None and not process.frozen and not sender.frozen:
            process.lease.receive_claim(claim)

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms: int) -> None:
        """Let time pass."""
        self.world.advance(timedelta(milliseconds=step_ms))

    @rule(name=names)
    def run_alone(self, name: str) -> None:
        """Run one machine for longer than a term while the others are idle."""
        for _ in range(10):
            self.world.advance(timedelta(seconds=1))
            self._exchange(self._process(name))
            self._order(name)

    @rule(name=names, ends=st.booleans())
    def disturb(self, name: str, ends: bool) -> None:
        """Restart a process, or suspend or resume it."""
        if ends:
            self.world.start(name)
            return
        process = self._process(name)
        process.frozen = not process.frozen

    @rule(name=names)
    def order(self, name: str) -> None:
        """Send an order without any exchange with the log before it."""
        self._process(name)
        self._order(name)

    @rule(name=names, other=st.sampled_from((*NAMES, None)))
    def hand_over(self, name: str, other: str | None) -> None:
        """Stop a process gracefully, which releases its lease; another one claims."""
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
        """Let an engine reject the token of a process."""
        process = self._process(name)
        token = copy.copy(process.lease).fence()
        if token is not None:
            process.lease.reject_token(token)

    @invariant()
    def one_holder(self) -> None:
        """Check that at most one machine may send orders."""
        if hasattr(self, "world"):
            assert len(self.world.holders()) <= 1, self.world.holders()


class RestoredLeaseMachine(LeaseMachine):
    """Like `LeaseMachine`, but the log may also be restored at any time."""

    @rule(lost=st.integers(0, 5), pause_ms=st.sampled_from((0, 500, 3000)))
    def restore(self, lost: int, pause_ms: int) -> None:
        """Restore the log from an older copy after a pause without any calls."""
        self.world.advance(timedelta(milliseconds=pause_ms))
        self.world.log.restore(lost)


LIMITS = settings(
    max_examples=60,
    stateful_step_count=STEP_COUNT,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
MUTANT_LIMITS = settings(LIMITS, max_examples=600, phases=(Phase.generate,))
"""For deliberately broken variants, whose failing examples need not be minimized."""


def _claimable_at_once(lease: Lease) -> timedelta:
    return lease._claim_known_since


class LeaseMachineTests(unittest.TestCase):
    """One holder at a time, tokens never decrease, and the return interval is kept.

    The tests named "is caught" break one rule on purpose and check that the state
    machine detects it.
    """

    def test_no_rule_is_broken(self) -> None:
        run_state_machine_as_test(LeaseMachine, settings=LIMITS)

    def test_no_rule_is_broken_if_the_log_is_restored(self) -> None:
        run_state_machine_as_test(RestoredLeaseMachine, settings=LIMITS)

    def assert_caught(
        self,
        attribute: str,
        broken: Callable[..., object],
        machine: type[LeaseMachine] = LeaseMachine,
    ) -> None:
        with mock.patch.object(Lease, attribute, broken):
            with self.assertRaises(AssertionError):
                run_state_machine_as_test(machine, settings=MUTANT_LIMITS)

    def test_a_successor_that_does_not_wait_is_caught(self) -> None:
        self.assert_caught("_claimable_from", _claimable_at_once)

    def test_a_successor_that_does_not_wait_after_a_restore_is_caught(self) -> None:
        self.assert_caught(
            "_is_from_earlier_era", lambda *_: False, RestoredLeaseMachine
        )

    def test_a_holder_that_returns_without_waiting_is_caught(self) -> None:
        self.assert_caught("_return_wait_until", lambda *_: ZERO)


if __name__ == "__main__":
    unittest.main()
