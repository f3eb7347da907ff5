"""What the core needs from the outside, as an interface.

The tasks of the daemon implement it with sockets; tests implement it with small
fakes. Nothing here waits: results come back to the core as calls.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any, Protocol

from .actions import Order
from .claims import Authority
from .failures import Failure
from .types import AdapterVersion, Job, Priority

JobId = tuple[str, int]


class AppendResult(StrEnum):
    """What is known about an append once its call has ended."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request after the checks at the border.

    Parameters
    ----------
    model : str
        ``adapter`` or ``adapter@version``; empty for a plain service.
    service : str
        Name of a plain service; empty for an adapter.
    timeout : timedelta
        How long the caller will wait in all.
    key : str
        Key of a request that is not repeatable.
    """

    request_id: str
    model: str = ""
    service: str = ""
    method: str = "POST"
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: bool = False
    priority: Priority | None = None
    timeout: timedelta = timedelta(seconds=30)
    repeatable: bool = True
    key: str = ""
    tokens: int = 64


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The answer begins."""

    status: int
    headers: dict[str, str]
    upstream: str
    adapter: AdapterVersion | None


@dataclass(frozen=True, slots=True)
class ReplyData:
    """A piece of the answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ReplyEnd:
    """The answer was whole."""


@dataclass(frozen=True, slots=True)
class ReplyFailure:
    """There is no whole answer."""

    failure: Failure


Reply = ReplyHead | ReplyData | ReplyEnd | ReplyFailure


class Outside(Protocol):
    """Carries out what the core decides."""

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; return False if there is no link."""

    def drop(self, peer: str) -> None:
        """Close the link to an instance that is silent."""

    def follow(self, stream: str, offset: int) -> None:
        """Read a stream of the log from an offset on; `Instance.records` follows."""

    def append(self, stream: str, operation: str, record: dict[str, Any]) -> None:
        """Append a record to a stream of the log; `Instance.appended` follows."""

    def dispatch(self, job: Job, address: str) -> None:
        """Send a job to its upstream."""

    def resume(self, job: Job, address: str, index: int) -> None:
        """Go on with a stream of an engine from an event number."""

    def cancel(self, job: Job, address: str) -> None:
        """Cancel a job that an upstream may be running."""

    def pause(self, job_id: JobId, paused: bool) -> None:
        """Stop or go on reading a job's answer."""

    def send_order(self, order: Order, address: str, authority: Authority) -> None:
        """Send an order to an engine; `Instance.order_done` follows.

        The authority is checked again right before the order leaves.
        """

    def read_engine(self, upstream: str, address: str, token: int, number: int) -> None:
        """Read an engine back; `Instance.engine_state` follows."""

    def reply(self, request_id: str, reply: Reply) -> None:
        """Hand a piece of the answer to the caller's connection."""

    def count(self, metric: str, *labels: str) -> None:
        """Count one event."""

    def observe(self, metric: str, value: float) -> None:
        """Take one measured value."""
