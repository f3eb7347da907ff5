"""Messages about departing upstreams and about requests that crash upstreams."""

from dataclasses import dataclass

from ...codec import message


@message(71)
@dataclass(frozen=True, slots=True)
class DepartureNotice:
    """Upstreams that have announced that they are leaving.

    Parameters
    ----------
    rows : list
        One ``[id, incarnation]`` list per upstream that has announced it in a response,
        or ``[id, incarnation, position]`` if a record at that position says so.
    """

    rows: list


REJECTION_REVISION = 3


@message(86, REJECTION_REVISION)
@dataclass(frozen=True, slots=True)
class RejectionNotice:
    """An upstream that must reject no more requests for a moment.

    Parameters
    ----------
    pause_ms : int
        Milliseconds from now during which no instance sends to it.
    """

    upstream: str
    incarnation: str
    pause_ms: int


@message(70)
@dataclass(frozen=True, slots=True)
class CrashWriteRequest:
    """Ask the receiver to write a record of requests that a crash cut off.

    Sent when the log has rejected the sender. Writing the record twice is harmless.
    """

    key: str
    value: bytes


@message(72)
@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Requests cut off by crashes, which may not be on the log yet.

    Parameters
    ----------
    rows : list
        Lists of an upstream's incarnation, the instance that saw it end, and the
        fingerprints of the requests that were cut off there.
    """

    rows: list
