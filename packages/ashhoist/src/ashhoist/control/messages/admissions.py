"""Messages for the admission of requests to contended services.

Peers of the first protocol revision do not know them, so nothing is sent to those.
"""

from dataclasses import dataclass

from ...codec import message

ADMISSION_REVISION = 2
"""The protocol revision that introduced these messages."""


@message(77, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionQuery:
    """Request admission to a contended service for one send.

    Parameters
    ----------
    number : int
        Chosen by the sender; repeated in the answers.
    priority : int
        The priority of the route.
    target_left_ms, deadline_left_ms : int
        Milliseconds until the end of the target latency and until the deadline.
    excluded : list
        Ids of the upstreams that the request can't be sent to.
    """

    number: int
    service: str
    fingerprint: str
    customer: str
    priority: int
    target_left_ms: int
    deadline_left_ms: int
    zone: str
    excluded: list


@message(78, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionQueued:
    """Response to `AdmissionQuery`: it is queued and will be decided later."""

    number: int


@message(79, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionGrant:
    """Decision on `AdmissionQuery`: the request may be sent to this upstream."""

    number: int
    upstream: str


@message(80, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Decision on `AdmissionQuery`: the caller should come back later."""

    number: int
    retry_after_ms: int


@message(81, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionEnded:
    """Ends of admitted requests, as ``[number, outcome, took_ms]`` lists."""

    rows: list


@message(82, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class AdmissionCancelled:
    """The request is not sent on this grant, or no longer waits for one."""

    number: int


@message(83, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class OverloadReport:
    """An upstream of a plain service has refused a request as full."""

    service: str


@message(84, ADMISSION_REVISION)
@dataclass(frozen=True, slots=True)
class ContentionNotice:
    """The services that the leader admits requests to, for a short time.

    Parameters
    ----------
    epoch : int
        The scheduling epoch of the sender.
    services : list
        Names of all contended services; empty when there are none any more.
    """

    epoch: int
    services: list
