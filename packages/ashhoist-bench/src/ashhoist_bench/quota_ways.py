"""Ways to keep customers' quotas over many instances, side by side in virtual time.

    python -m ashhoist_bench.quota_ways --instances 83 --seeds 3

Each way gets the same arrivals, the same network and the same troubles. The way that
serves is played with the objects that serve, `customers.Granter` and
`customers.Allowances`; only its messages are carried by this module.
"""

import argparse
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from ashhoist.customers import Allowances, Granter, Quota, QuotaBounds, Standing
from ashhoist.rates import SHARE_DELEGATION_TIME, Bucket

ZONES = 3
LASTS_S = 40.0
DELAY_S = 0.0015
"""Between instances, one way."""
PATIENCE_S = 0.06
"""How long a request waits for its tokens."""
TOKENS = 2400.0
TROUBLE_AT_S, TROUBLE_S = 15.0, 5.0
ELECTED_AFTER_S = 1.5
"""After the leader was lost, until another one leads."""
BEAT_EVERY_S = 0.5
MESSAGE_BYTES = 40
"""Of a question or an answer, framed."""
ROW_BYTES = 14
"""Of a customer's count within a message."""
BOUNDS = QuotaBounds()
SLACK = 17_000.0

Settle = Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that comes to an instance."""

    at: float
    instance: int
    customer: str
    tokens: float


class Net:
    """Time, and messages between instances."""

    def __init__(self, instances: int) -> None:
        self.instances = instances
        self.now = 0.0
        self.cut_zone: int | None = None
        self.dead: set[int] = set()
        self.leader: int | None = 0
        self.messages = 0
        self.bytes = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def time(self) -> timedelta:
        """Return the time as decision objects take it."""
        return timedelta(seconds=self.now)

    def zone(self, instance: int) -> int:
        """Return an instance's availability zone."""
        return instance % ZONES

    def reaches(self, one: int, other: int) -> bool:
        """Return whether two instances reach each other."""
        if one in self.dead or other in self.dead:
            return False
        cut = {self.zone(one), self.zone(other)}
        return len(cut) == 1 or self.cut_zone not in cut

    def leader_of(self, instance: int) -> int | None:
        """Return whom an instance takes for the leader: its side's, after a while."""
        if self.cut_zone is not None and self.zone(instance) == self.cut_zone:
            if self.now < TROUBLE_AT_S + ELECTED_AFTER_S:
                return self.leader
            return self.cut_zone
        return self.leader

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        """Do a step later."""
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), step))

    def send(self, one: int, other: int, size: int, step: Callable[[], None]) -> None:
        """Carry a message; what it brings about happens on arrival, if it arrives."""
        if one == other:
            step()
            return
        self.messages += 1
        self.bytes += size
        self.after(DELAY_S, lambda: step() if self.reaches(one, other) else None)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until:
            self.now, _, step = heapq.heappop(self._due)
            step()


class Way(Protocol):
    """One way to keep quotas."""

    def arrive(self, arrival: Arrival, settle: Settle) -> None:
        """Decide on a request; tell `settle` whether it may run."""

    def restarted(self, instance: int) -> None:
        """Take in that an instance was killed and knows nothing any more."""


Make = Callable[[Net, dict[str, Quota]], Way]
ways_by_name: dict[str, Make] = {}


def way(name: str) -> Callable[[Make], Make]:
    """Register a way to keep quotas."""

    def decorate(make: Make) -> Make:
        ways_by_name[name] = make
        return make

    return decorate


