"""Which engines serve which adapters, as known to every instance."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from types import MappingProxyType

from ..adapter import Adapter

MAX_COPIES = 36
"""Number of adapters that an engine keeps copies of outside its own memory."""


@dataclass(frozen=True, slots=True)
class AdapterLocation:
    """An engine that serves an adapter.

    Parameters
    ----------
    version : int
        The version of the adapter; 0 if unknown.
    """

    upstream: str
    version: int


class Residency:
    """The adapters that engines serve; `view` maps each adapter to its engines.

    Notes
    -----
    Updates from a leader with a lower epoch are ignored.
    """

    def __init__(self) -> None:
        self._by_upstream: dict[str, dict[Adapter, int]] = {}
        self._epochs: dict[str, int] = {}
        self._copies: dict[str, OrderedDict[Adapter, int]] = {}
        self._locations: dict[Adapter, tuple[AdapterLocation, ...]] = {}
        self.view = MappingProxyType(self._locations)

    def put(self, epoch: int, upstream: str, served: dict[Adapter, int]) -> bool:
        """Replace all that an engine serves; return whether anything changed.

        Parameters
        ----------
        epoch : int
            The epoch of the leader that published this.
        served : dict
            The versions of all adapters that the engine serves.
        """
        if epoch < self._epochs.get(upstream, -1):
            return False
        self._epochs[upstream] = epoch
        before = self._by_upstream.get(upstream, {})
        if upstream in self._by_upstream and before == served:
            return False
        self._record_copies(upstream, served)
        self._by_upstream[upstream] = dict(served)
        self._update_locations(upstream, before, served)
        return True

    def change(
        self,
        epoch: int,
        upstream: str,
        added: dict[Adapter, int],
        removed: Iterable[Adapter],
    ) -> bool:
        """Apply a change of what an engine serves; return whether anything changed.

        A change is relative to what the same leader has published before; what an
        earlier leader has published is dropped.

        Parameters
        ----------
        epoch : int
            The epoch of the leader that published this.
        added : dict
            Adapters that the engine serves now, or in another version than before.
        removed : iterable of Adapter
            Adapters that it no longer serves.
        """
        is_same_epoch = self._epochs.get(upstream) == epoch
        served = self.served_by(upstream) | added if is_same_epoch else dict(added)
        for adapter in removed:
            served.pop(adapter, None)
        return self.put(epoch, upstream, served)

    def _record_copies(self, upstream: str, served: dict[Adapter, int]) -> None:
        """Record newly loaded adapters: an engine keeps copies for a while."""
        before = self._by_upstream.get(upstream, {})
        copies = self._copies.setdefault(upstream, OrderedDict())
        for adapter, version in served.items():
            if not adapter.name or before.get(adapter) == version:
                continue
            copies[adapter] = version
            copies.move_to_end(adapter)
        while len(copies) > MAX_COPIES:
            copies.popitem(last=False)

    def copies(self, upstream: str) -> "OrderedDict[Adapter, int]":
        """Return the versions of the adapters that an engine probably has copies of."""
        return OrderedDict(self._copies.get(upstream, {}))

    def served_by(self, upstream: str) -> dict[Adapter, int]:
        """Return the versions of the adapters that an engine serves."""
        return dict(self._by_upstream.get(upstream, {}))

    def forget(self, upstream: str) -> None:
        """Remove an engine that no longer exists."""
        self._epochs.pop(upstream, None)
        self._copies.pop(upstream, None)
        self._update_locations(upstream, self._by_upstream.pop(upstream, {}), {})

    def _update_locations(
        self, upstream: str, before: dict[Adapter, int], served: dict[Adapter, int]
    ) -> None:
        """Update the locations of the adapters whose version at an engine has changed.

        Those of all other adapters are left alone: there are thousands of adapters, and
        few change at once.
        """
        for adapter in before.keys() | served.keys():
            version = served.get(adapter)
            if before.get(adapter) == version:
                continue
            locations = [
                location
                for location in self._locations.get(adapter, ())
                if location.upstream != upstream
            ]
            if version is not None:
                locations.append(AdapterLocation(upstream, version))
            if locations:
                self._locations[adapter] = tuple(locations)
            else:
                self._locations.pop(adapter, None)
