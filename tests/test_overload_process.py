"""Whole instances as processes in front of an overloaded plain upstream."""

import threading
from collections import Counter
from typing import Any

from .platform_process import (
    REQUEST_TIMEOUT_MS,
    PlatformProcess,
    ProcessTestCase,
    with_route_timeout,
)
from .platform_stand_ins.worker import PlainWorker
from .test_platform import CONFIGURATION

LOUD, CALM = "loud", "calm"
KEY_BY_CUSTOMER = {LOUD: "key-of-loud", CALM: "key-of-calm"}
TARGET_MS = 600
SLOTS, QUEUE, WORK_S = 2, 4, 0.05
LOUD_CALLERS = 12
"""With `PAUSE_S`, about five times what the upstream can take."""
PAUSE_S = 0.05
CALM_REQUESTS = 30
SERVED_SHARE = 0.9
"""The part of what is within a customer's share that is served at least."""
WAIT_S = 60.0


def configuration() -> dict[str, Any]:
    """Return a configuration with two customers without quotas."""
    document = with_route_timeout(CONFIGURATION, REQUEST_TIMEOUT_MS)
    routes = [{**route, "target-latency-ms": TARGET_MS} for route in document["routes"]]
    tenants = [
        {"name": name, "api-keys": [key]} for name, key in KEY_BY_CUSTOMER.items()
    ]
    return {**document, "routes": routes, "tenants": tenants}


class OverloadTests(ProcessTestCase):
    """Three instances and one plain upstream with few slots."""

    configuration = configuration()

    def setUp(self) -> None:
        super().setUp()
        self.worker = PlainWorker("i-plain", slots=SLOTS, queue=QUEUE, work_s=WORK_S)
        self.addCleanup(self.worker.close)
        self.store.put(
            "keyed.servers", "i-plain", self.worker.record("plain-service", "zone-1")
        )
        self.processes = [self.start(f"node-{index}") for index in range(3)]
        self.wait(lambda: self.total("ashhoist_leads") == 1, WAIT_S)
        self.ends: Counter[tuple[str, int, bytes]] = Counter()
        self.lock = threading.Lock()
        self.stop = threading.Event()

    def total(self, metric: str) -> float:
        """Return a metric's value over all processes and labels."""
        found = 0.0
        for process in self.processes:
            _, text = process.get(process.metrics, "/metrics")
            for line in text.decode().splitlines():
                if line.startswith(metric):
                    found += float(line.rpartition(" ")[2])
        return found

    def ask(self, process: PlatformProcess, customer: str, id: str) -> None:
        key = KEY_BY_CUSTOMER[customer]
        status, body = process.ask("/lobby/x", id, key=key)
        with self.lock:
            self.ends[customer, status, body.strip()] += 1

    def ask_repeatedly(self, number: int) -> None:
        process = self.processes[number % len(self.processes)]
        count = 0
        while not self.stop.wait(PAUSE_S):
            count += 1
            self.ask(process, LOUD, f"{LOUD}-{number}-{count}")

    def served(self, customer: str) -> int:
        """Return how many requests of a customer were answered by the upstream."""
        return sum(
            count
            for (name, status, _), count in self.ends.items()
            if name == customer and status == 200
        )

    def test_a_customer_within_its_share_is_served_beside_an_overloading_one(
        self,
    ) -> None:
        # Guards against full upstreams that refuse the requests of all customers.
        callers = [
            threading.Thread(target=self.ask_repeatedly, args=(number,))
            for number in range(LOUD_CALLERS)
        ]
        for caller in callers:
            caller.start()
        try:
            self.wait(lambda: self.total("ashhoist_contended_services") == 1, WAIT_S)
            for number in range(CALM_REQUESTS):
                process = self.processes[number % len(self.processes)]
                self.ask(process, CALM, f"{CALM}-{number}")
        finally:
            self.stop.set()
            for caller in callers:
                caller.join(WAIT_S)
        self.assertGreaterEqual(
            self.served(CALM), SERVED_SHARE * CALM_REQUESTS, self.ends
        )
        self.assertGreater(self.served(LOUD), 0, self.ends)
        self.assertGreater(self.ends[LOUD, 503, b"overloaded"], 0, self.ends)
        ids = Counter(call.headers["x-attempt-id"] for call in self.worker.ran)
        self.assertEqual(max(ids.values()), 1)
        self.assertGreater(self.total("ashhoist_admissions_total"), 0)
