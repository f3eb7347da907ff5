"""Requests in a test world: each wants an adapter."""

from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ashhoist.adapter import Adapter
from ashhoist.placement.messages import PlacementRequest

from .control_world import World
from .world_writes import MODEL, SERVICE

NUMBERS = iter(range(1_000_000))


def want(world: World, machine: str, adapter: str, seconds: float = 5.0) -> Any:
    """Let a request at a machine want an adapter; return its future."""
    answer: Future[Any] = Future()
    now = world.clock.monotonic()
    world.ask(
        machine,
        PlacementRequest(
            f"request-{next(NUMBERS)}",
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
    """Return a world in which somebody holds the lease."""
    world = World(machines, engines)
    world.start()
    world.run(3.0, lambda: len(world.holders()) == 1)
    world.run(3.0, lambda: len(world.leaders()) == 1)
    world.run(0.6)
    return world
