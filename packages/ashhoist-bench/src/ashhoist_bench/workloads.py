"""Seeded workloads for the decision bench: who asks for what, and when."""

import random
from bisect import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate

from ashhoist.types import Priority

EXPONENT = 1.4
ARBITER_SHARE = 0.1
HOT_ADAPTERS = 15
HOT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Deployment:
    """The size of one deployment of today."""

    name: str
    zones: int
    engines: int
    adapters: int
    loads_per_second: float
    rate: float
    tokens: int
    stall_weight: float
    slots: int = 8
    max_batch: int = 16


TABLERO = Deployment("tablero", 3, 5, 3000, 2.0, 8.0, 48, 0.8)
ROSTER = Deployment("roster", 4, 9, 3000, 4.0, 16.0, 96, 0.2)
LETTER_SLICE = Deployment("letter-slice", 3, 60, 8000, 12.0, 86.0, 96, 0.5)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a workload.

    Parameters
    ----------
    at : float
        Seconds from the start.
    """

    at: float
    adapter: int
    priority: Priority
    tokens: int


@dataclass(slots=True)
class Trouble:
    """What happens to the upstreams: seconds from the start by kind."""

    engine_restarts: list[float] = field(default_factory=list)
    store_slow_from: float | None = None
    failing_share: float = 0.0


@dataclass(slots=True)
class Workload:
    """Arrivals in order, and trouble."""

    arrivals: list[Arrival]
    seconds: float
    trouble: Trouble = field(default_factory=Trouble)
    shift_at: float | None = None


Maker = Callable[[Deployment, random.Random, float], Workload]
workloads_by_name: dict[str, Maker] = {}


def workload(name: str) -> Callable[[Maker], Maker]:
    """Register a workload under a name."""

    def decorate(maker: Maker) -> Maker:
        workloads_by_name[name] = maker
        return maker

    return decorate


class _Zipf:
    def __init__(self, count: int, source: random.Random) -> None:
        self._random = source
        self.order = list(range(count))
        source.shuffle(self.order)
        weights = [1 / (rank + 1) ** EXPONENT for rank in range(count)]
        self._sums = list(accumulate(weights))

    def draw(self) -> int:
        point = self._random.random() * self._sums[-1]
        return self.order[bisect(self._sums, point)]


def _times(source: random.Random, rate: float, seconds: float) -> Iterator[float]:
    at = source.expovariate(rate)
    while at < seconds:
        yield at
        at += source.expovariate(rate)


def _tokens(source: random.Random, mean: int) -> int:
    return max(4, min(4 * mean, int(source.expovariate(1 / mean))))


def _priority(source: random.Random) -> Priority:
    return Priority.URGENT if source.random() < ARBITER_SHARE else Priority.NORMAL


def _arrivals(
    deployment: Deployment,
    source: random.Random,
    seconds: float,
    draw: Callable[[float], int],
    rate: float = 1.0,
) -> list[Arrival]:
    return [
        Arrival(at, draw(at), _priority(source), _tokens(source, deployment.tokens))
        for at in _times(source, deployment.rate * rate, seconds)
    ]


@workload("steady")
def steady(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """Zipf popularity that does not change."""
    zipf = _Zipf(deployment.adapters, source)
    arrivals = _arrivals(deployment, source, seconds, lambda at: zipf.draw())
    return Workload(arrivals, seconds)


@workload("tournament")
def tournament(
    deployment: Deployment, source: random.Random, seconds: float
) -> Workload:
    """At a third of the time, fifteen cold adapters take half of the requests."""
    zipf = _Zipf(deployment.adapters, source)
    hot = zipf.order[-HOT_ADAPTERS:]
    shift_at = seconds / 3

    def draw(at: float) -> int:
        if at >= shift_at and source.random() < HOT_SHARE:
            return source.choice(hot)
        return zipf.draw()

    arrivals = _arrivals(deployment, source, seconds, draw)
    return Workload(arrivals, seconds, shift_at=shift_at)


@workload("deadline")
def deadline(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """Every fifteen seconds another cold adapter turns hot; load doubles at the end."""
    zipf = _Zipf(deployment.adapters, source)
    cold = zipf.order[-60:]

    def draw(at: float) -> int:
        current = int(at / 15)
        if source.random() < 0.4:
            return cold[(current - source.randrange(3)) % len(cold)]
        return zipf.draw()

    half = _arrivals(deployment, source, seconds, draw, 0.75)
    late = [item for item in half if item.at > seconds * 0.7]
    arrivals = sorted([*half, *late], key=lambda item: item.at)
    return Workload(arrivals, seconds)


@workload("drafting")
def drafting(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """Long answers at a steady rate for adapters that mostly fit the slots."""
    fitting = deployment.engines * deployment.slots // 2
    zipf = _Zipf(fitting, source)
    arrivals = [
        Arrival(at, zipf.draw(), Priority.NORMAL, _tokens(source, 200))
        for at in _times(source, deployment.rate * 0.4, seconds)
    ]
    return Workload(arrivals, seconds)


@workload("single-hot")
def single_hot(
    deployment: Deployment, source: random.Random, seconds: float
) -> Workload:
    """One adapter is asked for more than one engine can answer."""
    zipf = _Zipf(deployment.engines * deployment.slots // 2, source)
    step = 0.020 + 0.0005 * deployment.max_batch + 0.0003
    engine = deployment.max_batch / step / deployment.tokens

    def draw(at: float) -> int:
        return zipf.order[0] if source.random() < 0.75 else zipf.draw()

    rate = 2.0 * engine / deployment.rate
    arrivals = _arrivals(deployment, source, seconds, draw, rate)
    return Workload(arrivals, seconds)


@workload("scan")
def scan(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """A tenth of the requests are for adapters that are asked for only once."""
    zipf = _Zipf(deployment.adapters, source)
    once = iter(range(deployment.adapters, 100 * deployment.adapters))

    def draw(at: float) -> int:
        return next(once) if source.random() < 0.1 else zipf.draw()

    arrivals = _arrivals(deployment, source, seconds, draw, 0.8)
    return Workload(arrivals, seconds)


@workload("restarts")
def restarts(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """Two engines restart empty, one after the other."""
    found = steady(deployment, source, seconds)
    found.trouble.engine_restarts = [seconds / 3, seconds / 2]
    return found


@workload("slow-store")
def slow_store(
    deployment: Deployment, source: random.Random, seconds: float
) -> Workload:
    """The store runs at half its speed from a third of the time on."""
    found = steady(deployment, source, seconds)
    found.trouble.store_slow_from = seconds / 3
    return found


@workload("load-failures")
def load_failures(
    deployment: Deployment, source: random.Random, seconds: float
) -> Workload:
    """One load in ten fails."""
    found = steady(deployment, source, seconds)
    found.trouble.failing_share = 0.1
    return found


@workload("casual-triples")
def casual_triples(
    deployment: Deployment, source: random.Random, seconds: float
) -> Workload:
    """Casual requests triple at half of the time; arbiters' stay as they are."""
    zipf = _Zipf(deployment.adapters, source)
    arrivals = _arrivals(deployment, source, seconds, lambda at: zipf.draw(), 0.6)
    more = [
        Arrival(at, zipf.draw(), Priority.NORMAL, _tokens(source, deployment.tokens))
        for at in _times(source, deployment.rate * 1.2, seconds)
        if at > seconds / 2
    ]
    arrivals = sorted([*arrivals, *more], key=lambda item: item.at)
    return Workload(arrivals, seconds, shift_at=seconds / 2)


@workload("overload")
def overload(deployment: Deployment, source: random.Random, seconds: float) -> Workload:
    """From half of the time on, three times what the engines can do."""
    zipf = _Zipf(deployment.engines * deployment.slots // 2, source)
    step = 0.020 + 0.0005 * deployment.max_batch + 0.0003 * 4
    capacity = deployment.engines * deployment.max_batch / step / deployment.tokens
    arrivals = [
        Arrival(at, zipf.draw(), _priority(source), _tokens(source, deployment.tokens))
        for at in _times(source, capacity * 3, seconds)
        if at > seconds / 2 or source.random() < 1 / 3
    ]
    return Workload(arrivals, seconds, shift_at=seconds / 2)
