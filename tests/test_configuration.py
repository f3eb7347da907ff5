import unittest
from typing import Any

from hypothesis import given, settings, strategies as st

from ashhoist.configuration import (
    FIELDS_BY_KIND,
    MUST_NOT_EXIST,
    Change,
    Configuration,
    Verdict,
    from_chunks,
)
from ashhoist.resources import validate
from ashhoist_standins.world import World


def adapter(operation: str, based_on: int | None, weights: str = "w1") -> dict:
    spec = {
        "base_model": "base",
        "versions": {"v1": {"weights": weights}},
        "default_version": "v1",
        "priority": "normal",
        "team": "default",
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


JUNK = st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.just({})
SPECS = st.dictionaries(
    st.sampled_from(
        [field for fields in FIELDS_BY_KIND.values() for field in fields] + ["x"]
    ),
    JUNK | st.dictionaries(st.text(max_size=3), JUNK, max_size=2),
)


class FuzzTests(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(list(FIELDS_BY_KIND)), SPECS)))
    def test_no_record_stops_an_instance(self, changes: list) -> None:
        world = World(["zone-0"])
        node = world.add_node("i0", "zone-0")
        world.run(world.list_lag)
        records = [Change("b", "base-models", "x", {}).to_record()]
        for number, (kind, spec) in enumerate(changes):
            records.append(Change(f"o{number}", kind, "a", spec).to_record())
        node.core.records("configuration", list(enumerate(records)), True)
        asked = [world.ask("i0", model="a"), world.ask("i0", service="x")]
        world.run(world.list_lag)
        self.assertEqual(node.core.changes.state.offset, len(changes))
        self.assertTrue(all(item.ended or item.request.model for item in asked))

    @given(st.sampled_from(list(FIELDS_BY_KIND)), SPECS)
    def test_what_the_border_accepts_the_fold_accepts(
        self, kind: str, spec: Any
    ) -> None:
        checked = validate(kind, spec)
        if isinstance(checked, list):
            return
        state = Configuration()
        state.apply(0, Change("b", "base-models", "x", {}).to_record())
        if "base_model" in checked and checked["base_model"]:
            base = Change("c", "base-models", checked["base_model"], {}).to_record()
            state.apply(1, base)
        state.apply(2, Change("o", kind, "a", checked).to_record())
        decision = state.decisions_by_operation["o"]
        self.assertEqual(decision.verdict, Verdict.ACCEPTED, decision.detail)

    def test_full_specs_of_the_border_are_accepted_by_the_fold(self) -> None:
        for kind, spec in (
            ("policies", {}),
            ("policies", {"policy": "naive", "stall_weight": 1}),
            (
                "upstreams",
                {
                    "type": "service",
                    "address": "http://127.0.0.1:1",
                    "availability_zone": "z",
                    "service": "s",
                },
            ),
            (
                "adapters",
                {
                    "base_model": "x",
                    "versions": {"v1": {"weights": "w"}},
                    "default_version": "v1",
                },
            ),
        ):
            with self.subTest(kind):
                state = Configuration()
                state.apply(0, Change("b", "base-models", "x", {}).to_record())
                checked = validate(kind, spec)
                self.assertIsInstance(checked, dict)
                state.apply(1, Change("o", kind, "a", checked).to_record())
                decision = state.decisions_by_operation["o"]
                self.assertEqual(decision.verdict, Verdict.ACCEPTED, decision.detail)


if __name__ == "__main__":
    unittest.main()
