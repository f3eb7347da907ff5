"""The control task: one thread that owns the `Core` and carries out its wishes."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..http import Pool
from ..instances import Links, Peers, news
from ..logs import Logger
from ..orders import AppendClaim, LeaseAction, Order, OrderAnswer, ReadClaims
from ..placement.actions import AskReport
from ..placement.asks import (
    NoLongerWanted,
    UseBegan,
    UseEnded,
    UseStarted,
    Wanted,
)
from ..store import Appended, AppendResult, Newest, SharedLog, Topic, Unavailable
from ..store.follower import Followed, FollowerState
from ..tasks import Task, handles
from ..types import Endpoint
from . import messages
from .core import Core
from .engines import EngineControl, OrderDone, ReportDone
from .lease_calls import append_answer, read_answer
from .order_leases import partition_of
from .peers import InstanceRecord

IDLE_SECONDS = 0.1
BUSY_SECONDS = 0.015
PATIENCE = timedelta(milliseconds=350)
"""For store calls of the lease: another instance may still be asked in time."""

Tell = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The answer to `ReadClaims`."""

    zone: str
    result: Newest | Unavailable


@dataclass(frozen=True, slots=True)
class LeaseAppended:
    """The answer to `AppendClaim`."""

    action: AppendClaim
    result: Any


@dataclass(frozen=True, slots=True)
class InstancesRead:
    """The registered instances."""

    records: list[InstanceRecord]


