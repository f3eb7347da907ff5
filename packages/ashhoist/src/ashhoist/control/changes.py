"""Changes that records of the log decode to."""

from dataclasses import dataclass

from ..adapter import Adapter
from ..routing import ServingConfiguration
from ..store import Position
from ..upstreams import Upstream


@dataclass(frozen=True, slots=True)
class ConfigurationPut:
    """A complete serving configuration."""

    configuration: ServingConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """A record with an invalid configuration; the one in force stays in force.

    Parameters
    ----------
    why : str
        Names the invalid fields, but never their values.
    """

    key: str
    why: str


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """The version of an adapter that requests must be served with from now on."""

    adapter: Adapter
    version: int


@dataclass(frozen=True, slots=True)
class UpstreamPut:
    """The newest record of an upstream."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """A record of the upstreams topic that is not valid: not written by an upstream.

    Parameters
    ----------
    why : str
        Names the invalid fields, but never their values.
    """

    upstream_id: str
    offset: Position
    why: str


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """The record of an upstream has ended."""

    upstream_id: str
    offset: Position


Change = (
    ConfigurationPut
    | ConfigurationRefused
    | VersionNamed
    | UpstreamPut
    | UpstreamRefused
    | UpstreamEnded
)
