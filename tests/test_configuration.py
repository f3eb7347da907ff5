import unittest

from ashhoist.configuration import (
    MUST_NOT_EXIST,
    Change,
    Configuration,
    Verdict,
    from_chunks,
)


def adapter(operation: str, based_on: int | None, weights: str = "w1") -> dict:
    spec = {
        "base_model": "base",
        "versions": {"v1": {"weights": weights}},
        "default_version": "v1",
    }
    return Change(operation, "adapters", "a", spec, based_on).to_record()


class ConfigurationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.state = Configuration()
        base = Change("b", "base-models", "base", {}, None)
        self.state.apply(0, base.to_record())

    def verdict(self, operation: str) -> Verdict:
        return self.state.decisions_by_operation[operation].verdict

    def test_first_of_two_racing_operators_wins(self) -> None:
        self.state.apply(1, adapter("one", MUST_NOT_EXIST))
        self.state.apply(2, adapter("two", MUST_NOT_EXIST))
        self.assertEqual(self.verdict("one"), Verdict.ACCEPTED)
        self.assertEqual(self.verdict("two"), Verdict.CONFLICT)

    def test_doubled_record_counts_once(self) -> None:
        self.state.apply(1, adapter("one", None))
        self.assertIsNone(self.state.apply(2, adapter("one", None)))
        self.assertEqual(self.state.get("adapters", "a").version, 1)

    def test_offset_never_goes_back(self) -> None:
        self.state.apply(5, adapter("one", None))
        self.assertIsNone(self.state.apply(3, adapter("two", None)))
        self.assertEqual(self.state.offset, 5)

    def test_weights_of_a_version_cannot_change_even_after_delete(self) -> None:
        self.state.apply(1, adapter("one", None))
        gone = Change("gone", "adapters", "a", None, None)
        self.state.apply(2, gone.to_record())
        self.state.apply(3, adapter("other", None, "w2"))
        self.assertEqual(self.verdict("other"), Verdict.INVALID)

    def test_malformed_records_change_nothing(self) -> None:
        for offset, record in enumerate([None, 1, [], {}, {"kind": 3}], start=1):
            self.assertIsNone(self.state.apply(offset, record))
        self.assertEqual(self.state.offset, 5)

    def test_snapshot_restores_the_same_state(self) -> None:
        self.state.apply(1, adapter("one", None))
        chunks = self.state.to_chunks()
        self.assertEqual(from_chunks([*chunks, *chunks]), self.state)

    def test_snapshot_with_a_wrong_digest_is_not_taken(self) -> None:
        chunk = self.state.to_chunks()[0]
        self.assertIsNone(from_chunks([{**chunk, "digest": "0"}]))


if __name__ == "__main__":
    unittest.main()
