"""Tells the hubs what engines serve: all of it once, and then what changes.

Hubs need it to lead at once where the leader is lost, and to answer instances that
have no leader. Others ask a hub when they need it. So what is told grows with the
loads, and not with loads times instances.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..adapter import Adapter
from .messages import Holds, HoldsChanged

Held = dict[Adapter, int]


class ResidencyFeed:
    """What the leader tells of its engines, and to whom.

    Parameters
    ----------
    receivers : callable
        Returns the names of the instances that should know now.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        receivers: Callable[[], Iterable[str]],
        tell: Callable[[str, Any], None],
    ) -> None:
        self._receivers = receivers
        self._tell = tell
        self._told: dict[str, Held] = {}
        self._informed: set[str] = set()

    def restart(self) -> None:
        """Tell all anew: what was told belongs to an older epoch."""
        self._informed.clear()

    def forget_receiver(self, instance: str) -> None:
        """Take in that an instance may have missed what it was told."""
        self._informed.discard(instance)

    def keep(self, upstreams: Iterable[str]) -> None:
        """Forget all engines but these."""
        present = set(upstreams)
        self._told = {
            name: held for name, held in self._told.items() if name in present
        }

    def tell(self, epoch: int, changed: dict[str, Held]) -> None:
        """Tell what has changed since the last time.

        Parameters
        ----------
        epoch : int
            The leader's.
        changed : dict
            By upstream, all adapters that it serves now, with their versions.
        """
        rows = [
            [upstream, *_difference(self._told.get(upstream, {}), held)]
            for upstream, held in changed.items()
        ]
        rows = [row for row in rows if row[1] or row[2]]
        self._told.update(changed)
        receivers = set(self._receivers())
        if rows:
            news = HoldsChanged(epoch, rows)
            for instance in sorted(receivers & self._informed):
                self._tell(instance, news)
        for instance in sorted(receivers - self._informed):
            self._tell_all_to(instance, epoch)
        self._informed = receivers

    def _tell_all_to(self, instance: str, epoch: int) -> None:
        for upstream, held in self._told.items():
            self._tell(instance, Holds(epoch, upstream, _rows(held)))


def _difference(before: Held, now: Held) -> tuple[list[object], list[object]]:
    """Return rows of what is served anew, and rows of what is served no more."""
    fresh = {key: version for key, version in now.items() if before.get(key) != version}
    gone: list[object] = [[key.model, key.name] for key in before if key not in now]
    return _rows(fresh), gone


def _rows(held: Held) -> list[object]:
    return [[key.model, key.name, version] for key, version in held.items()]
