"""Sends the hubs which adapters engines serve: a full snapshot first, then changes.

Hubs need this to take over immediately when the leader is lost, and to answer instances
that have no leader. Other instances ask a hub when needed. The number of messages
therefore grows with the number of loads, not with loads times instances.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..adapter import Adapter
from .messages import EngineAdapters, EngineAdaptersChanged

AdapterVersions = dict[Adapter, int]


class ResidencyFeed:
    """Tracks what the leader has sent about engines, and which instances received it.

    Parameters
    ----------
    receivers : callable
        Returns the names of the instances that should be kept up to date.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        receivers: Callable[[], Iterable[str]],
        send: Callable[[str, Any], None],
    ) -> None:
        self._receivers = receivers
        self._send = send
        self._sent: dict[str, AdapterVersions] = {}
        self._up_to_date: set[str] = set()

    def restart(self) -> None:
        """Let the next `publish` send all snapshots again, for a new epoch."""
        self._up_to_date.clear()

    def forget_receiver(self, instance: str) -> None:
        """Let `publish` send an instance all snapshots: it may have missed messages."""
        self._up_to_date.discard(instance)

    def keep(self, upstreams: Iterable[str]) -> None:
        """Forget all engines but these."""
        present = set(upstreams)
        self._sent = {
            name: held for name, held in self._sent.items() if name in present
        }

    def publish(self, epoch: int, changed: dict[str, AdapterVersions]) -> None:
        """Send the changes since the last call.

        Parameters
        ----------
        epoch : int
            The leader's epoch.
        changed : dict
            All adapters that each changed upstream serves now, with their versions.
        """
        rows = [
            [upstream, *_difference(self._sent.get(upstream, {}), held)]
            for upstream, held in changed.items()
        ]
        rows = [row for row in rows if row[1] or row[2]]
        self._sent.update(changed)
        receivers = set(self._receivers())
        if rows:
            message = EngineAdaptersChanged(epoch, rows)
            for instance in sorted(receivers & self._up_to_date):
                self._send(instance, message)
        for instance in sorted(receivers - self._up_to_date):
            self._send_snapshot(instance, epoch)
        self._up_to_date = receivers

    def _send_snapshot(self, instance: str, epoch: int) -> None:
        for upstream, held in self._sent.items():
            self._send(instance, EngineAdapters(epoch, upstream, _rows(held)))


def _difference(
    before: AdapterVersions, now: AdapterVersions
) -> tuple[list[object], list[object]]:
    """Return rows of added or updated adapters, and rows of removed ones."""
    added = {key: version for key, version in now.items() if before.get(key) != version}
    removed: list[object] = [[key.model, key.name] for key in before if key not in now]
    return _rows(added), removed


def _rows(held: AdapterVersions) -> list[object]:
    return [[key.model, key.name, version] for key, version in held.items()]
