"""The platform's store as the shared log, over real sockets."""

import unittest
from datetime import timedelta
from typing import Any

from ashhoist_platform.store import Store

from ashhoist import logs
from ashhoist.store import (
    DEFAULT_CALL_TIMEOUT,
    Appended,
    ConditionFailed,
    Follower,
    Gone,
    Newest,
    ReadPacing,
    Record,
    Records,
    Topic,
    Unavailable,
    Unknown,
    position,
)

from .loops import new_loop, run
from .platform_stand_ins.store import StoreServer


class StoreTests(unittest.TestCase):
    def setUp(self) -> None:
        self.server = StoreServer()
        self.addCleanup(self.server.close)
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.store = Store(self.server.address, self.loop)
        self.addCleanup(self.store.close)

    def append(self, topic: Topic, key: str, value: bytes, at: int | None) -> Any:
        return run(self.loop, self.store.append(topic, key, value, at))

    def newest(self, topic: Topic) -> Any:
        return run(self.loop, self.store.newest(topic))

    def read(self, topic: Topic) -> Any:
        return run(self.loop, self.store.read(topic, 0, timedelta()))

    def test_appends_are_read_back(self) -> None:
        self.assertEqual(self.append(Topic.LEASES, "a", b"one", None), Appended(0))
        self.assertEqual(self.append(Topic.LEASES, "b", b"two", 1), Appended(1))
        found = self.read(Topic.LEASES)
        records = (Record(0, "a", b"one"), Record(1, "b", b"two"))
        self.assertEqual(found, Records(records, 2))

    def test_several_records_go_with_one_call_and_keep_their_order(self) -> None:
        self.append(Topic.CRASHES, "a", b"old", None)
        calls = self.server.calls
        records = {"b": b"two", "a": b"new", "c": b""}
        result = run(self.loop, self.store.append_all(Topic.CRASHES, records))
        self.assertEqual(result, Appended(1))
        self.assertEqual(self.server.calls, calls + 1)
        found = {record.key: record for record in self.newest(Topic.CRASHES).records}
        self.assertEqual(found["a"], Record(2, "a", b"new"))
        self.assertEqual(found["b"], Record(1, "b", b"two"))
        self.assertNotIn("c", found)

    def test_positions_in_an_answer_are_of_its_era(self) -> None:
        self.server.put("keyed.ashhoist-leases", "a", "one")
        self.server.era = "3"
        record = Record(position(3, 0), "a", b'"one"')
        end = position(3, 1)
        self.assertEqual(self.read(Topic.LEASES), Records((record,), end))
        self.assertEqual(self.newest(Topic.LEASES), Newest((record,), end))
        failed = self.append(Topic.LEASES, "a", b"two", position(3, 0))
        self.assertEqual(failed, ConditionFailed(end))
        self.assertEqual(self.append(Topic.LEASES, "a", b"two", end), Appended(end))

    def test_requests_send_the_offset_without_its_era(self) -> None:
        self.server.put("keyed.ashhoist-leases", "a", "one")
        self.server.era = "1"
        read = self.store.read(Topic.LEASES, position(0, 1), timedelta())
        self.assertEqual(run(self.loop, read), Records((), position(1, 1)))
        appended = self.append(Topic.LEASES, "a", b"two", position(0, 1))
        self.assertEqual(appended, Appended(position(1, 1)))

    def test_an_answer_with_a_malformed_era_is_rejected(self) -> None:
        self.server.put("keyed.ashhoist-leases", "a", "one")
        for era in ("-1", "+1", "1.0", "one", "1, 2", "\u0661", "8388608", "99999999"):
            with self.subTest(era=era):
                self.server.era = era
                self.assertIsInstance(self.read(Topic.LEASES), Unavailable)
                self.assertIsInstance(self.newest(Topic.LEASES), Unavailable)
                failed = self.append(Topic.LEASES, "a", b"two", 0)
                self.assertIsInstance(failed, Unavailable)
                done = self.append(Topic.LEASES, "a", b"two", None)
                self.assertIsInstance(done, Unknown)

    def test_offsets_past_the_end_are_gone(self) -> None:
        self.server.put("keyed.servers", "i-1", {})
        read = self.store.read(Topic.UPSTREAMS, 2, timedelta())
        self.assertEqual(run(self.loop, read), Gone())

    def test_newest_fails_if_the_era_changes_between_pages(self) -> None:
        for number in range(600):
            self.server.put("keyed.op", f"version/{number:05}", {"n": number})
        snapshot = self.server.state.snapshot()
        self.server.after_next_page = lambda: self.server.restore(snapshot)
        self.assertIsInstance(self.newest(Topic.CONFIGURATION), Unavailable)
        self.assertIsInstance(self.newest(Topic.CONFIGURATION), Newest)

    def test_an_append_whose_condition_fails_does_nothing(self) -> None:
        self.append(Topic.LEASES, "a", b"one", None)
        result = self.append(Topic.LEASES, "a", b"two", 0)
        self.assertEqual(result, ConditionFailed(1))
        self.assertEqual(
            self.newest(Topic.LEASES), Newest((Record(0, "a", b"one"),), 1)
        )

    def test_an_empty_value_drops_its_key(self) -> None:
        self.append(Topic.INSTANCES, "a", b"one", None)
        self.append(Topic.INSTANCES, "a", b"", None)
        self.assertEqual(self.newest(Topic.INSTANCES), Newest((), 2))

    def test_all_pages_of_the_newest_are_read(self) -> None:
        for number in range(1100):
            self.server.put("keyed.op", f"version/{number:05}", {"n": number})
        found = self.newest(Topic.CONFIGURATION)
        assert isinstance(found, Newest)
        self.assertEqual(len(found.records), 1100)

    def test_history_that_is_gone_is_told(self) -> None:
        self.server.put("keyed.servers", "i-1", {})
        self.server.forget_history("keyed.servers")
        found = self.read(Topic.UPSTREAMS)
        self.assertEqual(found, Gone())

    def test_a_store_that_turns_away_has_done_nothing(self) -> None:
        self.server.status = 503
        result = self.append(Topic.LEASES, "a", b"one", None)
        self.assertIsInstance(result, Unavailable)
        self.assertIsInstance(self.newest(Topic.LEASES), Unavailable)

    def test_an_append_without_answer_may_have_been_done(self) -> None:
        self.server.lose_answers = True
        result = self.append(Topic.LEASES, "a", b"one", None)
        self.assertIsInstance(result, Unknown)

    def test_a_store_that_is_not_there_has_done_nothing(self) -> None:
        self.server.close()
        result = self.append(Topic.LEASES, "a", b"one", None)
        self.assertIsInstance(result, Unavailable)

    def test_a_read_without_answer_ends_in_time_and_its_connection_with_it(
        self,
    ) -> None:
        # The store took the call and lost the answer; the connection stays open and
        # says nothing further. What is written meanwhile comes with the next read.
        loop = new_loop()
        self.addCleanup(loop.close)
        found: list[Record] = []
        reads = Store(self.server.address, loop)
        follower = Follower(
            Topic.CONFIGURATION,
            reads,
            ReadPacing(timedelta(milliseconds=50), timedelta()),
            lambda news: found.extend(getattr(news, "records", ())),
            lambda: True,
            loop.clock,
            logs.get("store"),
        )
        run(loop, follower.step())
        self.server.unanswered_reads = 1
        self.server.put("keyed.op", "config", {"version": 1})
        began = loop.clock.monotonic()
        run(loop, follower.step())
        took = loop.clock.monotonic() - began
        self.assertEqual(found, [])
        self.assertLess(took, 2 * DEFAULT_CALL_TIMEOUT)
        run(loop, follower.step())
        self.assertEqual([record.key for record in found], ["config"])
        self.assertEqual(self.server.server.connections, 2)


if __name__ == "__main__":
    unittest.main()
