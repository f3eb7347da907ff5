"""Instances whose configuration changes in series, that are signalled and stopped.

Each place has one instance after the other; callers use each until it is gone.
"""

import copy
import re
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from .drawn_requests import FLIPPED_ROUTES, FLIPPED_STREAM_ROUTES
from .ledger_callers import LedgerCaller
from .platform_process import Document, PlatformProcess
from .platform_stand_ins.store import StoreServer
from .platform_stand_ins.worker import ModelWorker, PlainWorker
from .request_ledger import InstanceLog, Ledger
from .test_platform import CONFIGURATION, MODEL

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
LOOK_INTERVAL_S = 0.02
IDLE_TIMES_MS = (300, 1000, 2000, 7000, 15000)
BODY_LIMITS_BYTES = (30_000, 4_194_304, 4_194_304)
KEYS = [{"name": "customer", "api-keys": ["key-1"]}]
DISCARDING = re.compile(r"^ashhoist_connections_discarding_total (\S+)$", re.MULTILINE)


@dataclass(frozen=True)
class PlayOptions:
    """How large a play is.

    Parameters
    ----------
    places : int
        Instances at a time.
    lives : int
        Instances of a place, one after the other.
    callers : int
        Of each instance.
    life_s : (float, float)
        The shortest and the longest time until an instance is told to stop.
    configuration_interval_s, reload_interval_s : float
        The mean time between two configurations or SIGHUPs.
    run_s : float
        Until the first event of a stream.
    event_interval_s : float
        Between two events of a stream.
    events : int
        Of a stream.
    route_timeout_ms, deadline_ms : int
        Short enough that requests which arrive when a stop begins end before its limit.
    """

    places: int = 2
    lives: int = 2
    callers: int = 10
    life_s: tuple[float, float] = (0.8, 2.0)
    configuration_interval_s: float = 0.2
    reload_interval_s: float = 0.3
    run_s: float = 0.0
    event_interval_s: float = 0.03
    events: int = 4
    route_timeout_ms: int = 4000
    deadline_ms: int = 4000


