"""Claims and leases with pausing clocks, against a naive model."""

import unittest
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist.claims import Authority, ClaimAction, ClaimRecord, Claims

WAIT = timedelta(seconds=12)
LEASE = timedelta(seconds=10)
BOUND = timedelta(seconds=2)


def record(action: ClaimAction, holder: str, seen: int = -1, token: int = -1) -> dict:
    tokens = (token,) if action is ClaimAction.RENEW else ()
    return ClaimRecord("o", action, holder, ("u",), seen, tokens).to_record()


class ClaimsTests(unittest.TestCase):
    def test_first_of_two_claimants_wins(self) -> None:
        claims = Claims(WAIT)
        claims.apply(1, record(ClaimAction.CLAIM, "a"), timedelta())
        self.assertEqual(
            claims.apply(2, record(ClaimAction.CLAIM, "b"), timedelta()), []
        )
        self.assertEqual(claims.by_upstream["u"].holder, "a")

    def test_release_frees_at_once(self) -> None:
        claims = Claims(WAIT)
        claims.apply(1, record(ClaimAction.CLAIM, "a"), timedelta())
        claims.apply(2, record(ClaimAction.RELEASE, "a"), timedelta())
        (claim,) = claims.apply(3, record(ClaimAction.CLAIM, "b", 1), timedelta())
        self.assertEqual(claim.free_after, timedelta())

    def test_renewal_tells_a_late_reader_of_the_claim(self) -> None:
        claims = Claims(WAIT)
        (claim,) = claims.apply(
            90, record(ClaimAction.RENEW, "a", token=4), timedelta(seconds=5)
        )
        self.assertEqual((claim.holder, claim.token), ("a", 4))
        self.assertEqual(claim.free_after, timedelta(seconds=5) + WAIT)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(list(ClaimAction)),
                st.sampled_from("abc"),
                st.integers(-1, 12),
            ),
            max_size=12,
        )
    )
    def test_all_readers_agree_whatever_their_clocks_say(self, steps: list) -> None:
        fast, slow = Claims(WAIT), Claims(WAIT)
        for offset, (action, holder, number) in enumerate(steps):
            item = record(action, holder, number, number)
            fast.apply(offset, item, timedelta(seconds=offset))
            slow.apply(offset, item, timedelta(seconds=100 * offset))
            slow.apply(offset, item, timedelta(seconds=100 * offset))
        self.assertEqual(
            {name: (c.holder, c.token) for name, c in fast.by_upstream.items()},
            {name: (c.holder, c.token) for name, c in slow.by_upstream.items()},
        )

    @settings(max_examples=300)
    @given(
        renew_gaps=st.lists(st.floats(0.1, 20), max_size=6),
        reads=st.lists(st.floats(0, 5), min_size=8, max_size=8),
        order_at=st.floats(0, 200),
        claim_after=st.floats(0, 60),
    )
    def test_no_two_holders_may_order_at_once_without_fences(
        self, renew_gaps: list, reads: list, order_at: float, claim_after: float
    ) -> None:
        """Real time is one line here; each holder reads the log at its own pace."""
        reader = Claims(WAIT)
        at, offset = 0.0, 0
        valid_until = LEASE
        reader.apply(
            0, record(ClaimAction.CLAIM, "a"), timedelta(seconds=at + reads[0])
        )
        for gap, late in zip(renew_gaps, reads[1:], strict=False):
            at += gap
            offset += 1
            renewal = record(ClaimAction.RENEW, "a", token=0)
            reader.apply(offset, renewal, timedelta(seconds=at + late))
            valid_until = timedelta(seconds=at) + LEASE
        first = Authority("u", 0, False, timedelta(), valid_until)
        claimed_at = timedelta(seconds=at + claim_after)
        claim = reader.apply(
            offset + 1,
            record(ClaimAction.CLAIM, "b", 0),
            claimed_at + timedelta(seconds=reads[-1]),
        )[0]
        second = Authority("u", offset + 1, False, claim.free_after, timedelta.max)
        now = timedelta(seconds=order_at)
        if now < claimed_at:
            return
        both = first.may_order(now, BOUND) and second.may_order(now)
        self.assertFalse(both)


if __name__ == "__main__":
    unittest.main()
