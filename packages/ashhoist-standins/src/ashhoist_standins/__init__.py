"""Stand-ins of the outside systems, for the demo, benches and others' tests.

Each has a model without sockets, driven by a clock, and an HTTP server around
it. Their protocol is written down in ``docs/peers.md``.
"""

from .engine import EngineModel, EngineServer, EngineTiming
from .instance_list import InstanceListServer
from .log_service import LogModel, LogServer
from .plain_service import PlainServiceServer
from .weight_store import WeightStoreModel, WeightStoreServer

__all__ = [
    "EngineModel",
    "EngineServer",
    "EngineTiming",
    "InstanceListServer",
    "LogModel",
    "LogServer",
    "PlainServiceServer",
    "WeightStoreModel",
    "WeightStoreServer",
]
