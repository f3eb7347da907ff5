"""What records of the log change, in the product's own terms."""

from dataclasses import dataclass

from ..adapter import Adapter
from ..routing import ServingConfiguration
from ..store import Position
from ..upstreams import Upstream


@dataclass(frozen=True, slots=True)
class ConfigurationPut:
    """A whole configuration."""

    configuration: ServingConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """A record that is no acceptable configuration; what is in force stays.

    Parameters
    ----------
    why : str
        Names the fields that are wrong, and none of their values.
    """

    key: str
    why: str


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """A version of an adapter that requests must now get."""

    adapter: Adapter
    version: int


@dataclass(frozen=True, slots=True)
class UpstreamPut:
    """The newest record of an upstream."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """A record of upstreams that names none: somebody else has written it.

    Parameters
    ----------
    why : str
        Names the fields that are wrong, and none of their values.
    """

    upstream_id: str
    offset: Position
    why: str


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """An upstream has gone."""

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
