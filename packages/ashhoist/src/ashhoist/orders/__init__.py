"""Orders to engines, their results, and the lease that permits sending them."""

from .lease import (
    AppendClaim,
    Claim,
    Lease,
    LeaseAction,
    LeaseTiming,
    ReadClaims,
)
from .order import EngineReport, Order, OrderAnswer, OrderKind, OrderReply

__all__ = [
    "AppendClaim",
    "Claim",
    "EngineReport",
    "Lease",
    "LeaseAction",
    "LeaseTiming",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "OrderReply",
    "ReadClaims",
]
