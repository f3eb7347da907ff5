"""Splits event streams into complete events, so that no partial event is forwarded."""

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
MAX_PARTIAL_END = len(b"\r\n\r")
"""Bytes of a separator that may stand at the end of what has been searched."""
MAX_PENDING_BYTES = 1_048_576
"""An unfinished event above this size is considered invalid."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event, byte for byte as received.

    Parameters
    ----------
    id : str
        The event's id, or an empty string.
    is_empty : bool
        Whether it has neither data nor an id, like a comment: callers' parsers make
        no event of it.
    """

    data: bytes
    id: str
    is_empty: bool


class EventSplitter:
    """Buffers received bytes and yields complete events."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that they complete."""
        # Bytes are searched once: an upstream may send a large event in tiny pieces.
        self._pending += data
        events = []
        start = 0
        for end in END_OF_EVENT.finditer(self._pending, self._searched):
            events.append(_event(bytes(self._pending[start : end.end()])))
            start = end.end()
        del self._pending[:start]
        self._searched = max(len(self._pending) - MAX_PARTIAL_END, 0)
        return events

    @property
    def at_event_boundary(self) -> bool:
        """Return whether no part of an unfinished event is buffered."""
        return not self._pending.strip()

    @property
    def pending_size(self) -> int:
        """Return how many bytes of an unfinished event are buffered."""
        return len(self._pending)

    @property
    def oversized(self) -> bool:
        """Return whether the unfinished event is implausibly large."""
        return len(self._pending) > MAX_PENDING_BYTES


def _event(data: bytes) -> StreamEvent:
    event_id = ""
    has_data = False
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
        elif name == b"data":
            has_data = True
    return StreamEvent(data, event_id, is_empty=not event_id and not has_data)
