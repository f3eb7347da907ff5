"""Decides what of an event stream is progress of its upstream."""

from datetime import timedelta

from ..clock import Clock
from .call import Call
from .silence_timer import SilenceTimer

PART_LIMITS = 4
"""Parts of an event are progress for this multiple of the silence limit. Without a
bound, an event that comes byte by byte keeps a stream until its deadline."""
BYTES_PER_LIMIT = 65_536
"""For each so many bytes, an event has one more limit: large ones take longer."""


class StreamProgress:
    """Restarts the silence timer of a stream by what has come of it.

    Attributes
    ----------
    silence : SilenceTimer
        Of the stream.
    """

    __slots__ = ("_call", "_clock", "_parts_since", "silence")

    def __init__(self, call: Call, clock: Clock) -> None:
        self._call = call
        self._clock = clock
        self._parts_since: timedelta | None = None
        self.silence = SilenceTimer(call, clock)

    def record(self, has_new_event: bool, pending_size: int) -> None:
        """Record that bytes of the stream have come.

        Parameters
        ----------
        has_new_event : bool
            Whether they made a whole event that is new.
        pending_size : int
            How many bytes of an unfinished event have come so far.
        """
        if has_new_event:
            self._parts_since = None
        is_part = pending_size > 0 and self._is_in_time(pending_size)
        if has_new_event or is_part:
            self.silence.record_progress()

    def _is_in_time(self, size: int) -> bool:
        """Return whether a part of an event comes early enough to be progress.

        Only a new event begins this time anew: others may come in parts without end.
        """
        limit = self._call.silence_limit
        if limit is None:
            return False
        now = self._clock.monotonic()
        if self._parts_since is None:
            self._parts_since = now
        limits = PART_LIMITS + size // BYTES_PER_LIMIT
        return now - self._parts_since < limits * limit.timeout

    def record_end(self) -> None:
        """Record that the stream has ended properly."""
        self.silence.record_progress()

    def exclude(self, length: timedelta) -> None:
        """Leave out a time in which the upstream was not read."""
        self.silence.exclude(length)
        if self._parts_since is not None:
            self._parts_since += length
