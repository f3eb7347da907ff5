"""Messages from request handling to the control task."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectivityChanged:
    """The connectivity to upstreams was lost, or is back."""

    is_cut_off: bool


@dataclass(frozen=True, slots=True)
class UpstreamsUnreachable:
    """Connections to upstreams were tried in vain."""
