"""All stand-ins of a bench as one process; writes its addresses to a file."""

import argparse
import json
import signal
import sys
import threading
from datetime import timedelta
from pathlib import Path

from ashhoist_standins import (
    EngineModel,
    EngineServer,
    EngineTiming,
    InstanceListServer,
    LogModel,
    LogServer,
    PlainServiceServer,
    WeightStoreModel,
    WeightStoreServer,
)

FAST = EngineTiming(timedelta(milliseconds=5), timedelta(0), timedelta(0), timedelta(0))


def main() -> int:
    """Run the stand-ins until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--zones", type=int, default=2)
    parser.add_argument("--file", type=Path, required=True)
    options = parser.parse_args()
    log = LogServer(LogModel(appends_per_second=10_000))
    instance_list = InstanceListServer()
    store = WeightStoreServer(WeightStoreModel(50.0))
    service = PlainServiceServer()
    for server in (log, instance_list, store, service):
        server.start()
    engines = {}
    for index in range(options.engines):
        model = EngineModel(f"engine-{index}", 64, 256, timing=FAST, store=store)
        engine = EngineServer(model)
        engine.start()
        engines[model.name] = {
            "url": engine.url,
            "zone": f"zone-{index % options.zones}",
        }
    addresses = {
        "log": log.url,
        "instance_list": instance_list.url,
        "service": service.url,
        "engines": engines,
    }
    options.file.write_text(json.dumps(addresses))
    asked = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked.set())
    asked.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
