"""``make bench``: the path through real ``ashhoistd`` processes, measured.

``scripts/bench.sh`` starts the processes; this program writes their settings,
declares the resources, makes the requests and reads the processes' own times.
"""

import argparse
import json
import os
import re
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from ashhoist_cli import Client

from .decisions import part
from .deployment import CALLER_TOKEN, OPERATOR_TOKEN, REGION, SETTINGS, wait_for

FIRST_PORT = 18200
LATENCY_RATE = 50.0
LATENCY_REQUESTS = 500
STREAMS = 48
STREAM_TOKENS = 400
IDLE_SECONDS = 20.0
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
BYTES = re.compile(r"^ashhoist_(?:link|transfer)_bytes_total\S* (\S+)$", re.M)


@dataclass(frozen=True, slots=True)
class Process:
    """One running instance."""

    name: str
    pid: int
    url: str

    def cpu_seconds(self) -> float:
        """Return the processor time it has used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND

    def resident_bytes(self) -> int:
        """Return its resident memory."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def control_bytes(self) -> float:
        """Return the bytes it has exchanged with instances and the platform."""
        text = Client(self.url, "").request("GET", "/metrics").body.decode()
        return sum(float(value) for value in BYTES.findall(text))


def write_settings(directory: Path, instances: int, zones: int) -> None:
    """Write a settings file for each instance."""
    addresses = json.loads((directory / "addresses.json").read_text())
    for index in range(instances):
        text = SETTINGS.format(
            name=f"instance-{index}",
            zone=f"zone-{index % zones}",
            region=REGION,
            port=FIRST_PORT + index,
            log=addresses["log"],
            instance_list=addresses["instance_list"],
            zones=zones,
            loads=50,
            sender_timeout="5s",
        )
        text = text.replace("instances = 127.0.0.1:0", f"instances = {_link(index)}")
        text = text.replace(
            "[weight_store]", "log_appends_per_second = 5000\n\n[weight_store]"
        )
        text += "\n[logs]\nlevel = warning\n"
        (directory / f"instance-{index}.ini").write_text(text)


def _link(index: int) -> str:
    return f"127.0.0.1:{FIRST_PORT + 100 + index}"


