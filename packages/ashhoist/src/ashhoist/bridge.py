"""The typed messages that the tasks of an instance send to its core task."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

from .actions import Order, OrderResult
from .configuration import Change, Event
from .failures import Failure
from .home import EngineState
from .outside import AppendResult, CallerRequest, JobId, Reply
from .types import Endpoint, Job


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller's request. Replies go to `replies`, a queue."""

    request: CallerRequest
    replies: Any


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a request has gone."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Consumed:
    """The caller has taken so many bytes."""

    request_id: str
    count: int


@dataclass(frozen=True, slots=True)
class DispatchHead:
    """The head of an upstream's answer."""

    job_id: JobId
    status: int
    headers: dict[str, str]
    incarnation: str


@dataclass(frozen=True, slots=True)
class DispatchData:
    """A piece of an upstream's answer."""

    job_id: JobId
    index: int
    count: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DispatchDone:
    """The end of an upstream's answer."""

    job_id: JobId
    count: int
    failure: Failure | None


@dataclass(frozen=True, slots=True)
class ResumedData:
    """A piece of a stream that the entry reads from the engine itself."""

    job: Job
    index: int
    count: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ResumedDone:
    """The end of a stream that the entry reads from the engine itself."""

    job: Job
    count: int
    failure: Failure | None


@dataclass(frozen=True, slots=True)
class OrderDone:
    """How an order ended."""

    order: Order
    result: OrderResult


@dataclass(frozen=True, slots=True)
class EngineRead:
    """An engine's state, or None if it did not answer."""

    upstream: str
    state: EngineState | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records of a stream of the log, in offset order."""

    stream: str
    records: list[tuple[int, Any]]
    at_end: bool


@dataclass(frozen=True, slots=True)
class Appended:
    """How an append ended."""

    stream: str
    operation: str
    result: AppendResult


@dataclass(frozen=True, slots=True)
class Listed:
    """The platform's instance list."""

    endpoints: list[Endpoint]


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """An operator's change. The future gets a `Decision` or a `Failure`."""

    change: Change
    decided: "Future[Any]"


@dataclass(frozen=True, slots=True)
class Read:
    """Run a read-only function on the core's state; the future gets its result."""

    function: Any
    result: "Future[Any]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class Watch:
    """Begin a watch. The future gets its number, or None if it is too old."""

    after: int | None
    events: Any
    number: "Future[int | None]"


@dataclass(frozen=True, slots=True)
class Unwatch:
    """End a watch."""

    number: int


@dataclass(frozen=True, slots=True)
class StopOnPlan:
    """Begin a planned stop."""


__all__ = [
    "Appended",
    "CallerLeft",
    "ChangeConfiguration",
    "Consumed",
    "DispatchData",
    "DispatchDone",
    "DispatchHead",
    "EngineRead",
    "Event",
    "Listed",
    "OrderDone",
    "Read",
    "Records",
    "Reply",
    "ResumedData",
    "ResumedDone",
    "StopOnPlan",
    "Submit",
    "Unwatch",
    "Watch",
]
