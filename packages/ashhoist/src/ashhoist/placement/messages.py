"""Messages from request handlers to the placement part of an instance, and answers."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..adapter import Adapter
from ..failures import Reason
from .residency import AdapterLocation


@dataclass(frozen=True, slots=True)
class Target:
    """The upstream, or the other instance, that an attempt is sent to.

    Parameters
    ----------
    upstream : str
        The id of the upstream's current incarnation, or the instance's name.
    version : int or None
        The adapter version that the upstream must have.
    expected : timedelta or None
        The expected time to the first event.
    permitted : bool
        Whether the upstream has a rate limit and a permit was taken for this send.
    is_instance : bool
        Whether the request is forwarded to another instance.
    """

    upstream: str
    address: str
    version: int | None = None
    expected: timedelta | None = None
    permitted: bool = False
    is_instance: bool = False


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
class PlacementRequest:
    """A request for an engine that serves an adapter.

    Parameters
    ----------
    oldest_version : int
        The oldest acceptable version of the adapter.
    tokens : int
        Length of the prompt.
    worth, late_worth : float
        The value of an answer that is on time, and of one that is late.
    on_time_until : timedelta
        Until when an answer counts as on time.
    deadline : timedelta
        The deadline, after which an answer has no value.
    give_up_at : timedelta
        When the request is refused unless its adapter is being loaded.
    may_retry : bool
        Whether the caller has time to retry if it is refused at once.
    tried : tuple of str
        Upstreams that it was sent to before, and those that are in a back-off period.
    answer : Future
        Gets a `Target` or a `Refusal`.
    acknowledged : Future
        Done once the leader has acknowledged that the request is queued there.
    gap_ms : int
        The longest pause between two events that is on time; 0 if it is not a stream.
    software_version : str
        The software version that the engine must have; empty if any will do.
    """

    id: str
    service: str
    adapter: Adapter
    oldest_version: int
    tokens: int
    worth: float
    late_worth: float
    on_time_until: timedelta
    deadline: timedelta
    give_up_at: timedelta
    may_retry: bool
    tried: tuple[str, ...]
    answer: "Future[Target | Refusal]"
    acknowledged: "Future[None]" = field(default_factory=Future)
    gap_ms: int = 0
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class Lookup:
    """Find the engines that serve an adapter while there is no leader.

    Any hub can answer it, as hubs receive what the leader publishes; see
    `control.lookups`.
    """

    adapter: Adapter
    answer: "Future[tuple[AdapterLocation, ...]]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class PlacementCancelled:
    """A request has ended while it was queued."""

    id: str


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A request was sent to an engine without asking the leader."""

    id: str
    upstream: str
    adapter: Adapter
    tokens: int


@dataclass(frozen=True, slots=True)
class FirstEventReceived:
    """A request at an engine has received its first event."""

    id: str
    upstream: str


class RequestOutcome(StrEnum):
    """What the outcome of a request says about the health of its engine."""

    SUCCEEDED = "well"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request at an engine has ended."""

    id: str
    upstream: str
    outcome: RequestOutcome = RequestOutcome.UNKNOWN
