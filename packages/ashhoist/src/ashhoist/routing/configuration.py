"""The serving configuration as data classes; values are validated when decoded."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..customers import Customer


class RouteKind(StrEnum):
    """Which requests on a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its relative share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path prefix are sent.

    Parameters
    ----------
    host : str
        In lower case.
    path_prefix : str
        Begins and ends with a slash.
    timeout : timedelta
        Maximum time that a request is held.
    target_latency : timedelta
        Target latency; an answer within it is worth most.
    attempts : int
        Maximum number of upstreams that one request may be sent to.
    priority : int
        0 is the most urgent.
    target_event_gap : timedelta
        Longest pause between two events of a stream that still counts as in time.
    caller_event_timeout : timedelta or None
        How long the caller of a stream waits for each event, including the first,
        before it disconnects; None if only the timeout matters.
    public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: timedelta
    target_latency: timedelta
    attempts: int = 1
    priority: int = 0
    resumable: bool = False
    target_event_gap: timedelta = timedelta(seconds=1)
    caller_event_timeout: timedelta | None = None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def streams(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A base model that the engines of a service can load.

    Parameters
    ----------
    size_mb, adapter_mb : float
        Size of the weights and of one adapter, in megabytes.
    load_time : timedelta
        Time to load the weights from the weight store at full speed.
    """

    name: str
    size_mb: float
    load_time: timedelta
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity of the model engines of a service.

    Parameters
    ----------
    batch : int
        Requests that one engine runs concurrently.
    memory_mb : float
        Memory for weights and adapters together.
    adapter_slot_count : int
        Adapters that one engine can hold at a time.
    loads_per_second : float
        Loads that the weight store allows, over all engines.
    host_memory_mb : float
        Memory for copies of weights outside the engine's own memory.
    """

    models: dict[str, EngineModel]
    batch: int
    memory_mb: float
    adapter_slot_count: int
    loads_per_second: float
    host_memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests."""

    name: str
    health_path: str = ""
    max_connections: int = 100
    engine: EngineSettings | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what callers may send."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class ServingConfiguration:
    """One version of the complete configuration, active as soon as it is known.

    Parameters
    ----------
    customers : tuple of Customer
        If there are none, anyone may call every route.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: Limits = Limits()
    customers: tuple[Customer, ...] = ()

    def engine_services(self) -> dict[str, EngineSettings]:
        """Return the settings of all model engine services, by service name."""
        return {
            name: service.engine
            for name, service in self.services.items()
            if service.engine is not None
        }
