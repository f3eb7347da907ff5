"""Tests of customers, of the proof that their keys are current, and of quotas."""

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
    short_digest,
)
from ashhoist.customers.granter import QuotaUse
from ashhoist.customers.proof import SEND_MARGIN
from ashhoist.rates import SHARE_DELEGATION_TIME, Bucket

SECOND = timedelta(seconds=1)
ZERO = timedelta()


def customer(name: str, *keys: str, **options: object) -> Customer:
    return Customer(name, frozenset(digest(key) for key in keys), **options)  # type: ignore[arg-type]


class CustomerTableTests(unittest.TestCase):
    def test_a_key_belongs_to_one_customer(self) -> None:
        table = CustomerTable([customer("one", "k1", "k2"), customer("two", "k3")])
        found = table.find(digest("k2"))
        assert found is not None
        self.assertEqual(found.name, "one")
        self.assertIsNone(table.find(digest("k4")))

    def test_a_key_of_two_customers_is_rejected_with_their_names(self) -> None:
        with self.assertRaises(ValueError) as caught:
            CustomerTable([customer("one", "secret"), customer("two", "secret")])
        self.assertIn("'one' and 'two'", str(caught.exception))
        self.assertNotIn("secret", str(caught.exception))

    def test_a_duplicate_name_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            CustomerTable([customer("one", "k1"), customer("one", "k2")])

    def test_logged_digest_is_short_and_does_not_contain_the_key(self) -> None:
        self.assertEqual(len(short_digest(digest("some-long-key"))), 8)
        self.assertNotIn("some", repr(customer("one", "some-long-key")))


class QuotaTests(unittest.TestCase):
    def test_a_request_without_token_count_is_charged_the_default(self) -> None:
        quota = Quota(100, 100, QuotaUnit.TOKENS, plain_tokens=200)
        self.assertEqual(quota.charge(1540), 1540)
        self.assertEqual(quota.charge(0), 200)
        self.assertEqual(Quota(10, 10).charge(1540), 1)


class ProofTests(unittest.TestCase):
    def test_keys_are_accepted_for_less_than_the_bound_after_proof(self) -> None:
        proof = Proof(5 * SECOND)
        self.assertFalse(proof.is_recent(ZERO))
        proof.prove(10 * SECOND)
        self.assertTrue(proof.is_recent(14 * SECOND))
        self.assertFalse(proof.is_recent(15 * SECOND - SEND_MARGIN))

    def test_older_proof_is_ignored(self) -> None:
        proof = Proof(5 * SECOND)
        proof.prove(10 * SECOND)
        proof.prove(2 * SECOND)
        self.assertEqual(proof.age(11 * SECOND), SECOND)

    def test_a_key_that_may_be_new_is_not_reported_as_unknown(self) -> None:
        proof = Proof(5 * SECOND)
        proof.prove(10 * SECOND)
        self.assertTrue(proof.shows_absence(12 * SECOND, 3 * SECOND))
        self.assertFalse(proof.shows_absence(13 * SECOND, 3 * SECOND))

    def test_without_a_bound_no_proof_is_needed(self) -> None:
        self.assertTrue(Proof().is_recent(ZERO))


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

    def test_a_request_larger_than_the_burst_is_served_by_a_full_bucket(self) -> None:
        bucket = Bucket(100, 200, 200, ZERO)
        self.assertTrue(bucket.take(500, ZERO))
        self.assertFalse(bucket.take(1, 2 * SECOND))
        self.assertEqual(bucket.wait(100, 3 * SECOND), SECOND)

    def test_a_bucket_with_rate_zero_never_refills(self) -> None:
        bucket = Bucket(0, 200, 0, ZERO)
        self.assertIsNone(bucket.wait(1, SECOND))


QUOTA = Quota(1000, 1000, QuotaUnit.TOKENS)


class GranterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.granter = Granter("own", QuotaBounds(8 * SECOND, 0.1))

    def test_it_grants_from_the_shares_delegated_to_it(self) -> None:
        self.assertEqual(self.granter.share(4, ZERO), 0.25)
        self.granter.add_delegated_share("two", ZERO)
        self.granter.add_delegated_share("three", ZERO)
        self.assertEqual(self.granter.share(4, SECOND), 0.75)
        self.assertEqual(self.granter.share(4, SHARE_DELEGATION_TIME), 0.25)

    def test_a_delegation_is_counted_from_the_acknowledged_time(self) -> None:
        """A delegation that arrives late ends as early as one that arrives at once.

        Guards against two leaders that grant from one share. An instance delegates its
        share, and the message is held up by an interrupted link. It arrives after the
        instance has taken the share back. The time was counted from the arrival.
        """
        self.granter.add_delegated_share("two", acknowledged_time=ZERO)
        self.assertEqual(self.granter.share(2, SHARE_DELEGATION_TIME + SECOND), 0.5)

    def test_a_new_granter_starts_with_less_than_the_allowed_overage(
        self,
    ) -> None:
        overage = 0.1 * (8 * 1000 + 1000)
        first = self.granter.grant("c", QUOTA, overage / 3 + 1, 0, 1, ZERO)
        self.assertEqual(first.tokens, 0)
        second = self.granter.grant("c", QUOTA, overage / 3 - 1, 0, 1, ZERO)
        self.assertTrue(second.tokens)

    def test_each_delegated_share_adds_its_initial_tokens(self) -> None:
        """A customer is not refused because some shares are delegated after others.

        Guards against customers that are refused as over their quota for seconds after
        a restart of all instances. A leader received the first shares, then a request
        for tokens, then the other shares. The initial level of the bucket was computed
        from the first shares only.
        """
        self.granter.grant("c", QUOTA, 1, 0, 4, ZERO)
        for name in ("two", "three", "four"):
            self.granter.add_delegated_share(name, ZERO)
        self.assertTrue(self.granter.grant("c", QUOTA, 290, 0, 4, ZERO).tokens)
        self.assertFalse(self.granter.grant("c", QUOTA, 290, 0, 4, ZERO).tokens)

    def test_a_share_that_is_delegated_again_adds_initial_tokens_once(self) -> None:
        for second in range(0, 6, 3):
            self.granter.add_delegated_share("two", second * SECOND)
            while self.granter.grant("c", QUOTA, 10, 0, 2, second * SECOND).tokens:
                pass
        self.granter.add_delegated_share("two", 6 * SECOND)
        granted = 0
        while self.granter.grant("c", QUOTA, 10, 0, 2, 6 * SECOND).tokens:
            granted += 10
        self.assertLessEqual(granted, QUOTA.burst)

    def test_extra_tokens_are_granted_only_while_many_are_available(self) -> None:
        self.granter.grant("c", QUOTA, 1, 0, 2, ZERO)
        self.granter.add_delegated_share("two", 10 * SECOND)
        grant = self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND)
        self.assertGreater(grant.tokens, 100)
        self.assertLess(grant.tokens, 600)
        while self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND).tokens:
            pass
        wait = self.granter.grant("c", QUOTA, 100, 1000, 2, 11 * SECOND).wait
        assert wait is not None
        self.assertLess(wait, SECOND)

    def test_a_granter_without_delegated_shares_is_alone(self) -> None:
        """A leader to which no other instance delegates its share must not grant.

        Guards against partitioned instances that refuse customers far below their limit
        as over it. Each was its own leader, and its part of a small quota is less than
        one request. It granted from that part as a leader does, while an instance that
        spends its own part lets one request through at once.
        """
        self.assertTrue(self.granter.is_alone(4, ZERO))
        self.assertFalse(self.granter.is_alone(1, ZERO))
        self.granter.add_delegated_share("two", ZERO)
        self.assertFalse(self.granter.is_alone(4, ZERO))

    def test_returned_tokens_are_granted_again(self) -> None:
        self.granter.grant("c", QUOTA, 290, 0, 1, ZERO)
        self.granter.give_back("c", 290, ZERO)
        self.assertTrue(self.granter.grant("c", QUOTA, 290, 0, 1, ZERO).tokens)


class AllowanceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.allowances = Allowances()

    def test_only_granted_tokens_are_spent(self) -> None:
        self.assertFalse(self.allowances.spend("c", 10, ZERO))
        self.allowances.add_grant("c", 15, QuotaUse(), ZERO)
        self.assertTrue(self.allowances.spend("c", 10, ZERO))
        self.assertFalse(self.allowances.spend("c", 10, ZERO))

    def test_unused_tokens_are_returned_once(self) -> None:
        self.allowances.add_grant("c", 15, QuotaUse(), ZERO)
        self.assertEqual(self.allowances.take_unused(SECOND), {"c": 15})
        self.assertEqual(self.allowances.take_unused(SECOND), {})

    def spend_without_leader(self, seconds: int, standing: Standing) -> int:
        """Make ten small requests per second; return the tokens spent."""
        spent = 0
        for tenth in range(40, 40 + seconds * 10):
            now = tenth * SECOND / 10
            if not self.allowances.spend_locally("c", QUOTA, 10, 100, standing, now):
                spent += 10
        return spent

    def spend_granted_for_four_seconds(self, used: float) -> None:
        for second in range(4):
            self.allowances.add_grant("c", 10, QuotaUse(used, 0), second * SECOND)
            self.allowances.spend("c", 10, second * SECOND)

    def test_without_leader_a_customer_at_its_limit_keeps_its_rate(self) -> None:
        self.spend_granted_for_four_seconds(used=1.0)
        self.assertLessEqual(self.spend_without_leader(2, Standing.TIGHT), 2 * 10 + 10)

    def test_without_leader_a_customer_below_its_limit_gets_an_equal_part(self) -> None:
        spent = self.spend_without_leader(2, Standing.BELOW)
        self.assertGreaterEqual(spent, 2 * QUOTA.rate / 100)
        self.assertLessEqual(spent, 2 * QUOTA.rate / 100 + 2 * 10)

    def test_without_leader_one_large_request_is_served_at_once(self) -> None:
        """A request larger than this instance's part of the quota is served.

        Guards against half of all requests being refused in the seconds after the
        leader is lost. Clients may call any instance, so a customer calls that has not
        called this one recently, and this instance's part of a small quota is less than
        one request.
        """
        self.assertIsNone(
            self.allowances.spend_locally("c", QUOTA, 100, 100, Standing.BELOW, ZERO)
        )
        self.assertIsNotNone(
            self.allowances.spend_locally("c", QUOTA, 100, 100, Standing.BELOW, SECOND)
        )

    def test_without_leader_a_newly_started_instance_spends_its_own_share(self) -> None:
        spent = self.spend_without_leader(20, Standing.UNKNOWN)
        self.assertLessEqual(spent, 20 * QUOTA.rate / 100 + 10)
        self.assertGreaterEqual(spent, 18 * QUOTA.rate / 100)

    def test_without_leader_a_new_caller_at_its_limit_waits(self) -> None:
        wait = self.allowances.spend_locally("c", QUOTA, 100, 100, Standing.TIGHT, ZERO)
        self.assertIsNotNone(wait)

    def test_state_is_kept_only_for_active_customers(self) -> None:
        for index in range(2000):
            self.allowances.add_grant(f"c{index}", 1, QuotaUse(), ZERO)
            self.allowances.spend(f"c{index}", 1, ZERO)
        self.allowances.take_unused(10 * SECOND)
        self.assertEqual(len(self.allowances._by_customer), 0)


if __name__ == "__main__":
    unittest.main()
