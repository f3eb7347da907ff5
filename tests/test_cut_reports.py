"""What instances write of requests that were cut off, when very many are at once.

A zone was cut off with all its connections, and later a third of the upstreams ended at
once. Each instance wrote a record for each upstream at which a request of it was cut,
and one more for each of those requests once another upstream had answered it. So writes
grew with pairs and with requests: on a day with 83 instances there were 11,838 calls to
the store in place of 2,040, and they cost 0.10 of what answers were worth.

    calls to the store  scale-1: 2,040 before such records, 11,838 with them,
                        7,151 without those of whole answers
"""

import unittest

from ashhoist.quarantine import RequestCut, RequestWhole

from .control_world import World

ENGINES = 24
ZONES = 3
STORE_WRITES_A_SECOND = 1200
"""That a store takes from a deployment of some 80 instances."""
SHARE = 0.05
"""Of them, that this matter may take: leases, configuration and instances' own records
share the rest, and nothing of it may wait behind requests that were cut."""
INSTANCES_OF_SUCH_A_STORE = 80
SECONDS = 10.0
"""For which writes are counted, from the cut on."""
REQUESTS_A_PAIR = 2


class CutReportsTests(unittest.TestCase):
    """Many instances that each have requests under way at each engine."""

    def start(self, instances: int) -> World:
        world = World(instances, ENGINES, zones=ZONES)
        world.start()
        world.run(8.0)
        return world

    def cut(self, world: World, name: str, engine: str) -> list[str]:
        """Break off all that an instance has under way at an engine."""
        core = world.machines[name].core
        assert core is not None
        requests = [f"{name} {engine} {n}" for n in range(REQUESTS_A_PAIR)]
        for request in requests:
            core.crashes.cut(RequestCut(request, engine))
        return requests

    def answer(self, world: World, name: str, requests: list[str]) -> None:
        """Let an instance have whole answers to requests that were cut before."""
        core = world.machines[name].core
        assert core is not None
        for request in requests:
            core.crashes.whole(RequestWhole(request))

    def break_off(self, world: World, pairs: list[tuple[str, str]]) -> None:
        """Cut what is under way between instances and engines; others answer it."""
        cut = [(name, self.cut(world, name, engine)) for name, engine in pairs]
        world.run(0.5)
        for name, requests in cut:
            self.answer(world, name, requests)

    def writes(self, instances: int) -> int:
        """Return the writes that follow a zone's cut and many ends of upstreams."""
        world = self.start(instances)
        before = world.store.crash_writes
        zone = "zone-0"
        between = [
            (name, engine)
            for name, machine in world.machines.items()
            for engine, of in world.engine_zones.items()
            if (machine.zone == zone) != (of == zone)
        ]
        self.break_off(world, between)
        world.run(SECONDS / 2)
        ended = list(world.engines)[: ENGINES // 3]
        self.break_off(world, [(n, e) for n in world.machines for e in ended])
        world.run(SECONDS / 2)
        return world.store.crash_writes - before

    def assert_bounded(self, instances: int) -> None:
        allowed = STORE_WRITES_A_SECOND * SHARE * SECONDS
        allowed *= instances / INSTANCES_OF_SUCH_A_STORE
        self.assertLessEqual(self.writes(instances), allowed)

    def test_writes_of_24_grow_with_instances_not_with_pairs_or_requests(self) -> None:
        self.assert_bounded(24)

    def test_writes_of_83_grow_with_instances_not_with_pairs_or_requests(self) -> None:
        self.assert_bounded(83)


if __name__ == "__main__":
    unittest.main()
