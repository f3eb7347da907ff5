"""The adapter for the users' platform: how it decodes records and speaks to workers."""

import json
import unittest
from datetime import timedelta
from typing import Any

from ashhoist_platform.engines import WorkerProtocol
from ashhoist_platform.records import decode

from ashhoist.adapter import Adapter
from ashhoist.control.changes import (
    ConfigurationPut,
    ConfigurationRefused,
    UpstreamEnded,
    UpstreamPut,
    UpstreamRefused,
    VersionNamed,
)
from ashhoist.http.client import Client
from ashhoist.orders import Order, OrderAnswer, OrderKind
from ashhoist.routing import RouteKind
from ashhoist.store import (
    Record,
    Topic,
)
from ashhoist.upstreams import UpstreamState

from .loops import new_loop, run
from .platform_stand_ins.worker import ModelWorker

HOST = "play.example"
MODEL = "base9"
SOON = 15.0
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "plain",
            "host": HOST,
            "path-prefix": "/lobby/",
            "kind": "unsafe",
            "timeout-ms": 1000,
            "target-latency-ms": 150,
            "priority": 2,
            "service": "plain-service",
            "max-attempts": 1,
        },
        {
            "name": "review",
            "host": HOST,
            "path-prefix": "/review/",
            "kind": "stream",
            "timeout-ms": 5000,
            "target-latency-ms": 1000,
            "priority": 1,
            "split": [{"service": "engines", "weight": 90}],
            "max-attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap-aim-ms": 400,
        },
    ],
    "services": [
        {
            "name": "engines",
            "health-path": "/health",
            "max-conns": 500,
            "protocol": "h1",
            "engine": {
                "slots": 96,
                "models": [
                    {
                        "name": MODEL,
                        "weights-mb": 16100.0,
                        "load-s": 0.6,
                        "adapters": 3000,
                        "adapter-mb": 14.0,
                    }
                ],
                "weights-mb": 16500.0,
                "adapter-slots": 6,
                "loads-per-s": 2.1,
                "unheard-of": {"x": 1},
            },
        },
        {"name": "plain-service", "health-path": "/health", "max-conns": 110},
    ],
    "limits": {"max-header-bytes": 9000, "idle-timeout-ms": 7000},
}


def record(key: str, value: object, offset: int = 7) -> Record:
    return Record(offset, key, None if value is None else json.dumps(value).encode())


class RecordTests(unittest.TestCase):
    def test_a_configuration_is_taken_over_whole(self) -> None:
        change = decode(Topic.CONFIGURATION, record("config", CONFIGURATION))
        assert isinstance(change, ConfigurationPut)
        configuration = change.configuration
        plain, review = configuration.routes
        self.assertEqual(configuration.version, 3)
        self.assertEqual((plain.kind, plain.attempts), (RouteKind.UNSAFE, 1))
        self.assertEqual(review.services[0].service, "engines")
        self.assertTrue(review.repeatable)
        self.assertEqual(review.target_event_gap, timedelta(milliseconds=400))
        engine = configuration.services["engines"].engine
        assert engine is not None
        self.assertEqual((engine.adapter_slot_count, engine.loads_per_second), (6, 2.1))
        self.assertEqual(configuration.limits.header_bytes, 9000)
        self.assertIsNone(configuration.services["plain-service"].engine)

    def test_a_version_is_taken_over(self) -> None:
        named = {"model": MODEL, "adapter": "a7", "version": 4}
        change = decode(Topic.CONFIGURATION, record(f"version/{MODEL}.a7", named))
        self.assertEqual(change, VersionNamed(Adapter(MODEL, "a7"), 4))

    def test_a_worker_is_taken_over_and_its_end_too(self) -> None:
        worker = {
            "service": "engines",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 96,
            "state": "draining",
            "sequence": 3,
            "models": [{"name": MODEL, "version": 1, "adapters": ["a1@2"]}],
        }
        change = decode(Topic.UPSTREAMS, record("i-1", worker))
        assert isinstance(change, UpstreamPut)
        self.assertEqual(change.upstream.state, UpstreamState.DRAINING)
        self.assertEqual(change.upstream.models, (MODEL,))
        self.assertEqual(change.upstream.offset, 7)
        ended = decode(Topic.UPSTREAMS, record("i-1", None))
        self.assertEqual(ended, UpstreamEnded("i-1", 7))

    def test_a_malformed_configuration_is_refused_by_its_fields(self) -> None:
        change = decode(Topic.CONFIGURATION, record("config", {"x": 1}))
        assert isinstance(change, ConfigurationRefused)
        self.assertIn("version: Field required", change.why)

    def test_what_is_malformed_or_foreign_changes_nothing(self) -> None:
        self.assertIsNone(decode(Topic.CONFIGURATION, record("other", {"x": 1})))
        foreign = decode(Topic.UPSTREAMS, Record(1, "i-1", b"\xff"))
        assert isinstance(foreign, UpstreamRefused)
        self.assertEqual((foreign.upstream_id, foreign.offset), ("i-1", 1))


