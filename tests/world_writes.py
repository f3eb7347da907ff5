"""Writes records of operators and engines to the simulated log."""

from dataclasses import replace
from datetime import timedelta

from ashhoist.adapter import Adapter
from ashhoist.control.changes import (
    Change,
    ConfigurationPut,
    UpstreamEnded,
    UpstreamPut,
    VersionNamed,
)
from ashhoist.control.replica import SHARED_TOPICS
from ashhoist.customers import Customer
from ashhoist.routing import EngineModel, EngineSettings, Service, ServingConfiguration
from ashhoist.store import Record, Topic
from ashhoist.upstreams import Upstream, UpstreamState

from .platform_stand_ins.engine_state import EngineState
from .platform_stand_ins.log_state import LogState

SERVICE = "engines"
PLAIN_SERVICE = "plain"
MODEL = "base"


class RecordWriter:
    """Writes records to a log, and holds the state of the engines that it adds."""

    def __init__(self, log: LogState) -> None:
        self.log = log
        self.engine_zones: dict[str, str] = {}
        self.born_by_engine: dict[str, int] = {}
        self.software_by_engine: dict[str, str] = {}
        self.engines: dict[str, EngineState] = {}
        self.customers: tuple[Customer, ...] = ()
        self._changes_by_value: dict[bytes, Change] = {}
        self.last_written: dict[Topic, dict[str, bytes | None]] = {
            topic: {} for topic in SHARED_TOPICS
        }

    def _put_configuration(self, version: int = 1, size: int = 1) -> None:
        engine = EngineSettings(
            {MODEL: EngineModel(MODEL, 16000, timedelta(seconds=0.6), 3000, 14)},
            96,
            16500,
            6,
            2.0,
        )
        configuration = ServingConfiguration(
            version,
            (),
            {
                SERVICE: Service(SERVICE, engine=engine),
                PLAIN_SERVICE: Service(PLAIN_SERVICE),
            },
            customers=self.customers,
        )
        change = ConfigurationPut(configuration)
        self.write(Topic.CONFIGURATION, "config", change, size)

    def put_configuration(self, version: int, size: int = 1) -> None:
        """Write a newer configuration whose record has at least `size` bytes."""
        self._put_configuration(version, size)

    def name_version(self, adapter: str, version: int) -> None:
        """Write the record that names a version of an adapter."""
        named = VersionNamed(Adapter(MODEL, adapter), version)
        self.write(Topic.CONFIGURATION, f"version/{adapter}", named)
        for engine in self.engines.values():
            engine.newest[adapter] = version

    def add_engine(self, name: str, models: bool = True, zone: str = "zone-0") -> None:
        """Add an engine, and write its record."""
        self.engine_zones[name] = zone
        self.engines[name] = EngineState(name, {MODEL} if models else set())
        self.write_engine(name)

    def write_engine(
        self, name: str, state: UpstreamState = UpstreamState.READY
    ) -> None:
        """Write the record of an engine."""
        upstream = Upstream(
            name,
            SERVICE,
            f"{name}:1",
            self.engine_zones[name],
            state,
            96,
            (MODEL,),
            born=self.born_by_engine.get(name, 0),
            software_version=self.software_by_engine.get(name, ""),
        )
        change = UpstreamPut(upstream)
        self.write(Topic.UPSTREAMS, name, change)

    def write_plain_upstream(
        self, name: str, zone: str = "zone-0", slots: int = 1
    ) -> None:
        """Write the record of a plain upstream."""
        upstream = Upstream(name, PLAIN_SERVICE, f"{name}:1", zone, slots=slots)
        self.write(Topic.UPSTREAMS, name, UpstreamPut(upstream))

    def restart_engine(self, name: str) -> None:
        """Restart an engine under its id, with a new incarnation and empty state."""
        self.engines[name] = EngineState(name, {MODEL})
        self.born_by_engine[name] = self.born_by_engine.get(name, 0) + 1
        self.write_engine(name)

    def end_engine(self, name: str) -> None:
        """Delete the record of an engine, and remove the engine."""
        self.delete_engine_record(name)
        self.engines.pop(name, None)

    def delete_engine_record(self, name: str) -> None:
        """Delete the record of an engine that keeps running."""
        self._append(Topic.UPSTREAMS, name, None)

    def write(self, topic: Topic, key: str, change: Change, size: int = 1) -> None:
        """Write a record of a change, with a value of at least `size` bytes."""
        value = b"%d" % len(self._changes_by_value)
        value = value.ljust(size, b"x")
        self._changes_by_value[value] = change
        self._append(topic, key, value)

    def _append(self, topic: Topic, key: str, value: bytes | None) -> None:
        self.last_written[topic][key] = value
        self.log.append(topic, key, value)

    def rewrite(self, topic: Topic, key: str) -> None:
        """Write the last written value of a key again if the log does not have it."""
        value = self.last_written[topic][key]
        _, found = self.log.topics[topic].newest.get(key, (-1, None))
        if found != value:
            self.log.append(topic, key, value)

    def _decode(self, topic: Topic, record: Record) -> Change | None:
        if record.value is None:
            is_upstream = topic is Topic.UPSTREAMS
            return UpstreamEnded(record.key, record.offset) if is_upstream else None
        change = self._changes_by_value.get(record.value)
        if isinstance(change, UpstreamPut):
            return UpstreamPut(replace(change.upstream, offset=record.offset))
        return change
