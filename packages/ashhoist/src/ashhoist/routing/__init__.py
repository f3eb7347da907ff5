"""What is in force: routes, services, limits; which route a request takes."""

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
