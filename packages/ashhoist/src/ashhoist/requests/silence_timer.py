"""Measures how long the upstream of an attempt makes no progress with its response."""

from datetime import timedelta

from ..clock import Clock
from .call import Call

MAX_TIMER_DELAY = timedelta(milliseconds=100)
"""A timer that is so late shows that this instance was held up. An upstream whose
silence ends with such a delay is given the full timeout once more."""


class SilenceTimer:
    """Until when an upstream may make no progress.

    A timer serves one part of a response: the head, the body or the stream. The reader
    of that part records its progress. Bytes alone are none, as an upstream may send
    them without end.
    """

    __slots__ = ("_call", "_clock", "_is_extended", "_since")

    def __init__(self, call: Call, clock: Clock) -> None:
        self._call = call
        self._clock = clock
        self._since = clock.monotonic()
        self._is_extended = False

    @property
    def ends_at(self) -> timedelta:
        """Return until when the upstream may be silent.

        While another one is looked for, the search says when it goes on.
        """
        call = self._call
        if call.silence_limit is None or call.place_search is not None:
            return call.deadline
        return min(call.deadline, self._since + call.silence_limit.timeout)

    def record_progress(self) -> None:
        """Begin the timeout anew; an upstream that goes on needs no successor."""
        self._call.withdraw_place_search()
        self._is_extended = False
        self.restart()

    def restart(self) -> None:
        """Begin the timeout anew, though there was no progress."""
        self._since = self._clock.monotonic()

    def exclude(self, length: timedelta) -> None:
        """Leave out a time in which the upstream was not read."""
        self._since += length

    def extend_if_late(self, now: timedelta) -> bool:
        """Begin the timeout anew if its end was noticed late; at most once.

        The upstream may have been held up together with this instance.

        Returns
        -------
        bool
            Whether it was begun anew.
        """
        if self._is_extended or now - self.ends_at < MAX_TIMER_DELAY:
            return False
        self._is_extended = True
        self._since = now
        return True
