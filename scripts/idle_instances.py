"""What instances on a platform cost while nothing is asked of them.

    python scripts/idle_instances.py 9 17 30 60

Starts so many processes against the platform's stand-ins on loopback, lets them
find each other, and prints processor time, memory, threads, bytes between
instances and calls to the store, by instance and second. Reports; asserts nothing.
"""

import argparse
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.platform_process import PlatformProcess  # noqa: E402
from tests.platform_stand_ins.store import StoreServer  # noqa: E402
from tests.platform_stand_ins.worker import ModelWorker, PlainWorker  # noqa: E402
from tests.test_platform import CONFIGURATION, MODEL  # noqa: E402

SETTLE_SECONDS = 12.0
MEASURED_SECONDS = 15.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6
BYTES_LINE = 'ashhoist_link_bytes_total{direction="sent"}'


@dataclass(frozen=True, slots=True)
class Sample:
    """What one process has used so far."""

    processor_s: float
    memory_mb: float
    threads: int
    sent_bytes: float


def sample(process: PlatformProcess) -> Sample:
    """Return what a process has used since it started."""
    folder = Path("/proc") / str(process.process.pid)
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    processor = (int(fields[11]) + int(fields[12])) / TICKS
    memory = int((folder / "statm").read_text().split()[1]) * PAGE_MB
    _, metrics = process.get(process.metrics, "/metrics")
    sent = 0.0
    for line in metrics.decode().splitlines():
        if line.startswith(BYTES_LINE):
            sent = float(line.rsplit(" ", 1)[1])
    return Sample(processor, memory, int(fields[17]), sent)


def measure(count: int) -> None:
    """Start `count` instances and print a line about them."""
    store = StoreServer()
    engine = ModelWorker("i-engine", MODEL)
    plain = PlainWorker("i-plain")
    store.put("keyed.op", "config", CONFIGURATION)
    store.put("keyed.servers", "i-engine", engine.record("engines", "zone-1"))
    store.put("keyed.servers", "i-plain", plain.record("plain-service", "zone-1"))
    with tempfile.TemporaryDirectory() as folder:
        processes = [
            PlatformProcess(Path(folder), store.address, f"node-{index}")
            for index in range(count)
        ]
        try:
            time.sleep(SETTLE_SECONDS + count * 0.2)
            calls = store.calls
            before = [sample(process) for process in processes]
            time.sleep(MEASURED_SECONDS)
            after = [sample(process) for process in processes]
            _print(count, before, after, store.calls - calls)
        finally:
            for process in processes:
                process.end()
            for server in (store, engine, plain):
                server.close()


def _print(count: int, before: list[Sample], after: list[Sample], calls: int) -> None:
    pairs = list(zip(before, after, strict=True))
    cores = sorted(
        (late.processor_s - early.processor_s) / MEASURED_SECONDS * 100
        for early, late in pairs
    )
    sent = sorted(
        (late.sent_bytes - early.sent_bytes) / MEASURED_SECONDS for early, late in pairs
    )
    memory = sorted(late.memory_mb for late in after)
    threads = sorted(late.threads for late in after)
    middle = count // 2
    print(
        f"{count} instances: core % median {cores[middle]:.2f} most {cores[-1]:.2f};"
        f" sent bytes/s median {sent[middle]:.0f} most {sent[-1]:.0f};"
        f" memory MB median {memory[middle]:.0f} most {memory[-1]:.0f};"
        f" threads median {threads[middle]} most {threads[-1]};"
        f" store calls/s {calls / MEASURED_SECONDS:.1f}",
        flush=True,
    )


def main() -> None:
    """Measure each count that was asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("counts", nargs="+", type=int)
    for count in parser.parse_args().counts:
        measure(count)


if __name__ == "__main__":
    main()
