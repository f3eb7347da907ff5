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
