"""Cuts between instances and all upstreams, drawn at random, in virtual time.

Cores of instances run on a manual clock; each has the real parts that decide whether it
is cut off and where its requests go. From `contact-ms` on, requests of those cut off
must be served at the first attempt at least three quarters as often as the others.
Instances that help are killed, leaders are cut off, cuts overlap.
"""

import os
import unittest
from collections import Counter
from dataclasses import dataclass
from random import Random

from ashhoist import logs
from ashhoist.forwarding import Connectivity, ForwardingInstances
from ashhoist.metrics import Metrics
from ashhoist.orders import LeaseTiming

from .control_world import World

SEEDS = int(os.environ.get("SEEDS", "2"))
ZONES = 3
UPSTREAMS = 10
HUB_CORES, CORES = 2.15, 0.52
CONTACT_S = 3.0
SERVED_SHARE = 3 / 4
"""Of the share of first attempts that the other instances serve."""
NOTICED_S = (0.3, 1.4)
"""After how long an instance finds that it reaches no upstream."""
PROBE_S = 0.3
REQUEST_S = 0.25
CUT_S = 9.0
CUT_SHARES = (0.1, 0.35, 0.5, 0.65)
"""Of all instances; the last one is most of them."""
TRIES = 4
"""Sends of one request; a further instance is tried after a refusal."""
MOST_HELPED = 2.0
"""By what factor the requests that an instance takes for others may exceed its share,
by processor cores, of those that come at cut-off instances of its zone, or of all."""
FEW_REQUESTS = 10
"""Requests by which chance may exceed that."""


@dataclass
class Instance:
    """The parts of one instance that decide where its requests go.

    Attributes
    ----------
    cut_at : float or None
        When it has lost its links.
    """

    name: str
    connectivity: Connectivity
    forwarding: ForwardingInstances
    cut_at: float | None = None
    affected_at: float = -CONTACT_S


@dataclass
class Count:
    """First attempts, and those that were served."""

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        return self.served / self.sent if self.sent else 1.0


