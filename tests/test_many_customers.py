"""Revoked keys and quotas on many instances under random faults.

Checked at every instance, connected or not, by what upstreams would see: no instance
accepts a revoked key after the revocation time, and no window has more tokens of a
customer than its quota allows. Nor may valid requests be refused: those with valid keys
at instances in contact, and, without faults, those of customers below their quota.
"""

import unittest
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import mock

from hypothesis import given, settings, strategies as st

from ashhoist.control.messages import ProofRequest, ProofResponse
from ashhoist.control.proofs import MICROSECOND, Proofs
from ashhoist.customers import (
    Allowances,
    Customer,
    Granter,
    Proof,
    Quota,
    QuotaUnit,
    digest,
)
from ashhoist.customers.charges import Charge, ChargeTimedOut
from ashhoist.process_settings import BoundsSection
from ashhoist.rates import shares
from ashhoist.requests.charging import CHARGE_TIMEOUT
from ashhoist.store import Topic

from .control_world import Machine, World
from .test_many_changes import STEP, ChangesDay

KEYS = 12
REVOCATION_S = 5.0
WINDOW_S = 8.0
OVERAGE = 0.1
TOKENS_PER_REQUEST = 2500.0
SLACK_TOKENS = 17_000.0
"""Tokens by which a window may exceed the quota in addition to the overage."""
OVER_QUOTA, BELOW_QUOTA = "hot", "calm"
QUOTA_BY_NAME = {
    OVER_QUOTA: Quota(40_000.0, 40_000.0, QuotaUnit.TOKENS),
    BELOW_QUOTA: Quota(40_000.0, 40_000.0, QuotaUnit.TOKENS),
}
SEEDS = (0, 7, 21)
DEMAND = {OVER_QUOTA: 4.0, BELOW_QUOTA: 0.55}
"""Tokens that callers ask for, relative to the quota's rate."""


@dataclass
class CustomersDay(ChangesDay):
    """A simulated run in which keys are revoked and one customer exceeds its quota.

    Attributes
    ----------
    removed_at : dict
        When the revocation of a key was confirmed.
    wrongly_accepted : list of str
        Where a key was accepted for too long.
    unproven : list of str
        Instances in contact that accepted no keys.
    spent : dict
        Times and numbers of tokens spent, by customer.
    home_by_caller : list of str
        The instance that each caller sends its requests to.
    """

    within_s: int = 3
    keys: list[str] = field(default_factory=lambda: [f"k{i}" for i in range(KEYS)])
    removed_at: dict[str, float] = field(default_factory=dict)
    wrongly_accepted: list[str] = field(default_factory=list)
    unproven: list[str] = field(default_factory=list)
    spent: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {OVER_QUOTA: [], BELOW_QUOTA: []}
    )
    refused: Counter[str] = field(default_factory=Counter)
    requested: Counter[str] = field(default_factory=Counter)
    home_by_caller: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self._write_keys()
        names = list(self.world.machines)
        self.home_by_caller = [self.rng.choice(names) for _ in range(40)]
        self.world.run(6.0)
        self._send_requests()

    def make_bounds(self) -> BoundsSection:
        bounds = super().make_bounds()
        within = timedelta(seconds=REVOCATION_S)
        return bounds.model_copy(update={"revocation": within})

    # Keys

    def _write_keys(self) -> None:
        digests = frozenset(digest(key) for key in self.keys)
        below_quota = Customer(BELOW_QUOTA, digests, quota=QUOTA_BY_NAME[BELOW_QUOTA])
        over_quota = Customer(
            OVER_QUOTA, frozenset({digest("h")}), quota=QUOTA_BY_NAME[OVER_QUOTA]
        )
        self.world.customers = (below_quota, over_quota)
        self.version += 1
        self.world.put_configuration(self.version, self.rng.choice((1, 20_000)))

    def change(self) -> None:
        """Revoke a key, or make one of the base class's changes."""
        if self.world.store.is_down:
            return
        if self.rng.random() < 0.5 and len(self.keys) > 1:
            key = self.keys.pop(self.rng.randrange(len(self.keys)))
            self.removed_at[key] = self.world.now
            self._write_keys()
            return
        super().change()

    def _check_state(self) -> None:
        super()._check_state()
        now = self.world.clock.monotonic()
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            self._check_keys(name, machine, now)

    def _check_keys(self, name: str, machine: Machine, now: timedelta) -> None:
        table = machine.active_configuration.table
        is_recent = machine.proof.is_recent(now)
        contact = self.affected_until[name] + self.bounds.contact.total_seconds()
        if not is_recent and self.world.now > contact + STEP:
            self.unproven.append(f"{name} at {self.world.now:.2f}")
        if table is None or not is_recent:
            return
        for key, at in self.removed_at.items():
            is_overdue = self.world.now > at + REVOCATION_S
            if is_overdue and table.customers.find(digest(key)) is not None:
                self.wrongly_accepted.append(f"{name} at {self.world.now:.2f}: {key}")

    # Quotas

    def _send_requests(self) -> None:
        """Send callers' requests for one step, and schedule the next step."""
        for customer, quota in QUOTA_BY_NAME.items():
            expected = quota.rate * DEMAND[customer] * STEP / TOKENS_PER_REQUEST
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self._charge(customer)
        self.world.after(STEP, self._send_requests)

    def _charge(self, customer: str) -> None:
        machine = self.world.machines[self.rng.choice(self.home_by_caller)]
        core = machine.core
        if core is None or machine.frozen:
            return
        charge = Charge(customer, TOKENS_PER_REQUEST)
        self.requested[customer] += 1
        charge.future.add_done_callback(
            lambda future: self._charged(customer, future.result().spent)
        )
        core.quotas.charge(charge)
        give_up = machine.bind_step(
            lambda core: core.quotas.charge_timed_out(ChargeTimedOut(charge))
        )
        self.world.after(CHARGE_TIMEOUT.total_seconds(), give_up)

    def _charged(self, customer: str, spent: bool) -> None:
        if spent:
            self.spent[customer].append((self.world.now, TOKENS_PER_REQUEST))
        else:
            self.refused[customer] += 1

    def over_quota(self) -> list[str]:
        """Return the windows with more tokens than allowed."""
        found = []
        for customer, spent in self.spent.items():
            quota = QUOTA_BY_NAME[customer]
            allowed = (quota.rate * WINDOW_S + quota.burst) * (
                1 + OVERAGE
            ) + SLACK_TOKENS
            first, total = 0, 0.0
            for at, tokens in spent:
                total += tokens
                while spent[first][0] < at - WINDOW_S:
                    total -= spent[first][1]
                    first += 1
                if total > allowed:
                    found.append(
                        f"{customer} at {at:.2f}: {total:.0f} of {allowed:.0f}"
                    )
        return found


