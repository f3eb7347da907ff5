"""``make soak``: nine instances of today's size under random faults at a seed."""

import argparse
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable

from ashhoist import logs
from ashhoist.exceptions import ConnectError
from ashhoist_cli import Client

from .decisions import part
from .deployment import CALLER_TOKEN, OPERATOR_TOKEN, Deployment, Shape, wait_for
from .load import Asked, Load, Popularity, Results

RATE = 8.0
EXPONENT = 1.5
FAULT_EVERY = (4.0, 10.0)
BOOKING_EVERY = 0.5
CHANGE_EVERY = 2.0
LOOK_EVERY_SECONDS = 0.005
LISTED_AFTER_KILL_SECONDS = 2.0


class Soak:
    """One soak run."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        names = [f"adapter-{index}" for index in range(deployment.shape.adapters)]
        self.popularity = Popularity(names, self.random, EXPONENT)
        self.results = Results()
        self.live = list(deployment.daemons)
        self.faults: Counter[str] = Counter()
        self.cut_off = 0
        self.reverted = 0
        self.accepted: dict[str, int] = {}
        self.in_force: list[float] = []
        self.booked = 0
        self._births = len(self.live)
        self._lock = threading.Lock()
        self._ending = threading.Event()

    def draw(self) -> Asked:
        """Return the next request."""
        priority = "urgent" if self.random.random() < 0.1 else "normal"
        return Asked(self.popularity.draw(), priority, 24, self.random.random() < 0.5)

    def client(self, token: str = CALLER_TOKEN) -> Client:
        """Return a client of some live instance."""
        with self._lock:
            return Client(self.deployment.url(self.random.choice(self.live)), token)

    def run(self, seconds: float) -> None:
        """Make load, faults, bookings and changes side by side."""
        threads = [
            threading.Thread(target=self._repeat, args=(every, action))
            for every, action in (
                (lambda: self.random.uniform(*FAULT_EVERY), self._fault),
                (lambda: BOOKING_EVERY, self._book),
                (lambda: CHANGE_EVERY, self._change),
            )
        ]
        for thread in threads:
            thread.start()
        Load(RATE, self.draw, self.client, results=self.results).run(seconds)
        self._ending.set()
        for thread in threads:
            thread.join()

    def _repeat(self, every: Callable[[], float], action: Callable[[], None]) -> None:
        while not self._ending.wait(every()):
            try:
                action()
            except (ConnectError, OSError, RuntimeError) as error:
                print(f"  {action.__name__}: {error}", flush=True)

    # Work

    def _book(self) -> None:
        self.booked += 1
        headers = {"Idempotency-Key": f"booking-{self.booked}"}
        for _ in range(2):
            try:
                self.client().request("POST", "/services/lobby/book", {}, headers)
            except ConnectError:
                continue

    def _change(self) -> None:
        name = f"model-{len(self.accepted)}"
        path = f"/apis/v1/base-models/{name}"
        started = time.monotonic()
        answer = self.client(OPERATOR_TOKEN).request("PUT", path, {"spec": {}})
        if answer.status != 200:
            return
        version = answer.json()["resourceVersion"]
        self.accepted[name] = version
        while not self._in_force(version):
            time.sleep(LOOK_EVERY_SECONDS)
        self.in_force.append(time.monotonic() - started)

    def _in_force(self, version: int) -> bool:
        with self._lock:
            daemons = [self.deployment.daemons[name] for name in self.live]
        return all(
            daemon.read(lambda core: core.changes.state.offset) >= version
            for daemon in daemons
        )

    # Faults

    def _fault(self) -> None:
        faults = (
            self.kill,
            self.stop,
            self.restart_engine,
            self.log_down,
            self.lose_answers,
            self.fail_loads,
            self.store_slow,
        )
        fault = self.random.choice(faults)
        self.faults[fault.__name__] += 1
        fault()

    def _take(self) -> str:
        with self._lock:
            name = self.random.choice(self.live)
            self.live.remove(name)
            return name

    def _replace(self, name: str) -> None:
        index = int(name.split("-")[1])
        self._births += 1
        new = f"instance-{index % 3 + 3 * self._births}"
        daemon = self.deployment.start_instance(new, index % 3)
        wait_for(lambda: daemon.read(lambda core: core.ready), f"{new} to be ready")
        with self._lock:
            self.live.append(new)

    def kill(self) -> None:
        """End an instance at once and replace it."""
        name = self._take()
        self.deployment.daemons.pop(name).abort()
        time.sleep(LISTED_AFTER_KILL_SECONDS)
        self.deployment.instance_list.remove(name)
        self._replace(name)

    def stop(self) -> None:
        """Stop an instance on plan and replace it."""
        name = self._take()
        self.deployment.instance_list.leave(name)
        if not self.deployment.daemons.pop(name).stop():
            self.cut_off += 1
        self.deployment.instance_list.remove(name)
        self._replace(name)

    def restart_engine(self) -> None:
        """Restart an engine empty."""
        self.random.choice(self.deployment.engines).restart()

    def log_down(self) -> None:
        """Let the log fail for a while."""
        self.deployment.log.model.down = True
        time.sleep(self.random.uniform(1, 6))
        self.deployment.log.model.down = False

    def lose_answers(self) -> None:
        """Lose the next answers of an engine, the log and a service."""
        self.random.choice(self.deployment.engines).faults.set("answer_lost")
        self.random.choice(self.deployment.services).faults.set("answer_lost")
        self.deployment.log.faults.set("answer_lost")

    def fail_loads(self) -> None:
        """Let the next loads of an engine fail."""
        self.random.choice(self.deployment.engines).model.fail_loads = 2

    def store_slow(self) -> None:
        """Run the store at a third of its speed for a while."""
        self.deployment.store.model.slowdown = 3.0
        time.sleep(3)
        self.deployment.store.model.slowdown = 1.0

    # Verdict

    def report(self) -> bool:
        """Print the table; return whether every promise held."""
        engines = [engine.model for engine in self.deployment.engines]
        started = {run[0] for model in engines for run in model.started}
        lied = [
            item.request_id
            for item in self.results.items
            if item.outcome == "not_run" and item.request_id in started
        ]
        runs: Counter[str] = Counter()
        for service in self.deployment.services:
            runs.update(service.runs_by_key)
        doubles = sum(
            1 for key, count in runs.items() if key.startswith("booking-") and count > 1
        )
        for name, daemon in self.deployment.daemons.items():
            state = daemon.read(lambda core: core.changes.state)
            missing = [
                model for model in self.accepted if not state.get("base-models", model)
            ]
            if missing:
                print(f"  {name} lacks {missing}")
            self.reverted += len(missing)
        violations = [text for model in engines for text in model.violations]
        outcomes = self.results.outcomes()
        rows = {
            "faults": dict(self.faults),
            "requests": len(self.results.items),
            "whole answers": outcomes["whole"],
            "not run": outcomes["not_run"],
            "failed": outcomes["failed"],
            "unknown": outcomes["unknown"],
            "reasons": dict(self.results.reasons()),
            "bookings": self.booked,
            "changes accepted": len(self.accepted),
            "change in force p50, p99": _quantiles(self.in_force),
            "doubled bookings": doubles,
            "wrong answers": len(self.results.problems()),
            "unloads under a request": len(violations),
            "planned stops that cut off": self.cut_off,
            "told not run but run": len(lied),
            "accepted changes lost": self.reverted,
        }
        for name, value in rows.items():
            print(f"  {name:<28}{value}")
        bad = (doubles, self.results.problems(), violations, self.cut_off, lied)
        return not any(bad) and not self.reverted


def _quantiles(values: list[float]) -> str:
    ordered = sorted(values)
    return f"{part(ordered, 0.5):.3f} s, {part(ordered, 0.99):.3f} s"


def main() -> int:
    """Run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logs.configure(level="error")
    deployment = Deployment(Shape(instances=9))
    deployment.start()
    deployment.declare()
    soak = Soak(deployment, options.seed)
    soak.run(options.seconds)
    time.sleep(3)
    held = soak.report()
    deployment.close()
    print("all promises held" if held else "A PROMISE WAS BROKEN")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