@way("equal")
class EqualShares:
    """Every instance has the same part of each quota, and asks nobody."""

    def __init__(self, net: Net, quotas: dict[str, Quota]) -> None:
        self._net = net
        self._quotas = quotas
        self._buckets: dict[tuple[int, str], Bucket] = {}

    def restarted(self, instance: int) -> None:
        """Begin with an empty bucket: what was spent is not known."""
        for customer, quota in self._quotas.items():
            self._buckets[instance, customer] = self._bucket(quota, 0.0)

    def _bucket(self, quota: Quota, level: float) -> Bucket:
        count = self._net.instances
        rate, burst = quota.rate / count, quota.burst / count
        return Bucket(rate, burst, min(level, burst), self._net.time)

    def arrive(self, arrival: Arrival, settle: Settle) -> None:
        """Spend from the instance's own bucket."""
        key = (arrival.instance, arrival.customer)
        if key not in self._buckets:
            quota = self._quotas[arrival.customer]
            self._buckets[key] = self._bucket(quota, quota.burst)
        settle(self._buckets[key].take(arrival.tokens, self._net.time))


@way("zones")
class ZoneShares:
    """Every zone has the same part; one instance of the zone grants from it."""

    def __init__(self, net: Net, quotas: dict[str, Quota]) -> None:
        self._net = net
        self._quotas = quotas
        self._buckets: dict[tuple[int, str], Bucket] = {}

    def restarted(self, instance: int) -> None:
        """Begin with empty buckets, where the instance is its zone's granter."""
        if instance >= ZONES:
            return
        for customer, quota in self._quotas.items():
            bucket = Bucket(
                quota.rate / ZONES, quota.burst / ZONES, 0.0, self._net.time
            )
            self._buckets[instance, customer] = bucket

    def arrive(self, arrival: Arrival, settle: Settle) -> None:
        """Ask the zone's granter; refuse if it does not answer."""
        net = self._net
        granter = net.zone(arrival.instance)
        answered = _once(settle)

        def ask() -> None:
            may = self._take(granter, arrival)
            net.send(granter, arrival.instance, MESSAGE_BYTES, lambda: answered(may))

        net.send(arrival.instance, granter, MESSAGE_BYTES, ask)
        net.after(PATIENCE_S, lambda: answered(False))

    def _take(self, granter: int, arrival: Arrival) -> bool:
        key = (granter, arrival.customer)
        if key not in self._buckets:
            quota = self._quotas[arrival.customer]
            rate, burst = quota.rate / ZONES, quota.burst / ZONES
            self._buckets[key] = Bucket(rate, burst, burst, self._net.time)
        return self._buckets[key].take(arrival.tokens, self._net.time)


@way("told")
class CountsTold:
    """Instances tell the leader what they spend, and spend while all is below.

    What is not told yet is bounded: an instance spends at most its part of a burst
    between two messages, and its part of the rate while it hears nothing.
    """

    TELL_S = 0.25

    def __init__(self, net: Net, quotas: dict[str, Quota]) -> None:
        self._net = net
        self._quotas = quotas
        self._untold: dict[tuple[int, str], float] = {}
        self._global: dict[str, Bucket] = {}
        self._open: dict[tuple[int, str], bool] = {}
        self._alone: dict[tuple[int, str], Bucket] = {}
        self._heard: dict[int, float] = dict.fromkeys(range(net.instances), 0.0)
        for instance in range(net.instances):
            net.after(self.TELL_S * instance / net.instances, self._teller(instance))

    def restarted(self, instance: int) -> None:
        """Forget what was counted here."""
        self._heard[instance] = -LASTS_S
        for customer, quota in self._quotas.items():
            self._untold.pop((instance, customer), None)
            if instance == self._net.leader:
                self._global[customer] = Bucket(
                    quota.rate, quota.burst, 0.0, self._net.time
                )

    def _teller(self, instance: int) -> Callable[[], None]:
        def tell() -> None:
            self._net.after(self.TELL_S, tell)
            self._tell(instance)

        return tell

    def _tell(self, instance: int) -> None:
        net = self._net
        leader = net.leader
        rows = {c: t for (i, c), t in self._untold.items() if i == instance and t}
        if leader is None or not net.reaches(instance, leader):
            return
        for customer in rows:
            del self._untold[instance, customer]

        def taken() -> None:
            answer = {}
            for customer, quota in self._quotas.items():
                full = Bucket(quota.rate, quota.burst, quota.burst, net.time)
                bucket = self._global.setdefault(customer, full)
                bucket.give_back(-rows.get(customer, 0.0), net.time)
                answer[customer] = bucket.available(net.time) > 0
            size = MESSAGE_BYTES + ROW_BYTES * len(answer)
            net.send(leader, instance, size, lambda: self._told(instance, answer))

        net.send(instance, leader, MESSAGE_BYTES + ROW_BYTES * len(rows), taken)

    def _told(self, instance: int, answer: dict[str, bool]) -> None:
        self._heard[instance] = self._net.now
        for customer, is_open in answer.items():
            self._open[instance, customer] = is_open

    def arrive(self, arrival: Arrival, settle: Settle) -> None:
        """Spend while the leader has said that there is room."""
        key = (arrival.instance, arrival.customer)
        quota = self._quotas[arrival.customer]
        untold = self._untold.get(key, 0.0)
        heard = self._net.now - self._heard[arrival.instance] < 4 * self.TELL_S
        most = max(quota.burst / self._net.instances, arrival.tokens)
        if heard:
            may = self._open.get(key, True) and untold + arrival.tokens <= most
        else:
            count = self._net.instances
            rate, burst = quota.rate / count, quota.burst / count
            bucket = self._alone.setdefault(key, Bucket(rate, burst, 0, self._net.time))
            may = bucket.take(arrival.tokens, self._net.time)
        if may:
            self._untold[key] = untold + arrival.tokens
        settle(may)


