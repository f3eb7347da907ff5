"""Many control cores on one manual clock, with a store, engines and links between.

Nothing runs by itself: `run` moves the clock from event to event. Faults are
switches; the checks read what engines have seen.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ashhoist import codec, logs
from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.control.changes import (
    Change,
    ConfigurationPut,
    UpstreamEnded,
    UpstreamPut,
    VersionNamed,
)
from ashhoist.control.core import Core, CoreSettings
from ashhoist.control.knowledge import SHARED_TOPICS
from ashhoist.control.lease_calls import append_answer, read_answer
from ashhoist.control.messages import ReadClaimsFor
from ashhoist.control.peers import InstanceRecord
from ashhoist.metrics import Metrics
from ashhoist.orders import (
    AppendClaim,
    EngineReport,
    LeaseAction,
    LeaseTiming,
    Order,
    OrderAnswer,
    ReadClaims,
)
from ashhoist.placement import Residency
from ashhoist.placement.actions import AskReport
from ashhoist.placement.asks import Target, UseEnd, UseEnded, Wanted
from ashhoist.process_settings import BoundsSection, StoreSection, paces
from ashhoist.routing import EngineModel, EngineSettings, Service, ServingConfiguration
from ashhoist.routing.in_force import InForce
from ashhoist.store import (
    Appended,
    ConditionFailed,
    Newest,
    Record,
    Topic,
    Unavailable,
    Unknown,
)
from ashhoist.types import Endpoint
from ashhoist.upstreams import Directory, Health, Upstream, UpstreamState

from .platform_stand_ins.engine_state import EngineState
from .platform_stand_ins.log_state import LogState
from .world_log import WorldFollower

SERVICE = "engines"
MODEL = "base"
TICK = 0.05
STORE_S = 0.004
LINK_S = 0.0015
PATIENCE_S = 0.4
REPORT_LAG_S = 0.2
RUN_S = 0.2
ANSWERS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    400: OrderAnswer.REFUSED,
}


TIMING = LeaseTiming(
    term=timedelta(seconds=2.5),
    renew_every=timedelta(seconds=0.8),
    clock_margin=timedelta(seconds=0.1),
)
"""A lease with short times, so that days of it are short."""


@dataclass
class OrderSeen:
    """An order as an engine has seen it arrive."""

    at: float
    engine: str
    machine: str
    fence: int


@dataclass
class Machine:
    """One machine and its core, if its process runs."""

    name: str
    core: Core | None = None
    outside: "_Outside | None" = None
    frozen: bool = False
    store_cut: bool = False
    links_cut: bool = False
    zone: str = "zone-0"
    capacity: float = 1.0
    loses_appends: bool = False
    lives: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)
    followers: dict[Topic, WorldFollower] = field(default_factory=dict)
    unread: set[Topic] = field(default_factory=set)
    """Topics of which the store leaves this machine's reads unanswered."""


