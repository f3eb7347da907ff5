"""The interface to the shared log, and the results of its calls."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from ..loop import Steps
from ..position import Position

DEFAULT_CALL_TIMEOUT = timedelta(milliseconds=1200)
"""Default timeout of a call."""


class Topic(StrEnum):
    """The topics that ashhoist reads; the last three are its own.

    The topic of crashes also holds which software versions of a service have served.
    """

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    LEASES = "leases"
    INSTANCES = "instances"
    CRASHES = "crashes"


@dataclass(frozen=True, slots=True)
class Record:
    """One record; a record without a value deletes its key."""

    offset: Position
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records in order, and the position at which the topic ends."""

    records: tuple[Record, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key, and the position at which the topic ended."""

    records: tuple[Record, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Gone:
    """The requested records are no longer kept, or not yet written."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The log did not respond, or refused the call; the call had no effect."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """An append got no response.

    It may have been applied, may still be applied later, or never will be.
    """

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Appended:
    """An append was applied at this position."""

    offset: Position


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The topic did not end at the expected position; nothing was appended."""

    end: Position


AppendResult = Appended | ConditionFailed | Unavailable | Unknown


class SharedLog(Protocol):
    """One connection to the log, used by one task at a time.

    A topic has partitions, each with its own offsets and its own end. A call sends only
    the offset of a position, so it may read from, or append to, a different era than
    that of the position; the positions in its result hold the actual era.
    """

    def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Steps[Records | Gone | Unavailable]:
        """Return records from an offset on; wait up to `wait` for the first."""

    def newest(
        self,
        topic: Topic,
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
        partition: int = 0,
    ) -> Steps[Newest | Unavailable]:
        """Return the newest record of each key."""

    def append(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        at: Position | None,
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
        partition: int = 0,
    ) -> Steps[AppendResult]:
        """Append a record; with `at`, only if the topic ends there."""

    def append_all(
        self,
        topic: Topic,
        records: Mapping[str, bytes],
        timeout: timedelta = DEFAULT_CALL_TIMEOUT,
    ) -> Steps[AppendResult]:
        """Append records, by key, in one call: either all of them or none."""

    def close(self) -> None:
        """Close the connection."""