class Play:
    """One play, drawn by a seed.

    Attributes
    ----------
    ledger : Ledger
        Complete once `run` has returned.
    """

    def __init__(self, seed: int, options: PlayOptions) -> None:
        self.ledger = Ledger()
        self.texts: dict[str, str] = {}
        """What each instance wrote."""
        self.errors: list[str] = []
        self._options = options
        self._seed = seed
        self._source = Random(seed)
        self._version = CONFIGURATION["version"]
        self._is_over = threading.Event()
        self._processes: dict[str, PlatformProcess] = {}
        self._lock = threading.Lock()

    def run(self) -> None:
        """Run until the last instance of each place is gone."""
        with tempfile.TemporaryDirectory() as folder:
            self._start_stand_ins()
            try:
                self._run_in(Path(folder))
            finally:
                self._close()

    def _start_stand_ins(self) -> None:
        self._store = StoreServer()
        self._plain = [PlainWorker(f"i-plain-{n}", slots=20) for n in range(2)]
        self._engine = ModelWorker("i-engine", MODEL)
        self._engine.run_s = self._options.run_s
        self._engine.events = self._options.events
        self._engine.event_s = self._options.event_interval_s
        self._store.put("keyed.op", "config", self._draw_configuration(Random(0)))
        for number, worker in enumerate(self._plain):
            record = worker.record(f"plain-{number}", "zone-1")
            self._store.put("keyed.servers", worker.id, record)
        record = self._engine.record("engines", "zone-1")
        self._store.put("keyed.servers", self._engine.state.id, record)

    def _run_in(self, folder: Path) -> None:
        places = [
            self._thread(self._run_place, folder, place, self._draw_source())
            for place in range(self._options.places)
        ]
        changes = [
            self._thread(self._change_configuration, self._draw_source()),
            self._thread(self._reload, self._draw_source()),
        ]
        for thread in places:
            thread.join()
        self._is_over.set()
        for thread in changes:
            thread.join()

    def _draw_source(self) -> Random:
        return Random(self._source.random())

    def _thread(self, run: Callable[..., None], *arguments: Any) -> threading.Thread:
        def guarded() -> None:
            try:
                run(*arguments)
            except Exception as error:
                self.errors.append(f"{run.__name__}: {error!r}")

        thread = threading.Thread(target=guarded, daemon=True)
        thread.start()
        return thread

    def _close(self) -> None:
        for process in self._processes.values():
            process.end()
        for stand_in in (self._store, *self._plain, self._engine):
            stand_in.close()

    # Instances

    def _run_place(self, folder: Path, place: int, source: Random) -> None:
        for life in range(self._options.lives):
            name = f"node-{place}-{life}"
            process = PlatformProcess(folder, self._store.address, name)
            self._await_ready(process)
            with self._lock:
                self._processes[name] = process
            self._run_instance(name, process, source)

    def _await_ready(self, process: PlatformProcess) -> None:
        limit = time.monotonic() + READY_TIMEOUT_S
        while process.get(process.readiness, "/api/ready")[0] != 200:
            if time.monotonic() > limit:
                raise AssertionError(f"not ready: {process.end()[-2000:]}")
            time.sleep(LOOK_INTERVAL_S)

    def _run_instance(
        self, name: str, process: PlatformProcess, source: Random
    ) -> None:
        is_gone = threading.Event()
        callers = [
            LedgerCaller(
                f"{self._seed}-{name}-{number}",
                name,
                process.callers,
                Random(source.random()),
                is_gone,
                self._options.deadline_ms,
            )
            for number in range(self._options.callers)
        ]
        for caller in callers:
            caller.start()
        time.sleep(source.uniform(*self._options.life_s))
        discarding = self._discarding(process)
        with self._lock:
            del self._processes[name]
            self.ledger.stopping_at[name] = time.monotonic()
        process.process.send_signal(signal.SIGTERM)
        process.process.wait(STOP_TIMEOUT_S)
        is_gone.set()
        for caller in callers:
            caller.join()
            caller.resolve()
            if caller.error:
                self.errors.append(caller.error)
        text = process.end()
        log = InstanceLog.parse(text)
        if discarding > len(log.discarded):
            self.errors.append(f"{name}: {discarding} counted: {log.discarded}")
        with self._lock:
            self.texts[name] = text
            self.ledger.logs[name] = log
            self.ledger.sent += [one for caller in callers for one in caller.sent]

    def _discarding(self, process: PlatformProcess) -> float:
        _, text = process.get(process.metrics, "/metrics")
        found = DISCARDING.search(text.decode())
        return float(found[1]) if found else 0.0

    # Changes

    def _pause(self, source: Random, mean_s: float) -> bool:
        """Wait for a drawn time; return whether the play goes on."""
        return not self._is_over.wait(source.uniform(0.0, 2 * mean_s))

    def _change_configuration(self, source: Random) -> None:
        while self._pause(source, self._options.configuration_interval_s):
            self._store.put("keyed.op", "config", self._draw_configuration(source))

    def _draw_configuration(self, source: Random) -> Document:
        self._version += 1
        document = copy.deepcopy(CONFIGURATION)
        plain, stream = document["routes"]
        plain |= {"service": "plain-0", "timeout-ms": self._options.route_timeout_ms}
        stream["timeout-ms"] = self._options.route_timeout_ms
        engines, service = document["services"]
        services = [service | {"name": f"plain-{n}"} for n in range(2)]
        limits = {
            "max-header-bytes": 9000,
            "idle-timeout-ms": source.choice(IDLE_TIMES_MS),
            "max-body-bytes": source.choice(BODY_LIMITS_BYTES),
        }
        safe = _renamed(plain, "safe") | {"kind": "safe", "max-attempts": 2}
        return document | {
            "version": self._version,
            "routes": [plain, stream, safe, *_flipped(source, plain, stream)],
            "services": [engines, *services],
            "limits": limits,
            "tenants": KEYS,
        }

    def _reload(self, source: Random) -> None:
        """Signal an instance at drawn moments, with its settings changed at times."""
        while self._pause(source, self._options.reload_interval_s):
            with self._lock:
                names = sorted(self._processes)
                if not names:
                    continue
                process = self._processes[source.choice(names)]
                if source.random() < 0.5:
                    process.rewrite(self._store.address, source.choice(("", "[::1]:9")))
                process.process.send_signal(signal.SIGHUP)


def _renamed(route: Document, name: str) -> Document:
    return route | {"name": name, "path-prefix": f"/{name}/"}


def _flipped(source: Random, plain: Document, stream: Document) -> list[Document]:
    """Return those of the routes that are in force at times, moved at times."""
    routes = [
        _renamed(plain, f"flip-{n}")
        | {"service": f"plain-{source.randrange(2)}", "public": source.random() < 0.2}
        for n in range(FLIPPED_ROUTES)
    ]
    routes += [
        _renamed(stream, f"flip-stream-{n}") for n in range(FLIPPED_STREAM_ROUTES)
    ]
    return [route for route in routes if source.random() < 0.5]
