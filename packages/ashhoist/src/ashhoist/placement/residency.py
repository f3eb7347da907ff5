"""Which engines serve which adapters now, as every instance sees it."""

from dataclasses import dataclass
from types import MappingProxyType

from ..adapter import Adapter


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
        self.view: MappingProxyType[Adapter, tuple[Place, ...]] = MappingProxyType({})

    def put(self, token: int, upstream: str, held: dict[Adapter, int]) -> bool:
        """Take in all that an engine serves; return whether it was news."""
        if token < self._tokens.get(upstream, -1):
            return False
        self._tokens[upstream] = token
        if self._by_upstream.get(upstream) == held:
            return False
        self._by_upstream[upstream] = dict(held)
        self._publish()
        return True

    def of(self, upstream: str) -> dict[Adapter, int]:
        """Return what an engine serves."""
        return dict(self._by_upstream.get(upstream, {}))

    def forget(self, upstream: str) -> None:
        """Forget an engine that has gone."""
        self._tokens.pop(upstream, None)
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
