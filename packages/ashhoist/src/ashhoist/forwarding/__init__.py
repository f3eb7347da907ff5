"""Forwarding of requests through another instance while no upstream can be reached."""

from .connectivity import Connectivity
from .instances import ForwardingInstance, ForwardingInstances
from .messages import ConnectivityChanged, UpstreamsUnreachable
from .probes import ConnectivityProbes

__all__ = [
    "Connectivity",
    "ConnectivityChanged",
    "ConnectivityProbes",
    "ForwardingInstance",
    "ForwardingInstances",
    "UpstreamsUnreachable",
]
