"""What is in force here: the newest configuration and the newest versions.

Nothing goes back: whoever tells an older version, it is passed over.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from .configuration import ServingConfiguration
from .table import RouteTable


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """The version of an adapter that is wanted now, and since when."""

    version: int
    known_since: timedelta


class InForce:
    """The control task writes it; requests read it."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._versions: dict[Adapter, NamedVersion] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration, or -1."""
        return -1 if self.table is None else self.table.configuration.version

    def put(self, configuration: ServingConfiguration) -> bool:
        """Take in a configuration; return whether it is newer."""
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration)
        return True

    def name_version(self, adapter: Adapter, version: int, now: timedelta) -> bool:
        """Take in a named version; return whether it is newer."""
        known = self._versions.get(adapter)
        if known is not None and known.version >= version:
            return False
        self._versions[adapter] = NamedVersion(version, now)
        return True

    def wanted(self, adapter: Adapter) -> NamedVersion | None:
        """Return the version that requests must get, where one was named."""
        return self._versions.get(adapter)
