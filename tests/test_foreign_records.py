"""Records of upstreams that somebody else wrote: they name none, and the others hold.

Symptom: a record with a state that is not known was taken for a ready upstream, one
whose address is no address failed each request that was sent there, and a record
without a key ended the reading of the log. Cause: what was missing was filled in, what
had another type was converted, and a record's first bytes were trusted.
"""

import json
import struct
import unittest
from datetime import timedelta
from typing import Any

from ashhoist_platform.records import decode
from ashhoist_platform.store import Store
from hypothesis import given, strategies as st

from ashhoist.control.changes import UpstreamPut, UpstreamRefused
from ashhoist.store import Record, Records, Topic

from .control_world import World
from .loops import new_loop, run
from .platform_stand_ins.server import Call, Server
from .test_restarts import ENTRY

NEEDED = ("service", "address", "zone", "version", "slots", "state", "sequence")
WRONG: dict[str, tuple[Any, ...]] = {
    "service": (None, 7, "", ["engines"]),
    "address": (None, 7, "", "nowhere", "10.0.0.1", "10.0.0.1:x", "a.example:80"),
    "zone": (None, 7, {}),
    "version": (None, 1),
    "slots": (None, "96", -1, 0, 1.5, True),
    "state": (None, 1, "", "paused", "READY"),
    "sequence": (None, "0", 0.5),
    "models": (None, "daka", [{"version": 1}], [{"name": 1}], {"name": "daka"}),
    "born": (None, "1776000000000", 0.5, -1),
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def taken(value: bytes) -> object:
    """Return what a record of an upstream is taken for."""
    return decode(Topic.UPSTREAMS, Record(4, "id-1", value))


class DecodeTests(unittest.TestCase):
    def assert_names_none(self, value: bytes) -> None:
        change = taken(value)
        assert isinstance(change, UpstreamRefused), change
        self.assertEqual((change.upstream_id, change.offset), ("id-1", 4))

    def test_a_worker_names_itself(self) -> None:
        self.assertIsInstance(taken(json.dumps(ENTRY).encode()), UpstreamPut)
        leaving = {**ENTRY, "state": "draining", "not-known-here": 1}
        self.assertIsInstance(taken(json.dumps(leaving).encode()), UpstreamPut)

    def test_a_field_that_is_missing(self) -> None:
        for name in NEEDED:
            entry = {key: value for key, value in ENTRY.items() if key != name}
            with self.subTest(name):
                self.assert_names_none(json.dumps(entry).encode())

    def test_a_field_of_another_type_or_value(self) -> None:
        for name, values in WRONG.items():
            for value in values:
                with self.subTest(name, value=value):
                    self.assert_names_none(json.dumps({**ENTRY, name: value}).encode())

    def test_bytes_that_can_not_be_read(self) -> None:
        for value in (b"", b"{", b"\xff\xfe", b"null", b"[]", b"7", b'"ready"'):
            with self.subTest(value):
                self.assert_names_none(value)

    @given(st.binary())
    def test_any_bytes(self, value: bytes) -> None:
        self.assertIsInstance(taken(value), UpstreamPut | UpstreamRefused)

    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON))
    def test_any_values(self, changed: dict[str, Any]) -> None:
        value = json.dumps({**ENTRY, **changed}).encode()
        self.assertIsInstance(taken(value), UpstreamPut | UpstreamRefused)


class DirectoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3, 2)
        self.world.start()
        self.world.run(4.0)

    def known(self, name: str) -> set[str]:
        core = self.world.machines[name].core
        assert core is not None
        return set(core._directory.view.by_id)

    def refuse(self, key: str) -> None:
        """Let somebody else write a record under a key."""
        change = UpstreamRefused(key, self.world.log.topics[Topic.UPSTREAMS].end, "why")
        self.world.write(Topic.UPSTREAMS, key, change)

    def test_a_new_key_is_no_upstream_and_the_others_hold(self) -> None:
        self.refuse("stranger")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-0", "engine-1"})

    def test_one_that_is_written_over_is_used_again_once_it_says_who_it_is(
        self,
    ) -> None:
        self.refuse("engine-0")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-1"})
        self.world.write_engine("engine-0")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-0", "engine-1"})


class ReadTests(unittest.TestCase):
    def test_records_that_have_no_readable_key_are_passed_over(self) -> None:
        good = bytes([4]) + b"id-1" + b"{}"
        records = (b"", b"\x05id", b"\x02\xff\xfe{}", good)
        body = struct.pack(">QQ", 4, 0)
        for record in records:
            body += struct.pack(">I", len(record)) + record

        def answer(call: Call) -> None:
            call.respond(200, body)

        server = Server(answer)
        self.addCleanup(server.close)
        loop = new_loop()
        self.addCleanup(loop.close)
        store = Store(server.address, loop)
        self.addCleanup(store.close)
        found = run(loop, store.read(Topic.UPSTREAMS, 0, timedelta()))
        assert isinstance(found, Records)
        self.assertEqual(found.end, 4)
        self.assertEqual(found.records[-1], Record(3, "id-1", b"{}"))
        offsets = [record.offset for record in found.records]
        self.assertEqual(offsets, sorted(offsets))


if __name__ == "__main__":
    unittest.main()
