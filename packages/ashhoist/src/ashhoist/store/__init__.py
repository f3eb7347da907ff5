"""What must last: the log that all instances share, as a port.

Whoever runs ashhoist gives it a `SharedLog`. Topics keep the newest record of
each key for good.
"""

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
    "Record",
    "Records",
    "SharedLog",
    "Topic",
    "Unavailable",
    "Unknown",
]
