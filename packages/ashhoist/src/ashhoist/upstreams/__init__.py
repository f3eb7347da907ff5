"""Discovery, health, limits and load balancing of upstreams."""

from .backoffs import Backoffs
from .balance import Balancer
from .departures import UpstreamLeaving
from .directory import Directory, DirectoryView, Upstream, UpstreamState
from .health import Health
from .lapses import LapsedEnds
from .limits import RateLimits, StatedLimit
from .rejections import RejectionLimits, UpstreamFull
from .sends import NOT_GRANTED, Permit, PermitRequest

__all__ = [
    "NOT_GRANTED",
    "Balancer",
    "Directory",
    "DirectoryView",
    "Health",
    "LapsedEnds",
    "StatedLimit",
    "Permit",
    "PermitRequest",
    "RateLimits",
    "RejectionLimits",
    "Backoffs",
    "Upstream",
    "UpstreamFull",
    "UpstreamLeaving",
    "UpstreamState",
]
