"""The active configuration: routes, services and limits, and route lookup."""

from .configuration import (
    EngineModel,
    EngineSettings,
    Limits,
    Route,
    RouteKind,
    Service,
    ServingConfiguration,
    WeightedService,
)
from .table import RouteTable

__all__ = [
    "EngineModel",
    "EngineSettings",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServingConfiguration",
    "WeightedService",
]
