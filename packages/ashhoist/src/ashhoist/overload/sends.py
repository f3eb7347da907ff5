"""Messages from request handling to the control task about sends to plain services."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta

from .messages import AttemptOutcome


@dataclass(frozen=True, slots=True)
class SendGranted:
    """One send to an upstream has been granted."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class SendRefused:
    """The request can't be served in time."""

    retry_after: timedelta


SendAnswer = SendGranted | SendRefused | None
"""None if nobody decides: the instance chooses an upstream itself."""


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Ask the leader to which upstream of a contended service a request may be sent.

    Parameters
    ----------
    number : int
        Identifies the query and the grant; unique within this instance.
    on_time_until, deadline : timedelta
        As in `AdmissionRequest`.
    excluded : frozenset of str
        Ids of the upstreams that the request can't be sent to.
    acknowledged : Future
        Done once the leader has acknowledged that the request is queued there.
    """

    number: int
    service: str
    fingerprint: str
    customer: str
    priority: int
    on_time_until: timedelta
    deadline: timedelta
    excluded: frozenset[str]
    answer: "Future[SendAnswer]" = field(default_factory=Future)
    acknowledged: "Future[None]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class SendCancelled:
    """A query is no longer waited for, or its grant is not used."""

    number: int


@dataclass(frozen=True, slots=True)
class SendEnded:
    """A send that was granted has ended."""

    number: int
    outcome: AttemptOutcome
    took: timedelta


@dataclass(frozen=True, slots=True)
class ServiceOverloaded:
    """An upstream of a plain service has refused a request as full."""

    service: str
