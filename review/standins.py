"""Stand-ins for the review's scripts: the platform's store, plain workers, clients.

They speak what the users' pages say, on loopback and the real clock, and write down
what they saw. Only the standard library is used. All stand-ins of a script run on the
loop of its process; the instances are separate processes, started with the command of
the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
Headers = dict[str, str]
now = time.monotonic


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = now()

    def at(self) -> float:
        return now() - self._start

    def note(self, text: str) -> None:
        self._file.write(f"{self.at():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return held.getsockname()[1]


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, their names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int, headers: Headers, body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    peer = writer.get_extra_info("socket")
    if peer is not None:
        linger = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class HttpServer:
    """A server; `handle` takes method, target, headers, body and the writer."""

    def __init__(
        self,
        handle: Callable[
            [str, str, Headers, bytes, asyncio.StreamWriter], Awaitable[bytes | None]
        ],
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        found = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{found}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                reply = await self._handle(method, target, headers, body, writer)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def end(self) -> None:
        """Stop listening and reset all connections, as a process that is gone."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)


# The platform's store


class Partition:
    """Records from offset 0 on; the newest of each key stays."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, key: str, value: bytes) -> int:
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """The platform's metadata store, with the calls that instances make.

    Parameters
    ----------
    answer_s : float
        How long each call takes; the sheet says 4 ms.
    """

    def __init__(self, record: Record, answer_s: float = 0.004) -> None:
        self._record = record
        self._answer_s = answer_s
        self._partitions: dict[tuple[str, int], Partition] = {}
        self.server = HttpServer(self._handle)
        self.reads: list[tuple[float, str, str]] = []

    def partition(self, topic: str, part: int = 0) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: object) -> int:
        """Write as the operator or a worker does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.partition(topic).append(key, data)

    async def _handle(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/log-append":
            return await self._append(query, body)
        if parts.path == "/api/log-read":
            return await self._read(query)
        if parts.path == "/api/log-newest":
            return await self._newest(query)
        return answer(404, {}, b"")

    async def _append(self, query: dict[str, str], body: bytes) -> bytes:
        if query["topic"] == "keyed.servers":
            return answer(403, {}, b"")
        partition = self.partition(query["topic"], int(query["part"]))
        async with partition.turn:
            await asyncio.sleep(self._answer_s)
            if "at" in query and int(query["at"]) != partition.end:
                return answer(412, {}, json.dumps({"end": partition.end}).encode())
            offset = partition.end
            for key, value in _records(body):
                partition.append(key, value)
        reply = {"offset": offset, "end": partition.end}
        return answer(200, {}, json.dumps(reply).encode())

    async def _read(self, query: dict[str, str]) -> bytes:
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        until = now() + int(query.get("wait-ms", "0")) / 1000
        await asyncio.sleep(self._answer_s)
        while partition.end <= start and now() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - now())
            except TimeoutError:
                break
        self.reads.append((self._record.at(), "read", query["topic"]))
        body = struct.pack(">QQ", partition.end, 0)
        for key, value in partition.records[start:]:
            name = key.encode()
            data = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(data)) + data
        return answer(200, {}, body)

    async def _newest(self, query: dict[str, str]) -> bytes:
        await asyncio.sleep(self._answer_s)
        partition = self.partition(query["topic"], int(query["part"]))
        after = query.get("after", "")
        rest = [one for one in sorted(partition.newest.items()) if one[0] > after]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rest[:500]
        ]
        self.reads.append((self._record.at(), "newest", query["topic"]))
        reply = {"items": items, "more": len(rest) > 500, "end": partition.end}
        return answer(200, {}, json.dumps(reply).encode())


def _records(body: bytes) -> list[tuple[str, bytes]]:
    found = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        data, body = body[4 : 4 + length], body[4 + length :]
        found.append((data[1 : 1 + data[0]].decode(), data[1 + data[0] :]))
    return found


# Workers


