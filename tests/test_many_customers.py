"""Keys taken away and quotas, on many instances under random troubles.

Checked at every instance, in contact or not, from what upstreams would see: a key that
was taken away is accepted nowhere when its time is over, and no window has more of a
customer's tokens than its quota allows. Beside, what must not be refused: callers with
good keys at instances that are in contact, and customers that stay below their quota on
a day without troubles.
"""

import unittest
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import mock

from hypothesis import given, settings, strategies as st

from ashhoist.control.messages import AskProof, Proven
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
from ashhoist.customers.charges import Charge, ChargeUnanswered
from ashhoist.process_settings import BoundsSection
from ashhoist.rates import shares
from ashhoist.requests.charging import PATIENCE
from ashhoist.store import Topic

from .control_world import Machine, World
from .test_many_changes import STEP, ChangesDay

KEYS = 12
REVOKED_WITHIN = 5.0
WINDOW_S = 8.0
OVERAGE = 0.1
TOKENS = 2500.0
SLACK = 17_000.0
"""Tokens by which the platform lets a window be passed, beside the overage."""
HOT, CALM = "hot", "calm"
QUOTA_BY_NAME = {
    HOT: Quota(40_000.0, 40_000.0, QuotaUnit.TOKENS),
    CALM: Quota(40_000.0, 40_000.0, QuotaUnit.TOKENS),
}
SEEDS = (0, 7, 21)
DEMAND = {HOT: 4.0, CALM: 0.55}
"""Of the quota's rate, that callers ask for."""


@dataclass
class CustomersDay(ChangesDay):
    """A day on which keys come and go, and one customer asks for far too much.

    Attributes
    ----------
    removed_at : dict
        When it was confirmed that a key is taken away.
    accepted : list of str
        Where a key was accepted for too long.
    needless : list of str
        Instances in contact that accepted no key.
    spent : dict
        When, and how many tokens, by customer.
    """

    within_s: int = 3
    keys: list[str] = field(default_factory=lambda: [f"k{i}" for i in range(KEYS)])
    removed_at: dict[str, float] = field(default_factory=dict)
    accepted: list[str] = field(default_factory=list)
    needless: list[str] = field(default_factory=list)
    spent: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {HOT: [], CALM: []}
    )
    refused: Counter[str] = field(default_factory=Counter)
    asked: Counter[str] = field(default_factory=Counter)
    homes: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self._write_keys()
        names = list(self.world.machines)
        self.homes = [self.source.choice(names) for _ in range(40)]
        self.world.run(6.0)
        self._keep_asking()

    def make_bounds(self) -> BoundsSection:
        bounds = super().make_bounds()
        within = timedelta(seconds=REVOKED_WITHIN)
        return bounds.model_copy(update={"revocation": within})

    # Keys

    def _write_keys(self) -> None:
        digests = frozenset(digest(key) for key in self.keys)
        calm = Customer(CALM, digests, quota=QUOTA_BY_NAME[CALM])
        hot = Customer(HOT, frozenset({digest("h")}), quota=QUOTA_BY_NAME[HOT])
        self.world.customers = (calm, hot)
        self.version += 1
        self.world.put_configuration(self.version, self.source.choice((1, 20_000)))

    def change(self) -> None:
        """Take a key away, at times; else change what other days change."""
        if self.world.store.is_down:
            return
        if self.source.random() < 0.5 and len(self.keys) > 1:
            key = self.keys.pop(self.source.randrange(len(self.keys)))
            self.removed_at[key] = self.world.now
            self._write_keys()
            return
        super().change()

    def _look(self) -> None:
        super()._look()
        now = self.world.clock.monotonic()
        for name, machine in self.world.machines.items():
            if machine.core is None or machine.frozen:
                continue
            self._look_at_keys(name, machine, now)

    def _look_at_keys(self, name: str, machine: Machine, now: timedelta) -> None:
        table = machine.in_force.table
        holds = machine.proof.holds(now)
        contact = self.touched[name] + self.bounds.contact.total_seconds()
        if not holds and self.world.now > contact + STEP:
            self.needless.append(f"{name} at {self.world.now:.2f}")
        if table is None or not holds:
            return
        for key, at in self.removed_at.items():
            late = self.world.now > at + REVOKED_WITHIN
            if late and table.customers.find(digest(key)) is not None:
                self.accepted.append(f"{name} at {self.world.now:.2f}: {key}")

    # Quotas

    def _keep_asking(self) -> None:
        """Let callers ask, each at its instance or, if that is gone, at another."""
        for customer, quota in QUOTA_BY_NAME.items():
            expected = quota.rate * DEMAND[customer] * STEP / TOKENS
            count = int(expected) + (self.source.random() < expected % 1)
            for _ in range(count):
                self._ask(customer)
        self.world.after(STEP, self._keep_asking)

    def _ask(self, customer: str) -> None:
        machine = self.world.machines[self.source.choice(self.homes)]
        core = machine.core
        if core is None or machine.frozen:
            return
        charge = Charge(customer, TOKENS)
        self.asked[customer] += 1
        charge.answer.add_done_callback(
            lambda answer: self._charged(customer, answer.result().spent)
        )
        core.quotas.charge(charge)
        late = machine.then(
            lambda core: core.quotas.unanswered(ChargeUnanswered(charge))
        )
        self.world.after(PATIENCE.total_seconds(), late)

    def _charged(self, customer: str, spent: bool) -> None:
        if spent:
            self.spent[customer].append((self.world.now, TOKENS))
        else:
            self.refused[customer] += 1

    def over_quota(self) -> list[str]:
        """Return the windows that have more tokens than allowed."""
        found = []
        for customer, spent in self.spent.items():
            quota = QUOTA_BY_NAME[customer]
            allowed = (quota.rate * WINDOW_S + quota.burst) * (1 + OVERAGE) + SLACK
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


