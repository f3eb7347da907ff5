"""A caller's request as it is read, its limits, and how reading it may fail."""

from dataclasses import dataclass, field
from datetime import timedelta

Headers = list[tuple[str, str]]


class CallerGoneError(Exception):
    """The caller's connection broke or ended."""


class StoppingError(Exception):
    """The instance ends now; raised where the task of a connection waits."""


class MalformedRequestError(Exception):
    """What came is not an acceptable request.

    Parameters
    ----------
    status : int
        The HTTP status that says so.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(frozen=True, slots=True)
class Request:
    """One request as it came.

    Parameters
    ----------
    target : str
        Path and query, unchanged.
    headers : list of (str, str)
        In their order and spelling.
    received_at : timedelta
        When its first byte was seen, on the monotonic clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: timedelta
    values: dict[str, str] = field(default_factory=dict)

    def value(self, name: str) -> str:
        """Return a header's value by its name in lower case, or nothing."""
        return self.values.get(name, "")


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take over it."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)
