"""Helpers that start a simulation and submit requests that need an adapter."""

from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ashhoist.adapter import Adapter
from ashhoist.placement.messages import PlacementRequest

from .control_world import World
from .world_writes import MODEL, SERVICE

_request_numbers = iter(range(1_000_000))


def want(world: World, machine: str, adapter: str, seconds: float = 5.0) -> Any:
    """Submit a request that needs an adapter at a machine, and return its future."""
    answer: Future[Any] = Future()
    now = world.clock.monotonic()
    world.ask(
        machine,
        PlacementRequest(
            f"request-{next(_request_numbers)}",
            SERVICE,
            Adapter(MODEL, adapter),
            0,
            1000,
            1.0,
            0.3,
            now + timedelta(seconds=1),
            now + timedelta(seconds=seconds),
            now + timedelta(seconds=seconds * 0.42),
            True,
            (),
            answer,
        ),
    )
    return answer


def started(machines: int = 3, engines: int = 2) -> World:
    """Return a started world that has one lease holder and one leader."""
    world = World(machines, engines)
    world.start()
    world.run(3.0, lambda: len(world.holders()) == 1)
    world.run(3.0, lambda: len(world.leaders()) == 1)
    world.run(0.6)
    return world
