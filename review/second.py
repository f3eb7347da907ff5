"""Stand-ins of the second review: the platform's store, workers, clients, instances.

Only the standard library is used. All addresses are on loopback.
"""

import base64
import json
import os
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "play.example"
MODEL = "base9"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up."""


# HTTP


def listen():
    """Return a socket that listens on a free port of loopback."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", 0))
    listening.listen(512)
    return listening


def address_of(bound):
    host, port = bound.getsockname()
    return f"{host}:{port}"


def pair(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


class Request:
    """One request at a stand-in."""

    def __init__(self, peer, method, target, headers, body):
        self.peer = peer
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep = True

    def answer(self, status, body=b"", headers=()):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.peer.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def has_left(self):
        """Return whether the other side has closed the connection."""
        ready, _, _ = select.select([self.peer], [], [], 0)
        if not ready:
            return False
        try:
            return self.peer.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True


class Server:
    """Answers requests with `handle`, a thread for each connection."""

    def __init__(self, handle):
        self._handle = handle
        self._listening = listen()
        self._peers = set()
        self.address = address_of(self._listening)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                peer, _ = self._listening.accept()
            except OSError:
                return
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._peers.add(peer)
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def crash(self):
        """Stop listening, and reset all connections."""
        try:
            self._listening.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listening.close()
        for peer in list(self._peers):
            try:
                peer.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                peer.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _serve(self, peer):
        reader = peer.makefile("rb")
        try:
            while True:
                request = read_request(peer, reader)
                if request is None:
                    break
                self._handle(request)
                if not request.keep:
                    break
        except OSError:
            pass
        except Exception:
            traceback.print_exc()
        finally:
            self._peers.discard(peer)
            reader.close()
            peer.close()


def read_request(peer, reader):
    line = reader.readline(65536)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline(65536)
        if not line:
            return None
        if line == b"\r\n":
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = reader.read(length) if length else b""
    if len(body) < length:
        return None
    return Request(peer, method, target, headers, body)


# The platform's store


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None)
        self.newest = {}  # key: (offset, value)


class Store:
    """The platform's store: topics with partitions, in memory, linearizable."""

    FIRST_KEPT = 0
    TAKES_S = 0.004

    def __init__(self):
        self._changed = threading.Condition()
        self._topics = {}
        self._server = Server(self._handle)
        self.address = self._server.address

    def _topic(self, topic, part):
        return self._topics.setdefault((topic, int(part)), Topic())

    def put(self, topic, key, value):
        """Write as the operator or a worker does; return when it was acknowledged."""
        data = None if value is None else json.dumps(value).encode()
        with self._changed:
            self._append(self._topic(topic, 0), key, data)
            self._changed.notify_all()
        return time.monotonic()

    @staticmethod
    def _append(topic, key, value):
        offset = len(topic.records)
        topic.records.append((key, value))
        if value is None:
            topic.newest.pop(key, None)
        else:
            topic.newest[key] = (offset, value)
        return offset

    def _handle(self, request):
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        time.sleep(self.TAKES_S)
        if parts.path == "/api/log-append":
            self._log_append(request, query)
        elif parts.path == "/api/log-read":
            self._log_read(request, query)
        elif parts.path == "/api/log-newest":
            self._log_newest(request, query)
        else:
            request.answer(404)

    def _log_append(self, request, query):
        if query["topic"] == "keyed.servers":
            request.answer(403)
            return
        body, records = request.body, []
        while body:
            (length,) = struct.unpack_from(">I", body)
            record, body = body[4 : 4 + length], body[4 + length :]
            size = record[0]
            records.append((record[1 : 1 + size].decode(), record[1 + size :] or None))
        with self._changed:
            topic = self._topic(query["topic"], query["part"])
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                status, answer = 412, {"end": end}
            else:
                for key, value in records:
                    self._append(topic, key, value)
                status, answer = 200, {"offset": end, "end": len(topic.records)}
                self._changed.notify_all()
        request.answer(status, json.dumps(answer).encode())

    def _log_read(self, request, query):
        start = int(query["from"])
        wait = int(query.get("wait-ms", "0")) / 1000
        with self._changed:
            topic = self._topic(query["topic"], query["part"])
            self._changed.wait_for(lambda: len(topic.records) > start, wait)
            records, end = topic.records[start:], len(topic.records)
        data = struct.pack(">QQ", end, self.FIRST_KEPT)
        for key, value in records:
            name = key.encode()
            record = bytes([len(name)]) + name + (value or b"")
            data += struct.pack(">I", len(record)) + record
        request.answer(200, data)

    def _log_newest(self, request, query):
        with self._changed:
            topic = self._topic(query["topic"], query["part"])
            found, end = sorted(topic.newest.items()), len(topic.records)
        rest = [item for item in found if item[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rest[:500]
        ]
        answer = {"items": items, "more": len(rest) > 500, "end": end}
        request.answer(200, json.dumps(answer).encode())


# Workers


def seal_of(request, worker):
    return [
        ("X-Attempt-Id", request.headers.get("x-attempt-id", "")),
        ("X-Server-Seal", f"seal-of-{worker}"),
    ]


NOT_EXECUTED = [("X-Not-Executed", "1")]


class PlainWorker:
    """A worker of a plain service: some slots, and a queue."""

    def __init__(self, id, record, slots=6, queue=24, work_s=0.045):
        self.id, self.record, self.slots, self.work_s = id, record, slots, work_s
        self._most = slots + queue
        self._present = 0
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self.server = Server(self._handle)

    def entry(self, service, zone):
        return entry_of(self.server.address, service, zone, self.slots, [])

    def _handle(self, request):
        if request.target.startswith("/health"):
            request.answer(200, b"", [("X-Instance-Id", self.id)])
            return
        if request.headers.get("x-expect-instance", self.id) != self.id:
            request.answer(421)
            return
        with self._lock:
            room = self._present < self._most
            self._present += room
        if not room:
            request.answer(503, b"", NOT_EXECUTED)
            return
        try:
            with self._free:
                self.record.add(
                    "runs", id=request.headers["x-attempt-id"], at_worker=self.id
                )
                time.sleep(self.work_s)
        finally:
            with self._lock:
                self._present -= 1
        request.answer(200, b"x" * 800, seal_of(request, self.id))


def entry_of(address, service, zone, slots, models):
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
    }
    if models:
        entry |= {
            "stage": "both",
            "models": [{"name": m, "version": 1, "adapters": []} for m in models],
        }
    return entry


