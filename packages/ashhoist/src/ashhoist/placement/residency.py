"""Which engines serve which adapters now, as every instance sees it."""

from collections import OrderedDict
from dataclasses import dataclass
from types import MappingProxyType

from ..adapter import Adapter

MOST_COPIES = 36
"""Adapters that an engine keeps copies of outside its own memory."""


@dataclass(frozen=True, slots=True)
class Place:
    """An adapter that an engine serves.

    Parameters
    ----------
    version : int
        Of the adapter; 0 where it is not known.
    """

    upstream: str
    version: int


class Residency:
    """Places by adapter. The control task writes it; requests read `view`.

    Notes
    -----
    What a holder of the lease with a lower token says is passed over.
    """

    def __init__(self) -> None:
        self._by_upstream: dict[str, dict[Adapter, int]] = {}
        self._tokens: dict[str, int] = {}
        self._copies: dict[str, OrderedDict[Adapter, int]] = {}
        self.view: MappingProxyType[Adapter, tuple[Place, ...]] = MappingProxyType({})

    def put(self, token: int, upstream: str, held: dict[Adapter, int]) -> bool:
        """Take in all that an engine serves; return whether it was news."""
        if token < self._tokens.get(upstream, -1):
            return False
        self._tokens[upstream] = token
        if self._by_upstream.get(upstream) == held:
            return False
        self._note_copies(upstream, held)
        self._by_upstream[upstream] = dict(held)
        self._publish()
        return True

    def _note_copies(self, upstream: str, held: dict[Adapter, int]) -> None:
        """Remember what was loaded: an engine keeps copies for a while."""
        before = self._by_upstream.get(upstream, {})
        copies = self._copies.setdefault(upstream, OrderedDict())
        for adapter, version in held.items():
            if not adapter.name or before.get(adapter) == version:
                continue
            copies[adapter] = version
            copies.move_to_end(adapter)
        while len(copies) > MOST_COPIES:
            copies.popitem(last=False)

    def copies(self, upstream: str) -> "OrderedDict[Adapter, int]":
        """Return the versions that an engine probably has copies of."""
        return OrderedDict(self._copies.get(upstream, {}))

    def of(self, upstream: str) -> dict[Adapter, int]:
        """Return what an engine serves."""
        return dict(self._by_upstream.get(upstream, {}))

    def forget(self, upstream: str) -> None:
        """Forget an engine that has gone."""
        self._tokens.pop(upstream, None)
        self._copies.pop(upstream, None)
        if self._by_upstream.pop(upstream, None) is not None:
            self._publish()

    def _publish(self) -> None:
        found: dict[Adapter, list[Place]] = {}
        for upstream, held in self._by_upstream.items():
            for adapter, version in held.items():
                found.setdefault(adapter, []).append(Place(upstream, version))
        self.view = MappingProxyType(
            {adapter: tuple(places) for adapter, places in found.items()}
        )
