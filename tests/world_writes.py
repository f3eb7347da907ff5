"""Writes the records of operators and engines to the log of a test world."""

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
MODEL = "base"


class RecordWriter:
    """Writes records to a log, and keeps the state of the engines that it adds."""

    def __init__(self, log: LogState) -> None:
        self.log = log
        self.engine_zones: dict[str, str] = {}
        self.born_by_engine: dict[str, int] = {}
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
            {SERVICE: Service(SERVICE, engine=engine)},
            customers=self.customers,
        )
        change = ConfigurationPut(configuration)
        self.write(Topic.CONFIGURATION, "config", change, size)

    def put_configuration(self, version: int, size: int = 1) -> None:
        """Write a newer configuration, as large as wanted."""
        self._put_configuration(version, size)

    def name_version(self, adapter: str, version: int) -> None:
        """Name a version of an adapter."""
        named = VersionNamed(Adapter(MODEL, adapter), version)
        self.write(Topic.CONFIGURATION, f"version/{adapter}", named)
        for engine in self.engines.values():
            engine.newest[adapter] = version

    def add_engine(self, name: str, models: bool = True, zone: str = "zone-0") -> None:
        """Start an engine."""
        self.engine_zones[name] = zone
        self.engines[name] = EngineState(name, {MODEL} if models else set())
        self.write_engine(name)

    def write_engine(
        self, name: str, state: UpstreamState = UpstreamState.READY
    ) -> None:
        """Write an engine's record."""
        upstream = Upstream(
            name,
            SERVICE,
            f"{name}:1",
            self.engine_zones[name],
            state,
            96,
            (MODEL,),
            born=self.born_by_engine.get(name, 0),
        )
        change = UpstreamPut(upstream)
        self.write(Topic.UPSTREAMS, name, change)

    def restart_engine(self, name: str) -> None:
        """Let an engine start again under its id; it knows nothing of before."""
        self.engines[name] = EngineState(name, {MODEL})
        self.born_by_engine[name] = self.born_by_engine.get(name, 0) + 1
        self.write_engine(name)

    def end_engine(self, name: str) -> None:
        """Remove an engine's record; the engine is gone."""
        self.lapse_engine(name)
        self.engines.pop(name, None)

    def lapse_engine(self, name: str) -> None:
        """Remove an engine's record; the engine goes on."""
        self._append(Topic.UPSTREAMS, name, None)

    def write(self, topic: Topic, key: str, change: Change, size: int = 1) -> None:
        """Write a record that says so, as long as wanted."""
        value = b"%d" % len(self._changes_by_value)
        value = value.ljust(size, b"x")
        self._changes_by_value[value] = change
        self._append(topic, key, value)

    def _append(self, topic: Topic, key: str, value: bytes | None) -> None:
        self.last_written[topic][key] = value
        self.log.append(topic, key, value)

    def rewrite(self, topic: Topic, key: str) -> None:
        """Write the last value of a key again, unless the log holds it."""
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
