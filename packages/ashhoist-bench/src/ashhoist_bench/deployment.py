"""A whole deployment in one process: stand-ins and real instances on loopback."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ashhoist.daemon import Daemon
from ashhoist.failures import Outcome
from ashhoist.settings import Settings, parse
from ashhoist.types import Endpoint
from ashhoist_cli import Client
from ashhoist_standins import (
    EngineModel,
    EngineServer,
    InstanceListServer,
    LogModel,
    LogServer,
    PlainServiceServer,
    WeightStoreModel,
    WeightStoreServer,
)

OPERATOR_TOKEN = "operator-token"
CALLER_TOKEN = "caller-token"
INSTANCE_TOKEN = "instance-token"
REGION = "region-1"
READY_LIMIT = timedelta(seconds=120)
LOOK_EVERY_SECONDS = 0.05
OK = 200
TRIES = 20
"""Of one change: the log takes so many a second from all instances together, and one
that is turned away says when to come back."""

SETTINGS = """
[instance]
name = {name}
availability_zone = {zone}
region = {region}
callers = 127.0.0.1:{port}
instances = 127.0.0.1:0

[platform]
log_service = {log}
instance_list = {instance_list}
availability_zones = {zones}

[weight_store]
loads_per_second = {loads}

[tokens]
operators = operator-token
callers = caller-token
instances = instance-token

[limits]
sender_timeout = {sender_timeout}