class WorkerProtocolTests(unittest.TestCase):
    def setUp(self) -> None:
        self.worker = ModelWorker("i-1", MODEL)
        self.addCleanup(self.worker.close)
        self.loop = new_loop()
        self.addCleanup(self.loop.close)
        self.client = Client(self.worker.server.address, self.loop)
        self.addCleanup(self.client.close)
        self.protocol = WorkerProtocol()

    def order(self, kind: OrderKind, expected: int, upstream: str = "i-1") -> Any:
        order = Order(
            upstream,
            self.worker.server.address,
            kind,
            Adapter(MODEL, "a1"),
            expected,
            holder="holder",
            fence=5,
        )
        steps = self.protocol.order(
            self.client, order, timedelta(seconds=2), lambda: True
        )
        return run(self.loop, steps).answer

    def report(self) -> Any:
        steps = self.protocol.report(self.client, "i-1", timedelta(seconds=2))
        return run(self.loop, steps)

    def test_orders_are_answered(self) -> None:
        self.assertEqual(self.order(OrderKind.LOAD, 0), OrderAnswer.ACCEPTED)
        self.assertEqual(self.order(OrderKind.LOAD, 0), OrderAnswer.CONFLICT)
        self.assertEqual(self.order(OrderKind.UNLOAD, 1, "i-2"), OrderAnswer.REFUSED)
        [first, *_] = self.worker.orders
        self.assertEqual((first["holder"], first["fence"]), ("holder", 5))

    def test_answers_to_orders_and_reports_say_that_the_engine_leaves(self) -> None:
        order = Order(
            "i-1", "", OrderKind.LOAD, Adapter(MODEL, "a1"), 0, holder="h", fence=1
        )
        for leaves in (False, True):
            self.worker.says.leaves = leaves
            steps = self.protocol.order(
                self.client, order, timedelta(seconds=2), lambda: True
            )
            self.assertEqual(run(self.loop, steps).leaving, leaves)
            self.assertEqual(self.report().leaving, leaves)

    def test_answers_to_orders_and_reports_name_the_limit_for_requests(self) -> None:
        order = Order(
            "i-1", "", OrderKind.LOAD, Adapter(MODEL, "a1"), 0, holder="h", fence=1
        )
        for text, limit in (("", None), ("1.2", 1.2), ("few", None)):
            self.worker.says.limit = text
            steps = self.protocol.order(
                self.client, order, timedelta(seconds=2), lambda: True
            )
            self.assertEqual(run(self.loop, steps).limit, limit)
            self.assertEqual(self.report().limit, limit)

    def test_the_state_in_a_report_says_it_too(self) -> None:
        for state, leaves in (("ready", False), ("draining", True)):
            self.worker.says.state = state
            self.assertEqual(self.report().leaving, leaves)

    def test_a_report_is_read(self) -> None:
        self.order(OrderKind.LOAD, 0)
        report = self.report()
        assert report is not None
        self.assertEqual(report.order_count, 1)
        self.assertEqual(report.loading, {Adapter(MODEL, "a1"): 1})
        self.assertEqual(report.models, (MODEL,))
        self.assertEqual(report.model_copies, (MODEL,))


class PatienceTests(unittest.TestCase):
    def patience(self, kind: str, aim_ms: int, gap_ms: int) -> timedelta | None:
        route = {
            "name": "r",
            "host": "h",
            "path-prefix": "/",
            "kind": kind,
            "service": "s",
            "timeout-ms": 15000,
            "target-latency-ms": aim_ms,
            "gap-aim-ms": gap_ms,
        }
        document = {"version": 1, "routes": [route], "services": []}
        record = Record(0, "config", json.dumps(document).encode())
        change = decode(Topic.CONFIGURATION, record)
        assert isinstance(change, ConfigurationPut)
        return change.configuration.routes[0].caller_event_timeout

    def test_streams_are_left_after_the_longest_of_three_times(self) -> None:
        self.assertEqual(self.patience("stream", 1000, 400), timedelta(seconds=4))
        self.assertEqual(self.patience("stream", 100, 100), timedelta(seconds=2))
        self.assertEqual(self.patience("stream", 100, 500), timedelta(seconds=4))

    def test_other_answers_are_waited_for(self) -> None:
        self.assertIsNone(self.patience("unsafe", 1000, 400))


if __name__ == "__main__":
    unittest.main()
