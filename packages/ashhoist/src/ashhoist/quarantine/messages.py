"""Messages from request handling to the control task about the end of attempts."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RequestInterrupted:
    """An upstream broke off while it was handling a request.

    Parameters
    ----------
    request : str
        Fingerprint of the request.
    incarnation : str
        Identifies the incarnation of the upstream; see `Upstream.incarnation`.
    parts : tuple of str
        Names of the parts of its prompt that may have crashed the upstream.
    """

    request: str
    incarnation: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request that upstreams had broken off before was answered completely.

    Parameters
    ----------
    request : str
        Fingerprint of the request, or the name of a part of its prompt.
    """

    request: str


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """An upstream that had broken off requests has answered one completely.

    Parameters
    ----------
    incarnation : str
        Identifies the incarnation of the upstream; see `Upstream.incarnation`.
    sent_at : timedelta
        When the answered request was sent, on the monotonic clock.
    """

    incarnation: str
    sent_at: timedelta
