"""What the steps of a call result in: the choice of an upstream, and an attempt.

The results of an attempt state what is known for certain: the upstream did not run the
request, may have run it, or has answered.
"""

from dataclasses import dataclass

from ..failures import Reason
from ..http import Head, UpstreamConnection
from ..placement.messages import Refusal, Target

NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
"""Statuses with which an upstream can refuse a request without having run it."""
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses with which an instance promises that a request has not run."""
MISDIRECTED_STATUS = 421
"""The address belongs to an upstream other than the intended one. Whatever process has
the address now sends it, so announcements that come with it are ignored."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream is certain not to have run the request.

    Parameters
    ----------
    reached_upstream : bool
        True if the request reached the upstream, which refused it.
    """

    reason: Reason
    reached_upstream: bool
    head: Head | None = None
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was sent, and nothing proves that it was not run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response, successful or not."""

    head: Head
    body: bytes


@dataclass(frozen=True, slots=True)
class Streaming:
    """An event stream has begun; its head has been read from `connection`."""

    head: Head
    connection: UpstreamConnection


class CallerLeft:
    """The caller closed its connection, so the attempt was aborted."""


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The call's deadline passed before the response; the request may have run."""


Choice = Target | Refusal | CallerLeft | OutOfTime
"""The upstream that a call is sent to next, or why there is none."""
Result = NotRun | MayHaveRun | Answered | Streaming | CallerLeft | OutOfTime
"""The result of an attempt."""
