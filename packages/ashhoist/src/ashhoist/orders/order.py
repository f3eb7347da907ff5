"""An order to an engine, its answers, and what an engine reports of itself."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..adapter import Adapter


class OrderKind(StrEnum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """One order.

    Parameters
    ----------
    upstream : str
        The engine's present life; another one refuses the order.
    expected : int
        The engine's order count at which alone the order is valid, so that an
        order that is carried out late changes nothing once a newer one was.
    version : int or None
        Of the adapter; None asks for the newest.
    zone : str
        The engine's; whoever holds that zone's lease sends the order.
    number : int
        Names the order at the instance that decided on it.
    origin : str
        That instance.
    holder, fence : str, int
        Filled in by the holder of the lease.
    """

    upstream: str
    address: str
    kind: OrderKind
    adapter: Adapter
    expected: int
    version: int | None = None
    zone: str = ""
    number: int = 0
    origin: str = ""
    holder: str = ""
    fence: int = -1


class OrderAnswer(StrEnum):
    """What is known of an order once its exchange has ended."""

    ACCEPTED = "accepted"
    """It is being carried out."""
    HOLDS = "holds"
    """What it asks for is so."""
    CONFLICT = "conflict"
    """Another order count, or too much under way; nothing was done."""
    REFUSED = "refused"
    """It will never be carried out in this form."""
    FENCED = "fenced"
    """The engine has seen a higher fencing token; it was not carried out."""
    NOT_SENT = "not_sent"
    """No byte has left."""
    UNKNOWN = "unknown"
    """It was sent and got no answer: done, done later, or never."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """What an exchange about an order has told.

    Parameters
    ----------
    leaves : bool
        The engine has said that it is going to end.
    limit : float or None
        The requests a second that it takes; None if it named no limit.
    """

    answer: OrderAnswer
    leaves: bool = False
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says it holds, as it stood a little while ago.

    Parameters
    ----------
    order_count : int
        How many orders it has taken.
    models, model_copies : tuple of str
        Base models that it holds, and those it has copies of close by.
    adapters, coming : dict
        Versions by adapter.
    born : int
        When it started, in Unix milliseconds; 0 if it does not say.
    leaves : bool
        It is going to end and takes no new work.
    limit : float or None
        The requests a second that it takes; None if it named no limit.
    """

    order_count: int
    models: tuple[str, ...] = ()
    model_copies: tuple[str, ...] = ()
    adapters: dict[Adapter, int] = field(default_factory=dict)
    coming: dict[Adapter, int] = field(default_factory=dict)
    busy: bool = False
    running: int = 0
    waiting: int = 0
    born: int = 0
    leaves: bool = False
    limit: float | None = None
