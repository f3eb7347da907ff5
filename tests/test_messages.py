"""Frames between instances: round trips, and invalid frames that must be rejected."""

import unittest

import cbor2
from hypothesis import given, strategies as st

from ashhoist import messages

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


if __name__ == "__main__":
    unittest.main()
