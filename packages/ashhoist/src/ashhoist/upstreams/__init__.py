"""Discovery, health, limits and load balancing of upstreams."""

from .backoffs import Backoffs
from .balance import Balancer
from .directory import Directory, Upstream, UpstreamLeaving, UpstreamState
from .health import Health
from .lapses import LapsedEnds
from .limits import RateLimits, StatedLimit
from .sends import NOT_GRANTED, Permit, PermitRequest

__all__ = [
    "NOT_GRANTED",
    "Balancer",
    "Directory",
    "Health",
    "LapsedEnds",
    "StatedLimit",
    "Permit",
    "PermitRequest",
    "RateLimits",
    "Backoffs",
    "Upstream",
    "UpstreamLeaving",
    "UpstreamState",
]
