"""Messages for permits to send requests to rate-limited upstreams.

Request handling asks the control task for a permit before each such request.
"""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Permit:
    """Whether one request may be sent to a rate-limited upstream.

    Parameters
    ----------
    granted : bool
        Whether one request may be sent now.
    wait : timedelta
        Time after which to ask again; 0 if the permit is granted.
    """

    granted: bool
    wait: timedelta = timedelta()


NOT_GRANTED = Permit(False, timedelta(milliseconds=300))
"""The answer if no instance grants permits at present. The wait is about the time until
one does again."""


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request to the leader for a permit to send one request to a limited upstream."""

    upstream_id: str
    answer: "Future[Permit]" = field(default_factory=Future)
