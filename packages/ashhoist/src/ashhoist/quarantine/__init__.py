"""Detection and quarantine of requests that crash upstreams."""

from .crashes import Completion, Crash, MalformedRecordError, decode_record
from .messages import RequestCompleted, RequestInterrupted
from .quarantine import CRASH_THRESHOLD, WINDOW, Quarantine

__all__ = [
    "CRASH_THRESHOLD",
    "WINDOW",
    "Crash",
    "MalformedRecordError",
    "Quarantine",
    "RequestInterrupted",
    "RequestCompleted",
    "Completion",
    "decode_record",
]
