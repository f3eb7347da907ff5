"""Orders to engines, their outcomes, and the state that engines report."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..adapter import Adapter


class OrderKind(StrEnum):
    """The operation that an engine is ordered to perform."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload an adapter on one engine.

    Parameters
    ----------
    upstream : str
        Id of the engine's current incarnation; a different one rejects the order.
    expected : int
        The engine's order count for which the order is valid. An order that arrives
        after a newer one was executed no longer matches and has no effect.
    version : int or None
        Version of the adapter; None requests the newest.
    zone : str
        Availability zone of the engine. The holder of that zone's lease sends the
        order.
    number : int
        Identifies the order within the instance that created it.
    origin : str
        The instance that created the order.
    holder, fence : str, int
        Lease holder and fencing token; set by the holder when it sends the order.
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
    """The outcome of an order, as far as it is known after the exchange."""

    ACCEPTED = "accepted"
    """The engine has started to execute the order."""
    ALREADY_DONE = "holds"
    """The engine is already in the requested state."""
    CONFLICT = "conflict"
    """Not executed: the order count differs, or the engine has too many operations in
    progress."""
    REFUSED = "refused"
    """Rejected permanently; sending the same order again is pointless."""
    FENCED = "fenced"
    """Not executed: the engine has seen a higher fencing token."""
    NOT_SENT = "not_sent"
    """No byte of the order was sent."""
    UNKNOWN = "unknown"
    """The order was sent but not answered. It may have been executed, may be executed
    later, or may never be executed."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """An engine's reply to an order.

    Parameters
    ----------
    leaving : bool
        Whether the engine has announced that it is shutting down.
    limit : float or None
        The engine's rate limit in requests per second; None if it stated none.
    """

    answer: OrderAnswer
    leaving: bool = False
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reported; it may be slightly out of date.

    Parameters
    ----------
    order_count : int
        How many orders the engine has accepted.
    models, model_copies : tuple of str
        Base models that are loaded, and those of which the engine keeps a local copy.
    adapters, loading : dict
        Adapters that are loaded and adapters that are being loaded, with their
        versions.
    born : int
        Start time in Unix milliseconds; 0 if the engine does not report it.
    leaving : bool
        Whether the engine is shutting down and accepts no new work.
    limit : float or None
        The engine's rate limit in requests per second; None if it stated none.
    """

    order_count: int
    models: tuple[str, ...] = ()
    model_copies: tuple[str, ...] = ()
    adapters: dict[Adapter, int] = field(default_factory=dict)
    loading: dict[Adapter, int] = field(default_factory=dict)
    busy: bool = False
    running: int = 0
    waiting: int = 0
    born: int = 0
    leaving: bool = False
    limit: float | None = None
