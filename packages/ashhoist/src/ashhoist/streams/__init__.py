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
from .served_versions import VERSIONS_KEY_PREFIX, MalformedVersionsError, ServedVersions
from .software_versions import SeenVersion, ServiceVersion, SoftwareVersions

__all__ = [
    "BegunStream",
    "BegunStreams",
    "FoundVersion",
    "VERSIONS_KEY_PREFIX",
    "MalformedVersionsError",
    "SeenVersion",
    "ServedVersions",
    "ServiceVersion",
    "SoftwareVersions",
    "StreamBegan",
    "StreamLifetime",
    "VersionLookup",
    "VersionLookupTimedOut",
    "VersionSource",
]
