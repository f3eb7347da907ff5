"""Workers that crash when they run certain requests, and start again."""

import threading
import time

from .server import Call
from .store import StoreServer
from .worker import BORN, ID, ModelWorker, PlainWorker, sealed


class _CrashingWorker(PlainWorker):
    """One life of a worker of a `CrashingFleet`."""

    def __init__(self, id: str, fleet: "CrashingFleet", born: int) -> None:
        super().__init__(id, born)
        self._fleet = fleet

    def _handle(self, call: Call) -> None:
        if self._fleet.path in call.target:
            self.ran.append(call)
            call.keep = False
            self._fleet.crash(self)
            return
        super()._handle(call)


class CrashingFleet:
    """Workers of one service; each crash ends one life and begins another.

    Parameters
    ----------
    path : str
        Whoever runs a request with this in its path crashes.
    keeps_ids : bool
        Whether they start again under the id that they had.
    """

    def __init__(
        self,
        store: StoreServer,
        service: str,
        size: int,
        path: str,
        keeps_ids: bool = False,
    ) -> None:
        self.path = path
        self.keeps_ids = keeps_ids
        self.crashed: list[str] = []
        self._store = store
        self._service = service
        self._started = 0
        self._lock = threading.Lock()
        self._workers: dict[str, _CrashingWorker] = {}
        for number in range(size):
            self._start(f"i-plain-{number}")

    def _start(self, id: str) -> None:
        self._started += 1
        worker = _CrashingWorker(id, self, BORN + self._started)
        self._workers[worker.id] = worker
        self._store.put(
            "keyed.servers", worker.id, worker.record(self._service, "zone-1")
        )

    def crash(self, worker: _CrashingWorker) -> None:
        """End a worker's life with all its connections; another begins."""
        with self._lock:
            self.crashed.append(worker.id)
            del self._workers[worker.id]
            worker.close()
            if self.keeps_ids:
                self._start(worker.id)
                return
            self._store.put("keyed.servers", worker.id, None)
            self._start(f"{worker.id}+")

    def close(self) -> None:
        """Stop all workers."""
        for worker in list(self._workers.values()):
            worker.close()


class _CrashingModelWorker(ModelWorker):
    """One life of a worker of a `CrashingModelFleet`."""

    def __init__(self, id: str, fleet: "CrashingModelFleet", born: int) -> None:
        super().__init__(id, fleet.model, born=born)
        self._fleet = fleet
        self.run_s = fleet.run_s
        self.event_s = fleet.event_s

    def _stream(self, call: Call, adapter: str, version: int | None) -> None:
        if self._fleet.part in call.headers.get("x-prompt-prefix", ""):
            call.start_stream(sealed(call, self.state.id))
            call.keep = False
            self._fleet.crash(self, call.headers[ID.lower()])
            return
        super()._stream(call, adapter, version)


class CrashingModelFleet:
    """Model workers that crash as they begin to answer a prompt with a certain part.

    Attributes
    ----------
    crashed_at : list of float
        When workers crashed, on the monotonic clock.
    arrived_at : dict of str to float
        When requests with the part arrived at a worker that then crashed, by id.

    Parameters
    ----------
    part : str
        The id of the part.
    down_s : float
        After how long a worker is back, with an id of its own.
    run_s, event_s : float
        How long a stream waits for its first event, and the pause between two.
    """

    def __init__(
        self,
        store: StoreServer,
        service: str,
        model: str,
        size: int,
        part: str,
        down_s: float,
        run_s: float,
        event_s: float,
    ) -> None:
        self.model = model
        self.part = part
        self.run_s = run_s
        self.event_s = event_s
        self.crashed_at: list[float] = []
        self.arrived_at: dict[str, float] = {}
        self._store = store
        self._service = service
        self._down_s = down_s
        self._started = 0
        self._closed = False
        self._lock = threading.Lock()
        self._by_id: dict[str, _CrashingModelWorker] = {}
        for _ in range(size):
            self._start()

    def _start(self) -> None:
        with self._lock:
            if self._closed:
                return
            self._started += 1
            worker = _CrashingModelWorker(
                f"i-model-{self._started}", self, BORN + self._started
            )
            self._by_id[worker.state.id] = worker
        record = worker.record(self._service, "zone-1")
        self._store.put("keyed.servers", worker.state.id, record)

    def crash(self, worker: _CrashingModelWorker, request: str) -> None:
        """End a worker's life with all its connections; another begins later."""
        now = time.monotonic()
        with self._lock:
            self.arrived_at.setdefault(request, now)
            if self._by_id.pop(worker.state.id, None) is None:
                return
            self.crashed_at.append(now)
        worker.crash()
        self._store.put("keyed.servers", worker.state.id, None)
        timer = threading.Timer(self._down_s, self._start)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """Stop all workers."""
        with self._lock:
            self._closed = True
            workers = list(self._by_id.values())
        for worker in workers:
            worker.close()
