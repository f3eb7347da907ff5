"""Faults of a test world by name; each strikes one machine, or the store, and heals."""

from .control_world import Machine, World


def _kill(world: World, machine: Machine, healed_after: float) -> None:
    world.kill(machine.name)
    world.after(healed_after, lambda: world.start(machine.name))


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


FAULTS = {
    "kill": _kill,
    "freeze": _freeze,
    "cut store": _cut_store,
    "cut links": _cut_links,
    "store down": _store_down,
    "lose append": _lose_append,
    "late append": _late_append,
    "lose orders": _lose_orders,
}