class LostLinksDay:
    """One drawn run.

    Attributes
    ----------
    leaders_seen : list of set of str
        The leaders, from `CONTACT_S` after the last cut, kill or end of a cut.
    helped : Counter of str
        Requests that each instance took for others.
    fair : dict of str to float
        Requests that each would have taken if all that could had shared them by cores.
    """

    def __init__(self, seed: int, machines: int) -> None:
        self.rng = Random(seed)
        self.world = World(machines, 3, LeaseTiming(), zones=ZONES)
        for index, machine in enumerate(self.world.machines.values()):
            machine.capacity = HUB_CORES if index < 2 * ZONES else CORES
        self.world.start()
        self.world.run(12.0)
        self.by_name = {name: self._connect(name) for name in self.world.machines}
        self.cut_off, self.others = Count(), Count()
        self.helped: Counter[str] = Counter()
        self.fair = dict.fromkeys(self.by_name, 0.0)
        self.leaders_seen: list[set[str]] = []
        self.changed_at = self.world.now

    def _connect(self, name: str) -> Instance:
        """Wire the parts of an instance as its process does."""
        machine = self.world.machines[name]
        core = machine.core
        assert core is not None
        connectivity = Connectivity(self.world.clock, Metrics(), logs.get("test"))
        connectivity.on_change = lambda: core.connectivity_changed(
            connectivity.is_cut_off
        )
        connectivity.on_unreachable = core.forwarding.upstreams_unreachable
        connectivity.others_reach = lambda: bool(core.forwarding.available())
        rng = Random(self.rng.random())
        forwarding = ForwardingInstances(
            machine.zone, core.forwarding.available, self.world.clock, rng
        )
        return Instance(name, connectivity, forwarding)

    # Faults

    def cut(self, names: list[str]) -> None:
        """Cut the links of instances; each finds out after a while."""
        self.changed_at = self.world.now
        for name in names:
            instance = self.by_name[name]
            instance.cut_at = instance.affected_at = self.world.now
            noticed = self.rng.uniform(*NOTICED_S)
            self.world.after(noticed, lambda one=instance: self._probe(one))

    def _probe(self, instance: Instance) -> None:
        if self.world.machines[instance.name].core is None:
            return
        if instance.cut_at is None:
            instance.connectivity.set_restored()
            return
        instance.connectivity.set_unreachable(UPSTREAMS)
        self.world.after(PROBE_S, lambda: self._probe(instance))

    def heal(self, names: list[str]) -> None:
        self.changed_at = self.world.now
        for name in names:
            self.by_name[name].cut_at = None
            self.by_name[name].affected_at = self.world.now

    def kill(self, name: str) -> None:
        self.changed_at = self.world.now
        self.by_name[name].affected_at = float("inf")
        self.world.kill(name)

    def draw_names(self, share: float) -> list[str]:
        """Return instances to cut off: hubs and the leader too, or most of a zone."""
        names = [name for name in self.by_name if self._runs(name)]
        count = round(len(names) * share)
        way = self.rng.choice(("any", "hubs", "zone"))
        if way == "zone":
            zone = self.rng.randrange(ZONES)
            names.sort(
                key=lambda name: self.world.machines[name].zone != f"zone-{zone}"
            )
            return names[: min(count, len(names) // ZONES)]
        first = list(self.by_name)[: 2 * ZONES] if way == "hubs" else []
        first = [name for name in first if self._runs(name)]
        rest = [name for name in names if name not in first]
        self.rng.shuffle(rest)
        return (first + rest)[: max(count, len(first))]

    def _runs(self, name: str) -> bool:
        return self.world.machines[name].core is not None

    # Requests

    def ask_all(self) -> None:
        """Let a request arrive at each instance that is in touch."""
        self._share_fairly()
        for instance in self.by_name.values():
            if self.world.now < instance.affected_at + CONTACT_S:
                continue
            if instance.cut_at is None:
                self._count(self.others, not instance.connectivity.is_cut_off)
                continue
            self._count(self.cut_off, self._forward(instance))
        if self.world.now >= self.changed_at + CONTACT_S:
            self.leaders_seen.append(set(self.world.leaders()))

    def _share_fairly(self) -> None:
        """Add what each instance would take now to its share."""
        running = [one for one in self.by_name.values() if self._runs(one.name)]
        load_of_all = self._load_per_core(running)
        for zone in range(ZONES):
            of_zone = [one for one in running if self._zone(one) == f"zone-{zone}"]
            load = max(load_of_all, self._load_per_core(of_zone))
            for one in of_zone:
                if one.cut_at is None:
                    self.fair[one.name] += load * self._cores(one)

    def _load_per_core(self, instances: list[Instance]) -> float:
        cores = sum(self._cores(one) for one in instances if one.cut_at is None)
        return sum(one.cut_at is not None for one in instances) / cores if cores else 0

    def _cores(self, instance: Instance) -> float:
        return self.world.machines[instance.name].capacity

    def _zone(self, instance: Instance) -> str:
        return self.world.machines[instance.name].zone

    def _count(self, count: Count, served: bool) -> None:
        count.sent += 1
        count.served += served

    def _forward(self, instance: Instance) -> bool:
        """Return whether another instance serves a request."""
        if not instance.connectivity.is_cut_off:
            return False
        tried: set[str] = set()
        for _ in range(TRIES):
            chosen = instance.forwarding.choose(tried)
            if chosen is None:
                return False
            tried.add(chosen.name)
            if not self._runs(chosen.name):
                instance.forwarding.set_unreachable(chosen.name)
                continue
            if self.by_name[chosen.name].cut_at is None:
                self.helped[chosen.name] += 1
                return True
        return False

    # The run

    def play(self) -> None:
        """Play three cuts, of which the second begins before the first has ended."""
        for _ in range(3):
            share = self.rng.choice(CUT_SHARES)
            names = self.draw_names(share)
            self.cut(names)
            self.run(CUT_S / 2)
            sound = [
                name
                for name, one in self.by_name.items()
                if one.cut_at is None and self._runs(name)
            ]
            if self.rng.random() < 0.5:
                self.kill(self.rng.choice(sound))
            self.run(CUT_S / 2)
            self.heal(names if self.rng.random() < 0.5 else names[::2])
            self.run(self.rng.uniform(0.5, CONTACT_S))
        self.heal([name for name in self.by_name if self._runs(name)])
        self.run(2 * CONTACT_S)

    def run(self, seconds: float) -> None:
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run(REQUEST_S)
            self.ask_all()


class DrawnLostLinksTests(unittest.TestCase):
    """Runs of 24 and of 83 instances."""

    def check(self, machines: int, seeds: range) -> None:
        for seed in seeds:
            with self.subTest(seed=seed, machines=machines):
                day = LostLinksDay(seed, machines)
                day.play()
                self.assertGreater(day.cut_off.sent, 0)
                self.assertGreaterEqual(
                    day.cut_off.share, day.others.share * SERVED_SHARE
                )
                self.assert_leaders(day)
                self.assert_spread(day)
                self.assertEqual(day.world.broken_turns(), [])

    def assert_leaders(self, day: LostLinksDay) -> None:
        """Check that exactly one instance leads once all are in touch."""
        several = [seen for seen in day.leaders_seen if len(seen) != 1]
        self.assertEqual(several, [])

    def assert_spread(self, day: LostLinksDay) -> None:
        """Check that few instances do not carry what all could."""
        for name, requests in day.helped.items():
            allowed = MOST_HELPED * day.fair[name] + FEW_REQUESTS
            self.assertLessEqual(requests, allowed, name)

    def test_24_instances(self) -> None:
        self.check(24, range(SEEDS))

    def test_83_instances(self) -> None:
        self.check(83, range(100, 100 + max(SEEDS // 2, 1)))


if __name__ == "__main__":
    unittest.main()