class PlainWorker:
    """One life of a plain worker: it serves requests and writes itself to the store.

    Parameters
    ----------
    work_s : float
        How long a request runs.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        id: str,
        zone: str,
        service: str = "play-app",
        slots: int = 6,
        work_s: float = 0.03,
        beat_s: float = 1.2,
    ) -> None:
        self._record = record
        self._store = store
        self.id = id
        self.zone = zone
        self.service = service
        self.slots = slots
        self._work_s = work_s
        self._beat_s = beat_s
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0
        self.state = "ready"
        self.arrived: list[tuple[float, str]] = []
        self.in_flight: set[str] = set()
        self.reset_share = 0.0
        """The share of runs whose connection is reset in place of an answer."""
        self.random = random.Random(id)
        self.server = HttpServer(self._handle)

    async def start(self) -> None:
        await self.server.start()
        self._beats = asyncio.create_task(self._beat())

    def _write(self) -> None:
        self._sequence += 1
        self._store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
            },
        )

    async def _beat(self) -> None:
        while True:
            self._write()
            await asyncio.sleep(self._beat_s)

    def leave(self) -> float:
        """Drop the entry without having said `draining`; serve on. Return when."""
        assert self._beats is not None
        self._beats.cancel()
        self._store.put("keyed.servers", self.id, None)
        self._record.note(f"store: the entry of {self.id} goes; it serves on")
        return now()

    def end(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        self._record.note(
            f"worker {self.id} ends; it was at {len(self.in_flight)} requests"
        )
        self.server.end()

    async def _handle(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return answer(421, {"X-Instance-Id": self.id, "X-Attempt-Id": id}, b"")
        if not id:
            return answer(200, {"X-Instance-Id": self.id}, b"")
        self.arrived.append((now(), id))
        self._record.note(f"worker {self.id} runs {id}")
        self.in_flight.add(id)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.in_flight.discard(id)
        if self.random.random() < self.reset_share:
            self._record.note(f"worker {self.id} resets the connection of {id}")
            reset(writer)
            return None
        seal = f"seal.{self.id}.{id}"
        return answer(200, {"X-Attempt-Id": id, "X-Server-Seal": seal}, b"done " * 160)


class EngineWorker:
    """One life of a model worker with one base model and no adapters.

    Parameters
    ----------
    holds : bool
        Whether it holds the model from its start. It has a copy on its disk anyway.
    load_s : float
        How long a load lasts.
    """

    MODEL = "m0"
    REPORT_LAG_S = 0.2
    """Reports tell how things stood `some hundred ms ago`."""

    def __init__(
        self,
        record: Record,
        store: Store,
        id: str,
        zone: str,
        holds: bool,
        load_s: float,
        beat_s: float = 1.2,
    ) -> None:
        self._record = record
        self._store = store
        self.id = id
        self.zone = zone
        self._load_s = load_s
        self._beat_s = beat_s
        self._beats: asyncio.Task[None] | None = None
        self._holds = holds
        self._loading_until: float | None = None
        self.sequence = 0
        self.orders: list[tuple[float, int, int]] = []
        self._history: list[tuple[float, dict[str, object]]] = []
        self.server = HttpServer(self._handle)
        self._note()

    async def start(self) -> None:
        """Serve, and write an entry into the store."""
        await self.server.start()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._settle()
            entry = {
                "service": "engine-llm",
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 96,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "models": self._models(),
            }
            self._store.put("keyed.servers", self.id, entry)
            await asyncio.sleep(self._beat_s)

    def crash(self) -> None:
        """End without a word: connections are reset; the entry lapses later."""
        assert self._beats is not None
        self._beats.cancel()
        self._record.note(f"engine {self.id} crashes")
        self.server.end()
        asyncio.get_running_loop().call_later(
            3 * self._beat_s, self._store.put, "keyed.servers", self.id, None
        )

    def end(self) -> None:
        """End with the script."""
        if self._beats is not None:
            self._beats.cancel()
        self.server.end()

    def _models(self) -> list[dict[str, object]]:
        if not self._holds:
            return []
        return [{"name": self.MODEL, "version": 1, "adapters": []}]

    def _settle(self) -> None:
        if self._loading_until is not None and now() >= self._loading_until:
            self._loading_until = None
            self._holds = True
            self._record.note(f"engine {self.id} holds {self.MODEL}")
            self._note()

    def _note(self) -> None:
        report = {
            "stage": "both",
            "models": self._models(),
            "busy": self._loading_until is not None,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "coming": [],
            "at-hand": {"in-memory": [], "on-disk": [self.MODEL]},
        }
        self._history.append((now(), report))

    async def _handle(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        self._settle()
        id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return answer(421, {"X-Instance-Id": self.id, "X-Attempt-Id": id}, b"")
        if target == "/api/report":
            until = now() - self.REPORT_LAG_S
            known = [report for at, report in self._history if at <= until]
            report = known[-1] if known else self._history[0][1]
            return answer(200, {}, json.dumps(report).encode())
        if target == "/api/order":
            order = json.loads(body)
            status = self._order(order)
            expected = order.get("expected")
            self.orders.append((now(), expected, status))
            self._record.note(
                f"order to {self.id} by {order['holder']}: {order['operation']}"
                f" {order['model']} expected {expected}, sequence {self.sequence},"
                f" answered {status}"
            )
            return answer(status, {}, b"")
        if not id:
            return answer(200, {"X-Instance-Id": self.id}, b"")
        if headers.get("x-model") != self.MODEL or not self._holds:
            return answer(421, {"X-Instance-Id": self.id, "X-Attempt-Id": id}, b"")
        await self._stream(id, headers, writer)
        return b""

    def _order(self, order: dict[str, object]) -> int:
        """Return the status: 409 where another is under way or `sequence` differs."""
        expected = order.get("expected")
        if expected is not None and expected != self.sequence:
            return 409
        if order["operation"] != "load" or order.get("adapter"):
            return 400
        if self._holds:
            return 200
        if self._loading_until is not None:
            return 409
        self.sequence += 1
        self._loading_until = now() + self._load_s
        self._note()
        return 202

    async def _stream(
        self, id: str, headers: Headers, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a few events."""
        self._record.note(f"engine {self.id} runs {id}")
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Attempt-Id: {id}",
            f"X-Server-Seal: seal.{self.id}.{id}",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {id}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")


