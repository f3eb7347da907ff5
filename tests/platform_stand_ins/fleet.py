"""Plain workers that crash when they run a certain path, and start again."""

import threading

from .server import Call
from .store import StoreServer
from .worker import BORN, PlainWorker


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
