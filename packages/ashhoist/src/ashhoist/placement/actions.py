"""The actions that the scheduler emits, and one kind of its input."""

from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..failures import Reason
from ..orders.order import Order
from .wants import Want


@dataclass(frozen=True, slots=True)
class AskReport:
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

    want: Want
    upstream: str
    version: int
    expected: timedelta
    permitted: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """A request was queued until an engine serves its adapter."""

    want: Want


@dataclass(frozen=True, slots=True)
class Refused:
    """A queued request is refused."""

    want: Want
    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class Serving:
    """The set of adapters that an engine serves has changed.

    Parameters
    ----------
    held : dict of Adapter to int
        The versions of all adapters that it serves now.
    """

    upstream: str
    held: dict[Adapter, int]


SchedulerAction = Order | AskReport | Placed | Held | Refused | Serving


@dataclass(frozen=True, slots=True)
class Beginning:
    """A request that an instance has sent to an engine without asking the scheduler."""

    upstream: str
    adapter: Adapter
    tokens: int