[timing]
drain = 20s
"""


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a deployment is."""

    zones: int = 3
    instances: int = 6
    engines: int = 5
    services: int = 3
    adapters: int = 300
    slots: int = 8
    max_batch: int = 16
    loads_per_second: float = 2.0


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold within the limit.
    """
    limit = time.monotonic() + READY_LIMIT.total_seconds()
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f"waited in vain for {what}")
        time.sleep(LOOK_EVERY_SECONDS)


@dataclass
class Deployment:
    """Stand-ins and instances of one region."""

    shape: Shape
    first_port: int = 0
    sender_timeout: str = "5s"
    log: LogServer = field(init=False)
    instance_list: InstanceListServer = field(init=False)
    store: WeightStoreServer = field(init=False)
    engines: list[EngineServer] = field(default_factory=list)
    services: list[PlainServiceServer] = field(default_factory=list)
    daemons: dict[str, Daemon] = field(default_factory=dict)

    def start(self) -> None:
        """Start everything and declare the resources."""
        self.log = LogServer(LogModel())
        self.instance_list = InstanceListServer()
        self.store = WeightStoreServer(WeightStoreModel(self.shape.loads_per_second))
        for server in (self.log, self.instance_list, self.store):
            server.start()
        self._start_upstreams()
        for index in range(self.shape.instances):
            self.start_instance(f"instance-{index}", index)
        wait_for(self._all_ready, "all instances to be ready")

    def zone(self, index: int) -> str:
        """Return the availability zone of the `index`-th member of a kind."""
        return f"zone-{index % self.shape.zones}"

    def _start_upstreams(self) -> None:
        for index in range(self.shape.engines):
            model = EngineModel(
                f"engine-{index}",
                self.shape.slots,
                self.shape.max_batch,
                checks_fence=index % 2 == 0,
                store=self.store,
            )
            engine = EngineServer(model)
            engine.start()
            self.engines.append(engine)
            self._list(model.name, self.zone(index), engine.address, "engine")
        for index in range(self.shape.services):
            service = PlainServiceServer()
            service.start()
            self.services.append(service)
            self._list(f"service-{index}", self.zone(index), service.address, "service")

    def _list(self, name: str, zone: str, address: str, kind: str) -> None:
        self.instance_list.put(Endpoint(name, zone, REGION, address, False, kind))

    def start_instance(self, name: str, index: int) -> Daemon:
        """Start one instance and put it on the list."""
        daemon = Daemon(self._settings(name, index))
        daemon.start()
        self.daemons[name] = daemon
        self._list(name, self.zone(index), daemon.instances_address, "entry")
        return daemon

    def _settings(self, name: str, index: int) -> Settings:
        port = self.first_port + index if self.first_port else 0
        text = SETTINGS.format(
            name=name,
            zone=self.zone(index),
            region=REGION,
            port=port,
            log=self.log.url,
            instance_list=self.instance_list.url,
            zones=self.shape.zones,
            loads=self.shape.loads_per_second,
            sender_timeout=self.sender_timeout,
        )
        return parse(text)

    def _all_ready(self) -> bool:
        return all(
            daemon.read(lambda core: core.ready) for daemon in self.daemons.values()
        )

    def url(self, name: str) -> str:
        """Return where an instance answers callers."""
        return f"http://{self.daemons[name].callers_address}"

    def operator(self) -> Client:
        """Return a client with the operators' token."""
        return Client(self.url(next(iter(self.daemons))), OPERATOR_TOKEN)

    def declare(self) -> None:
        """Declare base model, upstreams, policy and adapters as an operator."""
        client = self.operator()
        declare(client, "/apis/v1/base-models/base", {})
        for index, engine in enumerate(self.engines):
            spec: dict[str, Any] = {
                "type": "engine",
                "address": engine.url,
                "availability_zone": self.zone(index),
                "region": REGION,
                "base_model": "base",
                "slots": self.shape.slots,
                "max_batch": self.shape.max_batch,
                "checks_fence": engine.model.checks_fence,
            }
            path = f"/apis/v1/upstreams/{engine.model.name}"
            declare(client, path, spec)
        for index, service in enumerate(self.services):
            spec = {
                "type": "service",
                "address": service.url,
                "availability_zone": self.zone(index),
                "region": REGION,
                "service": "lobby",
            }
            declare(client, f"/apis/v1/upstreams/service-{index}", spec)
        with ThreadPoolExecutor(len(self.daemons)) as pool:
            list(pool.map(self._declare_adapter, range(self.shape.adapters)))
        self.wait_in_force()

    def _declare_adapter(self, index: int) -> None:
        """Declare one adapter; each instance has its own budget of appends."""
        names = list(self.daemons)
        url = self.url(names[index % len(names)])
        spec = {
            "base_model": "base",
            "versions": {"v1": {"weights": f"store/adapter-{index}/v1"}},
            "default_version": "v1",
        }
        path = f"/apis/v1/adapters/adapter-{index}"
        declare(Client(url, OPERATOR_TOKEN), path, spec)

    def wait_in_force(self) -> None:
        """Wait until all instances have the newest configuration."""
        newest = max(self._offsets())
        wait_for(
            lambda: min(self._offsets()) >= newest and self._homes_known(),
            "the configuration to be in force",
        )

    def _offsets(self) -> list[int]:
        return [
            daemon.read(lambda core: core.changes.state.offset)
            for daemon in self.daemons.values()
        ]

    def _homes_known(self) -> bool:
        """Return whether each engine has a home that may give orders."""
        authorities = set()
        for daemon in self.daemons.values():
            authorities |= daemon.read(_upstreams_with_authority)
        return authorities == {engine.model.name for engine in self.engines}

    def close(self) -> None:
        """End everything at once."""
        for daemon in self.daemons.values():
            daemon.close()
        for server in (*self.engines, *self.services):
            server.close()
        for other in (self.store, self.instance_list, self.log):
            other.close()


def _upstreams_with_authority(core: Any) -> set[str]:
    return {
        name
        for name, home in core.homes.by_upstream.items()
        if home.authority is not None and home.incarnation
    }


def declare(
    client: Client,
    path: str,
    spec: dict[str, Any],
    pause: Callable[[float], None] = time.sleep,
) -> None:
    """Put a resource as an operator does, again where the instance says so.

    Parameters
    ----------
    pause : callable
        Takes the seconds to wait.

    Raises
    ------
    RuntimeError
        If it is refused for good, or for too long.
    """
    for _ in range(TRIES):
        answer = client.request("PUT", path, {"spec": spec})
        if answer.status == OK:
            return
        told = answer.json()
        if told.get("outcome") != Outcome.NOT_RUN or "retry_after_ms" not in told:
            break
        pause(told["retry_after_ms"] / 1000)
    raise RuntimeError(f"{path}: {answer.status}: {answer.body.decode()}")
