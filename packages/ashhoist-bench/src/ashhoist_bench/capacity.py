"""``make bench-capacity``: slopes of state and processor time, with residuals.

Each slope is a straight line through at least three measured points. What
several processes cost together is measured by ``scripts/bench.sh``.
"""

import gc
import itertools
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import numpy

from ashhoist import messages
from ashhoist.claims import ClaimAction, ClaimRecord, Claims
from ashhoist.clock import ManualClock
from ashhoist.configuration import Change, Configuration, from_chunks
from ashhoist.keys import KeyFold
from ashhoist.policies import UpstreamView
from ashhoist.residency import Residency
from ashhoist.types import AdapterVersion
from ashhoist_standins.scenario import Scenario

ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    slope: float
    start: float
    residual: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the line of least squares; the residual is the largest, relative."""
    slope, start = numpy.polyfit(numpy.array(sizes), numpy.array(values), 1)
    largest = max(
        abs(slope * size + start - value) / max(abs(value), 1e-12)
        for size, value in zip(sizes, values, strict=True)
    )
    return Line(float(slope), float(start), largest)


def show(what: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> None:
    """Print the points and the line."""
    line = fit(sizes, values)
    points = ", ".join(
        f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
    )
    print(
        f"{what:44} {line.slope:10.4g} {unit} each, start {line.start:.3g}, "
        f"residual {line.residual:.0%}  ({points})",
        flush=True,
    )


def traced(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated by what `build` returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def timed(run: Callable[[], object]) -> float:
    """Return the least processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best


def adapter_record(index: int) -> dict[str, object]:
    """Return the record that declares one adapter."""
    spec = {
        "base_model": "base",
        "versions": {"v1": {"weights": f"store/adapter-{index}/v1"}},
        "default_version": "v1",
        "priority": "normal",
        "team": "default",
    }
    return Change(f"op-{index}", "adapters", f"adapter-{index}", spec).to_record()


def configuration(adapters: int) -> Configuration:
    """Return a configuration with so many idle adapters."""
    state = Configuration()
    state.apply(0, Change("base", "base-models", "base", {}).to_record())
    for index in range(adapters):
        state.apply(index + 1, adapter_record(index))
    return state


def state_slopes() -> None:
    """Print what state costs in memory."""
    sizes: tuple[int, ...] = (5000, 20_000, 40_000, 80_000)
    values = [traced(lambda size=size: configuration(size)) for size in sizes]  # type: ignore[misc]
    show("memory of an idle adapter", "bytes", sizes, values)
    sizes = (20_000, 40_000, 80_000)
    values = [traced(lambda size=size: keys(size)) for size in sizes]  # type: ignore[misc]
    show("memory of a remembered key", "bytes", sizes, values)
    sizes = (13, 130, 610)
    values = [traced(lambda size=size: residency(size)) for size in sizes]  # type: ignore[misc]
    show("memory of an upstream with 8 adapters", "bytes", sizes, values)
    values = [traced(lambda size=size: claims(size)) for size in sizes]  # type: ignore[misc]
    show("memory of a claim", "bytes", sizes, values)


def keys(count: int) -> KeyFold:
    """Return a fold with so many keys."""
    fold = KeyFold(timedelta(hours=1))
    for index in range(count):
        record = {"action": "take", "keys": [[f"key-{index:020}", f"{index:032}"]]}
        fold.apply(index, record, timedelta(), 0.0)
    return fold


def residency(upstreams: int) -> Residency:
    """Return a map with so many upstreams."""
    found = Residency()
    for index in range(upstreams):
        name = f"engine-{index}"
        found.views[name] = UpstreamView(name, "zone-0", 8, 16)
        for slot in range(8):
            found.set(name, AdapterVersion(f"adapter-{index}-{slot}", "v1"), True)
    return found


def claims(count: int) -> Claims:
    """Return a fold with so many claims."""
    fold = Claims(timedelta(seconds=12))
    for index in range(count):
        record = ClaimRecord(
            f"op-{index}", ClaimAction.CLAIM, "instance-0/1", (f"engine-{index}",)
        )
        fold.apply(index, record.to_record(), timedelta())
    return fold