@way("left")
class SharesLeft:
    """The way that serves: shares are left to the leader, which grants from them."""

    def __init__(self, net: Net, quotas: dict[str, Quota]) -> None:
        self._net = net
        self._quotas = quotas
        self._granters: dict[int, Granter] = {}
        self._tight: set[str] = set()
        self._allowances = [Allowances() for _ in range(net.instances)]
        self._left_until = [-LASTS_S] * net.instances
        self._left_to: list[int | None] = [None] * net.instances
        for instance in range(net.instances):
            net.after(BEAT_EVERY_S * instance / net.instances, self._leaver(instance))

    def restarted(self, instance: int) -> None:
        """Forget what was granted by and to an instance."""
        self._granters.pop(instance, None)
        self._allowances[instance] = Allowances()
        self._left_until[instance] = -LASTS_S
        self._left_to[instance] = None

    def _granter(self, instance: int) -> Granter:
        if instance not in self._granters:
            self._granters[instance] = Granter(str(instance), BOUNDS)
        return self._granters[instance]

    def _leaver(self, instance: int) -> Callable[[], None]:
        def leave() -> None:
            self._leave(instance)
            self._net.after(BEAT_EVERY_S, leave)
            left = self._allowances[instance].take_unused(self._net.time)
            leader = self._net.leader_of(instance)
            for customer, tokens in left.items():
                if leader is not None:
                    self._return(instance, leader, customer, tokens)

        return leave

    def _return(self, one: int, leader: int, customer: str, tokens: float) -> None:
        def taken() -> None:
            self._granter(leader).give_back(customer, tokens, self._net.time)

        self._net.send(one, leader, MESSAGE_BYTES, taken)

    def _leave(self, instance: int) -> None:
        net = self._net
        leader = net.leader_of(instance)
        if leader is None or leader == instance or instance in net.dead:
            return
        if self._left_to[instance] != leader and net.now < self._left_until[instance]:
            return
        told_at = net.now - DELAY_S
        self._left_to[instance] = leader
        lasts = SHARE_DELEGATION_TIME.total_seconds()
        self._left_until[instance] = told_at + DELAY_S + lasts
        moment = timedelta(seconds=told_at)

        def taken() -> None:
            granter = self._granter(leader)
            granter.add_delegated_share(str(instance), moment)
            self._tight = set(granter.tight(net.time))

        net.send(instance, leader, MESSAGE_BYTES, taken)
        net.messages += 1
        net.bytes += MESSAGE_BYTES

    def arrive(self, arrival: Arrival, settle: Settle) -> None:
        """Spend what was granted, ask for more, or go on alone."""
        net = self._net
        allowances = self._allowances[arrival.instance]
        if allowances.spend(arrival.customer, arrival.tokens, net.time):
            settle(True)
            return
        answered = _once(settle)
        leader = net.leader_of(arrival.instance)
        if leader is None:
            self._alone(arrival, answered)
            return
        extra = allowances.expected_need(arrival.customer, net.time)

        def ask() -> None:
            granter = self._granter(leader)
            grant = granter.grant(
                arrival.customer,
                self._quotas[arrival.customer],
                arrival.tokens,
                extra,
                net.instances,
                net.time,
            )

            def taken() -> None:
                mine = leader in (arrival.instance, self._left_to[arrival.instance])
                alone = granter.is_alone(net.instances, net.time)
                if not grant.tokens and (alone or not mine):
                    self._alone(arrival, answered)
                    return
                if not grant.tokens:
                    answered(False)
                    return
                allowances.add_grant(
                    arrival.customer, grant.tokens, grant.use, net.time
                )
                answered(allowances.spend(arrival.customer, arrival.tokens, net.time))

            net.send(leader, arrival.instance, MESSAGE_BYTES, taken)

        net.send(arrival.instance, leader, MESSAGE_BYTES, ask)
        net.after(PATIENCE_S, lambda: self._alone(arrival, answered))

    def _alone(self, arrival: Arrival, answered: Settle) -> None:
        net = self._net
        if getattr(answered, "done", False):
            return
        wait = self._allowances[arrival.instance].spend_locally(
            arrival.customer,
            self._quotas[arrival.customer],
            arrival.tokens,
            net.instances,
            self._standing(arrival),
            net.time,
        )
        answered(wait is None)

    def _standing(self, arrival: Arrival) -> Standing:
        if self._left_to[arrival.instance] is None:
            return Standing.UNKNOWN
        tight = arrival.customer in self._tight
        return Standing.TIGHT if tight else Standing.BELOW


