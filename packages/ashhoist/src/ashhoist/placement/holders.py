"""Which engines hold which adapters, or keep copies of them, looked up by adapter.

Engines note each change here. To look through all engines for each request would cost
the more the more engines there are: 0.24 s for a round of 90 waiting requests before
1,000 engines, where this takes a few milliseconds.
"""

from typing import TYPE_CHECKING

from ..adapter import Adapter

if TYPE_CHECKING:
    from .engine import Engine

EnginesById = dict[str, "Engine"]
NOBODY: EnginesById = {}


class Holders:
    """Engines by what is in their places, and by what they keep copies of."""

    def __init__(self) -> None:
        self._places: dict[Adapter, EnginesById] = {}
        self._copies: dict[Adapter, EnginesById] = {}

    def of(self, adapter: Adapter) -> EnginesById:
        """Return the engines with an adapter in a place: coming, serving or going."""
        return self._places.get(adapter, NOBODY)

    def with_copy(self, adapter: Adapter) -> EnginesById:
        """Return the engines that probably keep a copy of an adapter."""
        return self._copies.get(adapter, NOBODY)

    def placed(self, engine: "Engine", adapter: Adapter) -> None:
        """Note that an adapter has a place at an engine."""
        self._places.setdefault(adapter, {})[engine.id] = engine

    def removed(self, engine: "Engine", adapter: Adapter) -> None:
        """Note that an adapter has no place at an engine any more."""
        _discard(self._places, engine, adapter)

    def copied(self, engine: "Engine", adapter: Adapter) -> None:
        """Note that an engine keeps a copy of an adapter."""
        self._copies.setdefault(adapter, {})[engine.id] = engine

    def copy_lost(self, engine: "Engine", adapter: Adapter) -> None:
        """Note that an engine keeps no copy of an adapter any more."""
        _discard(self._copies, engine, adapter)

    def forget(self, engine: "Engine") -> None:
        """Forget an engine that has gone."""
        for adapter in engine.places:
            self.removed(engine, adapter)
        for adapter in engine.copies:
            self.copy_lost(engine, adapter)


def _discard(
    engines: dict[Adapter, EnginesById], engine: "Engine", adapter: Adapter
) -> None:
    found = engines.get(adapter)
    if found is None:
        return
    found.pop(engine.id, None)
    if not found:
        del engines[adapter]
