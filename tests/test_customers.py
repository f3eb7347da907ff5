"""Customers, the proof that their keys are current, and what their quotas allow."""

import unittest
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist.customers import (
    Allowances,
    Customer,
    CustomerTable,
    Granter,
    Proof,
    Quota,
    QuotaBounds,
    QuotaUnit,
    Standing,
    digest,
    shown,
)
from ashhoist.customers.granter import Use
from ashhoist.customers.proof import SEND_MARGIN
from ashhoist.rates import LEFT_FOR, Bucket

SECOND = timedelta(seconds=1)
ZERO = timedelta()


def customer(name: str, *keys: str, **more: object) -> Customer:
    return Customer(name, frozenset(digest(key) for key in keys), **more)  # type: ignore[arg-type]


class CustomerTableTests(unittest.TestCase):
    def test_a_key_belongs_to_one_customer(self) -> None:
        table = CustomerTable([customer("one", "k1", "k2"), customer("two", "k3")])
        found = table.find(digest("k2"))
        assert found is not None
        self.assertEqual(found.name, "one")
        self.assertIsNone(table.find(digest("k4")))

    def test_a_key_that_stands_with_two_is_refused_by_their_names(self) -> None:
        with self.assertRaises(ValueError) as caught:
            CustomerTable([customer("one", "secret"), customer("two", "secret")])
        self.assertIn("'one' and 'two'", str(caught.exception))
        self.assertNotIn("secret", str(caught.exception))

    def test_a_name_that_stands_twice_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            CustomerTable([customer("one", "k1"), customer("one", "k2")])

    def test_what_is_shown_of_a_key_is_short_and_not_the_key(self) -> None:
        self.assertEqual(len(shown(digest("some-long-key"))), 8)
        self.assertNotIn("some", repr(customer("one", "some-long-key")))


class QuotaTests(unittest.TestCase):
    def test_a_request_counts_by_its_tokens_or_as_a_plain_one(self) -> None:
        quota = Quota(100, 100, QuotaUnit.TOKENS, plain_tokens=200)
        self.assertEqual(quota.charge(1540), 1540)
        self.assertEqual(quota.charge(0), 200)
        self.assertEqual(Quota(10, 10).charge(1540), 1)


class ProofTests(unittest.TestCase):
    def test_keys_are_accepted_for_less_than_the_bound_after_proof(self) -> None:
        proof = Proof(5 * SECOND)
        self.assertFalse(proof.holds(ZERO))
        proof.prove(10 * SECOND)
        self.assertTrue(proof.holds(14 * SECOND))
        self.assertFalse(proof.holds(15 * SECOND - SEND_MARGIN))

    def test_older_proof_changes_nothing(self) -> None:
        proof = Proof(5 * SECOND)
        proof.prove(10 * SECOND)
        proof.prove(2 * SECOND)
        self.assertEqual(proof.age(11 * SECOND), SECOND)

    def test_a_key_that_may_be_new_is_not_told_to_be_unknown(self) -> None:
        proof = Proof(5 * SECOND)
        proof.prove(10 * SECOND)
        self.assertTrue(proof.shows_absence(12 * SECOND, 3 * SECOND))
        self.assertFalse(proof.shows_absence(13 * SECOND, 3 * SECOND))

    def test_without_a_promise_no_proof_is_needed(self) -> None:
        self.assertTrue(Proof().holds(ZERO))


class BucketTests(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.floats(0, 2), st.floats(1, 300), st.booleans()), max_size=60
        )
    )
    def test_no_window_takes_more_than_rate_and_burst_and_one_request(
        self, steps: list[tuple[float, float, bool]]
    ) -> None:
        bucket = Bucket(100, 200, 200, ZERO)
        now = ZERO
        taken: list[tuple[timedelta, float]] = []
        for pause, units, gives_back in steps:
            now += timedelta(seconds=pause)
            if bucket.take(units, now):
                if gives_back:
                    bucket.give_back(units, now)
                    continue
                taken.append((now, units))
        for start, _ in taken:
            inside = [u for at, u in taken if start <= at <= start + 8 * SECOND]
            over = max(max(inside) - 200, 0)
            self.assertLessEqual(sum(inside), 100 * 8 + 200 + over + 1e-6)

    def test_one_that_is_larger_than_the_burst_is_served_when_it_is_full(self) -> None:
        bucket = Bucket(100, 200, 200, ZERO)
        self.assertTrue(bucket.take(500, ZERO))
        self.assertFalse(bucket.take(1, 2 * SECOND))
        self.assertEqual(bucket.wait(100, 3 * SECOND), SECOND)

    def test_nothing_comes_in_where_the_rate_is_none(self) -> None:
        bucket = Bucket(0, 200, 0, ZERO)
        self.assertIsNone(bucket.wait(1, SECOND))


