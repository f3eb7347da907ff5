"""The upstreams: which exist, which are well, which takes a plain request."""

from .balance import Balancer
from .directory import Directory, Upstream, UpstreamState
from .health import Health
from .lapses import Lapses

__all__ = ["Balancer", "Directory", "Health", "Lapses", "Upstream", "UpstreamState"]
