"""Frames between instances: round trips, and invalid frames that must be rejected."""

import unittest

import cbor2
from hypothesis import given, strategies as st

from ashhoist import codec, messages
from ashhoist.control.messages import PlacementQuery
from ashhoist.control.messages.requests import SOFTWARE_VERSION_REVISION

JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=5) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=12,
)


class MessageTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        items = [
            messages.Hello(1, "i0", "x"),
            messages.Data("r", 1, 0, 2, b"ab"),
            messages.LoadWanted("e0", "a@v1", 1.5),
        ]
        self.assertEqual(messages.decode(messages.encode(items)), items)

    def test_booleans_are_not_numbers(self) -> None:
        frame = cbor2.dumps([[5, "r", True]])
        with self.assertRaises(messages.FrameError):
            messages.decode(frame)

    def test_too_many_messages_are_rejected(self) -> None:
        frame = cbor2.dumps([[5, "r", 1]] * (messages.MAX_MESSAGES + 1))
        with self.assertRaises(messages.FrameError):
            messages.decode(frame)

    @given(st.binary(max_size=200))
    def test_bytes_never_crash(self, frame: bytes) -> None:
        try:
            messages.decode(frame)
        except messages.FrameError:
            pass

    @given(st.lists(st.lists(JUNK, max_size=8), max_size=4))
    def test_values_never_crash(self, items: list) -> None:
        try:
            messages.decode(cbor2.dumps(items))
        except messages.FrameError:
            pass

    def test_extra_fields_are_rejected(self) -> None:
        # Guards against fields that are dropped silently.
        frame = cbor2.dumps([[5, "r", 1, 2]])
        with self.assertRaises(messages.FrameError):
            messages.decode(frame)


class AddedFieldTests(unittest.TestCase):
    """Messages between an instance and one of the previous version.

    An instance of the previous version closes the link if the number of fields differs,
    so during a rolling upgrade no request would be placed.
    """

    FIELDS = (
        "r",
        "engines",
        "base",
        "a1",
        0,
        800,
        1.0,
        0.3,
        800,
        5000,
        2000,
        "z",
        True,
    )

    def test_a_query_of_the_previous_version_is_decoded(self) -> None:
        # Guards against closed links to instances that send no allowed pause.
        frame = cbor2.dumps([[46, *self.FIELDS, ["e0"]]])
        [query] = codec.decode(frame)
        self.assertEqual(query, PlacementQuery(*self.FIELDS, ["e0"], gap_ms=0))

    def test_the_previous_version_is_sent_the_fields_that_it_knows(self) -> None:
        # Guards against a link that the other side closes over an unknown field.
        query = PlacementQuery(*self.FIELDS, ["e0"], 300)
        encoded = codec.encode_one(query, codec.FIRST_REVISION)
        self.assertEqual(cbor2.loads(encoded), [46, *self.FIELDS, ["e0"]])

    def test_the_third_revision_is_not_sent_the_software_version(self) -> None:
        # Guards against a link that the other side closes over an unknown field.
        query = PlacementQuery(*self.FIELDS, ["e0"], 300, "v1")
        encoded = codec.encode_one(query, SOFTWARE_VERSION_REVISION - 1)
        self.assertEqual(cbor2.loads(encoded), [46, *self.FIELDS, ["e0"], 300])
        self.assertEqual(codec.decode(codec.encode([query])), [query])

    def test_the_same_version_is_sent_all_fields(self) -> None:
        # Guards against an allowed pause that is left out for instances that know it.
        query = PlacementQuery(*self.FIELDS, ["e0"], 300)
        self.assertEqual(codec.decode(codec.encode([query])), [query])

    def test_added_fields_are_checked(self) -> None:
        # Guards against values of a wrong type in fields that may be missing.
        for wrong in ("300", True, 0.3, None):
            frame = cbor2.dumps([[46, *self.FIELDS, [], wrong]])
            with self.assertRaises(messages.FrameError):
                codec.decode(frame)

    def test_required_fields_may_not_be_missing(self) -> None:
        # Guards against a query that is placed without all of its fields.
        frame = cbor2.dumps([[46, *self.FIELDS]])
        with self.assertRaises(messages.FrameError):
            codec.decode(frame)


if __name__ == "__main__":
    unittest.main()
