"""Streams that have begun, and the software versions that they began at."""

from .begun import BegunStream, BegunStreams
from .lifetime import StreamLifetime
from .messages import (
    FoundVersion,
    StreamBegan,
    VersionLookup,
    VersionLookupTimedOut,
    VersionSource,
)
from .software_versions import SeenVersion, ServiceVersion, SoftwareVersions

__all__ = [
    "BegunStream",
    "BegunStreams",
    "FoundVersion",
    "SeenVersion",
    "ServiceVersion",
    "SoftwareVersions",
    "StreamBegan",
    "StreamLifetime",
    "VersionLookup",
    "VersionLookupTimedOut",
    "VersionSource",
]
