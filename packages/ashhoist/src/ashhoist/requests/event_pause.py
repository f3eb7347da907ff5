"""The longest pause of an event stream, and where it arose."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EventPause:
    """A pause between two events that were forwarded to a caller.

    Parameters
    ----------
    length : timedelta
        From when the earlier event was forwarded until the later one was.
    event : str
        The id of the later event; its number in the stream, from 1, if it has no id.
    caller_wait : timedelta
        The part of the length in which the caller's connection took no more data. The
        rest was spent waiting for the upstream.
    """

    length: timedelta
    event: str
    caller_wait: timedelta
