"""Invalid records on the upstreams topic are refused, and the other records stay valid.

Guards against lenient decoding, which filled in missing fields, converted values of
the wrong type, and trusted the first bytes of a record, which hold its key's length. A
record with an unknown state then became a ready upstream, each request sent to an
invalid address failed, and a record without a key stopped the reading of the log.
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

REQUIRED = ("service", "address", "zone", "version", "slots", "state", "sequence")
INVALID: dict[str, tuple[Any, ...]] = {
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


def decoded(value: bytes) -> object:
    """Return the change that a record of an upstream decodes to."""
    return decode(Topic.UPSTREAMS, Record(4, "id-1", value))


class DecodeTests(unittest.TestCase):
    def assert_refused(self, value: bytes) -> None:
        change = decoded(value)
        assert isinstance(change, UpstreamRefused), change
        self.assertEqual((change.upstream_id, change.offset), ("id-1", 4))

    def test_valid_records_are_accepted(self) -> None:
        self.assertIsInstance(decoded(json.dumps(ENTRY).encode()), UpstreamPut)
        leaving = {**ENTRY, "state": "draining", "not-known-here": 1}
        self.assertIsInstance(decoded(json.dumps(leaving).encode()), UpstreamPut)

    def test_missing_field_is_refused(self) -> None:
        for name in REQUIRED:
            entry = {key: value for key, value in ENTRY.items() if key != name}
            with self.subTest(name):
                self.assert_refused(json.dumps(entry).encode())

    def test_invalid_type_or_value_is_refused(self) -> None:
        for name, values in INVALID.items():
            for value in values:
                with self.subTest(name, value=value):
                    self.assert_refused(json.dumps({**ENTRY, name: value}).encode())

    def test_invalid_json_is_refused(self) -> None:
        for value in (b"", b"{", b"\xff\xfe", b"null", b"[]", b"7", b'"ready"'):
            with self.subTest(value):
                self.assert_refused(value)

    @given(st.binary())
    def test_any_bytes(self, value: bytes) -> None:
        self.assertIsInstance(decoded(value), UpstreamPut | UpstreamRefused)

    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON))
    def test_any_values(self, changed: dict[str, Any]) -> None:
        value = json.dumps({**ENTRY, **changed}).encode()
        self.assertIsInstance(decoded(value), UpstreamPut | UpstreamRefused)


class DirectoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3, 2)
        self.world.start()
        self.world.run(4.0)

    def known(self, name: str) -> set[str]:
        core = self.world.machines[name].core
        assert core is not None
        return set(core._directory.view.by_id)

    def write_invalid(self, key: str) -> None:
        """Write an invalid record under a key."""
        change = UpstreamRefused(key, self.world.log.topics[Topic.UPSTREAMS].end, "why")
        self.world.write(Topic.UPSTREAMS, key, change)

    def test_invalid_record_of_a_new_key_adds_no_upstream(self) -> None:
        self.write_invalid("stranger")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-0", "engine-1"})

    def test_overwritten_upstream_is_used_again_after_a_valid_record(
        self,
    ) -> None:
        self.write_invalid("engine-0")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-1"})
        self.world.write_engine("engine-0")
        self.world.run(2.0)
        for name in self.world.machines:
            self.assertEqual(self.known(name), {"engine-0", "engine-1"})


class ReadTests(unittest.TestCase):
    def test_records_without_a_readable_key_are_skipped(self) -> None:
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
