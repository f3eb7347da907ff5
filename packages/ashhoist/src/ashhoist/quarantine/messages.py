"""What requests tell the control task of how their attempts ended."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestCut:
    """An upstream broke off under a request.

    Parameters
    ----------
    request : str
        Its fingerprint.
    life : str
        Names the upstream and its start.
    """

    request: str
    life: str


@dataclass(frozen=True, slots=True)
class RequestWhole:
    """A request that upstreams had broken off under was answered whole."""

    request: str
