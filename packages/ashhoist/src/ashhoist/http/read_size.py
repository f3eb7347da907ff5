"""How much to read from a connection at once, by what is parsed from it."""

LARGE = 65_536
SMALL = 8_192
"""One-byte chunks of so many bytes take some 20 ms to parse, 150 ms if `LARGE`."""
MAX_EVENTS = 128
"""Events parsed from one read above which the next one is small. A small read of larger
parts has fewer."""


class ReadSize:
    """Keeps reads small where parsing them would hold up the loop."""

    __slots__ = ("_events", "_received", "_size")

    def __init__(self) -> None:
        self._size = SMALL
        self._events = 0
        self._received = 0

    def received(self, size: int) -> None:
        """Record how many bytes were read."""
        self._received = size

    def parsed(self) -> None:
        """Record that an event was parsed from them."""
        self._events += 1

    def take(self) -> int:
        """Return how many bytes to read now."""
        if self._events > MAX_EVENTS:
            self._size = SMALL
        elif self._received >= self._size:
            self._size = LARGE
        self._events = self._received = 0
        return self._size
