"""Applies the changes that log records make to the state of this instance.

These are the configuration in force, the directory of upstreams and the quarantine.
"""

from collections.abc import Callable

from ..clock import Clock
from ..logs import Logger
from ..metrics import Metrics
from ..placement import Residency
from ..quarantine import MalformedRecordError, Quarantine, decode_record
from ..routing.active_configuration import ActiveConfiguration
from ..store import Position, Record, Topic, era_of
from ..streams import VERSIONS_KEY_PREFIX
from ..upstreams import Directory, Health, LapsedEnds
from .changes import (
    Change,
    ConfigurationPut,
    ConfigurationRefused,
    UpstreamEnded,
    UpstreamPut,
    UpstreamRefused,
    VersionNamed,
)
from .effects import Effects
from .replica import Replica
from .restored_upstreams import RestoredUpstreams

Decode = Callable[[Topic, Record], Change | None]


class StateChanges:
    """Applies records, and keeps what delays the ends of upstreams.

    Parameters
    ----------
    upstreams_changed : callable
        Called when the configuration in force has changed.
    versions_recorded : callable
        Takes a record of the software versions of a service.

    Attributes
    ----------
    restored : RestoredUpstreams
        Known ends, and records that are held back.
    log_may_lack_upstreams : bool
        Whether upstreams are known that a restored log may have lost.
    """

    def __init__(
        self,
        decode: Decode,
        active_configuration: ActiveConfiguration,
        directory: Directory,
        residency: Residency,
        health: Health,
        quarantine: Quarantine,
        replica: Replica,
        effects: Effects,
        upstreams_changed: Callable[[], None],
        versions_recorded: Callable[[Record], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._decode = decode
        self._in_force = active_configuration
        self._directory = directory
        self._residency = residency
        self._health = health
        self._quarantine = quarantine
        self._replica = replica
        self._effects = effects
        self._upstreams_changed = upstreams_changed
        self._versions_recorded = versions_recorded
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._lapsed_ends = LapsedEnds(clock)
        self.restored = RestoredUpstreams(clock)
        self.log_may_lack_upstreams = False

    def apply_record(self, topic: Topic, record: Record) -> bool:
        """Apply a record; return whether it changed anything."""
        if topic is Topic.CRASHES and record.key.startswith(VERSIONS_KEY_PREFIX):
            self._versions_recorded(record)
            return True
        if topic is Topic.CRASHES:
            return self._apply_crash(record)
        change = self._decode(topic, record)
        if isinstance(change, UpstreamPut):
            if self.restored.hold_back(change.upstream, record):
                return False
        return change is not None and self.apply(change)

    def _apply_crash(self, record: Record) -> bool:
        """Apply an instance's record of requests that were cut off."""
        report = None
        if record.value is not None:
            try:
                report = decode_record(record.value)
            except MalformedRecordError as error:
                self._log.warning("crash record malformed", why=str(error))
                self._metrics.count("refused_records", Topic.CRASHES)
                return False
        return self._quarantine.put(record.key, report, record.offset)

    def apply(self, change: Change) -> bool:
        """Apply a change; return whether it had an effect."""
        if isinstance(change, ConfigurationPut):
            return self._put_configuration(change)
        if isinstance(change, ConfigurationRefused):
            self._log.warning("configuration refused", key=change.key, why=change.why)
            self._metrics.count("refused_records", change.key)
            return False
        if isinstance(change, VersionNamed):
            return self._name_version(change)
        if isinstance(change, UpstreamPut):
            return self._put_upstream(change)
        if isinstance(change, UpstreamRefused):
            return self._refuse_upstream(change)
        return self._end_or_defer(change)

    def _name_version(self, change: VersionNamed) -> bool:
        now = self._clock.monotonic()
        if not self._in_force.set_required_version(change.adapter, change.version, now):
            return False
        self._log.info(
            "adapter version changed",
            adapter=str(change.adapter),
            version=change.version,
        )
        return True

    def _put_configuration(self, change: ConfigurationPut) -> bool:
        if not self._in_force.activate(change.configuration):
            return False
        self._log.info("configuration in force", version=self._in_force.version)
        self._metrics.gauge("configuration_offset", self._in_force.version)
        self._upstreams_changed()
        return True

    def _put_upstream(self, change: UpstreamPut) -> bool:
        upstream = change.upstream
        if era_of(upstream.offset) < self._replica.era(Topic.UPSTREAMS):
            self.log_may_lack_upstreams = True
        had_lapsed = self._lapsed_ends.cancel(upstream.id)
        previous = self._directory.get(upstream.id)
        if not self._directory.put(upstream) and not had_lapsed:
            return False
        if previous is not None and previous.incarnation != upstream.incarnation:
            self._log.info("upstream restarted", upstream=upstream.id)
            self._drop_state(upstream.id)
        self._log.info(
            "upstream changed",
            upstream=upstream.id,
            service=upstream.service,
            address=upstream.address,
            state=upstream.state,
            born=upstream.born,
            offset=upstream.offset,
        )
        return True

    def _refuse_upstream(self, change: UpstreamRefused) -> bool:
        """Reject an invalid record; an upstream whose record it has replaced ends."""
        self._log.warning(
            "upstream refused", upstream=change.upstream_id, why=change.why
        )
        self._metrics.count("refused_records", Topic.UPSTREAMS)
        return self._end_or_defer(UpstreamEnded(change.upstream_id, change.offset))

    def _end_or_defer(self, change: UpstreamEnded) -> bool:
        known = self._directory.get(change.upstream_id)
        if known is None or not known.accepts_requests:
            return self.end_upstream(change.upstream_id, change.offset, individual=True)
        if known.offset >= change.offset:
            return False
        self._lapsed_ends.add(change.upstream_id, change.offset)
        return True

    def end_upstream(
        self, upstream: str, offset: Position, individual: bool = False
    ) -> bool:
        """End an upstream; return whether that changed anything.

        Parameters
        ----------
        individual : bool
            Whether its record ended by itself. False if it lapsed with many others, or
            was lost in a restore.
        """
        known = self._directory.get(upstream)
        was_held_back = False
        if individual:
            born = None if known is None else known.born
            was_held_back = self.restored.note_end(upstream, offset, born)
        if not self._directory.end(upstream, offset, self._clock.monotonic()):
            return was_held_back
        self._log.info("upstream ended", upstream=upstream, offset=offset)
        self._drop_state(upstream)
        return True

    def _drop_state(self, upstream: str) -> None:
        """Drop all state of an upstream's incarnation that has ended."""
        self._residency.forget(upstream)
        self._health.forget(upstream)
        self._effects.forget_upstream(upstream)

    def settle_ends(self) -> None:
        """Apply the ends of one batch, or defer them if they lapsed together."""
        known = len(self._directory.view.by_id)
        for upstream, offset in self._lapsed_ends.settle(known):
            self.end_upstream(upstream, offset, individual=True)

    def end_lapsed(self) -> bool:
        """End the upstreams whose lapse is final; return whether there were any."""
        due = self._lapsed_ends.due()
        for upstream, offset in due:
            self.end_upstream(upstream, offset)
        return bool(due)

    def end_unlisted(self, listed: set[str], end: Position) -> list[Record]:
        """End the upstreams that a complete list lacks.

        Parameters
        ----------
        end : Position
            The list has all records before it.

        Returns
        -------
        list of Record
            The end records of those that were held back.
        """
        last_offset = Position(end - 1)
        for upstream in self._directory.missing_from(listed, end):
            self.apply(UpstreamEnded(upstream, last_offset))
        ends = []
        for upstream in self.restored.held_back(end):
            if upstream in listed:
                continue
            self.end_upstream(upstream, last_offset, individual=True)
            ends.append(Record(last_offset, upstream, None))
        return ends

    def end_recorded_before(self, era: int, ended_at: Position) -> list[Record]:
        """End the upstreams without a record of an era; return their end records."""
        lost = self._directory.recorded_before(era)
        for upstream in lost:
            known = self._directory.get(upstream)
            born = None if known is None else known.born
            self.end_upstream(upstream, ended_at)
            # Keeps a later restore from bringing the ended upstream back.
            newest = self._replica.offset(Topic.UPSTREAMS)
            self.restored.note_end(upstream, newest, born)
        return [Record(ended_at, upstream, None) for upstream in lost]
