"""Failures as values: each has a reason, an outcome, a step and a peer.

A function that can fail in an expected way returns a `Failure` in place of its
result. Exceptions are kept for the command line and the settings (see
`exceptions`) and for defects.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum


class Outcome(StrEnum):
    """What is known about a request once its caller has been answered."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """The step at which a failure arose."""

    RECEIVE = "receive"
    AUTHENTICATE = "authenticate"
    RESOLVE = "resolve"
    ADMIT = "admit"
    ROUTE = "route"
    QUEUE = "queue"
    RECORD_KEY = "record_key"
    LOAD = "load"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    CONFIGURE = "configure"


class Reason(StrEnum):
    """Why something was refused, failed or retried. One counter for each."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_SENDER = "slow_sender"
    UNAUTHORIZED = "unauthorized"
    KEY_REMOVED = "key_removed"
    KEYS_NOT_CURRENT = "keys_not_current"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    OVER_QUOTA = "over_quota"
    QUOTA_UNKNOWN = "quota_unknown"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SERVICE = "unknown_service"
    NO_UPSTREAM = "no_upstream"
    NO_UPSTREAM_OF_VERSION = "no_upstream_of_version"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    NO_HOME = "no_home"
    NO_ORDERS = "no_orders"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    UPSTREAMS_CUT_OFF = "upstreams_cut_off"
    INSTANCE_REFUSED = "instance_refused"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAMS_REST = "upstreams_rest"
    UPSTREAMS_LIMITED = "upstreams_limited"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RESTARTED = "upstream_restarted"
    NOT_RESIDENT = "not_resident"
    LOAD_FAILED = "load_failed"
    ANSWER_CUT = "answer_cut"
    HOME_LOST = "home_lost"
    HOME_MOVED = "home_moved"
    CALLER_LEFT = "caller_left"
    REPEATED_KEY = "repeated_key"
    KEY_REQUIRED = "key_required"
    LOG_UNAVAILABLE = "log_unavailable"
    RETRY_BUDGET = "retry_budget"
    NO_PLACE = "no_place"
    CONFLICT = "conflict"
    IN_USE = "in_use"
    INVALID = "invalid"
    UNSETTLED = "unsettled"
    BAD_FRAME = "bad_frame"
    STALE_FENCE = "stale_fence"
    TIMEOUT = "timeout"


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_ADAPTER: 404,
    Reason.UNKNOWN_VERSION: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.SLOW_SENDER: 408,
    Reason.REPEATED_KEY: 409,
    Reason.CONFLICT: 409,
    Reason.IN_USE: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.INVALID: 422,
    Reason.QUEUE_FULL: 429,
    Reason.OVERLOADED: 429,
    Reason.UPSTREAM_ERROR: 502,
    Reason.ANSWER_CUT: 502,
    Reason.UPSTREAM_RESTARTED: 502,
    Reason.HOME_LOST: 502,
    Reason.DEADLINE: 504,
    Reason.TIMEOUT: 504,
}
DEFAULT_STATUS = 503


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure as a value.

    Parameters
    ----------
    reason : Reason
        Why it failed.
    outcome : Outcome
        What is known about whether the work ran.
    step : Step
        Where on the path it failed.
    peer : str
        The instance, upstream or platform service at which it failed.
    detail : str
        One sentence for a person.
    retry_after : timedelta or None
        When to come back, where that is known.
    """

    reason: Reason
    outcome: Outcome
    step: Step
    peer: str = ""
    detail: str = ""
    retry_after: timedelta | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status that stands for the reason."""
        return HTTP_STATUS.get(self.reason, DEFAULT_STATUS)


def not_run(
    reason: Reason,
    step: Step,
    peer: str = "",
    detail: str = "",
    retry_after: timedelta | None = None,
) -> Failure:
    """Return the failure of a request that no upstream has run."""
    return Failure(reason, Outcome.NOT_RUN, step, peer, detail, retry_after)
