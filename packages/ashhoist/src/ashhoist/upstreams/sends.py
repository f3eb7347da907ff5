"""What requests and the control task tell each other of sends to limited upstreams."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Permit:
    """Whether a request may be sent to an upstream that has named a limit.

    Parameters
    ----------
    granted : bool
        It holds for one send, now.
    wait : timedelta
        When it is worth asking again; 0 if it is granted.
    """

    granted: bool
    wait: timedelta = timedelta()


NOT_GRANTED = Permit(False, timedelta(milliseconds=300))
"""Where nobody grants: it is about as long until somebody does again."""


@dataclass(frozen=True, slots=True)
class PermitWanted:
    """Ask whoever leads for one send to a limited upstream."""

    upstream_id: str
    answer: "Future[Permit]" = field(default_factory=Future)
