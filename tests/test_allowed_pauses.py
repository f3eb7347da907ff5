"""The allowed pause of a stream on its way from the route to the leader."""

import unittest
from concurrent.futures import Future
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

from ashhoist.adapter import Adapter
from ashhoist.placement.messages import PlacementRequest
from ashhoist.requests.engine_chooser import _gap_ms
from ashhoist.routing import Route, RouteKind, WeightedService

from .control_world import World
from .world_requests import started
from .world_writes import MODEL, SERVICE

SECOND = timedelta(seconds=1)
GAP = timedelta(milliseconds=300)


def route(kind: RouteKind) -> Route:
    services = (WeightedService(SERVICE),)
    return Route("", "host", "/", kind, services, SECOND, SECOND, target_event_gap=GAP)


def call(kind: RouteKind) -> Any:
    return cast(Any, SimpleNamespace(route=route(kind)))


class AllowedPauseTests(unittest.TestCase):
    def ask(self, world: World, machine: str, gap_ms: int) -> str:
        """Ask for an engine; return the id of the request once it is sent to one."""
        answer: Future[Any] = Future()
        now = world.clock.monotonic()
        request_id = f"request-{gap_ms}"
        world.ask(
            machine,
            PlacementRequest(
                request_id,
                SERVICE,
                Adapter(MODEL, "a1"),
                0,
                1000,
                1.0,
                0.3,
                now + SECOND,
                now + 5 * SECOND,
                now + 2 * SECOND,
                True,
                (),
                answer,
                gap_ms=gap_ms,
            ),
        )
        self.assertTrue(world.run(3.0, answer.done))
        return request_id

    def test_only_streams_have_one(self) -> None:
        # Plain answers have no events, so a prefill can't make them late by a pause.
        self.assertEqual(_gap_ms(call(RouteKind.STREAM)), 300)
        self.assertEqual(_gap_ms(call(RouteKind.SAFE)), 0)

    def test_it_reaches_the_leader(self) -> None:
        # A field that one of the steps leaves out has its default everywhere else.
        world = started()
        [leader] = world.leaders()
        follower = next(name for name in world.machines if name != leader)
        core = world.machines[leader].core
        assert core is not None and core.scheduling.scheduler is not None
        for machine, gap_ms in ((follower, 300), (leader, 450)):
            request_id = self.ask(world, machine, gap_ms)
            found = [
                engine.inflight._by_id[request_id].gap_ms
                for engine in core.scheduling.scheduler.engines.values()
                if request_id in engine.inflight._by_id
            ]
            self.assertEqual(found, [gap_ms])


if __name__ == "__main__":
    unittest.main()
