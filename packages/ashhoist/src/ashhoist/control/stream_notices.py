"""Tells other instances at which software versions streams have begun.

Nobody is told while only one version has served for as long as a stream may go on: then
a stream that nobody knows has begun at that one.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from ..logs import Logger
from ..store import Record
from ..streams import (
    BegunStream,
    BegunStreams,
    MalformedVersionsError,
    SeenVersion,
    ServedVersions,
    ServiceVersion,
    SoftwareVersions,
    StreamBegan,
)
from ..upstreams import Directory, DirectoryView
from . import messages
from .stream_replicas import StreamReplicas

MILLISECOND = timedelta(milliseconds=1)
MAX_ROWS = 1024
"""Streams in one message, some 60 kB."""
Row = list[Any]
"""A stream as it stands in a message; see `messages.StreamsBegan`."""


class StreamNotices:
    """Records the streams that begin, here and elsewhere, and sends notices of them.

    Parameters
    ----------
    leads : callable
        Returns whether this instance is the leader, which records versions on the log.
    write : callable
        Takes the key and the value of a record for the log.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        begun: BegunStreams,
        versions: SoftwareVersions,
        replicas: StreamReplicas,
        directory: Directory,
        leads: Callable[[], bool],
        write: Callable[[str, bytes], None],
        send: Callable[[str, Any], None],
        log: Logger,
    ) -> None:
        self._begun = begun
        self._versions = versions
        self._replicas = replicas
        self._directory = directory
        self._leads = leads
        self._write = write
        self._send = send
        self._log = log
        self._view: DirectoryView | None = None
        self._listed: frozenset[ServiceVersion] = frozenset()

    def began(self, message: StreamBegan) -> None:
        """Record a stream of this instance, and tell others if they need to know."""
        service, version = message.service, message.software_version
        stream = self._begun.put(message.stream_id, service, version, is_own=True)
        if self._versions.see(service, version):
            self._tell_own({service})
        elif not self._versions.is_only_one(service):
            self._tell([stream])

    def notices_received(self, message: messages.StreamsBegan) -> None:
        """Record the streams of another instance."""
        for stream_id, service, version in message.rows:
            known = self._begun.find(stream_id)
            is_own = known is not None and known.is_own
            self._begun.put(stream_id, service, version, is_own)
            if self._versions.see(service, version):
                self._tell_own({service})

    def hand_over(self) -> None:
        """Tell others of all streams that are known here: this instance is to end.

        It may know them from instances that have ended before.
        """
        known = self._begun.all()
        services = {stream.service for stream in known}
        told = {one for one in services if not self._versions.is_only_one(one)}
        self._tell([stream for stream in known if stream.service in told])

    def greet(self, peer: str) -> None:
        """Send a newly linked instance the versions that have served lately."""
        rows = [
            [seen.service, seen.version, seen.age // MILLISECOND]
            for seen in self._versions.all()
        ]
        watched_ms = self._versions.watched // MILLISECOND
        self._send(peer, messages.RecentVersions(rows, watched_ms))

    def versions_received(self, message: messages.RecentVersions) -> None:
        """Add the versions that another instance has seen."""
        seen = [
            SeenVersion(service, version, age_ms * MILLISECOND)
            for service, version, age_ms in message.rows
        ]
        watched = message.watched_ms * MILLISECOND
        self._tell_own(self._versions.merge(seen, watched))

    def tick(self) -> None:
        """Record the versions of the upstreams that are listed now."""
        view = self._directory.view
        if view is not self._view:
            self._view = view
            self._listed = frozenset(
                (one.service, one.software_version) for one in view.by_id.values()
            )
        self._tell_own(self._versions.listed(self._listed))
        if self._leads():
            self._record_versions()

    def _record_versions(self) -> None:
        """Write to the log which versions have served lately, if that has changed."""
        for served in self._versions.unrecorded():
            self._versions.put_record(served)
            self._write(served.key, served.encode())

    def record_followed(self, record: Record) -> None:
        """Handle a record of the versions of a service that was read from the log."""
        if record.value is None:
            return
        try:
            served = ServedVersions.decode(record.value)
        except MalformedVersionsError as error:
            self._log.warning("versions record malformed", why=str(error))
            return
        if self._versions.put_record(served):
            self._tell_own({served.service})

    def _tell_own(self, services: Iterable[str]) -> None:
        """Tell others of this instance's streams at services with a new version."""
        for service in services:
            if not self._versions.is_only_one(service):
                self._tell(self._begun.own(service))

    def _tell(self, streams: list[BegunStream]) -> None:
        to_tell = self._replicas.to_tell(stream.id for stream in streams)
        rows_by_instance: dict[str, list[Row]] = {}
        for stream in streams:
            row = [stream.id, stream.service, stream.software_version]
            for instance in to_tell[stream.id]:
                rows_by_instance.setdefault(instance, []).append(row)
        for instance, rows in rows_by_instance.items():
            for first in range(0, len(rows), MAX_ROWS):
                batch = rows[first : first + MAX_ROWS]
                self._send(instance, messages.StreamsBegan(batch))
