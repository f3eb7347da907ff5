"""Lookups of the software versions at which streams have begun.

A caller may take its stream up at any instance, also after the one that began it has
ended. Whoever is asked answers from what it knows; see `stream_notices`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..streams import (
    BegunStream,
    BegunStreams,
    FoundVersion,
    SoftwareVersions,
    VersionLookup,
    VersionLookupTimedOut,
    VersionSource,
)
from . import messages
from .peers import Peers
from .stream_replicas import StreamReplicas

MILLISECOND = timedelta(milliseconds=1)
MAX_PENDING = 4096
"""Pending lookups; beyond that the oldest is answered from the responses so far."""
UNKNOWN = FoundVersion(VersionSource.UNKNOWN)


@dataclass(slots=True)
class _PendingLookup:
    """A lookup that other instances were asked about.

    Parameters
    ----------
    unanswered : set of str
        The instances that have not responded.
    recent : set of str
        Versions of the service that have served lately, as far as anybody has said.
    knows_all : bool
        Whether somebody knows all versions at which the stream may have begun.
    responses : int
        Number of instances that have responded.
    """

    lookup: VersionLookup
    unanswered: set[str]
    recent: set[str]
    knows_all: bool
    responses: int = 0


class StreamLookups:
    """Resolves lookups of this instance's requests, and answers those of others.

    Attributes
    ----------
    begun : BegunStreams
        The streams that are known here.
    versions : SoftwareVersions
        The versions that have served lately, as far as is known here.

    Parameters
    ----------
    is_list_current : callable
        Returns whether the list of upstreams is current here.
    send : callable
        Takes the name of an instance and a message for it; returns whether it was sent.
    """

    def __init__(
        self,
        begun: BegunStreams,
        versions: SoftwareVersions,
        replicas: StreamReplicas,
        peers: Peers,
        is_list_current: Callable[[], bool],
        send: Callable[[str, Any], bool],
        clock: Clock,
    ) -> None:
        self.begun = begun
        self.versions = versions
        self._replicas = replicas
        self._peers = peers
        self._is_list_current = is_list_current
        self._send = send
        self._clock = clock
        self._pending: dict[int, _PendingLookup] = {}

    # Lookups of this instance

    def ask(self, lookup: VersionLookup) -> None:
        """Resolve a lookup from what is known here, or ask other instances."""
        known = self.begun.find(lookup.stream_id)
        if known is not None:
            lookup.settle(self._found_here(known))
            return
        query = messages.StreamVersionQuery(
            lookup.number, lookup.stream_id, lookup.service
        )
        asked = {
            instance
            for instance in self._replicas.to_ask(lookup.stream_id)
            if self._send(instance, query)
        }
        pending = _PendingLookup(
            lookup,
            asked,
            self.versions.recent(lookup.service),
            self.versions.knows_all(lookup.service),
        )
        if not asked:
            self._conclude(pending)
            return
        self._pending[lookup.number] = pending
        if len(self._pending) > MAX_PENDING:
            self._conclude(self._pending.pop(next(iter(self._pending))))

    def _found_here(self, known: BegunStream) -> FoundVersion:
        age = self._clock.monotonic() - known.recorded_at
        service, version = known.service, known.software_version
        return FoundVersion(VersionSource.HERE, service, version, age)

    def answered(self, peer: str, response: messages.StreamVersionResponse) -> None:
        """Handle the response of another instance."""
        pending = self._pending.get(response.number)
        if pending is None or peer not in pending.unanswered:
            return
        pending.unanswered.discard(peer)
        pending.responses += 1
        pending.recent.update(response.recent)
        pending.knows_all |= response.knows_all
        if response.software_version:
            del self._pending[response.number]
            found = FoundVersion(
                VersionSource.INSTANCE,
                response.service,
                response.software_version,
                response.age_ms * MILLISECOND,
            )
            pending.lookup.settle(found)
        elif not pending.unanswered:
            del self._pending[response.number]
            self._conclude(pending)

    def timed_out(self, message: VersionLookupTimedOut) -> None:
        """Answer a lookup from the responses that have arrived."""
        pending = self._pending.pop(message.number, None)
        if pending is not None:
            self._conclude(pending)

    def instance_gone(self, peer: str) -> None:
        """Expect no response of an instance that is no longer linked."""
        for number, pending in list(self._pending.items()):
            pending.unanswered.discard(peer)
            if not pending.unanswered:
                del self._pending[number]
                self._conclude(pending)

    def _conclude(self, pending: _PendingLookup) -> None:
        """Answer a lookup of a stream that nobody knows."""
        lookup = pending.lookup
        if not self._is_only_version(pending):
            lookup.settle(UNKNOWN)
            return
        [version] = pending.recent
        found = FoundVersion(VersionSource.ONLY_VERSION, lookup.service, version)
        lookup.settle(found)

    def _is_only_version(self, pending: _PendingLookup) -> bool:
        """Return whether the stream must have begun at the one version there is."""
        if not pending.knows_all or len(pending.recent) != 1:
            return False
        if not pending.responses and self._peers.by_name:
            # Another instance may have used a version that is not known here.
            return False
        return self._is_list_current()

    # Lookups of other instances

    def asked(self, instance: str, query: messages.StreamVersionQuery) -> None:
        """Answer a lookup of another instance."""
        known = self.begun.find(query.stream_id)
        found = UNKNOWN if known is None else self._found_here(known)
        response = messages.StreamVersionResponse(
            query.number,
            found.service,
            found.software_version,
            found.age // MILLISECOND,
            sorted(self.versions.recent(query.service)),
            self.versions.knows_all(query.service),
        )
        self._send(instance, response)