class Engine:
    """A model worker: a batch, a queue, places for adapters, orders.

    Parameters
    ----------
    pace : float
        How many times as long as usual everything takes, at the moment.
    """

    def __init__(
        self,
        id,
        record,
        batch=16,
        queue=48,
        places=10,
        event_tokens=8,
        event_s=0.041,
        prefill_s=0.02,
        load_s=0.288,
        warm_s=0.029,
        room_mb=None,
        adapter_mb=14.0,
    ):
        self.id, self.record = id, record
        self.batch, self.queue, self.places = batch, queue, places
        self.event_tokens, self.event_s, self.prefill_s = (
            event_tokens,
            event_s,
            prefill_s,
        )
        self.load_s, self.warm_s = load_s, warm_s
        self.room_mb, self.adapter_mb = room_mb, adapter_mb
        self.speaks = threading.Event()
        self.speaks.set()
        self.pace = 1.0
        self.newest = {}
        self.fell = ""
        self._adapters = {}
        self._coming = {}
        self._going = set()
        self._had = {}
        self._sequence = 0
        self._users = {}
        self._running = 0
        self._waiting = []
        self._number = 0
        self._changed = threading.Condition()
        self.server = Server(self._handle)

    def entry(self, service, zone):
        return entry_of(self.server.address, service, zone, self.batch, [MODEL])

    def _handle(self, request):
        self.speaks.wait()
        if request.target.startswith("/health"):
            request.answer(200, b"", [("X-Instance-Id", self.id)])
        elif request.headers.get("x-expect-instance", self.id) != self.id:
            request.answer(421)
        elif request.target == "/api/order":
            self._order(request)
        elif request.target == "/api/report":
            self._report(request)
        else:
            self._run(request)

    # Orders

    def _order(self, request):
        body = json.loads(request.body)
        with self._changed:
            self._settle()
            status = self._take(body)
            self._changed.notify_all()
        self.record.add("order", at_worker=self.id, status=status, **body)
        request.answer(status)

    def _take(self, order):
        if "holder" not in order or "fence" not in order or order["model"] != MODEL:
            return 400
        if "expected" in order and order["expected"] != self._sequence:
            return 409
        name = order.get("adapter", "")
        if not name:
            return 200
        if order["operation"] == "unload":
            return self._unload(name)
        version = order.get("version") or self.newest.get(name, 1)
        if self._adapters.get(name) == version and name not in self._going:
            return 200
        if name in self._coming:
            return 202
        if len(self._coming) >= 4:
            return 409
        held = set(self._adapters) | set(self._coming) | {name}
        if len(held) > self.places:
            self._fall(f"{len(held)} adapters for {self.places} places")
        elif self.room_mb is not None and len(held) * self.adapter_mb > self.room_mb:
            needed = len(held) * self.adapter_mb
            self._fall(
                f"{len(held)} adapters need {needed:g} MB beside the model; there are {self.room_mb:g}"
            )
        self._sequence += 1
        warm = self._had.get(name) == version
        self._coming[name] = [version, None, self.warm_s if warm else self.load_s]
        return 202

    def _fall(self, why):
        """End at once: the worker was ordered to load more than it can hold."""
        self.fell = why
        self.record.add("falls", at_worker=self.id, why=why.replace(" ", "-"))
        threading.Thread(target=self.server.crash, daemon=True).start()

    def _unload(self, name):
        if name in self._going:
            return 202
        if name not in self._adapters:
            return 200
        self._sequence += 1
        if self._users.get(name):
            self._going.add(name)
            return 202
        del self._adapters[name]
        return 200

    def _settle(self):
        """Finish what has ended; a replacement begins once its runs have ended."""
        now = time.monotonic()
        for name, coming in list(self._coming.items()):
            version, ends, takes = coming
            if ends is None and not self._users.get(name):
                self._adapters.pop(name, None)
                coming[1] = ends = now + takes
            if ends is not None and ends <= now:
                del self._coming[name]
                self._adapters[name] = self._had[name] = version
        for name in list(self._going):
            if not self._users.get(name):
                self._going.discard(name)
                self._adapters.pop(name, None)

    def _report(self, request):
        with self._changed:
            self._settle()
            held = [f"{name}@{version}" for name, version in self._adapters.items()]
            report = {
                "stage": "both",
                "models": [{"name": MODEL, "version": 1, "adapters": held}],
                "busy": False,
                "sequence": self._sequence,
                "waiting": len(self._waiting),
                "running": self._running,
                "coming": [f"{MODEL}/{n}@{c[0]}" for n, c in self._coming.items()],
                "at-hand": {"in-memory": [], "on-disk": [MODEL]},
                "kv-used": 0,
                "kv-total": 78302,
                "handles": 0,
            }
        request.answer(200, json.dumps(report).encode())

    # Requests

    def _refusal(self, name, expected):
        """Return the status with which a request can't begin, or None."""
        self._settle()
        if name in self._coming or name in self._going:
            return 503
        version = self._adapters.get(name)
        if name and version is None:
            return 421
        if name and expected and int(expected) != version:
            return 421
        return None

    def _run(self, request):
        id = request.headers["x-attempt-id"]
        name = request.headers["x-model"].partition("/")[2]
        expected = request.headers.get("x-expect-version")
        urgency = int(request.headers.get("x-request-urgency", "5"))
        until = time.monotonic() + int(request.headers["x-deadline-ms"]) / 1000
        with self._changed:
            status = self._refusal(name, expected)
            if status is None and len(self._waiting) >= self.queue:
                status = 503
            if status is None:
                self._number += 1
                place = (urgency, self._number)
                self._waiting.append(place)
                status = self._await_place(request, place, name, expected, until)
                self._waiting.remove(place)
            if status is None:
                self._running += 1
                self._users[name] = self._users.get(name, 0) + 1
                version = self._adapters.get(name, 1)
                self.record.add(
                    "begins", id=id, at_worker=self.id, adapter=name, version=version
                )
            self._changed.notify_all()
        if status == "left":
            request.keep = False
            return
        if status is not None:
            request.answer(status, b"", NOT_EXECUTED if status == 503 else [])
            return
        try:
            self._stream(request, name, version)
        finally:
            with self._changed:
                self._running -= 1
                self._users[name] -= 1
                self._changed.notify_all()

    def _await_place(self, request, place, name, expected, until):
        while True:
            if request.has_left():
                return "left"
            if time.monotonic() >= until:
                return 503
            status = self._refusal(name, expected)
            if status is not None:
                return status
            if self._running < self.batch and min(self._waiting) == place:
                return None
            self._changed.wait(0.02)

    def _stream(self, request, name, version):
        time.sleep(self.prefill_s * self.pace)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        head += [f"{n}: {v}" for n, v in seal_of(request, self.id)]
        head.append(f"X-Weight-Versions: {version}")
        try:
            request.peer.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            first = int(request.headers.get("last-event-id", "0")) + 1
            most = int(request.headers["x-token-count"].partition(",")[2])
            due = time.monotonic()
            for number in range(first, -(-most // self.event_tokens) + 1):
                if request.has_left():
                    request.keep = False
                    return
                self.speaks.wait()
                event = f"id: {number}\ndata: {name}.{version}.{number}\n\n".encode()
                request.peer.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                due += self.event_s * self.pace
                time.sleep(max(due - time.monotonic(), 0))
            request.peer.sendall(b"0\r\n\r\n")
        except OSError:
            request.keep = False
            raise


# Instances


class Instance:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, case, name, seeds=(), bounds=None):
        self.case, self.name = case, name
        held = [listen() for _ in range(4)]
        self.callers, self.readiness, self.control, self.metrics = map(address_of, held)
        for one in held:
            one.close()
        self.settings = case.folder / f"{name}.ini"
        self.bounds = bounds or {}
        self.process = None
        self.starts = 0

    def write_settings(self, seeds):
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        self.settings.write_text(f"""[instance]
name = {self.name}
availability_zone = zone-1
region = region-1
callers = {self.callers}
readiness = {self.readiness}
instances = {self.control}
metrics = {self.metrics}
seeds = {",".join(seeds)}
zones = {{"zone-1": "region-1"}}
[store]
address = {self.case.store.address}
[bounds]
{bounds}
[retries]
ratio = 0.2
extra = 58
window = 10s
[loads]
window = 5s
overage = 1.1
[quotas]
[limits]
memory_mb = 300
descriptors = 4100
processor_share = 0.537
processor_speed = 2
[logs]
format = json
level = info
""")

    def start(self):
        self.starts += 1
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
            "ASHHOIST_SETTINGS": str(self.settings),
            "PYTHONPATH": "target/deps",
        }
        output = open(self.case.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            ["python3", "-S", "platform/start.py"],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()

    def is_ready(self):
        try:
            with socket.create_connection(pair(self.readiness), 1) as peer:
                peer.settimeout(1)
                peer.sendall(
                    b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                return b" 200 " in peer.recv(64)
        except OSError:
            return False

    def resident_mb(self):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait(10)


class Record:
    """What was sent, answered and run: in memory, and written at the end."""

    def __init__(self):
        self._lock = threading.Lock()
        self.began = time.monotonic()
        self.lines = []

    def add(self, what, **fields):
        at = time.monotonic() - self.began
        with self._lock:
            self.lines.append((at, what, fields))

    def now(self):
        return time.monotonic() - self.began

    def of(self, what):
        with self._lock:
            return [(at, fields) for at, kind, fields in self.lines if kind == what]

    def write(self, path, tail):
        with self._lock:
            lines = list(self.lines)
        with open(path, "w") as file:
            for at, what, fields in lines:
                told = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at:9.3f} {what} {told}\n")
            for line in tail:
                file.write(f"# {line}\n")


class Case:
    """Holds the parts of one case, and ends all that it started."""

    def __init__(self, folder):
        self.home = Path(folder)
        self.folder = Path(tempfile.mkdtemp())
        self.record = Record()
        self.store = Store()
        self.instances = []

    def add_instances(self, count, bounds):
        self.instances = [
            Instance(self, f"node-{n}", bounds=bounds) for n in range(count)
        ]
        seeds = [one.control for one in self.instances[:3]]
        for one in self.instances:
            one.write_settings(seeds)
            one.start()
            self.record.add("started", instance=one.name, pid=one.process.pid)
        until = time.monotonic() + 20
        while not all(one.is_ready() for one in self.instances):
            if time.monotonic() > until:
                raise CannotRun("the instances are not ready after 20 s")
            time.sleep(0.1)
        self.record.add("ready")

    def close(self):
        for one in self.instances:
            one.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `play` takes the case; it returns whether the rule was broken, and what to tell.
    """
    case = Case(folder)
    told, code = [], NOT_RUN
    try:
        broken, told = play(case)
        code = BROKEN if broken else HELD
    except CannotRun as error:
        told = [f"could not run: {error}"]
    except Exception:
        told = traceback.format_exc().splitlines()
    finally:
        case.close()
    told.append(f"trouble={int(TROUBLE)} exit={code}")
    case.record.write(case.home / "record.txt", told)
    print("\n".join(told))
    sys.stdout.flush()
    os._exit(code)


# Clients


def ask(
    case, instance, id, method, path, deadline_ms, headers=(), body=b"", patience_s=None
):
    """Send one client attempt on a new connection, and record what came of it.

    Parameters
    ----------
    patience_s : float or None
        The longest gap without a byte after which the client leaves; None is none.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {id}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Connection: close",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    else:
        body = b""
    case.record.add("sent", id=id, to=instance.name, path=path)
    until = time.monotonic() + deadline_ms / 1000
    data, end = b"", "closed"
    try:
        with socket.create_connection(pair(instance.callers), 1) as peer:
            peer.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            while True:
                left = until - time.monotonic()
                if left <= 0:
                    end = "deadline"
                    break
                peer.settimeout(left if patience_s is None else min(left, patience_s))
                part = peer.recv(65536)
                if not part:
                    break
                data += part
    except TimeoutError:
        end = "gave up" if time.monotonic() < until else "deadline"
    except OSError as error:
        end = type(error).__name__
    status = data[9:12].decode("latin-1") if data.startswith(b"HTTP/1.1 ") else "none"
    whole = is_whole(data)
    case.record.add(
        "answered", id=id, status=status, end=end.replace(" ", "-"), whole=whole
    )
    return status, whole


KEPT_S = 12.0
"""Four fifths of the idle time that the configuration sets."""


class Client:
    """Sends one request after another; keeps its connection for as long as it may."""

    def __init__(self, case):
        self.case = case
        self._peer, self._instance = None, None
        self._used_at = 0.0

    def ask(
        self,
        instance,
        id,
        method,
        path,
        deadline_ms,
        headers=(),
        body=b"",
        patience_s=None,
    ):
        """Send one client attempt; return its status and whether its answer was whole."""
        rested = time.monotonic() - self._used_at
        kept = self._peer is not None and self._instance is instance and rested < KEPT_S
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        else:
            body = b""
        until = time.monotonic() + deadline_ms / 1000
        data, end, whole = b"", "closed", False
        try:
            if not kept:
                self.close()
                self._peer = socket.create_connection(pair(instance.callers), 1)
                self._instance = instance
            self.case.record.add("sent", id=id, to=instance.name, path=path, kept=kept)
            self._peer.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            while not whole:
                left = until - time.monotonic()
                if left <= 0:
                    end = "deadline"
                    break
                self._peer.settimeout(
                    left if patience_s is None else min(left, patience_s)
                )
                part = self._peer.recv(65536)
                if not part:
                    break
                data += part
                whole = is_whole(data)
        except TimeoutError:
            end = "gave up" if time.monotonic() < until else "deadline"
        except OSError as error:
            end = type(error).__name__
        status = (
            data[9:12].decode("latin-1") if data.startswith(b"HTTP/1.1 ") else "none"
        )
        if whole:
            end = "answered"
        if not whole or b"connection: close" in data.partition(b"\r\n\r\n")[0].lower():
            self.close()
        self._used_at = time.monotonic()
        self.case.record.add(
            "answered", id=id, status=status, end=end.replace(" ", "-"), whole=whole
        )
        return status, whole

    def close(self):
        if self._peer is not None:
            self._peer.close()
        self._peer = None


def is_whole(data):
    head, _, body = data.partition(b"\r\n\r\n")
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        return body.endswith(b"0\r\n\r\n")
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) == int(line.partition(b":")[2])
    return False


def route(name, kind, timeout_ms, aim_ms, priority, service, attempts, **more):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": aim_ms,
        "priority": priority,
        "service": service,
        "max-attempts": attempts,
    } | {key.replace("_", "-"): value for key, value in more.items()}


def engine_service(
    name,
    batch,
    adapter_slots,
    loads_per_s=2.1,
    adapters=3000,
    weights_mb=16500.0,
    adapter_mb=14.0,
):
    model = {
        "name": MODEL,
        "weights-mb": 16100.0,
        "load-s": 0.6,
        "adapters": adapters,
        "adapter-mb": adapter_mb,
    }
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 500,
        "engine": {
            "slots": batch,
            "models": [model],
            "weights-mb": weights_mb,
            "adapter-slots": adapter_slots,
            "loads-per-s": loads_per_s,
        },
    }


def configuration(routes, services):
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