class _Outside:
    """What one core reaches."""

    def __init__(self, world: "World", machine: Machine) -> None:
        self._world = world
        self._machine = machine
        self.endpoints: list[Endpoint] = []

    def send_to(self, peer: str, message: Any) -> bool:
        return self._world.send(self._machine, peer, message)

    def drop(self, peer: str, reason: str) -> None:
        self._world.unlink(self._machine.name, peer)

    def link(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        self.endpoints = endpoints

    def lease_call(self, action: LeaseAction) -> None:
        self._world.lease_call(self._machine, action)

    def lease_call_for(self, peer: str, message: Any) -> None:
        self._world.lease_call_for(self._machine, peer, message)

    def read_now(self, topic: Topic) -> None:
        self._world.read_now(self._machine, topic)

    def register(self) -> None:
        self._world.register(self._machine)

    def unregister(self) -> None:
        pass

    def order(self, order: Order) -> None:
        self._world.order(self._machine, order)

    def report(self, request: AskReport) -> None:
        self._world.report(self._machine, request)

    def forget_upstream(self, upstream: str) -> None:
        pass


class World:
    """Machines, a store, engines.

    Parameters
    ----------
    machines, engines : int
        How many of each.
    """

    def __init__(
        self,
        machines: int = 3,
        engines: int = 2,
        timing: LeaseTiming = TIMING,
        zones: int = 1,
        bounds: BoundsSection | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.timing = timing
        self.timing_by_machine: dict[str, LeaseTiming] = {}
        self.log = LogState()
        self.store_down = False
        self.lose_appends = 0
        self.late_appends = 0
        self.lose_orders = 0
        self.late_orders: list[tuple[float, Order]] = []
        self.machines = {
            f"instance-{index}": Machine(
                f"instance-{index}", zone=f"zone-{index % zones}"
            )
            for index in range(machines)
        }
        self.engine_zones: dict[str, str] = {}
        self.cut_zones: set[str] = set()
        self.engines: dict[str, EngineState] = {}
        self.seen: list[OrderSeen] = []
        self.reads = 0
        self.lease_calls = 0
        self.counts_bytes = False
        self.far_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.refuse_below = -1
        self.deaf = False
        self.seeds: tuple[str, ...] = ()
        self.registered: set[str] = set(self.machines)
        self.patience_s = PATIENCE_S
        self.logger: logs.Logger = logs.get("control")
        self.bounds = bounds or BoundsSection()
        self.paces = paces(StoreSection(address="127.0.0.1:1"), self.bounds)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._links: set[tuple[str, str]] = set()
        self._decoded: dict[tuple[Topic, int], Change] = {}
        self._put_configuration()
        for index in range(engines):
            self.add_engine(f"engine-{index}", zone=f"zone-{index % zones}")

    # The log as operators and engines write it

    def _put_configuration(self, version: int = 1, size: int = 1) -> None:
        engine = EngineSettings(
            {MODEL: EngineModel(MODEL, 16000, timedelta(seconds=0.6), 3000, 14)},
            96,
            16500,
            6,
            2.0,
        )
        configuration = ServingConfiguration(
            version, (), {SERVICE: Service(SERVICE, engine=engine)}
        )
        change = ConfigurationPut(configuration)
        self._write(Topic.CONFIGURATION, "config", change, size)

    def put_configuration(self, version: int, size: int = 1) -> None:
        """Write a newer configuration, as large as wanted."""
        self._put_configuration(version, size)

    def name_version(self, adapter: str, version: int) -> None:
        """Name a version of an adapter."""
        named = VersionNamed(Adapter(MODEL, adapter), version)
        self._write(Topic.CONFIGURATION, f"version/{adapter}", named)
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
        offset = self.log.topics[Topic.UPSTREAMS].end
        upstream = Upstream(
            name,
            SERVICE,
            f"{name}:1",
            self.engine_zones[name],
            state,
            96,
            (MODEL,),
            offset,
        )
        change = UpstreamPut(upstream)
        self._write(Topic.UPSTREAMS, name, change)

    def end_engine(self, name: str) -> None:
        """Remove an engine's record; the engine is gone."""
        self.lapse_engine(name)
        self.engines.pop(name, None)

    def lapse_engine(self, name: str) -> None:
        """Remove an engine's record; the engine goes on."""
        offset = self.log.append(Topic.UPSTREAMS, name, None)
        assert offset is not None
        self._decoded[Topic.UPSTREAMS, offset] = UpstreamEnded(name, offset)

    def _write(self, topic: Topic, key: str, change: Change, size: int = 1) -> None:
        offset = self.log.append(topic, key, b"x" * size)
        assert offset is not None
        self._decoded[topic, offset] = change

    def _decode(self, topic: Topic, record: Record) -> Change | None:
        return self._decoded.get((topic, record.offset))

    # Machines

    def start(self, *names: str) -> None:
        """Start processes, by default all."""
        for name in names or tuple(self.machines):
            self._start(self.machines[name])

    def _start(self, machine: Machine) -> None:
        machine.lives += 1
        machine.frozen = False
        outside = _Outside(self, machine)
        core = Core(
            CoreSettings(
                machine.name,
                machine.zone,
                machine.name,
                f"{machine.name}-{machine.lives}",
                self.paces,
                self.seeds,
                self.timing_by_machine.get(machine.name, self.timing),
                machine.capacity,
            ),
            self._decode,
            InForce(),
            Directory(),
            Residency(),
            Health(self.clock),
            outside,
            self.clock,
            Metrics(),
            self.logger,
        )
        machine.core, machine.outside = core, outside
        machine.followers = {
            topic: self._follow(machine, core, topic) for topic in SHARED_TOPICS
        }
        core.start()
        self._tick(machine, core)

    def kill(self, name: str) -> None:
        """End a process without a word."""
        machine = self.machines[name]
        machine.core = None
        for other in self.machines:
            self.unlink(name, other)

    def freeze(self, name: str, seconds: float) -> None:
        """Let a process stand still; what comes meanwhile waits."""
        machine = self.machines[name]
        machine.frozen = True
        self.after(seconds, lambda: self._thaw(machine))

    def _thaw(self, machine: Machine) -> None:
        machine.frozen = False
        waiting, machine.waiting = machine.waiting, []
        for step in waiting:
            step()

    def _do(self, machine: Machine, core: Core, step: Callable[[], None]) -> None:
        """Run a step of a process, now or when it wakes; never in another life."""
        if machine.core is not core:
            return
        if machine.frozen:
            machine.waiting.append(lambda: self._do(machine, core, step))
            return
        step()

    def _tick(self, machine: Machine, core: Core) -> None:
        def step() -> None:
            read_itself = core.reads_itself
            core.tick()
            if core.reads_itself and not read_itself:
                for topic in SHARED_TOPICS:
                    self.read_now(machine, topic)
            self._relink(machine)
            self.after(TICK, lambda: self._tick(machine, core))

        self._do(machine, core, step)

    # Time

    @property
    def now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        """Do a step later."""
        event = (self.now + seconds, next(self._numbers), step)
        heapq.heappush(self._events, event)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let time pass; return whether `until` came true."""
        limit = self.now + seconds
        while self._events and self._events[0][0] <= limit:
            if until():
                return True
            at, _, step = heapq.heappop(self._events)
            if at > self.now:
                self.clock.advance(timedelta(seconds=at) - self.clock.monotonic())
            step()
        self.clock.advance(
            max(timedelta(seconds=limit) - self.clock.monotonic(), timedelta())
        )
        return until()

    # Links

    def _relink(self, machine: Machine) -> None:
        assert machine.outside is not None
        for endpoint in machine.outside.endpoints:
            other = self.machines.get(endpoint.name or endpoint.address)
            if other is None or other.core is None or other is machine:
                continue
            pair = _pair(machine.name, other.name)
            if pair in self._links or machine.links_cut or other.links_cut:
                continue
            if not self._connected(machine.zone, other.zone):
                continue
            self._links.add(pair)
            self._up(machine, other.name)
            self._up(other, machine.name)

    def _up(self, machine: Machine, peer: str) -> None:
        core = machine.core
        assert core is not None
        self.after(LINK_S, lambda: self._do(machine, core, lambda: core.peer_up(peer)))

    def unlink(self, one: str, other: str) -> None:
        """Break a link; both sides are told."""
        if _pair(one, other) not in self._links:
            return
        self._links.discard(_pair(one, other))
        for name, peer in ((one, other), (other, one)):
            self._down(self.machines[name], peer)

    def _down(self, machine: Machine, peer: str) -> None:
        core = machine.core
        if core is None:
            return
        self.after(
            LINK_S, lambda: self._do(machine, core, lambda: core.peer_down(peer))
        )

    def send(self, machine: Machine, peer: str, message: Any) -> bool:
        """Carry a message over a link; a cut swallows it."""
        other = self.machines.get(peer)
        if other is None or _pair(machine.name, peer) not in self._links:
            return False
        core = other.core
        if core is None or machine.links_cut or other.links_cut:
            return True
        if not self._connected(machine.zone, other.zone):
            return True
        self._count_bytes(machine, other, message)
        name = machine.name
        self.after(
            LINK_S,
            lambda: self._do(other, core, lambda: core.peer_message(name, message)),
        )
        return True

    def _count_bytes(self, machine: Machine, other: Machine, message: Any) -> None:
        """Count a message by its kind, and its size where it crosses zones."""
        if not self.counts_bytes:
            return
        kind = type(message).__name__
        self.sent[kind] += 1
        if machine.zone != other.zone:
            self.far_bytes[kind] += len(codec.encode_one(message))

    # The store, as machines reach it

    def _reaches_store(self, machine: Machine) -> bool:
        cut = machine.store_cut or machine.zone in self.cut_zones
        return not self.store_down and not cut

    def _connected(self, one: str, other: str) -> bool:
        """Return whether two zones reach each other."""
        return one == other or not self.cut_zones & {one, other}

    def _follow(self, machine: Machine, core: Core, topic: Topic) -> WorldFollower:
        """Let a process read a topic as the product does."""
        return WorldFollower(
            self,
            topic,
            self.paces[topic],
            lambda: self._answers_reads(machine, topic),
            lambda: core.reads_itself,
            core.followed,
            lambda step: self._do(machine, core, step),
        )

    def _answers_reads(self, machine: Machine, topic: Topic) -> bool:
        return self._reaches_store(machine) and topic not in machine.unread

    def read_now(self, machine: Machine, topic: Topic) -> None:
        """Read a topic once more, now."""
        machine.followers[topic].follower.poke()

    def register(self, machine: Machine) -> None:
        """Register a machine and tell it who is there."""
        core = machine.core

        def step() -> None:
            assert core is not None
            if not self._reaches_store(machine):
                return
            self.registered.add(machine.name)
            core.instances(
                [
                    InstanceRecord(name, machine.zone, name, machine.capacity)
                    for name, machine in self.machines.items()
                    if name in self.registered
                ]
            )

        if core is not None:
            self.after(STORE_S, lambda: self._do(machine, core, step))
            return
        self.after(STORE_S, lambda: self._register_started(machine))

    def _register_started(self, machine: Machine) -> None:
        if machine.core is not None:
            self.register(machine)

    def lease_call(self, machine: Machine, action: LeaseAction) -> None:
        """Read or append a claim."""
        self.lease_calls += 1
        core = machine.core
        assert core is not None
        if not self._reaches_store(machine):
            self._answer_lease(machine, core, action, Unavailable("cut"), PATIENCE_S)
            return
        if isinstance(action, ReadClaims):
            found = self._newest_claims(action.key)
            self._answer_lease(machine, core, action, found, STORE_S)
            return
        self._append_claim(machine, core, action)

    def lease_call_for(self, machine: Machine, peer: str, message: Any) -> None:
        """Make a machine's call for another one's lease."""
        told: Any
        if isinstance(message, ReadClaimsFor):
            found: Any = Unavailable("cut")
            if self._reaches_store(machine):
                found = self._newest_claims(message.zone)
            told = read_answer(message, found)
        else:
            result: Any = Unavailable("cut")
            if self._reaches_store(machine):
                result = self._append(message.zone, message.value, message.at)
            told = append_answer(message, result)
        self.after(STORE_S, lambda: self._tell_if_alive(machine, peer, told))

    def _tell_if_alive(self, machine: Machine, peer: str, message: Any) -> None:
        if machine.core is not None and not machine.frozen:
            self.send(machine, peer, message)

    def _newest_claims(self, zone: str) -> Newest:
        found = self.log.topics[_leases_of(zone)]
        records = tuple(
            Record(offset, key, value) for key, (offset, value) in found.newest.items()
        )
        return Newest(records, found.end)

    def _append_claim(self, machine: Machine, core: Core, action: AppendClaim) -> None:
        if self.late_appends:
            self.late_appends -= 1
            self.after(2.0, lambda: self._append_action(action))
            self._answer_lease(machine, core, action, Unknown("lost"), self.patience_s)
            return
        result = self._append_action(action)
        if machine.loses_appends or self.lose_appends:
            self.lose_appends = max(self.lose_appends - 1, 0)
            self._answer_lease(machine, core, action, Unknown("lost"), self.patience_s)
            return
        self._answer_lease(machine, core, action, result, STORE_S)

    def _append_action(self, action: AppendClaim) -> Appended | ConditionFailed:
        return self._append(action.claim.key, action.claim.encode(), action.at)

    def _append(self, key: str, value: bytes, at: int) -> Appended | ConditionFailed:
        topic = _leases_of(key)
        offset = self.log.append(topic, key, value, at)
        if offset is None:
            return ConditionFailed(self.log.topics[topic].end)
        return Appended(offset)

    def _answer_lease(
        self, machine: Machine, core: Core, action: LeaseAction, result: Any, s: float
    ) -> None:
        def step() -> None:
            if isinstance(action, ReadClaims):
                core.lease_read(action.key, result)
            else:
                core.lease_appended(action, result)

        self.after(s, lambda: self._do(machine, core, step))

    # Engines, as machines reach them

    def order(self, machine: Machine, order: Order) -> None:
        """Carry an order to its engine."""
        core = machine.core
        assert core is not None
        if not core.desk.may_send(order):
            self._answer_order(machine, core, order, OrderAnswer.NOT_SENT, 0)
            return
        self.after(LINK_S, lambda: self._arrive(machine, core, order))

    def _arrive(self, machine: Machine, core: Core, order: Order) -> None:
        engine = self.engines.get(order.upstream)
        zone = self.engine_zones.get(order.upstream, "")
        if not self._connected(machine.zone, zone):
            self._answer_order(machine, core, order, OrderAnswer.UNKNOWN, 0.25)
            return
        if engine is None:
            self._answer_order(machine, core, order, OrderAnswer.NOT_SENT, LINK_S)
            return
        self.seen.append(OrderSeen(self.now, order.upstream, machine.name, order.fence))
        if self.lose_orders:
            self.lose_orders -= 1
            self.after(3.0, lambda: self._carry_out(engine, order))
            self._answer_order(machine, core, order, OrderAnswer.UNKNOWN, 0.25)
            return
        answer = OrderAnswer.FENCED
        if order.fence >= self.refuse_below:
            status = self._carry_out(engine, order)
            answer = ANSWERS.get(status, OrderAnswer.REFUSED)
        self._answer_order(machine, core, order, answer, LINK_S)

    def _carry_out(self, engine: EngineState, order: Order) -> int:
        return engine.order(
            self.now,
            order.kind,
            order.adapter.model,
            order.adapter.name,
            order.expected,
            order.version,
        )

    def _answer_order(
        self, machine: Machine, core: Core, order: Order, answer: OrderAnswer, s: float
    ) -> None:
        step = lambda: self._settled(core, lambda: core.order_answered(order, answer))  # noqa: E731
        self.after(s, lambda: self._do(machine, core, step))

    def report(self, machine: Machine, request: AskReport) -> None:
        """Tell what an engine held a moment ago."""
        core = machine.core
        engine = self.engines.get(request.upstream)
        assert core is not None
        report = None
        zone = self.engine_zones.get(request.upstream, "")
        if engine is not None and self._connected(machine.zone, zone):
            engine.settle(self.now)
            report = EngineReport(
                engine.sequence,
                tuple(engine.models),
                (),
                {Adapter(MODEL, name): v for name, v in engine.adapters.items()},
                {Adapter(MODEL, name): v for name, (v, _) in engine.coming.items()},
            )
        step = lambda: self._settled(  # noqa: E731
            core, lambda: core.reported(request.upstream, report)
        )
        self.after(REPORT_LAG_S, lambda: self._do(machine, core, step))

    def _settled(self, core: Core, step: Callable[[], None]) -> None:
        step()
        core.settle()

    # What tests ask and read

    def ask(self, name: str, wanted: Wanted) -> None:
        """Let a request of a machine want an adapter."""
        machine = self.machines[name]
        core = machine.core
        assert core is not None
        answer = wanted.answer
        answer.add_done_callback(lambda _: self._run_request(machine, core, wanted))
        self._do(
            machine,
            core,
            lambda: self._settled(core, lambda: core.agent.wanted(wanted)),
        )

    def _run_request(self, machine: Machine, core: Core, wanted: Wanted) -> None:
        """Let a request that was placed run for a while at its engine."""
        target = wanted.answer.result()
        if not isinstance(target, Target):
            return
        engine = self.engines.get(target.upstream)
        name = wanted.adapter.name
        if engine is not None:
            engine.users[name] = engine.users.get(name, 0) + 1

        def end() -> None:
            core.agent.ended(UseEnded(wanted.id, target.upstream, UseEnd.WELL))
            core.settle()

        def leave() -> None:
            if engine is not None:
                engine.users[name] -= 1
            self._do(machine, core, end)

        self.after(RUN_S, leave)

    def holders(self, zone: str = "zone-0") -> list[str]:
        """Return the machines that may order a zone's engines by their own belief."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.core is not None
            and not machine.frozen
            and machine.core.leases.fence(zone) is not None
        ]

    def leaders(self) -> list[str]:
        """Return the machines that schedule."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.core is not None
            and not machine.frozen
            and machine.core.scheduling.leads
        ]

    def broken_turns(self, lease_s: float = 3.0) -> list[str]:
        """Return how the orders seen break the rule of one holder at a time."""
        broken = []
        for engine in {order.engine for order in self.seen}:
            orders = [order for order in self.seen if order.engine == engine]
            broken += _broken_fences(orders) + _broken_turns(orders, lease_s)
        return broken

    def fallen(self) -> list[str]:
        """Return the engines that were ordered beyond what they hold."""
        return [engine.fallen for engine in self.engines.values() if engine.fallen]


def _broken_fences(orders: list[OrderSeen]) -> list[str]:
    broken = []
    holders: dict[int, str] = {}
    highest = -1
    for order in orders:
        if order.fence < highest:
            broken.append(f"{order} follows fence {highest}")
        highest = max(highest, order.fence)
        if holders.setdefault(order.fence, order.machine) != order.machine:
            broken.append(f"{order} shares its fence with {holders[order.fence]}")
    return broken


def _broken_turns(orders: list[OrderSeen], lease_s: float) -> list[str]:
    broken = []
    for index, order in enumerate(orders):
        others = [
            middle
            for middle in orders[:index]
            if middle.machine != order.machine and order.at - middle.at < lease_s
        ]
        for middle in others:
            before = [
                first
                for first in orders
                if first.machine == order.machine
                and first.at < middle.at
                and order.at - first.at < lease_s
            ]
            if before:
                broken.append(f"{order.machine} orders again around {middle}")
    return broken


def _leases_of(zone: str) -> str:
    return f"leases/{zone}"


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)
