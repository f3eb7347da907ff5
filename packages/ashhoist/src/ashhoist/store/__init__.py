"""What must last: the log that all instances share, as a port.

Whoever runs ashhoist gives it a `SharedLog`. Topics keep the newest record of
each key for good.
"""

from ..position import (
    MOST_ERAS,
    Position,
    era_of,
    offset_of,
    position,
    supersedes,
)
from .counted import CallCounts, CountedLog
from .follower import Follower, Pace
from .port import (
    PATIENCE,
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
    "PATIENCE",
    "AppendResult",
    "Appended",
    "CallCounts",
    "ConditionFailed",
    "CountedLog",
    "Follower",
    "Gone",
    "Newest",
    "Pace",
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
