"""Sound peers that fall silent for a second and go on: no request is lost with that.

Real processes beside the platform's store, and requests of several kinds. In turn the
upstreams, the store and an instance send nothing for `SILENCE_S`. All requests have a
deadline that is further away.
"""

import os
import signal
import sys
import time
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

from .deaf_server import DeafServer
from .mixed_load import ENGINE, KINDS, PATHS, UNSAFE, MixedLoad
from .pausing_workers import PausingStore, PausingWorker
from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.worker import ID, ModelWorker
from .test_platform import CONFIGURATION, HOST, MODEL

SILENCE_S = 1.2
INSTANCES = 3
UPSTREAMS = 2
"""Of each kind."""
ADAPTERS = 6
ENGINE_EVENTS = 12
ENGINE_EVENT_S = 0.05
NEW_ADAPTERS = 24
"""For each request another one, while the engines are silent."""
DEADLINE_MS = 6_000
ENGINE_TARGET_MS = 800
"""Callers wait four times that for an event: a silence, a report of what is held after
it, and a load."""
PER_SECOND = 24.0
BEFORE_S = 1.0
"""How long requests are sent before something falls silent, and afterwards."""


def _route(name: str, kind: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 300,
        "priority": 1,
        "service": "plain-service",
        "max-attempts": 2,
        **more,
    }


def _configuration() -> dict[str, Any]:
    _, review = CONFIGURATION["routes"]
    engines, plain = CONFIGURATION["services"]
    engine = {
        **engines["engine"],
        "adapter-slots": ADAPTERS + NEW_ADAPTERS,
        "loads-per-s": 26,
    }
    timing = {"timeout-ms": DEADLINE_MS, "gap-aim-ms": 200}
    timing["target-latency-ms"] = ENGINE_TARGET_MS
    return {
        **CONFIGURATION,
        "routes": [
            _route("lobby", "unsafe", **{"max-attempts": 1}),
            _route("safe", "safe"),
            _route("stream", "stream", resumable=False, **{"gap-aim-ms": 200}),
            {**review, **timing},
        ],
        "services": [{**engines, "engine": engine}, plain],
    }


def _make_deaf(worker: ModelWorker | PausingWorker) -> None:
    """Have a worker accept no connections when asked to."""
    worker.server.close()
    worker.server = DeafServer(worker._handle)


