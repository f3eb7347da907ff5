"""Streams at engines that send nothing for a while, or for good.

Real processes beside the platform's store. An engine that pauses goes on with its
streams afterwards; one that is dark accepts connections and requests and sends nothing.
"""

import time
import unittest
from collections.abc import Iterable
from typing import Any

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.worker import ID, ModelWorker
from .stream_load import REFUSED, WHOLE, StreamLoad
from .test_platform import CONFIGURATION, MODEL

SEED = 1
INSTANCES = 2
ENGINES = 2
SLOTS = 3
EVENTS = 24
EVENT_S = 0.1
STREAMS_PER_S = 10.0
DEADLINE_MS = 12_000
GAP_MS = 300
PATIENT_TARGET_MS = 2_000
TARGET_MS = 800
PATIENCE_S = 3.2
"""How long callers of a route with `TARGET_MS` wait for an event: four times that."""
BEFORE_S = 1.5
"""How long streams run before an engine pauses."""
PAUSE_S = 2.0
LONG_PAUSE_S = 4.0
SILENCE_S = 1.2
"""Of an engine that is sound."""


def _configuration(slots: int, target_ms: int) -> dict[str, Any]:
    """Return a configuration for engines with so many adapter slots."""
    plain, stream = CONFIGURATION["routes"]
    engines, *others = CONFIGURATION["services"]
    # Loads are not what these tests are about.
    engine = {**engines["engine"], "adapter-slots": slots, "loads-per-s": 26}
    timing = {
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": target_ms,
        "gap-aim-ms": GAP_MS,
    }
    return {
        **CONFIGURATION,
        "routes": [plain, {**stream, **timing}],
        "services": [{**engines, "engine": engine}, *others],
    }


class SlowEngineTestCase(ProcessTestCase):
    """Instances before engines whose streams all name an adapter.

    Attributes
    ----------
    slots : int
        Adapter slots of an engine.
    """

    slots = SLOTS
    configuration = _configuration(SLOTS, TARGET_MS)
    retries = "extra = 100"

    def setUp(self) -> None:
        super().setUp()
        self.adapters = [f"a{number}" for number in range(1, ENGINES * SLOTS + 1)]
        self.engines = [self._engine(number) for number in range(ENGINES)]
        self.instances = [self.spawn(f"node-{number}") for number in range(INSTANCES)]
        for instance in self.instances:
            self.await_ready(instance)
        for instance in self.instances:
            self.wait(lambda instance=instance: self._is_linked(instance))
        self._use_adapters()
        self.load = self._new_load()

    def tearDown(self) -> None:
        # Guards against orders beyond the room of an engine.
        fallen = [engine.state.fallen for engine in self.engines]
        self.assertEqual(fallen, [""] * ENGINES)

    def _engine(self, number: int) -> ModelWorker:
        engine = ModelWorker(f"i-{number}", MODEL)
        self.addCleanup(engine.close)
        engine.state.places = self.slots
        # Not loaded by orders: one that is answered late may have its adapter loaded
        # at the other engine as well.
        held = self.adapters[number * SLOTS : (number + 1) * SLOTS]
        engine.state.adapters = dict.fromkeys(held, 1)
        engine.events, engine.event_s = EVENTS, EVENT_S
        self.store.put(
            "keyed.servers", f"i-{number}", engine.record("engines", "zone-1")
        )
        return engine

    def _is_linked(self, instance: PlatformProcess) -> bool:
        _, page = instance.get(instance.metrics, "/metrics")
        return f"instances_in_contact {INSTANCES - 1}.0" in page.decode()

    def _new_load(self) -> StreamLoad:
        addresses = [instance.callers for instance in self.instances]
        return StreamLoad(addresses, self.adapters, EVENTS, DEADLINE_MS, SEED)

    def _use_adapters(self) -> None:
        """Use all adapters at the same time; check that engines hold all of them."""
        load = self._new_load()
        for _ in self.adapters:
            load.begin()
        load.finish()
        self.assertEqual(load.ends(), {WHOLE: len(self.adapters)})
        held = [set(engine.state.adapters) for engine in self.engines]
        self.assertEqual(set.union(*held), set(self.adapters), held)

    def run_streams(self, engines: Iterable[ModelWorker], pause_s: float) -> None:
        """Run streams, while some engines send nothing for so long."""
        self.load.start(STREAMS_PER_S)
        try:
            time.sleep(BEFORE_S)
            self.assertGreater(min(engine.running for engine in engines), 0)
            for engine in engines:
                engine.sends.clear()
            time.sleep(pause_s)
            for engine in engines:
                engine.sends.set()
        finally:
            self.load.finish()

    def _arrived(self) -> dict[str, tuple[int, list[str]]]:
        """Return the connections that engines accepted and the streams they ran."""
        return {
            engine.state.id: (
                engine.server.connections,
                [call.headers[ID.lower()] for call in engine.ran],
            )
            for engine in self.engines
        }

    def check_none_cut(self) -> None:
        """Check that each stream was whole, or refused as not run."""
        ends = self.load.ends()
        self.assertGreater(ends[WHOLE], 0)
        self.assertLessEqual(set(ends), {WHOLE, REFUSED}, (ends, self._arrived()))


