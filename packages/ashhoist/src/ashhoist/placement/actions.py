"""What the scheduler wants done, and what it is told of requests."""

from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..failures import Reason
from ..orders.order import Order
from .wants import Want


@dataclass(frozen=True, slots=True)
class AskReport:
    """Ask an engine what it holds."""

    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class Placed:
    """A request may be sent; its first token should come after `expected`.

    Parameters
    ----------
    permitted : bool
        Whether the engine has named a limit, and this send is within it.
    """

    want: Want
    upstream: str
    version: int
    expected: timedelta
    permitted: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """A request waits for its adapter."""

    want: Want


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that waited is given up on."""

    want: Want
    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class Serving:
    """An engine serves other adapters than before."""

    upstream: str
    held: dict[Adapter, int]


SchedulerAction = Order | AskReport | Placed | Held | Refused | Serving


@dataclass(frozen=True, slots=True)
class Beginning:
    """A request that an instance has sent by itself."""

    upstream: str
    adapter: Adapter
    tokens: int
