"""Whole instances beside a store that is restored from a copy."""

import copy
import functools
import itertools
from typing import Any

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.worker import PlainWorker
from .test_platform import CONFIGURATION

LOST = 6


def with_route(version: int) -> dict[str, Any]:
    """Return a configuration with a route of its own."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["version"] = version
    route = dict(configuration["routes"][0])
    route["path-prefix"] = f"/added-{version}/"
    configuration["routes"].append(route)
    return configuration


class RestoredStoreTests(ProcessTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()
        self.worker = PlainWorker("i-plain")
        self.addCleanup(self.worker.close)
        self.put_worker()

    def put_worker(self) -> None:
        record = self.worker.record("plain-service", "zone-1")
        self.store.put("keyed.servers", "i-plain", record)

    def is_served(self, process: PlatformProcess, version: int) -> bool:
        name = f"request-{next(self.numbers)}"
        return process.ask(f"/added-{version}/x", name)[0] == 200

    def wait_for(self, processes: list[PlatformProcess], version: int) -> None:
        for process in processes:
            self.wait(functools.partial(self.is_served, process, version))

    def test_changes_come_into_force_through_restores_in_series(self) -> None:
        processes = [self.start("node-1"), self.start("node-2")]
        version = 10
        for _ in range(3):
            snapshot = self.store.state.snapshot()
            for _ in range(LOST):
                version += 1
                self.store.put("keyed.op", "config", with_route(version))
                self.put_worker()
            self.wait_for(processes, version)
            self.store.restore(snapshot)
            self.wait_for(processes, version)
            self.store.put("keyed.op", "config", with_route(version))
            self.put_worker()
            version += 1
            self.store.put("keyed.op", "config", with_route(version))
            self.wait_for(processes, version)
