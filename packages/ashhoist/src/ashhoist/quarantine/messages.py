"""Messages from request handling to the control task about the end of attempts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestInterrupted:
    """An upstream broke off while it was handling a request.

    Parameters
    ----------
    request : str
        Fingerprint of the request.
    incarnation : str
        Identifies the incarnation of the upstream; see `Upstream.incarnation`.
    """

    request: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request that upstreams had broken off before was answered completely."""

    request: str
