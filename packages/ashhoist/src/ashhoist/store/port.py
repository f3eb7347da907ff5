"""The shared log as the product sees it."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from ..loop import Steps
from ..position import Position

PATIENCE = timedelta(milliseconds=1200)
"""How long a call may take, unless its caller says otherwise."""


class Topic(StrEnum):
    """The topics that the product reads; the last three are its own."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    LEASES = "leases"
    INSTANCES = "instances"
    CRASHES = "crashes"


@dataclass(frozen=True, slots=True)
class Record:
    """One record; without a value it drops its key."""

    offset: Position
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records in order, and where the topic ends."""

    records: tuple[Record, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key. `end` is where the topic ended."""

    records: tuple[Record, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Gone:
    """The requested records are no longer kept, or not written yet."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The log did not answer, or turned this instance away; nothing was done."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """An append got no answer: it is done, will be done, or never."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Appended:
    """An append was done at this position."""

    offset: Position


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The topic did not end where the append wanted; nothing was done."""

    end: Position


AppendResult = Appended | ConditionFailed | Unavailable | Unknown


class SharedLog(Protocol):
    """One connection to the log. Used by one task at a time.

    A topic has partitions, each with offsets and an end of its own. A call sends
    only the offset of a position, so it may read from, or append to, another era than
    that of the position; the positions in its result hold the actual era.
    """

    def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        """Return records from an offset on; wait so long for the first."""

    def newest(
        self, topic: Topic, patience: timedelta = PATIENCE, part: int = 0
    ) -> Steps[Newest | Unavailable]:
        """Return the newest record of each key."""

    def append(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        at: Position | None,
        patience: timedelta = PATIENCE,
        part: int = 0,
    ) -> Steps[AppendResult]:
        """Append a record, if wanted only where the topic ends at `at`."""

    def append_all(
        self, topic: Topic, records: Mapping[str, bytes], patience: timedelta = PATIENCE
    ) -> Steps[AppendResult]:
        """Append records, by key, with one call: all of them, or none."""

    def close(self) -> None:
        """Close the connection."""
