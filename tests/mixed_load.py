"""Callers that ask instances for several kinds of requests, and what they received."""

import itertools
import socket
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from .pausing_workers import STREAM_EVENTS
from .platform_process import PlatformProcess
from .stream_load import EVENT
from .test_platform import HOST, MODEL

UNSAFE, SAFE, STREAM, ENGINE = "unsafe", "safe", "stream", "engine"
KINDS = (UNSAFE, SAFE, STREAM, ENGINE)
PATHS = {
    UNSAFE: "/lobby/x",
    SAFE: "/safe/x",
    STREAM: "/stream/x",
    ENGINE: "/review/x",
}
OK = 200


@dataclass
class Asked:
    """One request, and what its caller received.

    Attributes
    ----------
    fault : str
        Why the response is not the whole one of a sound upstream; empty if it is.
    """

    id: str
    kind: str
    instance: str
    adapter: str
    began: float
    status: int = 0
    fault: str = "not responded to"
    took_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.id} at {self.instance} after {self.took_s:.2f} s: {self.fault}"


class MixedLoad:
    """Sends requests of each kind at a steady rate, to the instances in turn.

    Parameters
    ----------
    name : str
        The ids of its requests begin with it.
    pause_s : float
        By how much a caller interrupts its request within the head and the body.
    """

    def __init__(
        self,
        name: str,
        instances: Sequence[PlatformProcess],
        adapters: Sequence[str],
        engine_events: int,
        deadline_ms: int,
        pause_s: float = 0.0,
    ) -> None:
        self._name = name
        self._instances = instances
        self._adapters = adapters
        self._engine_events = engine_events
        self._deadline_ms = deadline_ms
        self._pause_s = pause_s
        self._threads: list[threading.Thread] = []
        self._stop = threading.Event()
        self.asked: list[Asked] = []

    def start(self, per_second: float) -> None:
        """Send requests until `finish` is called."""
        thread = threading.Thread(target=self._begin_all, args=(per_second,))
        self._threads.append(thread)
        thread.start()

    def finish(self) -> None:
        """Send no further request, and wait until all have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def ask(self, kind: str, number: int, adapter_number: int = 0) -> Asked:
        """Send one request, and wait for its response."""
        instance = self._instances[number % len(self._instances)]
        adapter = self._adapters[adapter_number % len(self._adapters)]
        asked = Asked(
            f"{self._name}-{kind}-{len(self.asked)}",
            kind,
            instance.settings.stem,
            adapter,
            time.monotonic(),
        )
        self.asked.append(asked)
        self._ask(instance.callers, asked)
        return asked

    @property
    def faults(self) -> list[str]:
        """Return what is said of the requests that were not responded to as due."""
        return [str(asked) for asked in self.asked if asked.fault]

    def counts(self) -> Counter[str]:
        """Return how many requests of each kind there were."""
        return Counter(asked.kind for asked in self.asked)

    def _begin_all(self, per_second: float) -> None:
        at = time.monotonic()
        for number in itertools.count():
            if self._stop.wait(max(at - time.monotonic(), 0.0)):
                return
            kind = KINDS[number % len(KINDS)]
            turn = number // len(KINDS)
            thread = threading.Thread(target=self.ask, args=(kind, turn, turn))
            self._threads.append(thread)
            thread.start()
            at += 1.0 / per_second

    def _ask(self, address: str, asked: Asked) -> None:
        host, _, port = address.rpartition(":")
        wait_s = 2 * self._deadline_ms / 1000
        data = b""
        try:
            with socket.create_connection((host, int(port)), wait_s) as peer:
                for part in self._parts(asked):
                    peer.sendall(part)
                    time.sleep(self._pause_s)
                while part := peer.recv(65536):
                    data += part
            asked.fault = self._fault(asked, data)
        except OSError as error:
            asked.fault = f"{type(error).__name__}: {error}"
        asked.took_s = time.monotonic() - asked.began

    def _parts(self, asked: Asked) -> list[bytes]:
        lines = [
            f"POST {PATHS[asked.kind]} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {asked.id}",
            f"X-Deadline-Ms: {self._deadline_ms}",
            "Connection: close",
            "Content-Length: 2",
        ]
        if asked.kind == ENGINE:
            lines += [f"X-Model: {MODEL}/{asked.adapter}", "X-Token-Count: 100,60"]
        data = "\r\n".join([*lines, "", "ab"]).encode()
        if not self._pause_s:
            return [data]
        return [data[:20], data[20:-1], data[-1:]]

    def _fault(self, asked: Asked, data: bytes) -> str:
        if not data:
            return "not responded to"
        asked.status = int(data.split(b" ", 2)[1])
        head, _, body = data.partition(b"\r\n\r\n")
        if asked.status != OK:
            return f"{asked.status} {body!r}"
        if asked.kind in (UNSAFE, SAFE):
            whole = body.endswith(PATHS[asked.kind].encode())
            return "" if whole else f"body {body!r}"
        events = [found[2].decode() for found in EVENT.finditer(body)]
        if asked.kind == STREAM:
            expected = [f"event-{number}" for number in range(1, STREAM_EVENTS + 1)]
        else:
            expected = [
                f"{asked.adapter}.1.{asked.id}.{number}"
                for number in range(1, self._engine_events + 1)
            ]
        if events != expected or not data.endswith(b"0\r\n\r\n"):
            return f"stream cut after {len(events)} of {len(expected)} events"
        return ""