class PathBench:
    """The measurements against running processes."""

    def __init__(self, directory: Path, instances: int, zones: int) -> None:
        self.addresses = json.loads((directory / "addresses.json").read_text())
        self.zones = zones
        self.processes = [
            Process(
                f"instance-{index}",
                int((directory / f"instance-{index}.pid").read_text()),
                f"http://127.0.0.1:{FIRST_PORT + index}",
            )
            for index in range(instances)
        ]

    def set_up(self) -> None:
        """Put everything on the list and declare the resources."""
        platform = Client(self.addresses["instance_list"], "")
        for index, process in enumerate(self.processes):
            self._list(
                platform, process.name, f"zone-{index % self.zones}", _link(index)
            )
        for name, engine in self.addresses["engines"].items():
            address = engine["url"].removeprefix("http://")
            self._list(platform, name, engine["zone"], address, "engine")
        for process in self.processes:
            wait_for(lambda url=process.url: _ready(url), "an instance")  # type: ignore[misc]
        operator = Client(self.processes[0].url, OPERATOR_TOKEN)
        operator.request("PUT", "/apis/v1/base-models/base", {"spec": {}})
        for name, engine in self.addresses["engines"].items():
            spec = {
                "type": "engine",
                "address": engine["url"],
                "availability_zone": engine["zone"],
                "region": REGION,
                "base_model": "base",
                "slots": 64,
                "max_batch": 256,
                "checks_fence": True,
            }
            operator.request("PUT", f"/apis/v1/upstreams/{name}", {"spec": spec})
        for index in range(4):
            spec = {
                "base_model": "base",
                "versions": {"v1": {"weights": "w"}},
                "default_version": "v1",
            }
            operator.request("PUT", f"/apis/v1/adapters/a{index}", {"spec": spec})
        wait_for(self._served, "an adapter to be served")

    def _list(
        self, platform: Client, name: str, zone: str, address: str, kind: str = "entry"
    ) -> None:
        body = {
            "name": name,
            "zone": zone,
            "region": REGION,
            "address": address,
            "kind": kind,
        }
        platform.request("POST", "/control/put", body)

    def _served(self) -> bool:
        return all(
            self._complete(process.url, CALLER_TOKEN, "a0") == 200
            for process in self.processes
        )

    def _complete(self, url: str, token: str, model: str) -> int:
        body = {"model": model, "prompt": "x", "max_tokens": 1}
        return Client(url, token).request("POST", "/v1/completions", body).status

    def home(self) -> tuple[Process, Process, str]:
        """Return the home of a0's engine, another instance, and the engine's URL."""
        status = Client(self.processes[0].url, OPERATOR_TOKEN)
        found = status.request("GET", "/apis/v1/status").json()["upstreams"]
        for name, upstream in found.items():
            if "a0@v1" in upstream["adapters"]:
                home = next(p for p in self.processes if p.name == upstream["home"])
                other = next(p for p in self.processes if p.name != upstream["home"])
                return home, other, self.addresses["engines"][name]["url"]
        raise RuntimeError("a0 is nowhere")

    # Latency

    def latency(self) -> None:
        """Print the latency direct, through one hop and through two."""
        home, other, engine = self.home()
        print(f"latency at {LATENCY_RATE:.0f} requests/s, one token, milliseconds")
        base: list[float] = []
        for label, url, model in (
            ("engine directly", engine, "a0@v1"),
            ("one hop", home.url, "a0"),
            ("two hops", other.url, "a0"),
        ):
            times = self._times(url, model)
            base = base or times
            added = [part(times, q) - part(base, q) for q in (0.5, 0.95)]
            print(
                f"  {label:18} p50 {part(times, 0.5):6.1f}"
                f"  p95 {part(times, 0.95):6.1f}"
                f"  added p50 {added[0]:5.1f}  added p95 {added[1]:5.1f}"
            )

    def _times(self, url: str, model: str) -> list[float]:
        times: list[float] = []

        def one() -> None:
            started = time.perf_counter()
            if self._complete(url, CALLER_TOKEN, model) == 200:
                times.append((time.perf_counter() - started) * 1000)

        started = time.monotonic()
        with ThreadPoolExecutor(32) as pool:
            for number in range(LATENCY_REQUESTS):
                wait = started + number / LATENCY_RATE - time.monotonic()
                time.sleep(max(0.0, wait))
                pool.submit(one)
        return sorted(times)

    # Tokens

    def tokens(self) -> None:
        """Print the tokens forwarded a second, and by processor second."""
        home, other, engine = self.home()
        print(f"tokens: {STREAMS} streams of {STREAM_TOKENS} tokens")
        for label, url, used in (
            ("engine directly", engine, []),
            ("one hop", home.url, [home]),
            ("two hops", other.url, [home, other]),
        ):
            before = [process.cpu_seconds() for process in used]
            started = time.monotonic()
            count = self._streams(url, "a0@v1" if not used else "a0")
            took = time.monotonic() - started
            line = f"  {label:18} {count / took:7.0f} tokens/s"
            if used:
                spent = sum(p.cpu_seconds() for p in used) - sum(before)
                line += f"  {count / spent:7.0f} tokens by processor second"
            print(line)

    def _streams(self, url: str, model: str) -> int:
        counts: list[int] = []
        lock = threading.Lock()

        def one() -> None:
            body = {
                "model": model,
                "prompt": "x",
                "max_tokens": STREAM_TOKENS,
                "stream": True,
            }
            client = Client(url, CALLER_TOKEN)
            found = 0
            for _, data in client.stream("POST", "/v1/completions", body):
                found += data.count(b"id: ")
            with lock:
                counts.append(found)

        threads = [threading.Thread(target=one) for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if sum(counts) != STREAMS * STREAM_TOKENS:
            print(f"  only {sum(counts)} of {STREAMS * STREAM_TOKENS} tokens came")
        return sum(counts)

    # Idle

    def idle(self) -> None:
        """Print what an idle instance costs."""
        before = [(p.cpu_seconds(), p.control_bytes()) for p in self.processes]
        time.sleep(IDLE_SECONDS)
        after = [(p.cpu_seconds(), p.control_bytes()) for p in self.processes]
        print(f"idle, {len(self.processes)} instances, {IDLE_SECONDS:.0f} s")
        for process, old, new in zip(self.processes, before, after, strict=True):
            print(
                f"  {process.name:12} {(new[0] - old[0]) / IDLE_SECONDS:6.2%} of a core"
                f"  {(new[1] - old[1]) / IDLE_SECONDS:6.0f} control bytes/s"
                f"  {process.resident_bytes() / 1e6:5.0f} MB resident"
            )


def _ready(url: str) -> bool:
    try:
        return Client(url, "").request("GET", "/readyz").status == 200
    except Exception:
        return False


def main() -> int:
    """Write settings, or measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("settings", "all", "idle"))
    parser.add_argument("--directory", type=Path, required=True)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--zones", type=int, default=2)
    options = parser.parse_args()
    if options.what == "settings":
        write_settings(options.directory, options.instances, options.zones)
        return 0
    bench = PathBench(options.directory, options.instances, options.zones)
    bench.set_up()
    steps: list[Callable[[], None]] = [bench.idle]
    if options.what == "all":
        steps = [bench.latency, bench.tokens, bench.idle]
    for step in steps:
        step()
    return 0


if __name__ == "__main__":
    sys.exit(main())
