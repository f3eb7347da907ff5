"""An index from adapters to the engines that hold them or keep copies of them.

Each engine updates the index when its state changes. Scanning all engines for every
request takes time in proportion to the number of engines: with 1,000 engines a planning
round of 90 waiting requests took 0.24 s; with the index it takes a few milliseconds.
"""

from typing import TYPE_CHECKING

from ..adapter import Adapter

if TYPE_CHECKING:
    from .engine import Engine

EnginesById = dict[str, "Engine"]
NO_ENGINES: EnginesById = {}


class AdapterIndex:
    """Engines by the adapters in their slots, and by those that they have copies of."""

    def __init__(self) -> None:
        self._holding: dict[Adapter, EnginesById] = {}
        self._copies: dict[Adapter, EnginesById] = {}

    def holding(self, adapter: Adapter) -> EnginesById:
        """Return the engines where an adapter is loading, serving or unloading."""
        return self._holding.get(adapter, NO_ENGINES)

    def with_copy(self, adapter: Adapter) -> EnginesById:
        """Return the engines that probably keep a copy of an adapter."""
        return self._copies.get(adapter, NO_ENGINES)

    def add(self, engine: "Engine", adapter: Adapter) -> None:
        """Record that an adapter is in a slot of an engine."""
        self._holding.setdefault(adapter, {})[engine.id] = engine

    def remove(self, engine: "Engine", adapter: Adapter) -> None:
        """Record that an adapter is no longer in a slot of an engine."""
        _discard(self._holding, engine, adapter)

    def add_copy(self, engine: "Engine", adapter: Adapter) -> None:
        """Record that an engine keeps a copy of an adapter."""
        self._copies.setdefault(adapter, {})[engine.id] = engine

    def remove_copy(self, engine: "Engine", adapter: Adapter) -> None:
        """Record that an engine no longer keeps a copy of an adapter."""
        _discard(self._copies, engine, adapter)

    def remove_engine(self, engine: "Engine") -> None:
        """Remove an engine that no longer exists."""
        for adapter in engine.adapter_slots:
            self.remove(engine, adapter)
        for adapter in engine.copies:
            self.remove_copy(engine, adapter)


def _discard(
    engines: dict[Adapter, EnginesById], engine: "Engine", adapter: Adapter
) -> None:
    found = engines.get(adapter)
    if found is None:
        return
    found.pop(engine.id, None)
    if not found:
        del engines[adapter]
