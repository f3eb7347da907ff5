"""Which software versions of a service have served lately.

While only one has served for as long as a stream may go on, a stream that nobody knows
has begun at that one.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .served_versions import ServedVersions

ServiceVersion = tuple[str, str]
"""The name of a service and a version of its upstreams' software."""


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A software version of a service, and how long ago it was last seen."""

    service: str
    version: str
    age: timedelta


class SoftwareVersions:
    """The versions that upstreams are listed with, or streams have begun at.

    Parameters
    ----------
    lifetime : callable
        Returns for how long a stream may go on after it began.
    """

    def __init__(self, lifetime: Callable[[], timedelta], clock: Clock) -> None:
        self._lifetime = lifetime
        self._clock = clock
        self._seen_at: dict[str, dict[str, timedelta]] = {}
        self._watching_since: timedelta | None = None
        self._recorded: dict[str, frozenset[str]] = {}

    # Input

    def see(self, service: str, version: str) -> bool:
        """Record that a version serves; return whether it had not done so lately."""
        return self._see(service, version, self._clock.monotonic())

    def _see(self, service: str, version: str, at: timedelta) -> bool:
        seen_at = self._seen_at.setdefault(service, {})
        is_new = version not in self.recent(service)
        seen_at[version] = max(at, seen_at.get(version, at))
        return is_new

    def listed(self, found: Iterable[ServiceVersion]) -> set[str]:
        """Record the versions of all listed upstreams, leaving ones included.

        Returns
        -------
        set of str
            The services with a version that had not served lately.
        """
        now = self._clock.monotonic()
        if self._watching_since is None:
            self._watching_since = now
        return {
            service for service, version in found if self._see(service, version, now)
        }

    def merge(self, seen: Iterable[SeenVersion], watched: timedelta) -> set[str]:
        """Add what another instance has seen while it has watched.

        Returns
        -------
        set of str
            As of `listed`.
        """
        now = self._clock.monotonic()
        since = now - watched
        if self._watching_since is None or since < self._watching_since:
            self._watching_since = since
        return {
            one.service
            for one in seen
            if one.age <= self._lifetime()
            and self._see(one.service, one.version, now - one.age)
        }

    def put_record(self, record: ServedVersions) -> bool:
        """Add what the log says; return whether one of the versions is new here.

        Their ages are not known, so they count as seen just now.
        """
        is_first = record.service not in self._recorded
        known = self._recorded.get(record.service, frozenset())
        self._recorded[record.service] = record.versions
        added = record.versions if is_first else record.versions - known
        return any([self.see(record.service, version) for version in added])

    # Questions

    @property
    def watched(self) -> timedelta:
        """Return for how long the versions have been watched without a gap."""
        if self._watching_since is None:
            return timedelta()
        return self._clock.monotonic() - self._watching_since

    def knows_all(self, service: str) -> bool:
        """Return whether every version is known at which a stream may have begun.

        That is so if the versions have been watched for as long as a stream may go on,
        or the log tells which ones had served before.
        """
        return self.watched >= self._lifetime() or service in self._recorded

    def unrecorded(self) -> list[ServedVersions]:
        """Return what the log should say of services, where that is known for sure."""
        found = []
        for service in self._seen_at:
            served = ServedVersions(service, frozenset(self.recent(service)))
            if served.versions in (self._recorded.get(service), frozenset({""})):
                continue
            if self.knows_all(service):
                found.append(served)
        return found

    def recent(self, service: str) -> set[str]:
        """Return the versions that have served since a stream could have begun."""
        oldest = self._clock.monotonic() - self._lifetime()
        seen_at = self._seen_at.get(service, {})
        return {version for version, at in seen_at.items() if at >= oldest}

    def is_only_one(self, service: str) -> bool:
        """Return whether one version has served for as long as a stream may go on."""
        return self.knows_all(service) and len(self.recent(service)) == 1

    def all(self) -> list[SeenVersion]:
        """Return all versions that have served lately."""
        now = self._clock.monotonic()
        return [
            SeenVersion(service, version, now - seen_at[version])
            for service, seen_at in self._seen_at.items()
            for version in sorted(self.recent(service))
        ]