class SilentSecondTests(ProcessTestCase):
    configuration = _configuration()

    def setUp(self) -> None:
        super().setUp()
        self.store.close()
        self.store = PausingStore()
        self.addCleanup(self.store.close)
        self.store.put("keyed.op", "config", self.configuration)
        self.engines = [self._engine(number) for number in range(UPSTREAMS)]
        self.workers = [self._worker(number) for number in range(UPSTREAMS)]
        self.instances = [self.spawn(f"node-{number}") for number in range(INSTANCES)]
        for instance in self.instances:
            self.await_ready(instance)
        for instance in self.instances:
            self.wait(lambda instance=instance: self._is_linked(instance))
        self.adapters = [f"a{number}" for number in range(1, ADAPTERS + 1)]
        self._warm_up()
        self.load = self._new_load("load")

    def _engine(self, number: int) -> ModelWorker:
        engine = ModelWorker(f"i-engine-{number}", MODEL)
        _make_deaf(engine)
        self.addCleanup(engine.close)
        engine.state.places = ADAPTERS + NEW_ADAPTERS
        engine.events, engine.event_s = ENGINE_EVENTS, ENGINE_EVENT_S
        entry = engine.record("engines", "zone-1")
        self.store.put("keyed.servers", engine.state.id, entry)
        return engine

    def _worker(self, number: int) -> PausingWorker:
        worker = PausingWorker(f"i-plain-{number}")
        _make_deaf(worker)
        self.addCleanup(worker.close)
        entry = worker.record("plain-service", "zone-1")
        self.store.put("keyed.servers", worker.id, entry)
        return worker

    def _is_linked(self, instance: PlatformProcess) -> bool:
        _, page = instance.get(instance.metrics, "/metrics")
        return f"instances_in_contact {INSTANCES - 1}.0" in page.decode()

    def _new_load(self, name: str, pause_s: float = 0.0) -> MixedLoad:
        return MixedLoad(
            name, self.instances, self.adapters, ENGINE_EVENTS, DEADLINE_MS, pause_s
        )

    def _warm_up(self) -> None:
        """Use all adapters, and each kind of request at each instance."""
        load = self._new_load("first")
        for number in range(ADAPTERS):
            load.ask(ENGINE, number, number)
        for kind in KINDS:
            for number in range(INSTANCES):
                load.ask(kind, number)
        self.assertEqual(load.faults, [])

    def _leader(self) -> PlatformProcess:
        for instance in self.instances:
            _, page = instance.get(instance.metrics, "/metrics")
            if b"ashhoist_leads 1.0" in page:
                return instance
        self.fail("no instance leads")

    def run_load(self, silence: Callable[[], None], speak: Callable[[], None]) -> None:
        """Send requests while something is silent, and check all of them."""
        self.load.start(PER_SECOND)
        try:
            time.sleep(BEFORE_S)
            silence()
            time.sleep(SILENCE_S)
            speak()
            time.sleep(BEFORE_S)
        finally:
            speak()
            self.load.finish()
        self._report()
        self.check()

    def check(self) -> None:
        self.assertEqual(set(self.load.counts()), set(KINDS))
        runs = Counter(
            call.headers[ID.lower()]
            for worker in self.workers
            for call in worker.ran
            if call.target == PATHS[UNSAFE]
        )
        self.assertEqual({id: n for id, n in runs.items() if n > 1}, {})
        self.assertEqual(self.load.faults, [])

    def _report(self) -> None:
        """Show the changes of belief that followed."""
        counts, faults = self.load.counts(), self.load.faults
        print(f"{dict(counts)}, {len(faults)} not served", file=sys.stderr)

    def silence_all(self, peers: list[Any]) -> None:
        def silence() -> None:
            for peer in peers:
                peer.sends.clear()

        def speak() -> None:
            for peer in peers:
                peer.sends.set()

        self.run_load(silence, speak)

    def suspend(self, instance: PlatformProcess) -> None:
        pid = instance.process.pid
        self.run_load(
            lambda: os.kill(pid, signal.SIGSTOP), lambda: os.kill(pid, signal.SIGCONT)
        )

    def test_one_plain_upstream_is_silent(self) -> None:
        # Guards against a request that is given up though its upstream goes on.
        self.silence_all([self.workers[0]])

    def test_one_engine_is_silent(self) -> None:
        # Guards against a stream that is given up though its engine goes on.
        self.silence_all([self.engines[0]])

    def test_all_upstreams_are_silent(self) -> None:
        # Guards against requests that leave their upstreams for others as silent.
        self.silence_all([*self.workers, *self.engines])

    def test_no_upstream_is_reached(self) -> None:
        # Guards against requests that are refused as instances take a silence of all
        # upstreams for a loss of their own links.
        upstreams = [*self.workers, *self.engines]

        def silence() -> None:
            for upstream in upstreams:
                upstream.sends.clear()
                upstream.server.go_deaf()

        def speak() -> None:
            for upstream in upstreams:
                upstream.sends.set()
                upstream.server.hear()

        self.run_load(silence, speak)

    def test_engines_are_silent_that_have_to_load_adapters(self) -> None:
        # Guards against requests that are refused as orders get no answer for a while.
        self.adapters = [f"new{number}" for number in range(NEW_ADAPTERS)]
        self.load = self._new_load("load")
        self.silence_all(self.engines)

    def test_the_store_is_silent(self) -> None:
        # Guards against requests that are refused as leases or records lapse.
        self.silence_all([self.store])

    def test_store_and_upstreams_are_silent(self) -> None:
        # Guards against two pauses that are each borne alone, but not together.
        self.silence_all([self.store, *self.workers, *self.engines])

    def test_the_leader_is_suspended(self) -> None:
        # Guards against requests that are lost with the decisions of a paused leader.
        self.suspend(self._leader())

    def test_an_instance_that_does_not_lead_is_suspended(self) -> None:
        # Guards against requests that are lost where an instance is held up.
        leader = self._leader()
        self.suspend(next(one for one in self.instances if one is not leader))

    def test_callers_are_silent(self) -> None:
        # Guards against requests that are refused as too slow after a pause.
        self.load = self._new_load("load", SILENCE_S)
        self.run_load(lambda: None, lambda: None)


if __name__ == "__main__":
    unittest.main()
