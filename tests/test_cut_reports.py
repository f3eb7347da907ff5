"""Number of store writes when very many requests are cut off at once.

A zone was partitioned and lost all its connections, and later a third of the upstreams
crashed at once. Each instance wrote a record for each upstream at which one of its
requests was cut off, and another one for each of these requests once a different
upstream had answered it. So the number of writes grew with pairs of instance and
upstream, and with requests. In a run with 83 instances there were 11,838 calls to the
store instead of 2,040, and they cost 0.10 of the value of the answers.

    calls to the store  scale-1: 2,040 before such records, 11,838 with them,
                        7,151 without those of whole answers
"""

import unittest

from ashhoist.quarantine import RequestCompleted, RequestInterrupted

from .control_world import World

ENGINES = 24
ZONES = 3
STORE_WRITES_PER_SECOND = 1200
"""Writes that a store accepts from a deployment of some 80 instances."""
CRASH_WRITE_SHARE = 0.05
"""Share of these writes that crash records may use. Leases, configuration and the
records of the instances themselves need the rest, and must not be delayed by records
of cut requests."""
INSTANCES_PER_STORE = 80
SECONDS = 10.0
"""Time for which writes are counted, starting with the partition."""
REQUESTS_PER_PAIR = 2


class CutReportsTests(unittest.TestCase):
    """Many instances that each have requests in flight at each engine."""

    def start(self, instances: int) -> World:
        world = World(instances, ENGINES, zones=ZONES)
        world.start()
        world.run(8.0)
        return world

    def cut(self, world: World, name: str, engine: str) -> list[str]:
        """Cut off all requests that an instance has in flight at an engine."""
        core = world.machines[name].core
        assert core is not None
        requests = [f"{name} {engine} {n}" for n in range(REQUESTS_PER_PAIR)]
        for request in requests:
            core.crashes.request_interrupted(RequestInterrupted(request, engine))
        return requests

    def answer(self, world: World, name: str, requests: list[str]) -> None:
        """Complete requests of an instance that were cut off before."""
        core = world.machines[name].core
        assert core is not None
        for request in requests:
            core.crashes.request_completed(RequestCompleted(request))

    def break_off(self, world: World, pairs: list[tuple[str, str]]) -> None:
        """Cut off requests between instances and engines; other engines answer them."""
        cut = [(name, self.cut(world, name, engine)) for name, engine in pairs]
        world.run(0.5)
        for name, requests in cut:
            self.answer(world, name, requests)

    def writes(self, instances: int) -> int:
        """Return the number of writes after a partition and many upstream crashes."""
        world = self.start(instances)
        before = world.store.crash_writes
        zone = "zone-0"
        between = [
            (name, engine)
            for name, machine in world.machines.items()
            for engine, engine_zone in world.engine_zones.items()
            if (machine.zone == zone) != (engine_zone == zone)
        ]
        self.break_off(world, between)
        world.run(SECONDS / 2)
        ended = list(world.engines)[: ENGINES // 3]
        self.break_off(world, [(n, e) for n in world.machines for e in ended])
        world.run(SECONDS / 2)
        return world.store.crash_writes - before

    def assert_bounded(self, instances: int) -> None:
        """Check that writes grow with instances, not with pairs or requests."""
        allowed = STORE_WRITES_PER_SECOND * CRASH_WRITE_SHARE * SECONDS
        allowed *= instances / INSTANCES_PER_STORE
        self.assertLessEqual(self.writes(instances), allowed)

    def test_writes_of_24_instances_stay_within_their_share(self) -> None:
        self.assert_bounded(24)

    def test_writes_of_83_instances_stay_within_their_share(self) -> None:
        self.assert_bounded(83)


if __name__ == "__main__":
    unittest.main()
