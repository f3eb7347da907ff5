"""Incarnations of upstreams that are leaving.

An upstream says that it is leaving in its responses, or in its record. A response is
final: the upstream's records may be older, or expire and come back. A record holds
until one that is certainly newer says that the upstream is ready; until then, a
restored log may list an older record.
"""

from dataclasses import dataclass, replace

from ..position import Position, join, supersedes

MAX_LEAVING = 4096
"""Maximum number of incarnations that are remembered as leaving; the oldest is removed
first. The maximum is higher than the number that leave at the same time."""


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream has announced that it is leaving.

    Parameters
    ----------
    incarnation : str
        The incarnation that leaves; see `Upstream.incarnation`.
    recorded_at : Position or None
        Position of the record that says so; None if a response did.
    """

    upstream_id: str
    incarnation: str
    recorded_at: Position | None = None

    def is_outdated_by(self, ready_at: Position) -> bool:
        """Return whether a record at a position may say that the upstream is ready."""
        return self.recorded_at is not None and supersedes(ready_at, self.recorded_at)


class Departures:
    """The upstreams that are leaving, by incarnation."""

    def __init__(self) -> None:
        self._by_incarnation: dict[str, UpstreamLeaving] = {}

    def find(self, incarnation: str) -> UpstreamLeaving | None:
        """Return the notice of an incarnation that is leaving, or None."""
        return self._by_incarnation.get(incarnation)

    def add(self, notice: UpstreamLeaving) -> bool:
        """Add a notice; return whether it says more than the known one."""
        known = self._by_incarnation.get(notice.incarnation)
        if known is None:
            self._by_incarnation[notice.incarnation] = notice
            self._evict()
            return True
        if known.recorded_at is None:
            return False
        if notice.recorded_at is None:
            self._by_incarnation[notice.incarnation] = notice
            return True
        recorded_at = join(known.recorded_at, notice.recorded_at)
        joined = replace(known, recorded_at=recorded_at)
        self._by_incarnation[notice.incarnation] = joined
        return False

    def withdraw(self, incarnation: str, ready_at: Position) -> bool:
        """Remove what a ready record at a position shows to be outdated.

        Returns
        -------
        bool
            Whether there was such a notice.
        """
        known = self._by_incarnation.get(incarnation)
        if known is None or not known.is_outdated_by(ready_at):
            return False
        del self._by_incarnation[incarnation]
        return True

    def _evict(self) -> None:
        if len(self._by_incarnation) > MAX_LEAVING:
            del self._by_incarnation[next(iter(self._by_incarnation))]
