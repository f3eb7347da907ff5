"""Copies of busy adapters that are under way, and the orders for them."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..adapter import Adapter
from .engine import Engine


class CopyResult(StrEnum):
    """What has become of a copy."""

    STARTED = "started"
    SERVED = "served"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class AdapterCopy:
    """A copy of an adapter that is under way.

    Parameters
    ----------
    served_by : int
        The number of engines that served the adapter when the copy was decided on.
    """

    service: str
    adapter: Adapter
    version: int
    engine: Engine
    started_at: timedelta
    cold: bool
    served_by: int


@dataclass(frozen=True, slots=True)
class CopyOrder:
    """An order to send for a copy: to unload `evict`, or else to load the adapter."""

    copy: AdapterCopy
    evict: Adapter | None = None


@dataclass(slots=True)
class ReplicationPlan:
    """What to do for the copies of busy adapters now.

    Parameters
    ----------
    orders : list of CopyOrder
        Orders to send; at most one for each engine.
    changes : list of tuple
        Copies that were started or have ended, with the result.
    """

    orders: list[CopyOrder] = field(default_factory=list)
    changes: list[tuple[AdapterCopy, CopyResult]] = field(default_factory=list)
