"""The serving configuration as data classes, already checked at the border."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..customers import Customer


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go.

    Parameters
    ----------
    host : str
        In lower case.
    path_prefix : str
        Begins and ends with a slash.
    timeout : timedelta
        How long a request is held at most.
    aim : timedelta
        Time within which an answer is worth most.
    attempts : int
        To how many upstreams one request may be sent.
    priority : int
        0 is the most urgent.
    longest_pause : timedelta
        Between two events of a stream that is still in time.
    caller_patience : timedelta or None
        How long the caller of a stream waits for the next event, the first one
        too, before it leaves; None if only the time counts.
    public : bool
        Whether requests need no customer's key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: timedelta
    aim: timedelta
    attempts: int = 1
    priority: int = 0
    resumable: bool = False
    longest_pause: timedelta = timedelta(seconds=1)
    caller_patience: timedelta | None = None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def streams(self) -> bool:
        """Return whether answers are series of events."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A base model that the engines of a service may hold.

    Parameters
    ----------
    size_mb, adapter_mb : float
        Megabytes of the weights and of one adapter.
    load_time : timedelta
        From the weight store, at full speed.
    """

    name: str
    size_mb: float
    load_time: timedelta
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """What the model engines of a service can do.

    Parameters
    ----------
    batch : int
        Requests that run at once.
    memory_mb : float
        For weights and adapters together.
    adapter_places : int
        Adapters that an engine can hold at once.
    loads_per_second : float
        That the weight store allows, over all engines.
    host_memory_mb : float
        For copies of weights outside the engine's own memory.
    """

    models: dict[str, EngineModel]
    batch: int
    memory_mb: float
    adapter_places: int
    loads_per_second: float
    host_memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that answer the same requests."""

    name: str
    health_path: str = ""
    most_connections: int = 100
    engine: EngineSettings | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class ServingConfiguration:
    """One version of the whole, in force from the moment it is known.

    Parameters
    ----------
    customers : tuple of Customer
        If there are none, anybody may call every route.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: Limits = Limits()
    customers: tuple[Customer, ...] = ()

    def engine_services(self) -> dict[str, EngineSettings]:
        """Return the settings of all services of model engines, by name."""
        return {
            name: service.engine
            for name, service in self.services.items()
            if service.engine is not None
        }
