"""State machines: configuration on a log that forgets, and stream reassembly."""

import unittest
from datetime import timedelta
from typing import Any

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ashhoist.admission import RetryBudget
from ashhoist.changes import Changes
from ashhoist.clock import ManualClock
from ashhoist.configuration import Change
from ashhoist.engines._events import EventSplitter
from ashhoist.entry import Entry, Router, Target
from ashhoist.failures import Failure
from ashhoist.outside import CallerRequest, ReplyData, ReplyEnd
from ashhoist.types import AdapterVersion, Priority

READERS = 2


def naive(records: list[dict[str, Any]]) -> dict[str, tuple[int, Any]]:
    """Return the state that the records give, computed the plain way."""
    state: dict[str, tuple[int, Any]] = {}
    seen = set()
    for offset, record in enumerate(records):
        if record["operation"] in seen:
            continue
        seen.add(record["operation"])
        version = state.get(record["name"], (-1, None))[0]
        if record["based_on"] not in (None, version):
            continue
        if record["spec"] is None:
            state.pop(record["name"], None)
            continue
        state[record["name"]] = (offset, record["spec"])
    return state


class ConfigurationMachine(RuleBasedStateMachine):
    """Appends, lost answers, snapshots, retention, restarts and peers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.records: list[dict[str, Any]] = []
        self.first = 0
        self.chunks: list[Any] = []
        self.readers = [self.new_reader() for _ in range(READERS)]
        self.operations = 0

    def new_reader(self) -> Changes:
        return Changes(
            self.clock,
            lambda stream, operation, record: self.chunks.append(record),
            lambda event: None,
            timedelta(hours=1),
        )

    @rule(
        name=st.sampled_from("abc"),
        spec=st.none() | st.dictionaries(st.just("x"), st.integers(0, 3)),
        based_on=st.none() | st.integers(-1, 12),
        doubled=st.booleans(),
    )
    def append(self, name: str, spec: Any, based_on: Any, doubled: bool) -> None:
        if spec is None and name not in naive(self.records):
            return
        self.operations += 1
        change = Change(f"o{self.operations}", "base-models", name, spec, based_on)
        self.records += [change.to_record()] * (2 if doubled else 1)

    @rule(index=st.integers(0, READERS - 1), count=st.integers(1, 5))
    def read(self, index: int, count: int) -> None:
        reader = self.readers[index]
        start = max(self.first, reader.state.offset + 1)
        for offset in range(start, min(start + count, len(self.records))):
            reader.read(offset, self.records[offset])

    @rule(index=st.integers(0, READERS - 1), offset=st.integers(0, 20))
    def read_again(self, index: int, offset: int) -> None:
        if offset <= self.readers[index].state.offset:
            self.readers[index].read(offset, self.records[offset])

    @rule(index=st.integers(0, READERS - 1), lost=st.booleans())
    def snapshot(self, index: int, lost: bool) -> None:
        reader = self.readers[index]
        before = len(self.chunks)
        reader.write_snapshot(lambda: "s")
        if lost:
            del self.chunks[before:]

    @precondition(lambda self: any(c["snapshot"] >= 0 for c in self.chunks))
    @rule()
    def forget(self) -> None:
        newest = max(chunk["snapshot"] for chunk in self.chunks)
        self.first = max(self.first, newest + 1)

    @rule(index=st.integers(0, READERS - 1))
    def restart(self, index: int) -> None:
        reader = self.new_reader()
        for chunk in self.chunks:
            reader.read_chunk(chunk)
        self.readers[index] = reader

    @rule(index=st.integers(0, READERS - 1))
    def catch_up_from_peer(self, index: int) -> None:
        reader, peer = self.readers[index], self.readers[1 - index]
        found = peer.records_after(reader.state.offset)
        if found is None:
            for chunk in peer.state.to_chunks():
                reader.read_chunk(chunk)
            return
        for offset, record in found:
            reader.read(offset, record)

    @invariant()
    def states_are_those_of_the_plain_way(self) -> None:
        for reader in self.readers:
            expected = naive(self.records[: reader.state.offset + 1])
            found = {
                name: (resource.version, resource.spec)
                for name, resource in reader.state.of_kind("base-models").items()
            }
            assert found == expected, (found, expected)


ConfigurationTests = ConfigurationMachine.TestCase
ConfigurationTests.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class FakeRouter(Router):
    def resolve(self, request: CallerRequest) -> Target | Failure:
        adapter = AdapterVersion("a", "v1")
        return Target(adapter, "w", Priority.NORMAL, "")

    def choose(self, call: Any) -> str:
        return "e0"

    def home_of(self, upstream: str) -> str:
        return "i1"

    def open(self, home: str, job: Any) -> bool:
        return True

    def close(self, home: str, job: Any) -> None:
        pass

    def address(self, upstream: str) -> str:
        return ""


class FakeOutside:
    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.ended = False
        self.resumed_from: int | None = None

    def reply(self, request_id: str, reply: Any) -> None:
        if isinstance(reply, ReplyData):
            self.parts.append(reply.data)
        if isinstance(reply, ReplyEnd):
            self.ended = True

    def count(self, metric: str, *labels: str) -> None:
        pass

    def resume(self, job: Any, address: str, index: int) -> None:
        self.resumed_from = index


PIECES = st.tuples(
    st.integers(0, 9), st.sampled_from(["i1", "i9"]), st.sampled_from([1, 2])
)


class ReassemblyTests(unittest.TestCase):
    @given(st.lists(PIECES, max_size=40), st.integers(0, 12))
    def test_late_doubled_foreign_and_missing_pieces_never_reach_the_caller(
        self, pieces: list, count: int
    ) -> None:
        outside = FakeOutside()
        budget = RetryBudget(0.1)
        entry = Entry("i0", FakeRouter(), outside, ManualClock(), budget)  # type: ignore[arg-type]
        entry.submit(CallerRequest("r", model="a", stream=True))
        entry.head(("r", 1), "i1", 200, {})
        for index, source, attempt in pieces:
            data = f"<{index}>".encode()
            entry.data(("r", attempt), source, index, 1, data)
            if outside.resumed_from is not None:
                break
        text = b"".join(outside.parts).decode()
        got = len(outside.parts)
        self.assertEqual(text, "".join(f"<{index}>" for index in range(got)))
        if outside.resumed_from is not None:
            self.assertEqual(outside.resumed_from, got)
            return
        entry.end(("r", 1), "i1", count)
        self.assertEqual(outside.ended, count == got)

    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_events_are_whole_however_the_bytes_are_cut(self, cuts: list) -> None:
        events = [f"id: {number}\ndata: {{}}\n\n".encode() for number in range(9)]
        events.append(b"data: [DONE]\n\n")
        rest, found = b"".join(events), []
        splitter = EventSplitter()
        for cut in [*cuts, len(rest)]:
            found += splitter.feed(rest[:cut])
            rest = rest[cut:]
        self.assertEqual(found, events)
        self.assertTrue(splitter.ended)
        self.assertFalse(splitter.partial)


if __name__ == "__main__":
    unittest.main()