QUOTA = Quota(1000, 1000, QuotaUnit.TOKENS)


class GranterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.granter = Granter("own", QuotaBounds(8 * SECOND, 0.1))

    def test_it_grants_from_the_shares_that_were_left_to_it(self) -> None:
        self.assertEqual(self.granter.share(4, ZERO), 0.25)
        self.granter.left("two", ZERO)
        self.granter.left("three", ZERO)
        self.assertEqual(self.granter.share(4, SECOND), 0.75)
        self.assertEqual(self.granter.share(4, LEFT_FOR), 0.25)

    def test_a_share_is_counted_from_the_moment_that_this_instance_told(self) -> None:
        """A share that is left late is taken back as early as one that came at once.

        Symptom: two leaders grant from one share. Sequence: an instance leaves its
        share; the message lies in a cut link; when it arrives the instance has taken
        the share back. Cause: the time counted from the arrival.
        """
        self.granter.left("two", told_at=ZERO)
        self.assertEqual(self.granter.share(2, LEFT_FOR + SECOND), 0.5)

    def test_a_new_granter_starts_with_less_than_a_window_may_be_passed_by(
        self,
    ) -> None:
        spared = 0.1 * (8 * 1000 + 1000)
        first = self.granter.grant("c", QUOTA, spared / 3 + 1, 0, 1, ZERO)
        self.assertEqual(first.tokens, 0)
        second = self.granter.grant("c", QUOTA, spared / 3 - 1, 0, 1, ZERO)
        self.assertTrue(second.tokens)

    def test_each_share_that_is_left_brings_what_a_granter_starts_with(self) -> None:
        """A customer is not refused for long because one share came before the others.

        Symptom: for seconds after a restart of all customers were refused as over their
        quota. Sequence: a leader was left the first shares, was asked, and was left the
        rest. Cause: what a bucket begins with was reckoned by the first shares only.
        """
        self.granter.grant("c", QUOTA, 1, 0, 4, ZERO)
        for name in ("two", "three", "four"):
            self.granter.left(name, ZERO)
        self.assertTrue(self.granter.grant("c", QUOTA, 290, 0, 4, ZERO).tokens)
        self.assertFalse(self.granter.grant("c", QUOTA, 290, 0, 4, ZERO).tokens)

    def test_shares_that_come_and_go_bring_it_once(self) -> None:
        for second in range(0, 6, 3):
            self.granter.left("two", second * SECOND)
            while self.granter.grant("c", QUOTA, 10, 0, 2, second * SECOND).tokens:
                pass
        self.granter.left("two", 6 * SECOND)
        spare = 0
        while self.granter.grant("c", QUOTA, 10, 0, 2, 6 * SECOND).tokens:
            spare += 10
        self.assertLessEqual(spare, QUOTA.burst)

    def test_more_is_granted_ahead_only_out_of_plenty(self) -> None:
        self.granter.grant("c", QUOTA, 1, 0, 2, ZERO)
        self.granter.left("two", 10 * SECOND)
        rich = self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND)
        self.assertGreater(rich.tokens, 100)
        self.assertLess(rich.tokens, 600)
        while self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND).tokens:
            pass
        wait = self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND).wait
        assert wait is not None
        self.assertLess(wait, SECOND)

    def test_one_that_nobody_follows_grants_nothing(self) -> None:
        """An instance that leads but itself must not speak for all.

        Symptom: at instances that were cut off customers far below their limits were
        refused as over it. Sequence: each led itself; its part of a small quota is less
        than one request. Cause: it granted from that part as a leader does, where an
        instance that spends its own part lets one request through at once.
        """
        self.assertTrue(self.granter.is_alone(4, ZERO))
        self.assertFalse(self.granter.is_alone(1, ZERO))
        self.granter.left("two", ZERO)
        self.assertFalse(self.granter.is_alone(4, ZERO))

    def test_what_comes_back_is_granted_again(self) -> None:
        self.granter.grant("c", QUOTA, 290, 0, 1, ZERO)
        self.granter.give_back("c", 290, ZERO)
        self.assertTrue(self.granter.grant("c", QUOTA, 290, 0, 1, ZERO).tokens)


class AllowanceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.allowances = Allowances()

    def test_only_granted_tokens_are_spent(self) -> None:
        self.assertFalse(self.allowances.spend("c", 10, ZERO))
        self.allowances.granted("c", 15, Use(), ZERO)
        self.assertTrue(self.allowances.spend("c", 10, ZERO))
        self.assertFalse(self.allowances.spend("c", 10, ZERO))

    def test_what_is_not_spent_goes_back_once(self) -> None:
        self.allowances.granted("c", 15, Use(), ZERO)
        self.assertEqual(self.allowances.left_over(SECOND), {"c": 15})
        self.assertEqual(self.allowances.left_over(SECOND), {})

    def spend_alone(self, seconds: int, standing: Standing) -> int:
        """Ask for ten small requests a second without the leader; return the tokens."""
        spent = 0
        for tenth in range(40, 40 + seconds * 10):
            now = tenth * SECOND / 10
            if not self.allowances.spend_alone("c", QUOTA, 10, 100, standing, now):
                spent += 10
        return spent

    def spend_for_four_seconds(self, used: float) -> None:
        for second in range(4):
            self.allowances.granted("c", 10, Use(used, 0), second * SECOND)
            self.allowances.spend("c", 10, second * SECOND)

    def test_alone_a_customer_at_its_limit_gets_what_it_had_here(self) -> None:
        self.spend_for_four_seconds(used=1.0)
        self.assertLessEqual(self.spend_alone(2, Standing.TIGHT), 2 * 10 + 10)

    def test_alone_a_customer_below_its_limit_gets_an_equal_part_at_least(self) -> None:
        spent = self.spend_alone(2, Standing.BELOW)
        self.assertGreaterEqual(spent, 2 * QUOTA.rate / 100)
        self.assertLessEqual(spent, 2 * QUOTA.rate / 100 + 2 * 10)

    def test_alone_one_request_at_once_is_served_though_it_is_large(self) -> None:
        """Clients call where they like, and many customers are small.

        Symptom: half of all requests were refused for the seconds after a leader was
        lost. Sequence: it is lost; a customer calls that has not called here lately.
        Cause: this instance's part of a small quota is less than one request.
        """
        self.assertIsNone(
            self.allowances.spend_alone("c", QUOTA, 100, 100, Standing.BELOW, ZERO)
        )
        self.assertIsNotNone(
            self.allowances.spend_alone("c", QUOTA, 100, 100, Standing.BELOW, SECOND)
        )

    def test_alone_one_that_has_just_started_spends_its_own_share(self) -> None:
        spent = self.spend_alone(20, Standing.UNKNOWN)
        self.assertLessEqual(spent, 20 * QUOTA.rate / 100 + 10)
        self.assertGreaterEqual(spent, 18 * QUOTA.rate / 100)

    def test_alone_a_customer_at_its_limit_that_did_not_call_here_waits(self) -> None:
        wait = self.allowances.spend_alone("c", QUOTA, 100, 100, Standing.TIGHT, ZERO)
        self.assertIsNotNone(wait)

    def test_state_is_kept_only_for_customers_that_call_here(self) -> None:
        for index in range(2000):
            self.allowances.granted(f"c{index}", 1, Use(), ZERO)
            self.allowances.spend(f"c{index}", 1, ZERO)
        self.allowances.left_over(10 * SECOND)
        self.assertEqual(len(self.allowances._by_customer), 0)


if __name__ == "__main__":
    unittest.main()
