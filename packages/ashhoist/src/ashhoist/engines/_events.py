"""Splitting a stream of server-sent events without reading their contents."""

DONE = b"data: [DONE]"
SEPARATOR = b"\n\n"
LONGEST_EVENT = 1_048_576


class EventSplitter:
    """Cuts a byte stream into whole events.

    Attributes
    ----------
    ended : bool
        True once the event that ends an answer has come.
    """

    def __init__(self) -> None:
        self.ended = False
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now, with their separators.

        Raises
        ------
        ValueError
            If an event is too long.
        """
        *whole, self._rest = (self._rest + data).split(SEPARATOR)
        if len(self._rest) > LONGEST_EVENT:
            raise ValueError("event too long")
        if whole and whole[-1].endswith(DONE):
            self.ended = True
        return [event + SEPARATOR for event in whole]

    @property
    def partial(self) -> bool:
        """Return whether a part of an event is left over."""
        return bool(self._rest)
