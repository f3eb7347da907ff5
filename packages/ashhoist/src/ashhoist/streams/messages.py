"""Messages from request handling to the control task about streams that go on."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The first event of a stream is about to be forwarded.

    Parameters
    ----------
    stream_id : str
        The id of the request that brought the stream's first event.
    """

    stream_id: str
    service: str
    software_version: str


class VersionSource(StrEnum):
    """How it is known at which software version a stream began."""

    HERE = "here"
    INSTANCE = "instance"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """The service and the software version at which a stream began.

    Parameters
    ----------
    software_version : str
        Empty if not known.
    age : timedelta
        For how long that has been known where it was found.
    """

    source: VersionSource
    service: str = ""
    software_version: str = ""
    age: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class VersionLookup:
    """Find the software version at which a stream began.

    Parameters
    ----------
    number : int
        Identifies the lookup; unique within this instance.
    stream_id : str
        Empty if the caller does not say which stream it takes up.
    service : str
        The service that the stream must have begun at; empty if there are several.
    """

    number: int
    stream_id: str
    service: str
    answer: "Future[FoundVersion]" = field(default_factory=Future)

    def settle(self, found: FoundVersion) -> None:
        """Give the answer, unless there is one or nobody waits for it any more."""
        if not self.answer.done() and self.answer.set_running_or_notify_cancel():
            self.answer.set_result(found)


@dataclass(frozen=True, slots=True)
class VersionLookupTimedOut:
    """A lookup has to be answered now, from the responses that have arrived."""

    number: int
