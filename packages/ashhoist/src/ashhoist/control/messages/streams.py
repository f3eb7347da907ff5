"""Messages about the software versions at which streams have begun."""

from dataclasses import dataclass

from ...codec import message

STREAMS_REVISION = 4


@message(87, STREAMS_REVISION)
@dataclass(frozen=True, slots=True)
class StreamsBegan:
    """Streams that have begun at the sender.

    Parameters
    ----------
    rows : list
        One ``[stream id, service, software version]`` list per stream.
    """

    rows: list


@message(88, STREAMS_REVISION)
@dataclass(frozen=True, slots=True)
class StreamVersionQuery:
    """Ask at which software version a stream has begun.

    Parameters
    ----------
    number : int
        Identifies the query; unique within the sender.
    service : str
        The service that the caller's request goes to.
    """

    number: int
    stream_id: str
    service: str


@message(89, STREAMS_REVISION)
@dataclass(frozen=True, slots=True)
class StreamVersionResponse:
    """At which software version a stream has begun.

    Parameters
    ----------
    service, software_version : str
        Empty if the sender does not know the stream.
    age_ms : int
        For how many milliseconds the sender has known it.
    recent : list
        Versions of the service in the query that have served lately.
    knows_all : bool
        Whether these are all versions at which a stream of the service may have begun.
    """

    number: int
    service: str
    software_version: str
    age_ms: int
    recent: list
    knows_all: bool


@message(90, STREAMS_REVISION)
@dataclass(frozen=True, slots=True)
class RecentVersions:
    """The software versions that the sender has seen lately; sent on a new link.

    Parameters
    ----------
    rows : list
        One ``[service, software version, age in ms]`` list per version.
    watched_ms : int
        For how many milliseconds the sender has watched them without a gap.
    """

    rows: list
    watched_ms: int
