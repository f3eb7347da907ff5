"""Faults of a test world by name; each strikes one machine, or the store, and heals."""

import random

from .control_world import Machine, World
from .world_orders import GIVEN_UP_S
from .world_restores import Restore

STOPPED_S = 0.7
"""So long a planned stop takes."""
STARTED_S = 0.1
HELD_UP_S = (0.05, 0.1, 0.2, 2.0)
"""How long orders are held up at most on their way."""


def _kill(world: World, machine: Machine, healed_after: float) -> None:
    world.kill(machine.name)
    world.after(healed_after, lambda: _start(world, machine))


def _freeze(world: World, machine: Machine, healed_after: float) -> None:
    if not machine.frozen:
        world.freeze(machine.name, healed_after)


def _cut_store(world: World, machine: Machine, healed_after: float) -> None:
    machine.store_cut = True
    world.after(healed_after, lambda: setattr(machine, "store_cut", False))


def _cut_links(world: World, machine: Machine, healed_after: float) -> None:
    machine.links_cut = True
    world.after(healed_after, lambda: setattr(machine, "links_cut", False))


def _store_down(world: World, machine: Machine, healed_after: float) -> None:
    world.store.is_down = True
    world.after(healed_after, lambda: setattr(world.store, "is_down", False))


def _lose_append(world: World, machine: Machine, healed_after: float) -> None:
    world.store.lose_appends += 1


def _late_append(world: World, machine: Machine, healed_after: float) -> None:
    world.store.late_appends += 1


def _lose_orders(world: World, machine: Machine, healed_after: float) -> None:
    world.lose_orders += 2


def _hold_orders_up(world: World, machine: Machine, healed_after: float) -> None:
    world.held_up.seconds.extend(min(healed_after, most) for most in HELD_UP_S)


def _kill_midway(world: World, machine: Machine, healed_after: float) -> None:
    """Kill a process while orders are on their way; it starts again at once."""
    world.held_up.seconds.extend([min(healed_after, HELD_UP_S[-1])] * 2)
    core = machine.core

    def kill() -> None:
        if machine.core is not core:
            return
        world.kill(machine.name)
        world.after(STARTED_S, lambda: _start(world, machine))

    world.after(GIVEN_UP_S, kill)


def _roll(world: World, machine: Machine, healed_after: float) -> None:
    """Stop all processes as planned, one after the other, as in an upgrade."""
    for number, other in enumerate(world.machines.values()):
        gap = number * (STOPPED_S + healed_after / 10)
        world.after(gap, lambda other=other: _stop(world, other, STARTED_S))


def _stop(world: World, machine: Machine, healed_after: float) -> None:
    """Stop a process as planned; it starts again."""
    core = machine.core
    if core is None or machine.frozen or core.stopping:
        return
    core.stop()

    def end() -> None:
        if machine.core is core:
            world.kill(machine.name)

    world.after(STOPPED_S, end)
    world.after(STOPPED_S + healed_after, lambda: _start(world, machine))


def _restore(world: World, machine: Machine, healed_after: float) -> None:
    """Restore the store from a snapshot taken now, after a later outage."""
    if world.store.is_down:
        return
    snapshot = world.log.snapshot()
    outage_after_s = healed_after / 2
    restore = Restore(min(healed_after, 2.0))
    source = random.Random(healed_after)
    world.after(outage_after_s, lambda: restore.begin(world, snapshot, source))


def _start(world: World, machine: Machine) -> None:
    if machine.core is None:
        world.start(machine.name)


FAULTS = {
    "kill": _kill,
    "kill midway": _kill_midway,
    "freeze": _freeze,
    "cut store": _cut_store,
    "cut links": _cut_links,
    "store down": _store_down,
    "lose append": _lose_append,
    "late append": _late_append,
    "lose orders": _lose_orders,
    "hold orders up": _hold_orders_up,
    "roll": _roll,
    "stop": _stop,
}
FAULTS_AND_RESTORES = {**FAULTS, "restore": _restore}