class CalmDayTests(unittest.TestCase):
    def test_below_its_quota_a_customer_is_refused_nothing(self) -> None:
        day = CustomersDay(24, 1)
        day.pass_time(20.0)
        self.assertEqual(day.refused[CALM], 0)
        self.assertEqual(day.over_quota(), [])
        self.assertEqual(day.needless, [])

    def test_above_its_quota_a_customer_gets_all_of_it(self) -> None:
        day = CustomersDay(24, 2)
        began = day.world.now
        day.pass_time(20.0)
        quota = QUOTA_BY_NAME[HOT]
        spent = sum(tokens for at, tokens in day.spent[HOT] if at >= began)
        self.assertGreater(spent, quota.rate * 20 * 0.95)


class ManyCustomersTests(unittest.TestCase):
    def check(self, day: CustomersDay) -> None:
        self.assertEqual(day.accepted[:3], [])
        self.assertEqual(day.needless[:3], [])
        self.assertEqual(day.over_quota()[:3], [])
        self.assertEqual(day.late[:3], [])

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
    """Each mechanism, broken on purpose: some of a few days must show it."""

    def finds(self, instances: int = 7, seeds: tuple[int, ...] = SEEDS) -> set[str]:
        """Return what a few days find."""
        found = set()
        for seed in seeds:
            day = CustomersDay(instances, seed)
            day.play()
            if day.accepted:
                found.add("accepted")
            if day.over_quota():
                found.add("over quota")
            if day.needless:
                found.add("needless")
        return found

    def test_the_days_find_nothing_in_what_is_whole(self) -> None:
        self.assertEqual(self.finds(), set())

    def test_keys_that_need_no_proof(self) -> None:
        with mock.patch.object(Proof, "holds", lambda proof, now: True):
            self.assertIn("accepted", self.finds())

    def test_shares_that_are_never_taken_back(self) -> None:
        with mock.patch.object(shares, "LEFT_FOR", timedelta(hours=1)):
            self.assertIn("over quota", self.finds())

    def test_a_granter_that_grants_all_whoever_has_left_it_a_share(self) -> None:
        with mock.patch.object(Granter, "share", lambda *_: 1.0):
            self.assertIn("over quota", self.finds())

    def test_an_instance_that_is_alone_and_spends_what_it_likes(self) -> None:
        with mock.patch.object(Allowances, "spend_alone", lambda *_: None):
            self.assertIn("over quota", self.finds())

    def test_proof_that_nobody_is_asked_for(self) -> None:
        with mock.patch.object(Proofs, "keep"), mock.patch.object(Proofs, "heard"):
            self.assertIn("needless", self.finds())


class LonelyStartTests(unittest.TestCase):
    def test_one_that_knows_of_no_other_grants_nothing(self) -> None:
        """Who has just started can't tell that it is alone.

        Symptom: a customer got seven times its quota. Sequence: all were killed and
        started cut off from each other and from the store; each led, and took itself
        for the only one. Cause: what is not known of others counted as none.
        """
        world = World(3)
        world.customers = (Customer(HOT, frozenset(), quota=QUOTA_BY_NAME[HOT]),)
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
        charge = Charge(HOT, TOKENS)
        core.quotas.charge(charge)
        self.assertFalse(charge.answer.result().spent)
        core.membership.knows_others = True
        world.run(1.0)
        charge = Charge(HOT, TOKENS)
        core.quotas.charge(charge)
        self.assertTrue(charge.answer.result().spent)


class ToldProofTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3)
        self.world.customers = (Customer(CALM, frozenset({digest("k")})),)
        self.world.put_configuration(2)
        self.world.start()
        self.world.run(4.0)
        self.machine = self.world.machines["instance-0"]
        core = self.machine.core
        assert core is not None
        self.core = core
        self.machine.proof.proved_at = None
        self.known = core.records.knowledge.known_to(Topic.CONFIGURATION)

    def tell(self, asked_at: timedelta, offset: int) -> None:
        """Let another instance answer that its proof was 0.3 s old."""
        answer = Proven(asked_at // MICROSECOND, 300_000, offset)
        self.core.peer_message("instance-1", answer)

    def test_proof_is_as_old_as_its_question(self) -> None:
        """An answer that lay in a buffer while the process was frozen is old.

        Symptom: a key that was taken away was accepted for some seconds too long.
        Sequence: an instance asked and was frozen; the answer came; the key was taken
        away; the instance woke, cut off, and took the answer. Cause: the proof's age
        was counted from when the answer was read.
        """
        asked_at = self.world.clock.monotonic()
        self.world.clock.advance(timedelta(seconds=4))
        self.tell(asked_at, self.known)
        age = self.machine.proof.age(self.world.clock.monotonic())
        self.assertEqual(age, timedelta(seconds=4.3))

    def test_proof_counts_once_all_that_it_is_of_is_known(self) -> None:
        """Who knows that a change exists must not pass for one that has it in force.

        Symptom: a removed key was accepted. Sequence: an instance that had not been
        told of a change yet was shown proof by one that had. Cause: the proof was
        taken for what this instance knew.
        """
        now = self.world.clock.monotonic()
        self.tell(now, self.known + 1)
        self.assertIsNone(self.machine.proof.proved_at)
        self.world.put_configuration(3)
        self.world.run(1.0, lambda: self.machine.proof.proved_at is not None)
        self.assertEqual(self.machine.in_force.version, 3)

    def test_who_has_no_proof_shows_none(self) -> None:
        self.world.links.counts_bytes = True
        self.core.peer_message("instance-1", AskProof(0, -1))
        self.assertEqual(self.world.links.sent["Proven"], 0)


if __name__ == "__main__":
    unittest.main()
