"""The port to the durable log that all instances share.

The platform that runs ashhoist provides an implementation of `SharedLog`. Topics keep
the newest record of each key permanently.
"""

from ..position import (
    MOST_ERAS,
    MOST_OFFSETS,
    Position,
    era_of,
    offset_of,
    position,
    supersedes,
)
from .counted import CallCounts, CountedLog
from .follower import Follower, ReadPacing
from .port import (
    DEFAULT_CALL_TIMEOUT,
    Appended,
    AppendResult,
    ConditionFailed,
    Gone,
    Newest,
    Record,
    Records,
    SharedLog,
    Topic,
    Unavailable,
    Unknown,
)

__all__ = [
    "MOST_ERAS",
    "MOST_OFFSETS",
    "DEFAULT_CALL_TIMEOUT",
    "AppendResult",
    "Appended",
    "CallCounts",
    "ConditionFailed",
    "CountedLog",
    "Follower",
    "Gone",
    "Newest",
    "ReadPacing",
    "Position",
    "Record",
    "Records",
    "SharedLog",
    "Topic",
    "Unavailable",
    "Unknown",
    "era_of",
    "offset_of",
    "position",
    "supersedes",
]
