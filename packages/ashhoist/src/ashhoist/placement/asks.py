"""Messages from request handlers to the placement part of an instance, and answers."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..adapter import Adapter
from ..failures import Reason
from .residency import Place


@dataclass(frozen=True, slots=True)
class Target:
    """The upstream that an attempt is sent to.

    Parameters
    ----------
    upstream : str
        The id of the upstream's current incarnation.
    version : int or None
        The adapter version that the upstream must have.
    expected : timedelta or None
        The expected time to the first event.
    permitted : bool
        Whether the upstream has a rate limit and a permit was taken for this send.
    """

    upstream: str
    address: str
    version: int | None = None
    expected: timedelta | None = None
    permitted: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not sent to any upstream.

    Parameters
    ----------
    retry_after : timedelta or None
        After how long a retry may succeed.
    """

    reason: Reason
    retry_after: timedelta | None = None
    peer: str = ""


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request for an engine that serves an adapter.

    Parameters
    ----------
    oldest_version : int
        The oldest acceptable version of the adapter.
    tokens : int
        Length of the prompt.
    worth, late_worth : float
        The value of an answer that is on time, and of one that is late.
    aim_at : timedelta
        Until when an answer counts as on time.
    limit : timedelta
        The deadline, after which an answer has no value.
    give_up_at : timedelta
        When the request is refused unless its adapter is being loaded.
    may_return : bool
        Whether the caller has time to retry if it is refused at once.
    tried : tuple of str
        Upstreams that have refused or failed it.
    answer : Future
        Gets a `Target` or a `Refusal`.
    taken_in : Future
        Done once the leader has acknowledged that the request is queued there.
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
    """Find the engines that serve an adapter while there is no leader.

    A hub answers it; no authority is needed.
    """

    adapter: Adapter
    answer: "Future[tuple[Place, ...]]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class NoLongerWanted:
    """A request has ended while it was queued."""

    id: str


@dataclass(frozen=True, slots=True)
class UseBegan:
    """A request was sent to an engine without asking the leader."""

    id: str
    upstream: str
    adapter: Adapter
    tokens: int


@dataclass(frozen=True, slots=True)
class UseStarted:
    """A request at an engine has received its first event."""

    id: str
    upstream: str


class UseEnd(StrEnum):
    """What the outcome of a request says about the health of its engine."""

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
