"""Streams that go on after a failure, where upstreams of two software versions serve.

Real processes beside the platform's store: three instances, and engines of two software
versions whose events tell the version.
"""

import os
import re
import socket
import threading
import time
import unittest
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from random import Random

from .platform_process import PlatformProcess, ProcessTestCase, with_route_timeout
from .platform_stand_ins.worker import ModelWorker
from .test_platform import CONFIGURATION, HOST, MODEL

INSTANCES = 3
ENGINES_PER_VERSION = 3
OLD, NEW = "v1", "v2"
STREAMS = 36
EVENTS = 30
EVENT_S = 0.05
TAKEN_UP_AFTER = 6
"""Events that a client has got when it comes back."""
TIMEOUT_MS = 15_000
MOST_MIXED = 2
"""Streams that may hold events of two versions, by the users' rule."""
LEAST_SHARE = 0.5
"""Of the streams that are taken up while two upstreams of their version serve, the
share that goes on at least, against that of new streams."""
REFUSED_WITHIN_S = 1.0
SEEDS = int(os.environ.get("SEEDS", "1"))
FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
CLIENTS = 12
TRIES = 4
CHANGES = 14
PAUSE_S = (0.2, 0.9)
KILL_SHARE = 0.3
LEAVE_SHARE = 0.3
"""Of first tries, whose client closes its connection and comes back."""
LISTED_FOR_S = (0.0, 0.5)
"""How long the record of a crashed engine stays."""
CONTACT_S = 3.0
LEAST_TAKEN_UP = 12
EVENT = re.compile(rb"id: (\d+)\ndata: \S*\.(v\d)\n")
ADAPTER = f"{MODEL}/a1"


@dataclass
class Received:
    """What a client got of one stream, over all its tries.

    Attributes
    ----------
    status : int
        Of the last try; 0 if it was not answered.
    whole : bool
        Whether the last try was answered completely.
    """

    id: str
    status: int = 0
    events: list[tuple[int, str]] = field(default_factory=list)
    whole: bool = False
    took_s: float = 0.0
    tries: int = 0

    @property
    def versions(self) -> set[str]:
        return {version for _, version in self.events}

    @property
    def is_taken_up(self) -> bool:
        """Return whether the client came back for the rest of it."""
        return self.tries > 1

    @property
    def last_event(self) -> int:
        return self.events[-1][0] if self.events else 0


class StreamVersionsTestCase(ProcessTestCase):
    """Three instances before three engines of each of two software versions."""

    configuration = with_route_timeout(CONFIGURATION, TIMEOUT_MS)
    retries = "ratio = 1"

    def setUp(self) -> None:
        super().setUp()
        self.engines: list[ModelWorker] = []
        self.engine_count = 0
        for _ in range(ENGINES_PER_VERSION):
            self.add_engine(OLD)
            self.add_engine(NEW)
        self.instances = [self.start(f"node-{number}") for number in range(INSTANCES)]
        for instance in self.instances:
            self.wait(lambda instance=instance: self._is_linked(instance))
        self.pool = ThreadPoolExecutor(STREAMS)
        self.addCleanup(self.pool.shutdown, cancel_futures=True)

    def _is_linked(self, instance: PlatformProcess) -> bool:
        """Return whether an instance is in contact with all others."""
        _, page = instance.get(instance.metrics, "/metrics")
        return f"instances_in_contact {INSTANCES - 1}.0" in page.decode()

    # Clients

    def ask(
        self,
        instance: PlatformProcess,
        stream: Received,
        events: int = EVENTS,
        attempt: str = "",
        model: str = MODEL,
    ) -> Received:
        """Begin a stream, or take it up; leave after so many events."""
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt or stream.id),
            ("X-Deadline-Ms", str(TIMEOUT_MS)),
            ("X-Model", model),
            ("X-Token-Count", "100,60"),
            ("Connection", "close"),
            ("Content-Length", "2"),
        ]
        if stream.events:
            headers.append(("Last-Event-Id", str(stream.last_event)))
            headers.append(("Resumes", stream.id))
        lines = [f"{name}: {value}" for name, value in headers]
        request = "\r\n".join(["POST /review/x HTTP/1.1", *lines, "", "ab"])
        stream.tries += 1
        began = time.monotonic()
        data = _exchange(instance.callers, request.encode(), events)
        stream.took_s = time.monotonic() - began
        stream.status = int(data.split(b" ", 2)[1]) if data else 0
        stream.whole = data.endswith(b"0\r\n\r\n")
        known = {number for number, _ in stream.events}
        for number, version in EVENT.findall(data):
            if int(number) not in known:
                stream.events.append((int(number), version.decode()))
        return stream

    def begin(
        self, label: str, instances: list[PlatformProcess], events: int = EVENTS
    ) -> list["Future[Received]"]:
        """Begin streams at some instances in turn."""
        return [
            self.pool.submit(
                self.ask,
                instances[number % len(instances)],
                Received(f"{label}-{number}"),
                events,
            )
            for number in range(STREAMS)
        ]

    def take_up(
        self, streams: list[Received], instances: list[PlatformProcess]
    ) -> list[Received]:
        """Take streams up, each at an instance other than the one before it."""
        answers = [
            self.pool.submit(
                self.ask,
                instances[(number + 1) % len(instances)],
                stream,
                EVENTS,
                f"{stream.id}-again",
            )
            for number, stream in enumerate(streams)
        ]
        return [answer.result() for answer in answers]

    # Troubles

    def add_engine(self, software: str) -> None:
        """Start an engine and list it."""
        self.engine_count += 1
        engine = ModelWorker(
            f"i-{software}-{self.engine_count}", MODEL, software=software
        )
        self.addCleanup(engine.close)
        engine.events = EVENTS
        engine.event_s = EVENT_S
        self.engines.append(engine)
        record = engine.record("engines", "zone-1")
        self.store.put("keyed.servers", engine.state.id, record)

    def crash_busiest(self) -> None:
        """Crash the busiest engine of each software version; two of each are left."""
        for software in (OLD, NEW):
            of_version = [one for one in self.engines if one.software == software]
            busiest = max(of_version, key=lambda engine: engine.running)
            self.engines.remove(busiest)
            busiest.crash()

    def remove_version(self, software: str) -> None:
        """Let all engines of a version leave, and wait until all instances know."""
        for engine in [one for one in self.engines if one.software == software]:
            record = engine.record("engines", "zone-1", "draining")
            self.store.put("keyed.servers", engine.state.id, record)
        before = len(self.engines)
        self.engines = [one for one in self.engines if one.software != software]
        self.assertLess(len(self.engines), before)
        # As long as the users give a change of an upstream's state.
        time.sleep(2.0)

    # Checks

    def check_versions(self, streams: list[Received]) -> None:
        """Check the rule ORDER."""
        mixed = [stream.id for stream in streams if len(stream.versions) > 1]
        seen = Counter(str(sorted(stream.versions)) for stream in streams)
        self.assertLessEqual(len(mixed), MOST_MIXED, f"of {len(streams)}: {seen}")

    def check_pieces(self, streams: list[Received]) -> None:
        """Check that no stream lacks an event, or has one twice."""
        for stream in streams:
            numbers = [number for number, _ in stream.events]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)), stream.id)

    def check_continued(self, streams: list[Received]) -> None:
        """Check the rule LOST; new streams all begin here."""
        statuses = Counter(stream.status for stream in streams)
        whole = sum(stream.whole for stream in streams)
        self.assertGreaterEqual(whole, LEAST_SHARE * len(streams), statuses)


