"""How many new connections are read where more arrive than can be answered.

Each request that is read costs processor time over several turns of the loop. An
instance that is behind reads fewer in each turn, so that those that it has read are
answered in time; the others are closed unread after a while, and their callers ask
another instance.
"""

from datetime import timedelta

LONGEST_TURN = timedelta(milliseconds=100)
"""A request takes several turns: with longer ones it would be late for most callers."""
MIN_READS, MAX_READS = 1, 64
"""New connections that are read in one turn."""
MAX_WAITING_TURNS = 8
"""Turns after which connections that wait to be read would be late in any case."""
GROWTH = 8
"""Share, as a divisor, by which the number grows with each short turn that used it."""


class ReadLimit:
    """Grants reads of new connections, as many a turn as keep turns short."""

    def __init__(self) -> None:
        self._allowed = MAX_READS
        self._left = MAX_READS
        self._turn = 0

    def is_crowded(self, waiting: int) -> bool:
        """Return whether more connections wait than can be read before long."""
        return waiting >= self._allowed * MAX_WAITING_TURNS

    def take(self, turn: int, last_turn: timedelta) -> bool:
        """Return whether a new connection may be read in the present turn.

        Parameters
        ----------
        turn : int
            The number of the loop's present turn.
        last_turn : timedelta
            How long the turn before took.
        """
        if turn != self._turn:
            self._turn = turn
            self._begin_turn(last_turn)
        if not self._left:
            return False
        self._left -= 1
        return True

    def _begin_turn(self, last_turn: timedelta) -> None:
        """Set what the turn may read by how long the last one took."""
        if last_turn > LONGEST_TURN:
            self._allowed = max(self._allowed // 2, MIN_READS)
        elif not self._left:
            grown = self._allowed + max(self._allowed // GROWTH, 1)
            self._allowed = min(grown, MAX_READS)
        self._left = self._allowed