@dataclass(frozen=True, slots=True)
class Look:
    """Run a read-only function on the core; the future gets its result."""

    function: Callable[[Core], Any]
    result: "Future[Any]" = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The settings name other instances to ask first."""

    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopOnPlan:
    """Begin a planned stop."""


class StoreCalls:
    """Store calls for the leases and the register, off the control task.

    Each lease, and each lease of others, has a connection and a turn of its own:
    a call that hangs holds up no other.

    Parameters
    ----------
    open_log : callable
        Returns a new connection to the shared log.
    send : callable
        Takes the answers to the control task.
    """

    def __init__(
        self,
        own: InstanceRecord,
        open_log: Callable[[], SharedLog],
        send: Callable[[Any], None],
        executor: Executor,
        log: Logger,
    ) -> None:
        self._own = own
        self._open_log = open_log
        self._send = send
        self._executor = executor
        self._log = log
        self._lock = threading.Lock()
        self._lines: dict[str, _Line] = {}

    def _line(self, use: str) -> "_Line":
        with self._lock:
            line = self._lines.get(use)
            if line is None:
                line = self._lines[use] = _Line(self._open_log(), threading.Lock())
            return line

    def lease_call(self, action: LeaseAction) -> None:
        """Make a call for a lease; there is one at a time for each."""
        self._executor.submit(self._lease_call, action)

    def _lease_call(self, action: LeaseAction) -> None:
        if isinstance(action, ReadClaims):
            self._send(LeaseRead(action.key, self._read_claims("own", action.key)))
            return
        claim = action.claim
        result = self._append_claim("own", claim.key, claim.encode(), action.at)
        self._send(LeaseAppended(action, result))

    def lease_call_for(
        self, message: messages.ReadClaimsFor | messages.AppendClaimFor, tell: Tell
    ) -> None:
        """Make a call for the lease of another instance."""
        self._executor.submit(self._lease_call_for, message, tell)

    def _lease_call_for(
        self, message: messages.ReadClaimsFor | messages.AppendClaimFor, tell: Tell
    ) -> None:
        zone = message.zone
        if isinstance(message, messages.ReadClaimsFor):
            tell(read_answer(message, self._read_claims("other", zone)))
            return
        result = self._append_claim("other", zone, message.value, message.at)
        tell(append_answer(message, result))

    def _read_claims(self, use: str, zone: str) -> Newest | Unavailable:
        line = self._line(f"{use}/{zone}")
        with line.turn:
            return line.log.newest(Topic.LEASES, PATIENCE, partition_of(zone))

    def _append_claim(self, use: str, zone: str, value: bytes, at: int) -> AppendResult:
        line = self._line(f"{use}/{zone}")
        part = partition_of(zone)
        with line.turn:
            return line.log.append(Topic.LEASES, zone, value, at, PATIENCE, part)

    def register(self) -> None:
        """Register this instance and read who else is there."""
        self._executor.submit(self._register)

    def _register(self) -> None:
        line = self._line("register")
        with line.turn:
            # First the own record, then the others': of two instances that start
            # at once, at least one sees the other.
            done = line.log.append(
                Topic.INSTANCES, self._own.name, self._own.encode(), None
            )
            found = line.log.newest(Topic.INSTANCES)
        if not isinstance(done, Appended):
            self._log.warning("not registered", result=type(done).__name__)
            return
        if isinstance(found, Unavailable):
            self._log.warning("register not read", detail=found.detail)
            return
        decoded = [InstanceRecord.decode(record) for record in found.records]
        records = [record for record in decoded if record is not None]
        self._send(InstancesRead(records))

    def unregister(self) -> None:
        """Remove this instance from the register."""
        self._executor.submit(self._unregister)

    def _unregister(self) -> None:
        line = self._line("register")
        with line.turn:
            line.log.append(Topic.INSTANCES, self._own.name, b"", None)


@dataclass(frozen=True, slots=True)
class _Line:
    """A connection to the log, and whose turn it is on it."""

    log: SharedLog
    turn: threading.Lock


class ControlTask(Task):
    """Owns the core; also its `Outside`."""

    def __init__(self, log: Logger, clock: Clock) -> None:
        super().__init__("control", log, timedelta(seconds=IDLE_SECONDS))
        self._clock = clock
        self.core: Core
        self._links: Links
        self._store: StoreCalls
        self._engines: EngineControl
        self._pool: Pool
        self._read_now: Callable[[Topic], None]

    def connect(
        self,
        core: Core,
        links: Links,
        store: StoreCalls,
        engines: EngineControl,
        pool: Pool,
        read_now: Callable[[Topic], None],
    ) -> None:
        """Set what the task works with, once, before it starts."""
        self.core = core
        self._links = links
        self._store = store
        self._engines = engines
        self._pool = pool
        self._read_now = read_now

    def opened(self) -> None:
        """Begin."""
        self.core.start()

    def interval(self) -> float:
        """Return a shorter interval while loads are due."""
        scheduler = self.core.scheduling.scheduler
        busy = scheduler is not None and scheduler.busy
        return BUSY_SECONDS if busy else IDLE_SECONDS

    def settle(self) -> None:
        """Do what is due after a round of messages."""
        self.core.settle()

    def tick(self) -> None:
        """Do what is due by time."""
        self.core.tick()

    # Outside

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance."""
        return self._links.send_to(peer, message)

    def drop(self, peer: str, reason: str) -> None:
        """Break the link to an instance."""
        self._links.drop(peer, reason)

    def link(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Say which instances there should be links to, and who dials."""
        self._links.send(Peers(endpoints, dials_all))

    def lease_call(self, action: LeaseAction) -> None:
        """Make a store call for the lease."""
        self._store.lease_call(action)

    def lease_call_for(self, peer: str, message: Any) -> None:
        """Make a store call for another instance's lease."""
        self._store.lease_call_for(message, lambda answer: self._tell(peer, answer))

    def _tell(self, peer: str, message: Any) -> None:
        self._links.send_to(peer, message)

    def read_now(self, topic: Topic) -> None:
        """Read a topic of the log once, and now."""
        self._read_now(topic)

    def register(self) -> None:
        """Register this instance."""
        self._store.register()

    def unregister(self) -> None:
        """Remove this instance."""
        self._store.unregister()

    def order(self, order: Order) -> None:
        """Send an order."""
        self._engines.order(order)

    def report(self, request: AskReport) -> None:
        """Ask an engine what it holds."""
        self._engines.report(request)

    def forget_upstream(self, upstream: str) -> None:
        """Drop what is kept for an upstream that has gone."""
        self._pool.forget(upstream)
        self._engines.forget(upstream)

    # Messages

    @handles(Followed)
    def _followed(self, followed: Followed) -> None:
        self.core.followed(followed)

    @handles(FollowerState)
    def _follower_state(self, state: FollowerState) -> None:
        """Pass over: the follower has logged it, and what was read has its age."""

    @handles(LeaseRead)
    def _lease_read(self, message: LeaseRead) -> None:
        self.core.lease_read(message.zone, message.result)

    @handles(LeaseAppended)
    def _lease_appended(self, message: LeaseAppended) -> None:
        self.core.lease_appended(message.action, message.result)

    @handles(InstancesRead)
    def _instances(self, message: InstancesRead) -> None:
        self.core.instances(message.records)

    @handles(news.PeerUp)
    def _peer_up(self, message: news.PeerUp) -> None:
        self.core.peer_up(message.peer)

    @handles(news.PeerDown)
    def _peer_down(self, message: news.PeerDown) -> None:
        self.core.peer_down(message.peer)

    @handles(news.PeerMessages)
    def _peer_messages(self, message: news.PeerMessages) -> None:
        for item in message.messages:
            self.core.peer_message(message.peer, item)

    @handles(Wanted)
    def _wanted(self, message: Wanted) -> None:
        self.core.agent.wanted(message)

    @handles(NoLongerWanted)
    def _no_longer_wanted(self, message: NoLongerWanted) -> None:
        self.core.agent.no_longer_wanted(message)

    @handles(UseBegan)
    def _use_began(self, message: UseBegan) -> None:
        self.core.agent.began(message)

    @handles(UseStarted)
    def _use_started(self, message: UseStarted) -> None:
        self.core.agent.started(message)

    @handles(UseEnded)
    def _use_ended(self, message: UseEnded) -> None:
        self.core.agent.ended(message)

    @handles(OrderDone)
    def _order_done(self, message: OrderDone) -> None:
        self.core.order_answered(message.order, message.answer)

    @handles(ReportDone)
    def _report_done(self, message: ReportDone) -> None:
        self.core.reported(message.upstream, message.report)

    @handles(Look)
    def _look(self, message: Look) -> None:
        message.result.set_result(message.function(self.core))

    @handles(SeedsChanged)
    def _seeds_changed(self, message: SeedsChanged) -> None:
        self.core.set_seeds(message.seeds)

    @handles(StopOnPlan)
    def _stop_on_plan(self, message: StopOnPlan) -> None:
        self.core.stop()


__all__ = ["ControlTask", "Look", "OrderAnswer", "StopOnPlan", "StoreCalls"]
