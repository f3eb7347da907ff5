"""What requests ask of placement, and the answers."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..adapter import Adapter
from ..failures import Reason
from .residency import Place


@dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes.

    Parameters
    ----------
    upstream : str
        The id of its present life.
    version : int or None
        The adapter version that it must have.
    expected : timedelta or None
        How long the first event should take.
    permitted : bool
        Whether the upstream has named a limit, and this send is within it.
    """

    upstream: str
    address: str
    version: int | None = None
    expected: timedelta | None = None
    permitted: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not sent anywhere.

    Parameters
    ----------
    retry_after : timedelta or None
        When it is worth coming back.
    """

    reason: Reason
    retry_after: timedelta | None = None
    peer: str = ""


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request that needs an adapter; `answer` gets a `Target` or `Refusal`.

    Parameters
    ----------
    aim_at, give_up_at, limit : timedelta
        When it ceases to be in time; when it is refused unless its adapter is on
        its way; when an answer is of no use any more.
    taken_in : Future
        Done once the holder of the lease has said that the request waits there.
    """

    id: str
    service: str
    adapter: Adapter
    oldest_version: int
    tokens: int
    worth: float
    late_worth: float
    aim_at: timedelta
    limit: timedelta
    give_up_at: timedelta
    may_return: bool
    tried: tuple[str, ...]
    answer: "Future[Target | Refusal]"
    taken_in: "Future[None]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask which engines serve an adapter, of whoever knows while nobody leads."""

    adapter: Adapter
    answer: "Future[tuple[Place, ...]]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class NoLongerWanted:
    """A request has ended while it waited."""

    id: str


@dataclass(frozen=True, slots=True)
class UseBegan:
    """A request goes to an engine without having asked the holder."""

    id: str
    upstream: str
    adapter: Adapter
    tokens: int


@dataclass(frozen=True, slots=True)
class UseStarted:
    """A request at an engine has its first event."""

    id: str
    upstream: str


class UseEnd(StrEnum):
    """What the end of a request says of its engine."""

    WELL = "well"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class UseEnded:
    """A request at an engine has ended."""

    id: str
    upstream: str
    end: UseEnd = UseEnd.UNKNOWN
