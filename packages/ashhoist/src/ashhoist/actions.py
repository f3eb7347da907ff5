"""What the decision code asks for. The tasks carry it out."""

from dataclasses import dataclass
from enum import StrEnum

from .claims import Authority
from .failures import Failure
from .types import AdapterVersion, Job


class OrderKind(StrEnum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(StrEnum):
    """What is known about an order once it has ended."""

    DONE = "done"
    FAILED = "failed"
    STALE_FENCE = "stale_fence"
    WRONG_INCARNATION = "wrong_incarnation"
    IN_USE = "in_use"
    NO_SLOT = "no_slot"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Parameters
    ----------
    token : int
        The fencing token of the home that gives it.
    number : int
        Grows with each order under one token.
    incarnation : str
        The engine's incarnation that it is meant for.
    """

    upstream: str
    kind: OrderKind
    adapter: AdapterVersion
    weights: str
    token: int
    number: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order, if the authority for it still holds at that moment."""

    order: Order
    authority: Authority


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Ask an engine what it holds.

    The read carries the fence, so that orders sent before it are refused if
    they arrive after it.
    """

    upstream: str
    token: int
    number: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a job to its upstream."""

    job: Job


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Cancel a job that its upstream may be running."""

    job: Job


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Record the key of a job that is not repeatable, before it is sent."""

    job: Job


@dataclass(frozen=True, slots=True)
class VoidKey:
    """Note that the job of a recorded key was surely not run."""

    job: Job


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell a job's entry instance that it failed."""

    job: Job
    failure: Failure


@dataclass(frozen=True, slots=True)
class TellStarted:
    """Tell a job's entry instance that it is about to be sent upstream."""

    job: Job


@dataclass(frozen=True, slots=True)
class WantLoad:
    """Ask the keeper of the load budget for a load."""

    upstream: str
    adapter: AdapterVersion
    benefit: float


@dataclass(frozen=True, slots=True)
class DropWant:
    """Withdraw a wanted load."""

    upstream: str
    adapter: AdapterVersion


@dataclass(frozen=True, slots=True)
class ReturnGrant:
    """Return a granted load: it has ended or was not used."""

    upstream: str
    adapter: AdapterVersion
    grant: int
    used: bool


@dataclass(frozen=True, slots=True)
class ResidencyChanged:
    """An adapter is now served, or no longer served, by an upstream."""

    upstream: str
    adapter: AdapterVersion
    resident: bool


@dataclass(frozen=True, slots=True)
class HomeLost:
    """An engine refused the home's fence: another instance is its home."""

    upstream: str


Action = (
    SendOrder
    | ReadBack
    | Dispatch
    | CancelDispatch
    | RecordKey
    | VoidKey
    | Tell
    | TellStarted
    | WantLoad
    | DropWant
    | ReturnGrant
    | ResidencyChanged
    | HomeLost
)
