"""Requests for admission and the decisions about them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

RequestKey = tuple[str, int]
"""The instance that holds the request, and the number that it has given to it."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that waits for admission to an upstream of a contended service.

    Parameters
    ----------
    fingerprint : str
        Equal for all attempts of the same request, at any instance.
    customer : str
        The name of the customer; empty where there are none.
    priority : int
        The priority of the route; 0 is the most urgent.
    on_time_until : timedelta
        Until when an answer counts as on time, on the monotonic clock.
    deadline : timedelta
        The deadline, after which an answer has no value.
    zone : str
        The availability zone of the instance.
    excluded : frozenset of str
        Ids of the upstreams that the request can't be sent to.
    """

    key: RequestKey
    fingerprint: str
    customer: str
    priority: int
    on_time_until: timedelta
    deadline: timedelta
    zone: str = ""
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to an upstream."""

    request: AdmissionRequest
    upstream_id: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request can't be served in time.

    Parameters
    ----------
    retry_after : timedelta
        After what time its caller should come back.
    reserved : bool
        Whether capacity is reserved for the caller then. If not, `retry_after` is the
        longest time that callers honour.
    """

    request: AdmissionRequest
    retry_after: timedelta
    reserved: bool


Decision = Admitted | Rejected


class AttemptOutcome(StrEnum):
    """How an attempt at an upstream has ended.

    `REFUSED` means that the upstream has certainly not run the request.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
