"""The demo: a whole deployment in one process, some load, some trouble.

``make demo`` runs it and checks the promises as it goes; ``make serve`` keeps a
deployment up for trying by hand.
"""

import argparse
import itertools
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ashhoist import logs
from ashhoist_cli import Client

from .deployment import CALLER_TOKEN, OPERATOR_TOKEN, Deployment, Shape
from .load import Asked, Load, Popularity, Results

SEED = 7
RATE = 10.0
PHASE_SECONDS = 4.5
EXPONENT = 1.5
TOKENS = 12
ARBITER_SHARE = 0.15
BOOKINGS = 30
SERVE_PORT = 8100


@dataclass
class Checks:
    """The promises that the demo checks, each with its verdict."""

    failed: list[str] = field(default_factory=list)

    def check(self, promise: str, holds: bool, detail: str = "") -> None:
        """Print and note whether a promise held."""
        word = "held  " if holds else "BROKEN"
        print(f"  {word}  {promise}{'  ' + detail if detail else ''}")
        if not holds:
            self.failed.append(promise)


def say(text: str) -> None:
    """Print a line at once."""
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.random = random.Random(SEED)
        names = [f"adapter-{index}" for index in range(deployment.shape.adapters)]
        self.popularity = Popularity(names, self.random, EXPONENT)
        self.results = Results()
        self.live = list(deployment.daemons)
        self._turn = itertools.count()

    def draw(self) -> Asked:
        """Return the next request: an arbiter's now and then, else a casual one."""
        arbiter = self.random.random() < ARBITER_SHARE
        priority = "urgent" if arbiter else "normal"
        stream = self.random.random() < 0.5
        return Asked(self.popularity.draw(), priority, TOKENS, stream)

    def client(self) -> Client:
        """Return a client of the next live instance, as a balancer would."""
        name = self.live[next(self._turn) % len(self.live)]
        return Client(self.deployment.url(name), CALLER_TOKEN)

    def load(self, seconds: float = PHASE_SECONDS) -> None:
        """Make requests for a while."""
        Load(RATE, self.draw, self.client, results=self.results).run(seconds)

    def during_load(self, trouble: Callable[[], None]) -> None:
        """Make requests, and cause trouble while they are under way."""
        thread = threading.Thread(target=self.load)
        thread.start()
        time.sleep(PHASE_SECONDS / 4)
        trouble()
        thread.join()

    def book(self) -> int:
        """Book with keys, each twice at two instances; return the doubled runs."""
        clients = [
            Client(self.deployment.url(name), CALLER_TOKEN) for name in self.live
        ]
        for number in range(BOOKINGS):
            headers = {"Idempotency-Key": f"booking-{number}"}
            for client in self.random.sample(clients, 2):
                client.request("POST", "/services/lobby/book", {}, headers)
        runs = [service.runs_by_key for service in self.deployment.services]
        counts = [
            sum(run[f"booking-{number}"] for run in runs) for number in range(BOOKINGS)
        ]
        return sum(count - 1 for count in counts if count > 1)

    def stop_one(self) -> bool:
        """Stop an instance on plan; return whether nothing was cut off."""
        name = self.live.pop()
        say(f"stopping {name} on plan")
        return self.deployment.daemons.pop(name).stop()

    def restart_engine(self) -> None:
        """Restart an engine empty."""
        engine = self.deployment.engines[0]
        say(f"restarting {engine.model.name} empty")
        engine.restart()

    def change_configuration(self) -> float:
        """Change an adapter; return the seconds until it is in force everywhere."""
        operator = Client(self.deployment.url(self.live[0]), OPERATOR_TOKEN)
        patch = {
            "spec": {
                "versions": {"v2": {"weights": "store/adapter-0/v2"}},
                "default_version": "v2",
            }
        }
        started = time.monotonic()
        path = "/apis/v1/adapters/adapter-0"
        version = operator.request("PATCH", path, patch).json()["resourceVersion"]
        while True:
            status = operator.request("GET", f"{path}/status").json()
            offsets = [
                self.deployment.daemons[name].read(
                    lambda core: core.changes.state.offset
                )
                for name in self.live
            ]
            if min(offsets) >= version and status["resourceVersion"] == version:
                return time.monotonic() - started
            time.sleep(0.01)

    def run(self) -> Checks:
        """Run all phases and check the promises."""
        checks = Checks()
        say(f"steady load, {RATE:.0f} requests/s, popularity by Zipf's law")
        self.load()
        say("popularity shifts: other adapters turn hot")
        self.popularity.shift()
        self.load()
        in_force = self.change_configuration()
        say(f"an operator's change is in force everywhere after {in_force:.2f} s")
        clean: list[bool] = []
        self.during_load(lambda: clean.append(self.stop_one()))
        self.during_load(self.restart_engine)
        say(f"{BOOKINGS} bookings that must not be repeated, each sent twice")
        doubled = self.book()
        self.report(doubled)
        print("Promises")
        problems = self.results.problems()
        checks.check("the adapter and version asked for", not problems, str(problems))
        wrong = [
            text
            for engine in self.deployment.engines
            for text in engine.model.violations
        ]
        checks.check("no unload under a request", not wrong, str(wrong))
        checks.check("not repeatable ran at most once", doubled == 0)
        checks.check("a planned stop cut nothing off", clean == [True])
        checks.check("configuration in force within seconds", in_force < 6.0)
        ran = self.told_not_run_but_ran()
        checks.check("not run means not run", ran == 0)
        whole = self.results.outcomes()["whole"]
        share = whole / len(self.results.items)
        checks.check("nearly all answers whole", share > 0.9, f"{share:.1%}")
        return checks

    def told_not_run_but_ran(self) -> int:
        """Return how many requests ran although their callers were told not."""
        engines = [engine.model for engine in self.deployment.engines]
        started = {request_id for model in engines for request_id, _ in model.started}
        return sum(
            1
            for item in self.results.items
            if item.outcome == "not_run" and item.request_id in started
        )

    def report(self, doubled: int) -> None:
        """Print the table."""
        outcomes = self.results.outcomes()
        stalls = sorted(
            value
            for daemon in self.deployment.daemons.values()
            for value in daemon.metrics.recent("load_stall_seconds")
        )
        steps = sum(engine.model.steps for engine in self.deployment.engines)
        filled = sum(engine.model.filled for engine in self.deployment.engines)
        fill = filled / max(1, steps * self.deployment.shape.max_batch)
        loads = sum(engine.model.loads for engine in self.deployment.engines)
        rows = [
            ("requests", str(len(self.results.items))),
            ("whole answers", str(outcomes["whole"])),
            ("not run / failed / unknown", _three(outcomes)),
            ("load stall p50 / p95", f"{_part(stalls, 0.5)} / {_part(stalls, 0.95)}"),
            ("batch efficiency", f"{fill:.1%}"),
            ("adapter loads", str(loads)),
            ("refusals by reason", str(dict(self.results.reasons())) or "none"),
            ("doubled runs", str(doubled)),
        ]
        print()
        for name, value in rows:
            print(f"  {name:<28}{value}")
        print()


def _three(outcomes: dict[str, int]) -> str:
    names = ("not_run", "failed", "unknown")
    return " / ".join(str(outcomes[name]) for name in names)


def _part(values: list[float], part: float) -> str:
    if not values:
        return "-"
    return f"{values[min(len(values) - 1, int(len(values) * part))]:.2f} s"


def serve(deployment: Deployment) -> None:
    """Keep a deployment up until it is told to stop."""
    asked = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked.set())
    for name in deployment.daemons:
        print(f"  {name}  {deployment.url(name)}")
    print(f"  operators' token {OPERATOR_TOKEN}, callers' token {CALLER_TOKEN}")
    print("  end it with Ctrl-C", flush=True)
    asked.wait()


def main() -> int:
    """Run the demo; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="keep it up")
    options = parser.parse_args()
    logs.configure(level="warning")
    deployment = Deployment(Shape(), SERVE_PORT if options.serve else 0)
    say("starting 3 zones, 6 instances, 5 engines, 3 services, all on loopback")
    try:
        deployment.start()
        deployment.declare()
        say("300 adapters are declared and in force")
        if options.serve:
            serve(deployment)
            return 0
        return 1 if Demo(deployment).run().failed else 0
    finally:
        # Its threads would keep a failed demo from ending.
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
