"""Simulated plain upstreams and callers, in front of instances that admit requests."""

import random
from collections import Counter
from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ashhoist.overload import AttemptOutcome
from ashhoist.overload.sends import SendAnswer, SendGranted, SendQuery, SendRefused

from .admission_instances import AdmissionInstances

SLOTS, QUEUE = 6, 24
WORK_S = 0.06
TARGET_S, DEADLINE_S = 0.3, 3.0
RETURN_S = 0.005
"""Time until a caller that comes back has connected again."""


@dataclass
class Request:
    """One request of a caller, over all its tries."""

    customer: str
    fingerprint: str
    deadline: float
    asked_at: float = 0.0
    tries: int = 0


@dataclass
class Results:
    """What became of the requests, by customer or in all.

    Attributes
    ----------
    undecided : int
        Requests that the leader did not decide about in time.
    refused_late : int
        Requests that waited for longer than half their target latency and were refused.
    told, served_after : int
        Tries of callers that were told when to come back in time, and those of them
        that were served.
    """

    sent: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    full: int = 0
    undecided: int = 0
    refused_late: int = 0
    told: int = 0
    served_after: int = 0


class AdmissionLoad:
    """Callers and upstreams as Coldwater has them (`docs/overload.md`).

    Parameters
    ----------
    rates : dict
        Requests per second, by customer.
    """

    def __init__(self, world: AdmissionInstances, rates: dict[str, float], seed: int):
        self.results = Results()
        self._world = world
        self._random = random.Random(seed)
        self._present: Counter[str] = Counter()
        self._rates = rates

    def run(self, seconds: float) -> None:
        """Let callers send for so long, and wait for the last answers."""
        for customer, rate in self._rates.items():
            self._plan_arrivals(customer, rate, seconds)
        self._world.run(seconds + DEADLINE_S)

    def _plan_arrivals(self, customer: str, rate: float, seconds: float) -> None:
        at = self._random.expovariate(rate)
        number = 0
        while at < seconds:
            number += 1
            request = Request(
                customer,
                f"{customer}-{number}",
                self._world.now + at + DEADLINE_S,
            )
            self.results.sent[customer] += 1
            self._world.after(at, lambda one=request: self._ask(one))
            at += self._random.expovariate(rate)

    def _ask(self, request: Request) -> None:
        request.asked_at = self._world.now
        request.tries += 1
        name = self._random.choice(list(self._world.machines))
        query = self._world.query(
            name,
            request.customer,
            TARGET_S,
            request.deadline - self._world.now,
            fingerprint=request.fingerprint,
        )

        def answered(answer: "Future[SendAnswer]") -> None:
            self._answered(request, name, query, answer.result())

        query.answer.add_done_callback(answered)

    def _answered(
        self, request: Request, name: str, query: SendQuery, answer: Any
    ) -> None:
        if isinstance(answer, SendGranted):
            self._send(request, name, query, answer.upstream_id)
            return
        if not isinstance(answer, SendRefused):
            self.results.undecided += 1
            return
        if self._world.now - request.asked_at > TARGET_S / 2 + 2 * RETURN_S:
            self.results.refused_late += 1
        wait = answer.retry_after.total_seconds()
        if wait > (request.deadline - self._world.now) / 3 or request.tries > 1:
            return
        self.results.told += 1
        self._world.after(wait + RETURN_S, lambda: self._ask(request))

    def _send(
        self, request: Request, name: str, query: SendQuery, upstream: str
    ) -> None:
        if self._present[upstream] >= SLOTS + QUEUE:
            self.results.full += 1
            self._world.end(name, query.number, AttemptOutcome.REFUSED)
            return
        self._present[upstream] += 1
        queued = max(self._present[upstream] - SLOTS, 0)
        took_s = WORK_S * (self._random.uniform(0.9, 1.1) + queued / SLOTS)

        def end() -> None:
            self._present[upstream] -= 1
            took = timedelta(seconds=took_s)
            self._world.end(name, query.number, took=took)
            self.results.served[request.customer] += 1
            self.results.served_after += request.tries > 1

        self._world.after(took_s, end)
