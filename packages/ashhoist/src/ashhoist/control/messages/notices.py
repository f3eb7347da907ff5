"""Messages about leaving upstreams and about requests that crash upstreams."""

from dataclasses import dataclass

from ...codec import message


@message(71)
@dataclass(frozen=True, slots=True)
class Leaving:
    """Upstreams that have said in answers that they leave.

    Parameters
    ----------
    rows : list
        Lists of id and life.
    """

    rows: list


@message(70)
@dataclass(frozen=True, slots=True)
class WriteCrash:
    """Ask to write a record of requests that were cut off.

    The log has turned the sender away. Writing it twice does no harm.
    """

    key: str
    value: bytes


@message(72)
@dataclass(frozen=True, slots=True)
class CrashesSeen:
    """Requests that were cut off, as the log may not say yet.

    Parameters
    ----------
    rows : list
        Lists of an upstream's life, the instance that saw it end, and the
        fingerprints of the requests that were cut there.
    """

    rows: list