def time_slopes() -> None:
    """Print what events cost in processor time."""
    sizes: tuple[int, ...] = (5000, 10_000, 20_000)
    records = [adapter_record(index) for index in range(max(sizes))]

    def apply(count: int) -> None:
        state = Configuration()
        state.apply(0, Change("base", "base-models", "base", {}).to_record())
        for index in range(count):
            state.apply(index + 1, records[index])

    values = [timed(lambda size=size: apply(size)) * 1e6 for size in sizes]  # type: ignore[misc]
    show("configuration change applied", "us", sizes, values)
    sizes = (5000, 20_000, 80_000)
    states = [configuration(size) for size in sizes]
    values = [timed(state.to_chunks) * 1e3 for state in states]
    show("snapshot written, by adapter", "ms", sizes, values)
    chunks = [state.to_chunks() for state in states]
    values = [timed(lambda item=item: from_chunks(item)) * 1e3 for item in chunks]  # type: ignore[misc]
    show("snapshot read, by adapter", "ms", sizes, values)
    values = [float(len(item)) for item in chunks]
    show("appends of a snapshot, by adapter", "appends", sizes, values)
    sizes = (1000, 4000, 16_000)
    heartbeat = messages.Heartbeat(
        False, 1000, "instance-0", [["engine-0", 4, 1, 0, 2, 900, 500]] * 2, []
    )
    frame = messages.encode([heartbeat])
    values = [
        timed(lambda size=size: [messages.encode([heartbeat]) for _ in range(size)])  # type: ignore[misc]
        * 1e6
        for size in sizes
    ]
    show("heartbeat encoded", "us", sizes, values)
    values = [
        timed(lambda size=size: [messages.decode(frame) for _ in range(size)]) * 1e6  # type: ignore[misc]
        for size in sizes
    ]
    show("heartbeat decoded", "us", sizes, values)
    print(f"heartbeat with two loads: {len(frame)} bytes")
    delta = messages.ResidencyDelta("engine-0", False, ["adapter-123@v1"], [])
    print(f"residency delta: {len(messages.encode([delta]))} bytes")


def instance_slopes() -> None:
    """Print what idle ticks of one core cost, by instances and by upstreams."""
    sizes: tuple[int, ...] = (4, 8, 16, 32)
    values = [_idle_tick(size, 2) for size in sizes]
    show("idle second of one core, by instances", "ms", sizes, values)
    sizes = (4, 16, 64)
    values = [_idle_tick(4, size) for size in sizes]
    show("idle second of one core, by upstreams", "ms", sizes, values)


def _idle_tick(instances: int, engines: int) -> float:
    lines = ["zones 2", f"instances {instances}"]
    lines += [f"engine e{index} zone-{index % 2} fences" for index in range(engines)]
    scenario = Scenario(1)
    scenario.run("\n".join([*lines, "declare 2", "wait 5s"]))
    world = scenario.world
    for node in list(world.nodes.values())[1:]:
        node.frozen = True
    node = next(iter(world.nodes.values()))
    clock = world.clock
    assert isinstance(clock, ManualClock)

    def ten_seconds() -> None:
        for _ in range(40):
            clock.advance(timedelta(milliseconds=250))
            for peer in node.peers:
                node.core.membership.heard(peer, peer, False, clock.monotonic())
            node.core.tick()

    return timed(ten_seconds) * 1e3 / 10


def takeover() -> None:
    """Print how long homes are away and configuration takes, in virtual time."""
    for label, trouble in (
        ("instance killed", "kill home:e0"),
        ("instance stopped on plan", "stop home:e0"),
    ):
        for fences in ("fences", ""):
            away = _away(trouble, fences)
            kind = "checks fences" if fences else "does not check"
            print(f"takeover, {label}, upstream {kind}: {away:.2f} s")


def _away(trouble: str, fences: str) -> float:
    scenario = Scenario(2)
    scenario.run(
        f"zones 1\ninstances 3\nengine e0 zone-0 {fences}\ndeclare 2\nask a0\nwait 9s"
    )
    world = scenario.world
    started = world.clock.monotonic()
    scenario.run(trouble)
    for _ in itertools.count():
        world.run(timedelta(milliseconds=50))
        now = world.clock.monotonic()
        for node in world.nodes.values():
            home = node.core.homes.by_upstream.get("e0")
            if node.stopping or home is None or home.authority is None:
                continue
            if home.authority.may_order(now) and home.incarnation:
                return (now - started).total_seconds()
    raise AssertionError


def main() -> int:
    """Print all slopes."""
    random.seed(1)
    state_slopes()
    time_slopes()
    instance_slopes()
    takeover()
    return 0


if __name__ == "__main__":
    sys.exit(main())
