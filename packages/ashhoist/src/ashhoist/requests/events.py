"""Series of events: cut into whole events, so that no part is passed on alone."""

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
MOST_PENDING = 1_048_576


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as it came.

    Parameters
    ----------
    id : str
        Its id, or empty.
    """

    data: bytes
    id: str


class EventSplitter:
    """Collects bytes and gives whole events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are now whole."""
        self._pending += data
        events = []
        begin = 0
        for end in END_OF_EVENT.finditer(self._pending):
            events.append(_event(self._pending[begin : end.end()]))
            begin = end.end()
        self._pending = self._pending[begin:]
        return events

    @property
    def clean(self) -> bool:
        """Return whether nothing of an unfinished event is there."""
        return not self._pending.strip()

    @property
    def overfull(self) -> bool:
        """Return whether an event has grown beyond what is believable."""
        return len(self._pending) > MOST_PENDING


def _event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
    return StreamEvent(data, event_id)