EVENTS = 5
"""Of each stream."""


# Clients


async def ask(
    address: str,
    method: str,
    host: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    wait_s: float = 5.0,
) -> tuple[int, Headers, bytes]:
    """Send one request on a new connection; return status (0: none), headers, body."""
    host_ip, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host_ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            first, found = await read_head(reader)
            return int(first.split(" ")[1]), found, await read_body(reader, found)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# Instances


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    found = re.search(r'^run = "(.*)"$', text, re.MULTILINE)
    assert found is not None
    return found[1].split(" ")


BOUNDS = {
    "bounds.drain-ms": "2000",
    "bounds.grace-s": "8",
    "bounds.lease-ms": "3000",
    "bounds.version_ms": "5000",
    "bounds.config-apply-ms": "2000",
    "bounds.contact-ms": "3000",
    "bounds.budget-ratio": "0.2",
    "bounds.budget-extra": "58",
    "bounds.budget-window-s": "10",
    "bounds.ceiling-window-s": "5",
    "bounds.ceiling-overage": "1.1",
    "limits.memory-mb": "300",
    "limits.max-fds": "4100",
    "limits.cpu-share": "0.537",
    "limits.cores": "2",
}


class Instance:
    """One machine with the system's role; its process may be started several times."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        zone: str,
        region: str,
        store: str,
        values: dict[str, str] | None = None,
    ) -> None:
        self._record = record
        self.name = name
        self.zone = zone
        self.region = region
        self._store = store
        self._values = values or {}
        self.front, self.ready, self.control, self.metrics = (
            f"127.0.0.1:{free_port()}" for _ in range(4)
        )
        self.seeds: list[str] = []
        self._settings = folder / f"{name}.ini"
        self._log = (folder / f"{name}.log").open("ab")
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    def write_settings(self) -> None:
        """Fill the template of the deploy file, as the platform does."""
        text = (ROOT / "deploy" / "ashhoist.ini").read_text(encoding="utf-8")
        text = text.replace("{{ip}}:9464", self.metrics)
        values = {
            **BOUNDS,
            "node-name": self.name,
            "zone": self.zone,
            "region": self.region,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "seeds": ",".join(self.seeds),
            "zones|json": json.dumps({self.zone: self.region}),
            "provider.address": self._store,
            **self._values,
        }
        for name in re.findall(r"\{\{#(.+?)\}\}", text):
            kept = r"\1" if name in values else ""
            part = rf"\{{\{{#{re.escape(name)}\}}\}}\n(.*?)\{{\{{/{re.escape(name)}\}}\}}\n"
            text = re.sub(part, kept, text, flags=re.DOTALL)
        for gap, value in values.items():
            text = text.replace("{{" + gap + "}}", value)
        assert "{{" not in text, text
        self._settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ASHHOIST_SETTINGS": str(self._settings),
        }
        program, *words = deploy_command()
        if program == "python3":
            program = sys.executable
        self.process = await asyncio.create_subprocess_exec(
            program,
            *words,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self.started_at = now()
        self._record.note(f"instance {self.name} started")

    async def is_ready(self) -> bool:
        status, _, _ = await ask(
            self.ready, "GET", "ready", "/api/ready", {}, wait_s=1.0
        )
        return status == 200

    async def await_ready(self, wait_s: float = 20.0) -> bool:
        until = now() + wait_s
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False

    async def await_answer(self, wait_s: float = 20.0) -> bool:
        """Wait until it answers whether it is ready, whatever it says."""
        until = now() + wait_s
        while now() < until:
            status, _, _ = await ask(
                self.ready, "GET", "ready", "/api/ready", {}, wait_s=1.0
            )
            if status:
                return True
            await asyncio.sleep(0.01)
        return False

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self._record.note(f"instance {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def ended(self, wait_s: float) -> bool:
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), wait_s)
        except TimeoutError:
            return False
        return True

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self._log.close()


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="review-")


def plain_configuration(version: int = 1) -> dict[str, object]:
    """Return a configuration with the two plain routes of the sheet."""
    return {
        "version": version,
        "routes": [
            {
                "name": "lobby-call",
                "host": "play.example",
                "path-prefix": "/lobby/",
                "kind": "unsafe",
                "service": "play-app",
                "timeout-ms": 1000,
                "target-latency-ms": 200,
                "max-attempts": 1,
                "priority": 2,
            },
            {
                "name": "move-relay",
                "host": "play.example",
                "path-prefix": "/moves/",
                "kind": "safe",
                "service": "play-app",
                "timeout-ms": 1000,
                "target-latency-ms": 200,
                "max-attempts": 2,
                "priority": 2,
            },
        ],
        "services": [
            {"name": "play-app", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def engine_configuration(load_s: float) -> dict[str, object]:
    """Return a configuration with one stream route of the sheet."""
    configuration = plain_configuration()
    configuration["routes"] = [
        {
            "name": "casual-review",
            "host": "llm.example",
            "path-prefix": "/review/",
            "kind": "stream",
            "service": "engine-llm",
            "timeout-ms": 5000,
            "target-latency-ms": 1000,
            "max-attempts": 2,
            "priority": 2,
            "resumable": True,
            "gap-aim-ms": 400,
            "sticky": True,
        }
    ]
    model = {
        "name": EngineWorker.MODEL,
        "weights-mb": 16100,
        "load-s": load_s,
        "adapters": 3000,
        "adapter-mb": 14,
    }
    engine = {
        "slots": 96,
        "models": [model],
        "weights-mb": 16500,
        "adapter-slots": 6,
        "loads-per-s": 2.1,
    }
    configuration["services"] = [
        {
            "name": "engine-llm",
            "health-path": "/health",
            "max-conns": 500,
            "engine": engine,
        }
    ]
    return configuration


COULD_NOT_RUN = 2


def play(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Run a case and end this process with its code, 2 if it couldn't run.

    What a case has started ends with it, also where it is told to stop.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