class PausedEngineTests(SlowEngineTestCase):
    """As many adapters in use as there are slots."""

    def test_streams_of_a_pausing_engine_go_on_there(self) -> None:
        # Guards against streams that leave a slow engine and find no other slot.
        self.run_streams(self.engines[:1], PAUSE_S)
        self.check_none_cut()

    def test_streams_go_on_after_all_engines_paused(self) -> None:
        # Guards against streams that all leave when the machine of all is slow.
        self.run_streams(self.engines, PAUSE_S)
        self.check_none_cut()


class PatientCallerTests(SlowEngineTestCase):
    """As many adapters in use as there are slots; callers wait for long."""

    configuration = _configuration(SLOTS, PATIENT_TARGET_MS)

    def test_streams_of_a_dark_engine_without_room_elsewhere_wait_for_it(self) -> None:
        # Guards against an engine that is given up though no other one has room.
        self.run_streams(self.engines[:1], LONG_PAUSE_S)
        self.check_none_cut()


class DarkEngineTests(SlowEngineTestCase):
    """Twice as many slots as adapters in use."""

    slots = 2 * SLOTS
    configuration = _configuration(2 * SLOTS, TARGET_MS)

    def test_streams_of_a_dark_engine_go_on_where_there_is_room(self) -> None:
        # Guards against streams that wait for an engine that never goes on.
        dark = self.engines[0]
        self.load.start(STREAMS_PER_S)
        try:
            time.sleep(BEFORE_S)
            self.assertGreater(dark.running, 0)
            dark.sends.clear()
            time.sleep(PAUSE_S)
        finally:
            self.load.finish()
        whole = {WHOLE: len(self.load.received)}
        self.assertEqual(self.load.ends(), whole, self._arrived())
        waits = [stream.longest_wait_s for stream in self.load.received]
        self.assertLess(max(waits), PATIENCE_S)

    def test_streams_stay_at_a_silent_sound_engine_beside_a_dark_one(self) -> None:
        # Guards against streams that leave a sound engine for one that sends nothing.
        dark, sound = self.engines
        self.load.start(STREAMS_PER_S)
        try:
            time.sleep(BEFORE_S)
            self.assertGreater(min(dark.running, sound.running), 0)
            dark.sends.clear()
            time.sleep(PAUSE_S)
            sound.sends.clear()
            time.sleep(SILENCE_S)
            sound.sends.set()
            time.sleep(BEFORE_S)
        finally:
            self.load.finish()
        self.check_none_cut()


if __name__ == "__main__":
    unittest.main()