class _once:  # noqa: N801 - used as a function
    """Passes on the first answer only."""

    def __init__(self, settle: Settle) -> None:
        self._settle = settle
        self.done = False

    def __call__(self, may: bool) -> None:
        if not self.done:
            self.done = True
            self._settle(may)


# What is played


@dataclass
class Load:
    """Arrivals of one shape.

    Parameters
    ----------
    shape : str
        ``even``, ``skewed``, ``hot`` or ``clumps``.
    """

    shape: str
    instances: int
    source: random.Random
    quotas: dict[str, Quota] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for index in range(16):
            rate = 60_000.0 / (index + 1) * self.instances / 30
            self.quotas[f"c{index}"] = Quota(rate, rate)

    def arrivals(self) -> list[Arrival]:
        """Return the arrivals of all customers, in order."""
        found: list[Arrival] = []
        for index, (customer, quota) in enumerate(self.quotas.items()):
            usual = quota.rate / 1.8 / TOKENS
            homes = self._homes(index)
            found.extend(self._of(customer, usual, homes, index))
        return sorted(found, key=lambda arrival: arrival.at)

    def _homes(self, index: int) -> list[int]:
        """Return where a customer's clients connect."""
        count = max(2, self.instances // (index + 1))
        if self.shape == "skewed" and index < 4:
            return [index] * 8 + list(range(2))
        return self.source.sample(range(self.instances), min(count, self.instances))

    def _of(
        self, customer: str, usual: float, homes: list[int], index: int
    ) -> Iterator[Arrival]:
        at = 0.0
        while at < LASTS_S:
            pace = usual * (7.0 if self._is_hot(index, at) else 1.0)
            size = 10 if self.shape == "clumps" else 1
            at += self.source.expovariate(pace / size)
            for _ in range(size):
                home = self.source.choice(homes)
                if self._is_hot(index, at):
                    home -= home % ZONES - int(at / 5) % ZONES
                yield Arrival(at, home % self.instances, customer, TOKENS)

    def _is_hot(self, index: int, at: float) -> bool:
        return self.shape == "hot" and index == 0 and 10 <= at < 30


TROUBLES = ("none", "zone cut", "leader lost", "all killed")
SHAPES = ("even", "skewed", "hot", "clumps")


def _trouble(name: str, net: Net, way_: Way) -> None:
    """Let a trouble come, and end."""

    def cut() -> None:
        net.cut_zone = 1
        net.after(TROUBLE_S, heal)

    def heal() -> None:
        net.cut_zone = None

    def lose() -> None:
        net.dead.add(0)
        net.after(ELECTED_AFTER_S, lambda: setattr(net, "leader", 3))
        net.after(TROUBLE_S, lambda: _back([0]))

    def kill() -> None:
        net.dead.update(range(net.instances))
        net.leader = None
        net.after(1.0, lambda: _back(list(range(net.instances))))
        net.after(1.0 + ELECTED_AFTER_S, lambda: setattr(net, "leader", 0))

    def _back(instances: list[int]) -> None:
        for instance in instances:
            net.dead.discard(instance)
            way_.restarted(instance)

    steps = {"zone cut": cut, "leader lost": lose, "all killed": kill}
    if name in steps:
        net.after(TROUBLE_AT_S, steps[name])


@dataclass
class Result:
    """What a way did on one day.

    Attributes
    ----------
    worst_window : float
        Tokens in the worst window, of those allowed there.
    refused_below : float
        Of the tokens that one bucket for all would have granted.
    """

    worst_window: float
    refused_below: float
    messages_s: float
    bytes_s: float


def play(name: str, load: Load, arrivals: list[Arrival], trouble: str) -> Result:
    """Play a way on some arrivals."""
    net = Net(load.instances)
    way_ = ways_by_name[name](net, load.quotas)
    _trouble(trouble, net, way_)
    spent: dict[str, list[tuple[float, float]]] = {c: [] for c in load.quotas}
    refused: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    ideal = {
        c: Bucket(q.rate, q.burst, q.burst, net.time) for c, q in load.quotas.items()
    }
    for arrival in arrivals:
        net.run(arrival.at)
        net.now = arrival.at
        if arrival.instance in net.dead:
            continue
        below = ideal[arrival.customer].take(arrival.tokens, net.time)
        granted[arrival.customer] += below

        def settle(may: bool, arrival: Arrival = arrival, below: bool = below) -> None:
            if may:
                spent[arrival.customer].append((net.now, arrival.tokens))
            elif below:
                refused[arrival.customer] += 1

        way_.arrive(arrival, settle)
    net.run(LASTS_S + 1)
    return Result(
        max(_worst(spent[c], quota) for c, quota in load.quotas.items()),
        refused.total() / max(granted.total(), 1),
        net.messages / LASTS_S,
        net.bytes / LASTS_S,
    )


def _worst(spent: Iterable[tuple[float, float]], quota: Quota) -> float:
    """Return the tokens of the worst window, of those allowed there."""
    window = BOUNDS.window.total_seconds()
    allowed = quota.rate * window + quota.burst + BOUNDS.allowed_overage(quota) + SLACK
    inside: deque[tuple[float, float]] = deque()
    total = worst = 0.0
    for at, tokens in spent:
        inside.append((at, tokens))
        total += tokens
        while inside[0][0] < at - window:
            total -= inside.popleft()[1]
        worst = max(worst, total)
    return worst / allowed


def main() -> None:
    """Play all ways on all loads and troubles, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=83)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("| load | trouble | way | worst window | refused below | messages/s | KB/s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for shape, trouble in itertools.product(SHAPES, TROUBLES):
        for name in ways_by_name:
            found = []
            for seed in range(options.seeds):
                load = Load(shape, options.instances, random.Random(seed))
                found.append(play(name, load, load.arrivals(), trouble))
            mean = len(found)
            print(
                f"| {shape} | {trouble} | {name} "
                f"| {max(r.worst_window for r in found):.2f} "
                f"| {sum(r.refused_below for r in found) / mean:.1%} "
                f"| {sum(r.messages_s for r in found) / mean:.0f} "
                f"| {sum(r.bytes_s for r in found) / mean / 1000:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
