"""The active configuration and adapter versions of this instance.

Both only move forward: older versions are ignored, whoever reports them.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from .configuration import ServingConfiguration
from .table import RouteTable


@dataclass(frozen=True, slots=True)
class RequiredVersion:
    """The version of an adapter that is required now, and since when this is known."""

    version: int
    known_since: timedelta


class ActiveConfiguration:
    """The newest known configuration; written by the control task, read by requests."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._versions: dict[Adapter, RequiredVersion] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration, or -1 if none is known."""
        return -1 if self.table is None else self.table.configuration.version

    def activate(self, configuration: ServingConfiguration) -> bool:
        """Activate a configuration; return False if it is not newer."""
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration)
        return True

    def set_required_version(
        self, adapter: Adapter, version: int, now: timedelta
    ) -> bool:
        """Set the required version of an adapter; return False if it is not newer."""
        known = self._versions.get(adapter)
        if known is not None and known.version >= version:
            return False
        self._versions[adapter] = RequiredVersion(version, now)
        return True

    def required_version(self, adapter: Adapter) -> RequiredVersion | None:
        """Return the version that requests must use, if one has been set."""
        return self._versions.get(adapter)
