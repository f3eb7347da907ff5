"""Detection and quarantine of requests that crash upstreams."""

from .crashes import Crash, MalformedRecordError, Whole, decode_record
from .messages import RequestCut, RequestWhole
from .quarantine import CRASHES, WINDOW, Quarantine

__all__ = [
    "CRASHES",
    "WINDOW",
    "Crash",
    "MalformedRecordError",
    "Quarantine",
    "RequestCut",
    "RequestWhole",
    "Whole",
    "decode_record",
]
