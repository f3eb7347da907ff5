"""Detection and quarantine of requests that crash upstreams."""

from .crashes import Completion, Crash, MalformedRecordError, decode_record
from .held_names import CRASH_THRESHOLD, PART_CRASH_THRESHOLD
from .messages import RequestCompleted, RequestInterrupted, UpstreamAnswered
from .parts import MAX_PARTS, PartHistory, is_part, part_names
from .quarantine import RECORD_LAPSES_AFTER, WINDOW, Quarantine

__all__ = [
    "CRASH_THRESHOLD",
    "MAX_PARTS",
    "PART_CRASH_THRESHOLD",
    "RECORD_LAPSES_AFTER",
    "WINDOW",
    "Crash",
    "MalformedRecordError",
    "PartHistory",
    "Quarantine",
    "RequestInterrupted",
    "RequestCompleted",
    "UpstreamAnswered",
    "Completion",
    "decode_record",
    "is_part",
    "part_names",
]
