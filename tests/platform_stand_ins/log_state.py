"""The state of the platform's store: topics with keyed records, no sockets."""

import copy
from collections import defaultdict
from dataclasses import dataclass, field


@dataclass
class Topic:
    """One topic; records are (key, value or None), numbered from `first`."""

    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogState:
    """All topics. Every call is one step; only `restore` loses acknowledged records.

    Attributes
    ----------
    era : int
        Number of restores.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = defaultdict(Topic)
        self.era = 0

    def snapshot(self) -> dict[str, Topic]:
        """Return a copy of all topics for `restore`."""
        return copy.deepcopy(self.topics)

    def restore(self, snapshot: dict[str, Topic]) -> None:
        """Replace all topics with a snapshot; offsets past its ends are reused."""
        self.topics = copy.deepcopy(snapshot)
        self.era += 1

    def append(
        self, topic: str, key: str, value: bytes | None, at: int | None = None
    ) -> int | None:
        """Return the offset, or None if the topic does not end at `at`."""
        found = self.topics[topic]
        if at is not None and at != found.end:
            return None
        offset = found.end
        found.records.append((key, value))
        if value is None:
            found.newest.pop(key, None)
        else:
            found.newest[key] = (offset, value)
        return offset

    def read(self, topic: str, start: int) -> list[tuple[str, bytes | None]] | None:
        """Return records from `start` on, or None if `start` is out of range."""
        found = self.topics[topic]
        if not found.first <= start <= found.end:
            return None
        return found.records[start - found.first :]

    def forget_history(self, topic: str) -> None:
        """Drop all records; the newest of each key stays."""
        found = self.topics[topic]
        found.first = found.end
        found.records = []
