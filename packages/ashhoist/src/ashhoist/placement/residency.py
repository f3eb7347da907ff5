"""Which engines serve which adapters now, as every instance sees it."""

from collections import OrderedDict
from collections.abc import Iterable
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
    """Places by adapter, in `view`.

    Notes
    -----
    What a holder of the lease with a lower token says is passed over.
    """

    def __init__(self) -> None:
        self._by_upstream: dict[str, dict[Adapter, int]] = {}
        self._tokens: dict[str, int] = {}
        self._copies: dict[str, OrderedDict[Adapter, int]] = {}
        self._places: dict[Adapter, tuple[Place, ...]] = {}
        self.view = MappingProxyType(self._places)

    def put(self, token: int, upstream: str, held: dict[Adapter, int]) -> bool:
        """Take in all that an engine serves; return whether it was news."""
        if token < self._tokens.get(upstream, -1):
            return False
        self._tokens[upstream] = token
        before = self._by_upstream.get(upstream, {})
        if upstream in self._by_upstream and before == held:
            return False
        self._note_copies(upstream, held)
        self._by_upstream[upstream] = dict(held)
        self._place(upstream, before, held)
        return True

    def change(
        self,
        token: int,
        upstream: str,
        served: dict[Adapter, int],
        gone: Iterable[Adapter],
    ) -> bool:
        """Take in a change of what an engine serves; return whether it was news.

        Parameters
        ----------
        served : dict
            What it serves anew, with versions.
        gone : iterable of Adapter
            What it serves no more.
        """
        is_told_before = self._tokens.get(upstream) == token
        held = self.of(upstream) | served if is_told_before else dict(served)
        for adapter in gone:
            held.pop(adapter, None)
        return self.put(token, upstream, held)

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
        self._place(upstream, self._by_upstream.pop(upstream, {}), {})

    def _place(
        self, upstream: str, before: dict[Adapter, int], held: dict[Adapter, int]
    ) -> None:
        """Change the places of those adapters that an engine holds no longer, or anew.

        The others stay as they are: there are thousands, and few change at once.
        """
        for adapter in before.keys() | held.keys():
            version = held.get(adapter)
            if before.get(adapter) == version:
                continue
            places = [
                place
                for place in self._places.get(adapter, ())
                if place.upstream != upstream
            ]
            if version is not None:
                places.append(Place(upstream, version))
            if places:
                self._places[adapter] = tuple(places)
            else:
                self._places.pop(adapter, None)
