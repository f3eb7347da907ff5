"""Which changes of a topic a replica can bring other replicas up to date with.

A replica whose knowledge begins with a list of all keys does not know which keys ended
before that list. It can therefore send the changes since an earlier position only if
it has followed the topic from there; to others it has to send the list itself.
"""

from dataclasses import dataclass

from ..position import NO_POSITION, Position

MAX_GAPS = 8
"""Maximum number of gaps that are kept apart; the oldest two are merged beyond it."""
BEFORE_ALL = Position(-2)
"""Lower than the position of a replica that has received nothing."""


@dataclass(frozen=True, slots=True)
class Gap:
    """A range of positions for which only a list of the topic at its end is known.

    A key that was first recorded and then ended within the range is unknown. A replica
    at a position within the range, bounds excluded, may still have such a key.
    """

    after: Position
    until: Position

    def contains(self, position: Position) -> bool:
        """Return whether changes since a position can't be told completely."""
        return self.after < position < self.until


NO_GAP = Gap(NO_POSITION, NO_POSITION)


class History:
    """The gaps in what one replica knows of the changes of a topic."""

    def __init__(self) -> None:
        self._gaps: list[Gap] = []

    @property
    def listed_at(self) -> Position:
        """Return the newest position of which all keys are known by a list."""
        return max((gap.until for gap in self._gaps), default=NO_POSITION)

    def covers(self, position: Position) -> bool:
        """Return whether all changes since a position are known."""
        return not any(gap.contains(position) for gap in self._gaps)

    def first_covered(self, position: Position) -> Position:
        """Return the lowest position from a given one on that is covered."""
        for gap in self._gaps:
            if gap.contains(position):
                position = gap.until
        return position

    def gap_beyond(self, position: Position) -> Gap:
        """Return one gap that includes all those after a covered position."""
        beyond = [gap for gap in self._gaps if gap.until > position]
        if not beyond:
            return NO_GAP
        return Gap(beyond[0].after, beyond[-1].until)

    def add(self, gap: Gap) -> None:
        """Add a gap, unless it contains no position."""
        if gap.until <= gap.after:
            return
        self._gaps.append(gap)
        self._gaps.sort(key=lambda one: (one.after, one.until))
        self._merge_overlaps()
        while len(self._gaps) > MAX_GAPS:
            oldest, following, *later = self._gaps
            self._gaps = [Gap(oldest.after, following.until), *later]

    def _merge_overlaps(self) -> None:
        """Merge the gaps that overlap; the gaps are in order of their beginnings."""
        merged: list[Gap] = []
        for gap in self._gaps:
            if not merged or gap.after >= merged[-1].until:
                merged.append(gap)
                continue
            last = merged.pop()
            merged.append(Gap(last.after, max(last.until, gap.until)))
        self._gaps = merged
