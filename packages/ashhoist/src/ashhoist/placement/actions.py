"""The actions that the scheduler emits, and one kind of its input."""

from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..failures import Reason
from ..orders.order import Order
from .pending_requests import PendingRequest


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Fetch an engine's report of what it holds."""

    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class Placed:
    """A request may be sent to an engine.

    Parameters
    ----------
    expected : timedelta
        The expected time to first token.
    permitted : bool
        Whether the engine has a rate limit and a permit was taken for this send.
    """

    request: PendingRequest
    upstream: str
    version: int
    expected: timedelta
    permitted: bool = False


@dataclass(frozen=True, slots=True)
class RequestQueued:
    """A request was queued until an engine serves its adapter."""

    request: PendingRequest


@dataclass(frozen=True, slots=True)
class Refused:
    """A queued request is refused."""

    request: PendingRequest
    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class ServedAdaptersChanged:
    """The set of adapters that an engine serves has changed.

    Parameters
    ----------
    served : dict of Adapter to int
        The versions of all adapters that it serves now.
    """

    upstream: str
    served: dict[Adapter, int]


SchedulerAction = (
    Order | FetchReport | Placed | RequestQueued | Refused | ServedAdaptersChanged
)


@dataclass(frozen=True, slots=True)
class DirectSend:
    """A request that an instance has sent to an engine without asking the scheduler."""

    upstream: str
    adapter: Adapter
    tokens: int
