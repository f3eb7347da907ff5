"""How long the leader takes for one request and for one round of planning.

    python -m ashhoist_bench.rounds

All engines are full; requests wait for adapters that none of them holds.
"""

import argparse
import statistics
import time
from collections.abc import Callable
from datetime import timedelta

from ashhoist import logs
from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.metrics import Metrics
from ashhoist.orders import EngineReport
from ashhoist.placement import PendingRequest, Residency
from ashhoist.placement.permits import NoLimits
from ashhoist.placement.scheduler import Scheduler
from ashhoist.routing import EngineModel, EngineSettings
from ashhoist.upstreams import Upstream

SERVICE, MODEL = "engines", "base"
PLACES, COPIES = 5, 31
SIZES = (70, 300, 1000)
WAITING = 90
REPEATS = 7


def _scheduler(engines: int) -> tuple[Scheduler, ManualClock]:
    """Return a scheduler before engines that are full and keep copies."""
    clock = ManualClock()
    clock.advance(timedelta(seconds=10))
    residency = Residency()
    scheduler = Scheduler(
        lambda zone: True,
        lambda action: None,
        NoLimits(),
        residency,
        clock,
        Metrics(),
        logs.get("control"),
    )
    model = EngineModel(MODEL, 34300, timedelta(seconds=2), 10_000, 40)
    settings = EngineSettings({MODEL: model}, 96, 35_000, PLACES, 40.0)
    found = [
        Upstream(f"e{i}", SERVICE, f"e{i}:1", f"z{i % 3}", slots=96, models=(MODEL,))
        for i in range(engines)
    ]
    scheduler.set_upstreams({SERVICE: settings}, found)
    for index, engine in enumerate(found):
        held = {
            Adapter(MODEL, f"a{index * COPIES + number}"): 1 for number in range(COPIES)
        }
        _report(scheduler, engine.id, held)
        _report(scheduler, engine.id, dict(list(held.items())[:PLACES]))
    clock.advance(timedelta(seconds=1))
    return scheduler, clock


def _report(scheduler: Scheduler, engine: str, held: dict[Adapter, int]) -> None:
    scheduler.engine_reported(
        engine, EngineReport(0, (MODEL,), (), held, {}, False, 0, 0)
    )


def _want(number: int, adapter: str, now: timedelta) -> PendingRequest:
    second = timedelta(seconds=1)
    return PendingRequest(
        f"r{number}",
        "instance",
        SERVICE,
        Adapter(MODEL, adapter),
        0,
        2400,
        2.4,
        0.7,
        now,
        now + second,
        now + 5 * second,
        now + 2 * second,
        f"z{number % 3}",
    )


def _time(step: Callable[[], None]) -> float:
    began = time.perf_counter()
    step()
    return (time.perf_counter() - began) * 1000


def _round(engines: int) -> float:
    """Return the milliseconds of a round with requests that wait."""
    scheduler, clock = _scheduler(engines)
    for number in range(WAITING):
        scheduler.submit(_want(number, f"cold{number}", clock.monotonic()))
    clock.advance(timedelta(milliseconds=10))
    return _time(lambda: scheduler.plan(on_timer=True))


def _placing(engines: int) -> float:
    """Return the milliseconds of placing a request whose adapter is held."""
    scheduler, clock = _scheduler(engines)
    count = 200

    def place() -> None:
        for number in range(count):
            adapter = f"a{number % engines * COPIES}"
            scheduler.submit(_want(number, adapter, clock.monotonic()))

    return _time(place) / count


def main() -> None:
    """Print the times before fleets of engines of some sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    options = parser.parse_args()
    logs.configure(level="error")
    print(f"{'engines':>8} {'round ms':>9} {'request ms':>11}")
    for size in SIZES:
        rounds = [_round(size) for _ in range(options.repeats)]
        placed = [_placing(size) for _ in range(options.repeats)]
        middle = statistics.median
        print(f"{size:>8} {middle(rounds):>9.1f} {middle(placed):>11.3f}")


if __name__ == "__main__":
    main()
