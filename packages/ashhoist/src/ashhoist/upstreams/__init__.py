"""Discovery, health, limits and load balancing of upstreams."""

from .balance import Balancer
from .directory import Directory, Upstream, UpstreamLeaves, UpstreamState
from .health import Health
from .lapses import Lapses
from .limits import NamedLimit, RateLimits
from .rests import Rests
from .sends import NOT_GRANTED, Permit, PermitWanted

__all__ = [
    "NOT_GRANTED",
    "Balancer",
    "Directory",
    "Health",
    "Lapses",
    "NamedLimit",
    "Permit",
    "PermitWanted",
    "RateLimits",
    "Rests",
    "Upstream",
    "UpstreamLeaves",
    "UpstreamState",
]