class NoFaultTests(unittest.TestCase):
    def test_customer_below_its_quota_is_never_refused(self) -> None:
        day = CustomersDay(24, 1)
        day.pass_time(20.0)
        self.assertEqual(day.refused[BELOW_QUOTA], 0)
        self.assertEqual(day.over_quota(), [])
        self.assertEqual(day.unproven, [])

    def test_customer_above_its_quota_gets_the_full_quota(self) -> None:
        day = CustomersDay(24, 2)
        began = day.world.now
        day.pass_time(20.0)
        quota = QUOTA_BY_NAME[OVER_QUOTA]
        spent = sum(tokens for at, tokens in day.spent[OVER_QUOTA] if at >= began)
        self.assertGreater(spent, quota.rate * 20 * 0.95)


class ManyCustomersTests(unittest.TestCase):
    def check(self, day: CustomersDay) -> None:
        self.assertEqual(day.wrongly_accepted[:3], [])
        self.assertEqual(day.unproven[:3], [])
        self.assertEqual(day.over_quota()[:3], [])
        self.assertEqual(day.overdue_changes[:3], [])

    @settings(max_examples=12, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_a_mesh_of_few_instances(self, seed: int) -> None:
        day = CustomersDay(7, seed)
        day.play()
        self.check(day)

    @settings(max_examples=5, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_many_instances_with_hubs(self, seed: int) -> None:
        day = CustomersDay(24, seed)
        day.play()
        self.check(day)


class BrokenVariantTests(unittest.TestCase):
    """Disables one mechanism at a time: some of the seeded runs must detect it."""

    def finds(self, instances: int = 7, seeds: tuple[int, ...] = SEEDS) -> set[str]:
        """Return the kinds of violations that the seeded runs detect."""
        found = set()
        for seed in seeds:
            day = CustomersDay(instances, seed)
            day.play()
            if day.wrongly_accepted:
                found.add("wrongly_accepted")
            if day.over_quota():
                found.add("over quota")
            if day.unproven:
                found.add("unproven")
        return found

    def test_unmodified_code_has_no_violations(self) -> None:
        self.assertEqual(self.finds(), set())

    def test_detects_keys_accepted_without_proof(self) -> None:
        with mock.patch.object(Proof, "is_recent", lambda proof, now: True):
            self.assertIn("wrongly_accepted", self.finds())

    def test_detects_shares_that_never_expire(self) -> None:
        with mock.patch.object(shares, "SHARE_DELEGATION_TIME", timedelta(hours=1)):
            self.assertIn("over quota", self.finds())

    def test_detects_a_granter_that_ignores_shares(self) -> None:
        with mock.patch.object(Granter, "share", lambda *_: 1.0):
            self.assertIn("over quota", self.finds())

    def test_detects_unlimited_spending_without_the_leader(self) -> None:
        with mock.patch.object(Allowances, "spend_locally", lambda *_: None):
            self.assertIn("over quota", self.finds())

    def test_detects_proof_that_is_never_requested(self) -> None:
        with mock.patch.object(Proofs, "keep"), mock.patch.object(Proofs, "heard"):
            self.assertIn("unproven", self.finds())


class IsolatedStartTests(unittest.TestCase):
    def test_instance_that_knows_no_others_grants_nothing(self) -> None:
        """An instance that has just started can't know that there are no others.

        Fault: a customer got seven times its quota. All instances had been killed and
        started again, disconnected from each other and from the store. Each became the
        leader and assumed that it was the only one, because an unknown number of other
        instances counted as zero.
        """
        world = World(3)
        world.customers = (
            Customer(OVER_QUOTA, frozenset(), quota=QUOTA_BY_NAME[OVER_QUOTA]),
        )
        world.put_configuration(2)
        world.store.registered = set()
        for machine in world.machines.values():
            machine.links_cut = True
        world.start("instance-0")
        core = world.machines["instance-0"].core
        assert core is not None
        core.membership.knows_others = False
        world.run(3.0)
        core.membership.knows_others = False
        charge = Charge(OVER_QUOTA, TOKENS_PER_REQUEST)
        core.quotas.charge(charge)
        self.assertFalse(charge.future.result().spent)
        core.membership.knows_others = True
        world.run(1.0)
        charge = Charge(OVER_QUOTA, TOKENS_PER_REQUEST)
        core.quotas.charge(charge)
        self.assertTrue(charge.future.result().spent)


class ReceivedProofTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3)
        self.world.customers = (Customer(BELOW_QUOTA, frozenset({digest("k")})),)
        self.world.put_configuration(2)
        self.world.start()
        self.world.run(4.0)
        self.machine = self.world.machines["instance-0"]
        core = self.machine.core
        assert core is not None
        self.core = core
        self.machine.proof.proved_at = None
        self.known = core.records.replica.known_up_to(Topic.CONFIGURATION)

    def tell(self, asked_at: timedelta, offset: int) -> None:
        """Deliver another instance's answer that its proof was 0.3 s old."""
        answer = ProofResponse(asked_at // MICROSECOND, 300_000, offset)
        self.core.handle_message("instance-1", answer)

    def test_proof_age_counts_from_the_request(self) -> None:
        """An answer that was buffered while the process was frozen must count as old.

        Fault: a revoked key was accepted for some seconds too long. An instance asked
        for proof and was frozen; the answer arrived; the key was revoked; the instance
        resumed, disconnected, and read the answer. The proof's age was counted from
        when the answer was read, not from when it was requested.
        """
        asked_at = self.world.clock.monotonic()
        self.world.clock.advance(timedelta(seconds=4))
        self.tell(asked_at, self.known)
        age = self.machine.proof.age(self.world.clock.monotonic())
        self.assertEqual(age, timedelta(seconds=4.3))

    def test_proof_counts_only_once_its_offset_is_known(self) -> None:
        """Proof of a newer configuration must not vouch for an older one.

        Fault: a revoked key was accepted. An instance that had not received a change
        yet got proof from one that had, and applied the proof to its own, older state.
        """
        now = self.world.clock.monotonic()
        self.tell(now, self.known + 1)
        self.assertIsNone(self.machine.proof.proved_at)
        self.world.put_configuration(3)
        self.world.run(1.0, lambda: self.machine.proof.proved_at is not None)
        self.assertEqual(self.machine.active_configuration.version, 3)

    def test_instance_without_proof_sends_none(self) -> None:
        self.world.links.counts_bytes = True
        self.core.handle_message("instance-1", ProofRequest(0, -1))
        self.assertEqual(self.world.links.sent["ProofResponse"], 0)


if __name__ == "__main__":
    unittest.main()
