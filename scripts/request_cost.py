"""What one instance on a platform spends on requests and on events of streams.

    python scripts/request_cost.py --requests 300 --events 3 60

Starts a process against the platform's stand-ins on loopback and asks it one
request after the other, first plain ones, then streams of so many events. Prints
the processor time of the instance for each. Reports; asserts nothing.
"""

import argparse
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from scripts.idle_instances import sample  # noqa: E402
from tests.platform_process import PlatformProcess  # noqa: E402
from tests.platform_stand_ins.store import StoreServer  # noqa: E402
from tests.platform_stand_ins.worker import ModelWorker, PlainWorker  # noqa: E402
from tests.test_platform import CONFIGURATION, MODEL  # noqa: E402

READY_SECONDS = 15.0
MILLISECONDS = 1000.0


def wait_ready(process: PlatformProcess) -> None:
    """Wait until the instance takes requests."""
    limit = time.monotonic() + READY_SECONDS
    while process.get(process.readiness, "/api/ready")[0] != 200:
        if time.monotonic() > limit:
            raise TimeoutError("not ready in time")
        time.sleep(0.05)


def spent(process: PlatformProcess, path: str, model: str, requests: int) -> float:
    """Return the milliseconds of processor time that a request takes."""
    process.ask(path, "first", model)
    before = sample(process).processor_s
    for number in range(requests):
        status, _ = process.ask(path, f"r{number}", model)
        if status != 200:
            raise RuntimeError(f"answered with {status}")
    return (sample(process).processor_s - before) * MILLISECONDS / requests


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--events", type=int, nargs=2, default=(3, 60))
    arguments = parser.parse_args()
    store = StoreServer()
    engine = ModelWorker("i-engine", MODEL)
    plain = PlainWorker("i-plain")
    store.put("keyed.op", "config", CONFIGURATION)
    store.put("keyed.servers", "i-engine", engine.record("engines", "zone-1"))
    store.put("keyed.servers", "i-plain", plain.record("plain-service", "zone-1"))
    with tempfile.TemporaryDirectory() as folder:
        process = PlatformProcess(Path(folder), store.address, "node-1")
        try:
            wait_ready(process)
            first = sample(process)
            print(f"to ready: {first.processor_s:.2f} s, {first.memory_mb:.1f} MB")
            cost = spent(process, "/lobby/x", "", arguments.requests)
            print(f"plain request: {cost:.2f} ms")
            costs = []
            for events in arguments.events:
                engine.events = events
                model = f"{MODEL}/a1"
                costs.append(spent(process, "/review/x", model, arguments.requests))
                print(f"stream of {events} events: {costs[-1]:.2f} ms")
            few, many = arguments.events
            print(f"event: {(costs[1] - costs[0]) / (many - few):.3f} ms")
        finally:
            process.end()


if __name__ == "__main__":
    main()
