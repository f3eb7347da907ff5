"""Faults that simulations inject, by name.

Each affects one machine, all machines or the store, and ends by itself.
"""

import random

from .control_world import Machine, World
from .world_orders import ORDER_TIMEOUT_S
from .world_restores import Restore

STOP_DURATION_S = 0.7
"""Duration of a planned stop."""
RESTART_DELAY_S = 0.1
MAX_ORDER_DELAYS_S = (0.05, 0.1, 0.2, 2.0)
"""Upper limits of the delays of the next orders on their way to engines."""


def _kill(world: World, machine: Machine, duration_s: float) -> None:
    world.kill(machine.name)
    world.after(duration_s, lambda: _start(world, machine))


def _freeze(world: World, machine: Machine, duration_s: float) -> None:
    if not machine.frozen:
        world.freeze(machine.name, duration_s)


def _disconnect_store(world: World, machine: Machine, duration_s: float) -> None:
    machine.store_cut = True
    world.after(duration_s, lambda: setattr(machine, "store_cut", False))


def _cut_links(world: World, machine: Machine, duration_s: float) -> None:
    machine.links_cut = True
    world.after(duration_s, lambda: setattr(machine, "links_cut", False))


def _stop_store(world: World, machine: Machine, duration_s: float) -> None:
    world.store.is_down = True
    world.after(duration_s, lambda: setattr(world.store, "is_down", False))


def _lose_append(world: World, machine: Machine, duration_s: float) -> None:
    world.store.lost_append_answers += 1


def _delay_append(world: World, machine: Machine, duration_s: float) -> None:
    world.store.delayed_appends += 1


def _lose_orders(world: World, machine: Machine, duration_s: float) -> None:
    world.lose_orders += 2


def _delay_orders(world: World, machine: Machine, duration_s: float) -> None:
    world.delayed_orders.seconds.extend(
        min(duration_s, max_delay) for max_delay in MAX_ORDER_DELAYS_S
    )


def _kill_with_orders_in_flight(
    world: World, machine: Machine, duration_s: float
) -> None:
    """Kill a process while its orders are in flight, and restart it shortly after."""
    world.delayed_orders.seconds.extend([min(duration_s, MAX_ORDER_DELAYS_S[-1])] * 2)
    core = machine.core

    def kill() -> None:
        if machine.core is not core:
            return
        world.kill(machine.name)
        world.after(RESTART_DELAY_S, lambda: _start(world, machine))

    world.after(ORDER_TIMEOUT_S, kill)


def _rolling_restart(world: World, machine: Machine, duration_s: float) -> None:
    """Stop and restart all processes one after the other, as in a rolling upgrade."""
    for number, other in enumerate(world.machines.values()):
        delay = number * (STOP_DURATION_S + duration_s / 10)
        world.after(delay, lambda other=other: _stop(world, other, RESTART_DELAY_S))


def _stop(world: World, machine: Machine, duration_s: float) -> None:
    """Perform a planned stop of a process, and restart it later."""
    core = machine.core
    if core is None or machine.frozen or core.stopping:
        return
    core.stop()

    def end() -> None:
        if machine.core is core:
            world.kill(machine.name)

    world.after(STOP_DURATION_S, end)
    world.after(STOP_DURATION_S + duration_s, lambda: _start(world, machine))


def _restore(world: World, machine: Machine, duration_s: float) -> None:
    """Take a snapshot of the store now, and restore it after a later outage."""
    if world.store.is_down:
        return
    snapshot = world.log.snapshot()
    outage_after_s = duration_s / 2
    restore = Restore(min(duration_s, 2.0))
    rng = random.Random(duration_s)
    world.after(outage_after_s, lambda: restore.begin(world, snapshot, rng))


def _start(world: World, machine: Machine) -> None:
    if machine.core is None:
        world.start(machine.name)


FAULTS = {
    "kill": _kill,
    "kill midway": _kill_with_orders_in_flight,
    "freeze": _freeze,
    "cut store": _disconnect_store,
    "cut links": _cut_links,
    "store down": _stop_store,
    "lose append": _lose_append,
    "late append": _delay_append,
    "lose orders": _lose_orders,
    "hold orders up": _delay_orders,
    "roll": _rolling_restart,
    "stop": _stop,
}
FAULTS_AND_RESTORES = {**FAULTS, "restore": _restore}
