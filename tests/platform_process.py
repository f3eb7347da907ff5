"""One instance as the platform starts it, and tests with such processes."""

import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from ashhoist.http.client import Client

from . import ROOT, ports
from .loops import new_loop, run
from .platform_stand_ins.store import StoreServer
from .test_platform import CONFIGURATION, HOST, SOON

Document = dict[str, Any]


START = ROOT / "platform" / "start.py"
REQUEST_TIMEOUT_MS = 30_000
"""Long, as a machine with little time for the test may hold it up for seconds."""


def with_route_timeout(document: Document, timeout_ms: int) -> Document:
    """Return a configuration with another timeout of all routes."""
    routes = [{**route, "timeout-ms": timeout_ms} for route in document["routes"]]
    return {**document, "routes": routes}


class PlatformProcess:
    """One instance as the platform starts it, or by another program."""

    def __init__(
        self,
        folder: Path,
        store: str,
        name: str,
        program: Path = START,
        retries: str = "",
        bounds: str = "",
    ) -> None:
        self._retries = retries
        self._bounds = bounds
        self._reserved = [ports.reserve() for _ in range(4)]
        self.callers, self.readiness, self.instances, self.metrics = [
            ports.address_of(held) for held in self._reserved
        ]
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(self._text(name, store))
        environment = {**os.environ, "ASHHOIST_SETTINGS": str(self.settings)}
        # A pipe that nobody reads would be full after some hundred requests.
        self._output = tempfile.TemporaryFile()
        self.process = subprocess.Popen(
            [sys.executable, str(program)],
            env=environment,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )

    def _text(self, name: str, store: str, seeds: str = "") -> str:
        return f"""
            [instance]
            name = {name}
            availability_zone = zone-1
            region = region-1
            callers = {self.callers}
            readiness = {self.readiness}
            instances = {self.instances}
            metrics = {self.metrics}
            seeds = {seeds}
            [store]
            address = {store}
            [retries]
            {self._retries}
            [bounds]
            {self._bounds}
            [logs]
            format = json
        """.replace("            ", "")

    def rewrite(self, store: str, seeds: str) -> None:
        """Change the settings file."""
        self.settings.write_text(self._text(self.settings.stem, store, seeds))

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Return status and body of a GET, or 0."""
        loop = new_loop()
        client = Client(address, loop)
        reply = run(loop, client.call("GET", path, [], b"", timedelta(seconds=2)))
        client.close()
        loop.close()
        status = getattr(reply, "status", 0)
        return status, getattr(reply, "body", b"")

    def ask(
        self, path: str, id: str, model: str = "", key: str = "", parts: str = ""
    ) -> tuple[int, bytes]:
        """Ask as a client of the platform does.

        Parameters
        ----------
        parts : str
            The parts of the prompt, as the header has them.
        """
        headers = [("Host", HOST), ("X-Attempt-Id", id)]
        headers.append(("X-Deadline-Ms", str(REQUEST_TIMEOUT_MS)))
        if model:
            headers += [("X-Model", model), ("X-Token-Count", "100,10")]
        if parts:
            headers.append(("X-Prompt-Prefix", parts))
        if key:
            headers.append(("X-Credential", key))
        wait_s = 2 * REQUEST_TIMEOUT_MS / 1000
        with socket.create_connection(_pair(self.callers), wait_s) as peer:
            lines = [f"POST {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += ["Content-Length: 2", "Connection: close", "", "ab"]
            peer.sendall("\r\n".join(lines).encode())
            data = b""
            while part := peer.recv(65536):
                data += part
        status = int(data.split(b" ", 2)[1]) if data else 0
        return status, data.partition(b"\r\n\r\n")[2]

    def end(self) -> str:
        """Kill the process if it runs; return what it wrote."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(SOON)
        for held in self._reserved:
            held.close()
        return self._written()

    def _written(self) -> str:
        """Return what the process wrote, once; nothing after that."""
        if self._output.closed:
            return ""
        with self._output as output:
            output.seek(0)
            return output.read().decode()


def _pair(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class ProcessTestCase(unittest.TestCase):
    """Whole processes beside the platform's store, on loopback and the real clock.

    Attributes
    ----------
    configuration : dict
        What is in force when the processes start.
    retries : str
        Their settings of the retry budget.
    bounds : str
        Their settings of times.
    """

    configuration = with_route_timeout(CONFIGURATION, REQUEST_TIMEOUT_MS)
    retries = ""
    bounds = ""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = StoreServer()
        self.addCleanup(self.store.close)
        self.store.put("keyed.op", "config", self.configuration)

    def start(self, name: str = "node-1", program: Path = START) -> PlatformProcess:
        """Start an instance; return once it is ready."""
        process = self.spawn(name, program)
        self.await_ready(process)
        return process

    def spawn(self, name: str, program: Path = START) -> PlatformProcess:
        """Start an instance without waiting for it."""
        process = PlatformProcess(
            self.folder, self.store.address, name, program, self.retries, self.bounds
        )
        self.addCleanup(self._end, process)
        return process

    def await_ready(self, process: PlatformProcess) -> None:
        """Return once an instance is ready."""
        try:
            self.wait(lambda: process.get(process.readiness, "/api/ready")[0] == 200)
        except AssertionError as error:
            name = process.settings.stem
            raise AssertionError(f"{name} is not ready: {process.end()}") from error

    def _end(self, process: PlatformProcess) -> None:
        """Kill a process and show its log; the runner keeps what a failed test writes.

        Once the process responds, it has written the lines of all earlier responses.
        """
        process.get(process.readiness, "/api/ready")
        print(process.end(), file=sys.stderr)

    def wait(self, true: Callable[[], bool], seconds: float = SOON) -> None:
        limit = time.monotonic() + seconds
        while not true():
            self.assertLess(time.monotonic(), limit, "did not come true in time")
            time.sleep(0.02)