class OneAnswerTests(StreamVersionsTestCase):
    """Streams that go on at another upstream inside one answer."""

    def test_a_crash_continues_no_stream_at_another_software_version(self) -> None:
        answers = self.begin("crash", self.instances)
        self.wait(lambda: sum(engine.running for engine in self.engines) >= STREAMS)
        time.sleep(TAKEN_UP_AFTER * EVENT_S)
        self.crash_busiest()
        streams = [answer.result() for answer in answers]
        self.check_versions(streams)
        self.check_pieces(streams)
        self.check_continued(streams)

    def test_a_stream_ends_at_once_when_its_software_version_is_gone(self) -> None:
        # Guards against streams that go on at a new version after a release.
        answers = self.begin("gone", self.instances)
        self.wait(lambda: sum(engine.running for engine in self.engines) >= STREAMS)
        time.sleep(TAKEN_UP_AFTER * EVENT_S)
        old = [engine for engine in self.engines if engine.software == OLD]
        for engine in old:
            engine.crash()
        self.check_versions([answer.result() for answer in answers])


class TakenUpTests(StreamVersionsTestCase):
    """Streams that clients take up."""

    def begin_and_leave(self, label: str, events: int) -> list[Received]:
        answers = self.begin(label, self.instances, events)
        streams = [answer.result() for answer in answers]
        self.assertEqual([one.status for one in streams], [200] * STREAMS)
        return streams

    def test_a_crash_resumes_no_stream_at_another_software_version(self) -> None:
        for events in (TAKEN_UP_AFTER, 1):
            streams = self.begin_and_leave(f"left-{events}", events)
            if events == TAKEN_UP_AFTER:
                self.crash_busiest()
            self.take_up(streams, self.instances)
            self.check_versions(streams)
            self.check_pieces(streams)
            self.check_continued(streams)

    def test_a_killed_instance_resumes_no_stream_at_another_software_version(
        self,
    ) -> None:
        first, *others = self.instances
        answers = self.begin("killed", [first])
        self.wait(lambda: sum(engine.running for engine in self.engines) >= STREAMS)
        time.sleep(TAKEN_UP_AFTER * EVENT_S)
        first.process.kill()
        streams = [answer.result() for answer in answers]
        self.crash_busiest()
        begun = [stream for stream in streams if stream.events]
        self.assertGreaterEqual(len(begun), STREAMS // 2)
        self.take_up(begun, others)
        self.check_versions(begun)
        self.check_pieces(begun)
        self.check_continued(begun)

    def test_a_stream_whose_software_version_is_gone_is_refused_at_once(self) -> None:
        streams = self.begin_and_leave("refused", TAKEN_UP_AFTER)
        self.remove_version(OLD)
        old = [stream for stream in streams if stream.versions == {OLD}]
        self.assertTrue(old)
        self.take_up(streams, self.instances)
        self.check_versions(streams)
        self.assertEqual({stream.status for stream in old}, {503})
        self.assertLess(max(stream.took_s for stream in old), REFUSED_WITHIN_S)
        self.check_continued([one for one in streams if one not in old])

    def test_an_unknown_stream_is_not_resumed_at_either_software_version(self) -> None:
        # Guards against a guess where nobody knows at which version a stream began.
        streams = [
            Received(f"unknown-{number}", events=[(1, OLD)]) for number in range(12)
        ]
        self.take_up(streams, self.instances)
        self.assertEqual({stream.status for stream in streams}, {503})
        self.assertLess(max(stream.took_s for stream in streams), REFUSED_WITHIN_S)

    def test_an_adapter_is_loaded_at_the_software_version_of_its_stream(self) -> None:
        # Guards against streams that end because only the other version holds the
        # adapter.
        stream = self.ask(
            self.instances[0], Received("adapter"), TAKEN_UP_AFTER, model=ADAPTER
        )
        [version] = stream.versions
        holder = next(one for one in self.engines if "a1" in one.state.adapters)
        self.assertEqual(holder.software, version)
        self.engines.remove(holder)
        holder.crash()
        self.ask(self.instances[1], stream, EVENTS, "adapter-again", ADAPTER)
        self.assertEqual(stream.status, 200)
        self.assertEqual(stream.versions, {version})
        self.assertTrue(stream.whole)


class SeriesTests(StreamVersionsTestCase):
    """Crashes of engines and kills of instances in series, while clients come back."""

    def test_streams_keep_their_version_and_go_on(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                self.run_series(Random(seed), f"series-{seed}")

    def run_series(self, source: Random, label: str) -> None:
        stop = threading.Event()
        self.started_at = dict.fromkeys(self.instances, 0.0)
        clients = [
            self.pool.submit(self.run_client, stop, f"{label}-{number}", number)
            for number in range(CLIENTS)
        ]
        for _ in range(CHANGES):
            time.sleep(source.uniform(*PAUSE_S))
            if source.random() < KILL_SHARE:
                self.restart_instance(source)
            else:
                self.replace_engine(source)
        stop.set()
        streams = [stream for client in clients for stream in client.result()]
        self.check_versions(streams)
        self.check_pieces(streams)
        taken_up = [stream for stream in streams if stream.is_taken_up]
        self.assertGreaterEqual(len(taken_up), LEAST_TAKEN_UP)
        self.check_continued(taken_up)

    def run_client(
        self, stop: threading.Event, label: str, number: int
    ) -> list[Received]:
        """Begin streams one after the other, and take up those that break off."""
        source = Random(number)
        streams: list[Received] = []
        while not stop.is_set():
            stream = Received(f"{label}-{len(streams)}")
            streams.append(stream)
            for attempt in range(TRIES):
                instance = source.choice(self.in_touch())
                leaves = attempt == 0 and source.random() < LEAVE_SHARE
                events = TAKEN_UP_AFTER if leaves else EVENTS
                self.ask(instance, stream, events, f"{stream.id}-{attempt}")
                if attempt == 0:
                    stream.id = f"{stream.id}-0"
                if stream.whole or not stream.events:
                    break
        return streams

    def in_touch(self) -> list[PlatformProcess]:
        """Return the instances that have run for long enough to count."""
        latest = time.monotonic() - CONTACT_S
        return [one for one in self.instances if self.started_at[one] < latest]

    def restart_instance(self, source: Random) -> None:
        """Kill an instance and start another one under its name."""
        in_touch = self.in_touch()
        if len(in_touch) < INSTANCES:
            return
        killed = source.choice(in_touch)
        place = self.instances.index(killed)
        self.instances = [one for one in self.instances if one is not killed]
        killed.process.kill()
        started = self.start(f"node-{place}")
        self.started_at[started] = time.monotonic()
        self.instances.insert(place, started)

    def replace_engine(self, source: Random) -> None:
        """Crash an engine; another one of either version is started first."""
        self.add_engine(source.choice((OLD, NEW)))
        counts = Counter(engine.software for engine in self.engines)
        spare = [one for one in self.engines if counts[one.software] > 2]
        crashed = source.choice(spare)
        self.engines = [one for one in self.engines if one is not crashed]
        crashed.crash()
        time.sleep(source.uniform(*LISTED_FOR_S))
        self.store.put("keyed.servers", crashed.state.id, None)


def _exchange(address: str, request: bytes, events: int) -> bytes:
    """Send a request; return what came until its end, or that many events."""
    host, _, port = address.rpartition(":")
    data = b""
    try:
        with socket.create_connection((host, int(port)), 2 * TIMEOUT_MS / 1000) as peer:
            peer.sendall(request)
            while part := peer.recv(65536):
                data += part
                if events < EVENTS and len(EVENT.findall(data)) >= events:
                    break
    except OSError:
        pass
    return data


if __name__ == "__main__":
    unittest.main()
