"""Streams while the machine is at its limit and configurations come in series.

    python scripts/stream_storm.py
    python scripts/stream_storm.py --cores 2 3 --rate 24 --pause 0 --seed 3

Starts instances, engines and callers, each kind in processes of its own, all on the
same few cores. Streams begin at a steady rate on as many adapters as there are adapter
slots: first without changes, then with a version of the configuration every third of
a second, then without again. Engines pause in turn and go on later. Prints how the
streams of each part ended, what instances logged, and how late they were. Reports;
asserts nothing.
"""

import argparse
import json
import multiprocessing
import os
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.platform_process import PlatformProcess  # noqa: E402
from tests.platform_stand_ins.store import StoreServer  # noqa: E402
from tests.platform_stand_ins.worker import ModelWorker  # noqa: E402
from tests.stream_load import CUT, Received, StreamLoad  # noqa: E402
from tests.test_platform import CONFIGURATION, MODEL  # noqa: E402

CORES = 2
SLOTS = 6
EVENTS, EVENT_S = 36, 0.1
DEADLINE_MS, TARGET_MS, GAP_MS = 12_000, 800, 300
PATIENCE_S = 3.2
"""Callers of such a route disconnect after so long without an event."""
LOADS_PER_S = 26
RETRIES = "extra = 162"
ENGINES_PER_PROCESS = 4
VERSION_EVERY_S = 0.33
MORE_ROUTES = 100
"""Routes of the configuration beside the one that is used; every other version has one
more."""
READY_WITHIN_S = 180.0
SETTLE_S = 8.0
"""Until adapters are loaded and instances know of each other."""
LINES = ("request ended", "attempt ended", "loop held up", "instance lost")
PARTS = ("loading", "before", "versions", "after")


def configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration."""
    _, stream = CONFIGURATION["routes"]
    engines = CONFIGURATION["services"][0]
    timing = {
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": TARGET_MS,
        "gap-aim-ms": GAP_MS,
    }
    more = [
        {
            **stream,
            **timing,
            "name": f"more-{number}",
            "path-prefix": f"/more-{number}/",
        }
        for number in range(MORE_ROUTES + version % 2)
    ]
    engine = {
        **engines["engine"],
        "adapter-slots": SLOTS,
        "loads-per-s": LOADS_PER_S,
    }
    return {
        **CONFIGURATION,
        "version": version,
        "routes": [{**stream, **timing}, *more],
        "services": [{**engines, "engine": engine}],
    }


# Processes of stand-ins and callers


def run_engines(pipe: Connection, first: int, count: int) -> None:
    """Run engines; pause one for so many seconds when told its number."""
    engines = {}
    for number in range(first, first + count):
        engine = ModelWorker(f"i-{number}", MODEL)
        engine.state.places = SLOTS
        engine.events, engine.event_s = EVENTS, EVENT_S
        engines[number] = engine
    pipe.send(
        {
            engine.state.id: engine.record("engines", "zone-1")
            for engine in engines.values()
        }
    )
    while (told := pipe.recv()) is not None:
        number, seconds = told
        engines[number].sends.clear()
        threading.Timer(seconds, engines[number].sends.set).start()
    pipe.send([engine.state.fallen for engine in engines.values()])


def run_callers(
    pipe: Connection, addresses: list[str], adapters: list[str], rate: float, seed: int
) -> None:
    """Begin streams until told to stop, and send what they received."""
    load = StreamLoad(addresses, adapters, EVENTS, DEADLINE_MS, seed)
    load.start(rate)
    pipe.recv()
    load.finish()
    pipe.send(load.received)


def start_process(
    function: Callable[..., None], *arguments: object
) -> tuple[multiprocessing.Process, Connection]:
    """Start a process that talks over a pipe."""
    context = multiprocessing.get_context("spawn")
    pipe, theirs = context.Pipe()
    process = context.Process(target=function, args=(theirs, *arguments), daemon=True)
    process.start()
    return process, pipe


# One play


class Play:
    """Instances, engines and callers, and what became of the streams."""

    def __init__(self, options: argparse.Namespace, folder: Path) -> None:
        self._options = options
        self._store = StoreServer()
        self._version = 10
        self._store.put("keyed.op", "config", configuration(self._version))
        self._engine_pipes = [
            start_process(
                run_engines, first, min(ENGINES_PER_PROCESS, options.engines - first)
            )[1]
            for first in range(0, options.engines, ENGINES_PER_PROCESS)
        ]
        for pipe in self._engine_pipes:
            for name, record in pipe.recv().items():
                self._store.put("keyed.servers", name, record)
        self._instances = [
            PlatformProcess(folder, self._store.address, f"node-{n}", retries=RETRIES)
            for n in range(options.instances)
        ]
        self._begins: dict[str, float] = {}

    def run(self) -> list[Received]:
        """Run all parts; return all streams."""
        self._await_ready()
        adapters = [f"a{n}" for n in range(1, self._options.engines * SLOTS + 1)]
        addresses = [instance.callers for instance in self._instances]
        _, pipe = start_process(
            run_callers, addresses, adapters, self._options.rate, self._options.seed
        )
        self._part("loading", SETTLE_S, 0.0)
        self._part("before", self._options.quiet, 0.0)
        self._part("versions", self._options.seconds, VERSION_EVERY_S)
        self._part("after", self._options.quiet, 0.0)
        pipe.send(None)
        received: list[Received] = pipe.recv()
        return received

    def _await_ready(self) -> None:
        limit = time.monotonic() + READY_WITHIN_S
        for instance in self._instances:
            while instance.get(instance.readiness, "/api/ready")[0] != 200:
                if time.monotonic() > limit:
                    raise SystemExit(f"not ready: {instance.end()[-2000:]}")
                time.sleep(0.1)

    def _part(self, name: str, seconds: float, version_every: float) -> None:
        self._begins[name] = time.monotonic()
        used = self._processor_s()
        until = self._begins[name] + seconds
        next_pause = 0
        while (now := time.monotonic()) < until:
            if version_every:
                self._version += 1
                self._store.put("keyed.op", "config", configuration(self._version))
            due = self._options.pause and name != "loading"
            if due and now >= self._begins[name] + next_pause * 2 * self._options.pause:
                self._pause(next_pause)
                next_pause += 1
            time.sleep(version_every or 0.1)
        cores = (self._processor_s() - used) / (time.monotonic() - self._begins[name])
        print(f"{name:9} {seconds:.0f} s, instances used {cores:.2f} cores", flush=True)

    def _pause(self, turn: int) -> None:
        """Pause the engine whose turn it is, or all of them."""
        numbers = [turn % self._options.engines]
        if self._options.together:
            numbers = list(range(self._options.engines))
        for number in numbers:
            pipe = self._engine_pipes[number // ENGINES_PER_PROCESS]
            pipe.send((number, self._options.pause))

    def _processor_s(self) -> float:
        """Return the processor time that all instances have used."""
        ticks = 0
        for instance in self._instances:
            path = Path("/proc") / str(instance.process.pid) / "stat"
            fields = path.read_text().rsplit(")", 1)[1].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def part_of(self, stream: Received) -> str:
        """Return in which part a stream began."""
        begun = [name for name in PARTS if self._begins[name] <= stream.began]
        return begun[-1] if begun else PARTS[0]

    def close(self) -> list[str]:
        """End all processes; return what the instances logged."""
        logs = [instance.end() for instance in self._instances]
        for pipe in self._engine_pipes:
            pipe.send(None)
            fallen = [why for why in pipe.recv() if why]
            if fallen:
                print(f"engines that were ordered too much: {fallen}")
        self._store.close()
        return logs


# What is printed


def print_streams(play: Play, received: list[Received]) -> None:
    """Print how the streams of each part ended."""
    for name in PARTS:
        streams = [stream for stream in received if play.part_of(stream) == name]
        ends = Counter(_end(stream) for stream in streams)
        waits = sorted(stream.longest_wait_s for stream in streams)
        late = sum(wait > PATIENCE_S for wait in waits)
        middle = waits[len(waits) // 2] if waits else 0.0
        print(
            f"streams begun, {name}: {len(streams)}: {dict(ends.most_common())};"
            f" longest wait for an event: median {middle:.2f} s,"
            f" most {max(waits, default=0.0):.2f} s, over {PATIENCE_S} s: {late}"
        )
    unanswered = [stream.took_s for stream in received if not stream.status]
    if unanswered:
        least, most = min(unanswered), max(unanswered)
        print(f"no answer after: {least:.2f} s at least, {most:.2f} s at most")


def _end(stream: Received) -> str:
    if stream.end != CUT:
        return stream.end
    how = stream.error or "closed"
    return f"cut ({how})" if stream.events else f"no answer ({how})"


def print_lines(logs: list[str]) -> None:
    """Print what the instances logged, by kind."""
    kinds: Counter[str] = Counter()
    for line in "\n".join(logs).splitlines():
        if any(name in line for name in LINES):
            kinds[_kind(line)] += 1
        elif '"level": "error"' in line or "Traceback" in line:
            kinds[line[:160]] += 1
    for kind, count in sorted(kinds.items()):
        print(f"log: {count:6} {kind}")


def _kind(line: str) -> str:
    try:
        fields = json.loads(line)
    except ValueError:
        return "line that is cut"
    event = fields["event"].rpartition(": ")[2]
    if event == "request ended":
        begun = "begun" if fields["first_ms"] is not None else "not begun"
        return f"{event}: {fields['status']} {fields['reason']} ({begun})"
    if event == "attempt ended":
        return f"{event}: {fields['result']} {fields['reason']}"
    return str(event)


def main() -> None:
    """Run one play on a few cores and print what became of its streams."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, default=24)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--cores", type=int, nargs="+", help="numbers; the last two")
    parser.add_argument("--rate", type=float, default=45.0, help="streams a second")
    parser.add_argument("--seconds", type=float, default=20.0, help="of versions")
    parser.add_argument("--quiet", type=float, default=8.0, help="before and after")
    parser.add_argument(
        "--pause", type=float, default=2.0, help="of an engine, in seconds; 0: none"
    )
    parser.add_argument(
        "--together", action="store_true", help="they pause at the same time"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    cores = options.cores or sorted(os.sched_getaffinity(0))[-CORES:]
    os.sched_setaffinity(0, cores)
    print(f"{vars(options)}, on cores {cores}, load {os.getloadavg()}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        play = Play(options, Path(folder))
        try:
            received = play.run()
        finally:
            logs = play.close()
    print_streams(play, received)
    print_lines(logs)


if __name__ == "__main__":
    main()
