"""HTTP/1.1 over sockets of our own, parsed by ``h11``.

libcurl sends a request again by itself when a kept connection dies before the
first byte of the answer, and it does not say whether a byte had left. A request
that must not run twice needs both known, so both sides of a request's way are
built on ``h11`` (see ``docs/design/platform.md``).
"""

from .caller import CallerConnection
from .closed_connections import ClosedConnections
from .listener import Listener
from .numbers import parse_number
from .pool import Pool
from .request import (
    CallerGoneError,
    CallerLimits,
    Headers,
    MalformedRequestError,
    Request,
    StoppingError,
)
from .upstream import Broken, Head, NotSent, UpstreamConnection

__all__ = [
    "Broken",
    "CallerConnection",
    "CallerGoneError",
    "CallerLimits",
    "ClosedConnections",
    "Head",
    "Headers",
    "Listener",
    "MalformedRequestError",
    "NotSent",
    "Pool",
    "Request",
    "StoppingError",
    "UpstreamConnection",
    "parse_number",
]
