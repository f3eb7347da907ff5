"""Several instance cores on one manual clock, with small fakes between them.

This is for focused tests of failures: real `Instance` objects, the stand-ins'
models, and just enough of a network to kill, cut, freeze and lose answers. All
of it is deterministic for one seed.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ashhoist.actions import Order, OrderResult
from ashhoist.claims import Authority
from ashhoist.clock import ZERO, ManualClock
from ashhoist.configuration import Change, Verdict
from ashhoist.core import CoreSettings, Instance
from ashhoist.engines import order_body, parse_state
from ashhoist.failures import Failure, Outcome, Reason, Step, not_run
from ashhoist.homes import HomesTiming
from ashhoist.messages import decode, encode
from ashhoist.outside import (
    AppendResult,
    CallerRequest,
    JobId,
    Reply,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
)
from ashhoist.types import AdapterVersion, Endpoint, Job

from .engine import EngineModel, Refusal, Run
from .log_service import LogModel
from .weight_store import WeightStoreModel

REGION = "region-1"
TICK = timedelta(milliseconds=50)
HOP = timedelta(milliseconds=1)
LOG_DELAY = timedelta(milliseconds=5)
LINK_EVERY = timedelta(milliseconds=200)
LIST_EVERY = timedelta(milliseconds=500)
LOST_ANSWER = timedelta(seconds=3)


@dataclass(slots=True)
class Asked:
    """A request of a caller, and what came back."""

    request: CallerRequest
    instance: str
    asked_at: timedelta
    adapter: AdapterVersion | None = None
    upstream: str = ""
    parts: list[bytes] = field(default_factory=list)
    ended: bool = False
    whole: bool = False
    failure: Failure | None = None
    ended_at: timedelta = ZERO


@dataclass(slots=True)
class _Reader:
    """Who reads one run of an engine, and how far."""

    node: "Node"
    job: Job
    index: int
    resumed: bool


@dataclass(slots=True)
class _Service:
    name: str
    zone: str
    seconds: timedelta = timedelta(milliseconds=20)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    lost_answers: int = 0


class Node:
    """One instance and its `Outside`."""

    def __init__(self, world: "World", name: str, zone: str, number: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.incarnation = f"{name}-{number}"
        self.alive = True
        self.frozen = False
        self.stopping = False
        self.inbox: list[Callable[[], None]] = []
        self.peers: set[str] = set()
        self.followed: dict[str, int] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        self.stalls: list[float] = []
        own = Endpoint(name, zone, REGION, name)
        settings = CoreSettings(
            own,
            self.incarnation,
            HomesTiming(
                timedelta(seconds=10), timedelta(seconds=2), 0.01, world.log.retention
            ),
            zones=len(world.zones),
            loads_per_second=world.store.loads_per_second,
            log_retention=world.log.retention,
            seed=world.seed,
        )
        self.core = Instance(settings, world.clock, self)

    def call(self, function: Callable[..., Any], *args: Any) -> None:
        """Call the core, now or when it thaws; never once it is dead."""
        if not self.alive:
            return
        if self.frozen:
            self.inbox.append(lambda: function(*args))
            return
        function(*args)

    # Outside

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message; what a cut swallows is not noticed here."""
        if peer not in self.peers:
            return False
        other = self.world.nodes.get(peer)
        frame = encode([message])
        if other is not None and self.world.connected(self.name, peer):
            (copy,) = decode(frame)
            self.world.later(HOP, self._deliver, other, copy)
        return True

    def _deliver(self, other: "Node", message: Any) -> None:
        if self.name in other.peers:
            other.call(other.core.inbound.message, self.name, self.incarnation, message)

    def drop(self, peer: str) -> None:
        """Close the link to an instance."""
        self.world.unlink(self.name, peer)

    def follow(self, stream: str, offset: int) -> None:
        """Read a stream from an offset on."""
        self.followed[stream] = offset
        self.world.later(LOG_DELAY, self.world.read_log, self, stream)

    def append(self, stream: str, operation: str, record: dict[str, Any]) -> None:
        """Append a record."""
        self.world.later(
            LOG_DELAY, self.world.append_log, self, stream, operation, record
        )

    def dispatch(self, job: Job, address: str) -> None:
        """Send a job to its upstream."""
        if not self.world.connected(self.name, address):
            failure = not_run(Reason.UPSTREAM_UNREACHABLE, Step.DISPATCH, address)
            self.world.later(
                HOP, self.call, self.core.answers.dispatch_done, job.id, 0, failure
            )
            return
        if address in self.world.services:
            self.world.later(HOP, self.world.run_service, self, job, address)
        else:
            self.world.later(HOP, self.world.run_engine, self, job, address)

    def resume(self, job: Job, address: str, index: int) -> None:
        """Go on with a stream of an engine."""
        self.world.later(HOP, self.world.resume_run, self, job, address, index)

    def cancel(self, job: Job, address: str) -> None:
        """Cancel a job."""
        engine = self.world.engines.get(address)
        if engine is not None and self.world.connected(self.name, address):
            self.world.later(HOP, engine.cancel, job.id)
        failure = Failure(Reason.CALLER_LEFT, Outcome.UNKNOWN, Step.ANSWER, address)
        self.world.later(
            2 * HOP, self.call, self.core.answers.dispatch_done, job.id, 0, failure
        )

    def pause(self, job_id: JobId, paused: bool) -> None:
        """Ignore flow control: the fake callers take everything."""

    def send_order(self, order: Order, address: str, authority: Authority) -> None:
        """Send an order, if the authority still holds right now."""
        now = self.world.clock.monotonic()
        bound = self.core.settings.timing.send_bound
        reachable = self.world.connected(self.name, address)
        if not reachable or not authority.may_order(now, bound):
            result = OrderResult.NOT_SENT
            self.world.later(HOP, self.call, self.core.order_done, order, result)
            return
        self.world.later(
            HOP + self.world.order_delay, self.world.take_order, self, order, address
        )

    def read_engine(self, upstream: str, address: str, token: int, number: int) -> None:
        """Read an engine back."""
        self.world.later(
            HOP, self.world.read_engine, self, upstream, address, (token, number)
        )

    def reply(self, request_id: str, reply: Reply) -> None:
        """Hand a piece of the answer to the caller."""
        self.world.replied(request_id, reply)

    def count(self, metric: str, *labels: str) -> None:
        """Count one event."""
        self.counts[metric, labels[0] if labels else ""] += 1

    def observe(self, metric: str, value: float) -> None:
        """Ignore measured values."""


class World:
    """The instances, the upstreams, the platform and the trouble.

    Parameters
    ----------
    zones : list of str
        Availability zones.
    seed : int
        Of all random choices.
    """

    def __init__(self, zones: list[str], seed: int = 0, loads: float = 2.0) -> None:
        self.zones = zones
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.log = LogModel()
        self.store = WeightStoreModel(loads)
        self.nodes: dict[str, Node] = {}
        self.engines: dict[str, EngineModel] = {}
        self.services: dict[str, _Service] = {}
        self.zone_of: dict[str, str] = {}
        self.listed: dict[str, Endpoint] = {}
        self.list_lag = timedelta(milliseconds=500)
        self.list_down = False
        self.cuts: set[frozenset[str]] = set()
        self.asked: dict[str, Asked] = {}
        self.lost_order_answers = 0
        self.lost_append_answers = 0
        self.order_delay = ZERO
        self.leaving_at: dict[str, timedelta] = {}
        self.work: list[tuple[str, timedelta]] = []
        self.decided: dict[str, Any] = {}
        self.violations: list[str] = []
        self._offsets: dict[str, int] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._readers: dict[tuple[str, JobId], list[_Reader]] = defaultdict(list)
        self._events: list[tuple[timedelta, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()
        self._requests = itertools.count()
        self._births = itertools.count()
        self.later(TICK, self._tick)
        self.later(LINK_EVERY, self._link_all)
        self.later(LIST_EVERY, self._list_all)

    # Time

    def later(
        self, delay: timedelta, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function after a delay."""
        at = self.clock.monotonic() + delay
        heapq.heappush(self._events, (at, next(self._numbers), function, args))

    def run(self, duration: timedelta) -> None:
        """Let time pass."""
        end = self.clock.monotonic() + duration
        while True:
            due = self._next()
            if due is None or due > end:
                break
            self._go_to(due)
            while self._events and self._events[0][0] <= due:
                _, _, function, args = heapq.heappop(self._events)
                function(*args)
            self._move_engines()
        self._go_to(end)
        self._move_engines()

    def _next(self) -> timedelta | None:
        dues = [engine.next_at() for engine in self.engines.values()]
        dues.append(self.store.next_at())
        if self._events:
            dues.append(self._events[0][0])
        known = [due for due in dues if due is not None]
        return max(min(known), self.clock.monotonic()) if known else None

    def _go_to(self, at: timedelta) -> None:
        self.clock.advance(max(ZERO, at - self.clock.monotonic()))

    def _move_engines(self) -> None:
        now = self.clock.monotonic()
        for ended in self.store.advance(now):
            ended()
        for name, engine in self.engines.items():
            for run in engine.advance(now):
                self._produced(name, run)

    def _tick(self) -> None:
        for node in list(self.nodes.values()):
            if node.alive and not node.frozen:
                node.core.tick()
                self._watch_offset(node)
                if node.stopping and node.core.idle:
                    self.end_node(node)
        self.later(TICK, self._tick)

    def _watch_offset(self, node: Node) -> None:
        state = node.core.changes.state
        before = self._offsets.get(node.incarnation, -1)
        if state.offset < before:
            self.violations.append(f"configuration of {node.name} went back")
        if state.offset == before:
            return
        self._offsets[node.incarnation] = state.offset
        for kind in state.by_kind.values():
            for resource in kind.values():
                key = (node.incarnation, f"{resource.kind}/{resource.name}")
                if resource.version < self._versions.get(key, -1):
                    self.violations.append(f"{key} went back")
                self._versions[key] = resource.version

    # Members

    def add_node(self, name: str, zone: str) -> Node:
        """Start an instance."""
        node = Node(self, name, zone, next(self._births))
        self.nodes[name] = node
        self.zone_of[name] = zone
        self._list(Endpoint(name, zone, REGION, name))
        node.core.start()
        return node

    def add_engine(self, name: str, zone: str, slots: int, checks_fence: bool) -> None:
        """Start an engine."""
        self.engines[name] = EngineModel(
            name, slots, 8, checks_fence=checks_fence, store=self.store
        )
        self.zone_of[name] = zone
        self._list(Endpoint(name, zone, REGION, name, False, "engine"))

    def add_service(self, name: str, zone: str) -> None:
        """Start a plain service."""
        self.services[name] = _Service(name, zone)
        self.zone_of[name] = zone
        self._list(Endpoint(name, zone, REGION, name, False, "service"))

    def _list(self, endpoint: Endpoint) -> None:
        self.later(self.list_lag, self.listed.__setitem__, endpoint.name, endpoint)

    def leave(self, name: str) -> None:
        """Show an upstream as leaving."""
        endpoint = self.listed[name]
        kind = endpoint.kind
        left = Endpoint(name, endpoint.zone, REGION, name, True, kind)
        self._list(left)
        self.leaving_at[name] = self.clock.monotonic() + self.list_lag

    def kill(self, name: str) -> None:
        """End an instance at once."""
        self.end_node(self.nodes[name], listed_for=timedelta(seconds=30))

    def end_node(self, node: Node, listed_for: timedelta = ZERO) -> None:
        """End an instance; its links break at once."""
        for asked in self.asked.values():
            if asked.instance == node.name and not asked.ended:
                if node.stopping:
                    text = f"planned stop of {node.name} cut off a request"
                    self.violations.append(text)
                asked.ended = True
        node.alive = False
        for peer in list(node.peers):
            self.unlink(node.name, peer)
        if self.nodes.get(node.name) is node:
            del self.nodes[node.name]
        self.later(listed_for, self._unlist, node)

    def _unlist(self, node: Node) -> None:
        if node.name not in self.nodes:
            self.listed.pop(node.name, None)

    def stop(self, name: str) -> None:
        """Stop an instance on plan."""
        node = self.nodes[name]
        endpoint = Endpoint(name, node.zone, REGION, name, True)
        self._list(endpoint)

        def begin() -> None:
            node.stopping = True
            node.core.stop()

        node.call(begin)

    def freeze(self, name: str) -> None:
        """Pause an instance: it does nothing, and its clock goes on."""
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Let a paused instance go on; it gets all that came meanwhile."""
        node = self.nodes.get(name)
        if node is None:
            return
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        # It ticks first: a paused process often acts before it reads.
        node.call(node.core.tick)
        for function in inbox:
            node.call(function)

    # Network

    def connected(self, one: str, other: str) -> bool:
        """Return whether two members can reach each other."""
        for a in (one, self.zone_of.get(one, one)):
            for b in (other, self.zone_of.get(other, other)):
                if a != b and frozenset((a, b)) in self.cuts:
                    return False
        return True

    def cut(self, one: str, other: str) -> None:
        """Cut two members, two zones or a zone and the platform off."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def unlink(self, one: str, other: str) -> None:
        """Break a link; the other side notices if it can be reached."""
        near, far = self.nodes.get(one), self.nodes.get(other)
        for node, peer in ((near, other), (far, one)):
            if node is None or peer not in node.peers:
                continue
            if node is far and not self.connected(one, other):
                continue
            node.peers.discard(peer)
            self.later(HOP, node.call, node.core.peer_down, peer)

    def _link_all(self) -> None:
        for one, other in itertools.combinations(sorted(self.nodes), 2):
            a, b = self.nodes[one], self.nodes[other]
            up = a.alive and b.alive and not a.frozen and not b.frozen
            if not up or not self.connected(one, other):
                continue
            if other in a.peers and one in b.peers:
                continue
            if not {one, other} <= set(self.listed):
                continue
            for node, peer in ((a, b), (b, a)):
                if peer.name in node.peers:
                    node.call(node.core.peer_down, peer.name)
                node.peers.add(peer.name)
            for node, peer in ((a, b), (b, a)):
                self.later(
                    HOP, node.call, node.core.peer_up, peer.name, peer.incarnation
                )
        self.later(LINK_EVERY, self._link_all)

    def _list_all(self) -> None:
        for node in list(self.nodes.values()):
            if not self.list_down and self.connected(node.name, "platform"):
                node.call(node.core.instance_list, list(self.listed.values()))
        self.later(LIST_EVERY, self._list_all)

    # Log

    def append_log(
        self, node: Node, stream: str, operation: str, record: dict[str, Any]
    ) -> None:
        """Make an append, and tell the instance, or not."""
        result = AppendResult.REFUSED
        if self.connected(node.name, "platform"):
            offset = self.log.append(stream, record, self.clock.monotonic())
            if offset is not None:
                result = AppendResult.APPENDED
        if result is AppendResult.APPENDED and self.lost_append_answers > 0:
            self.lost_append_answers -= 1
            result = AppendResult.UNKNOWN
        wait = LOST_ANSWER if result is AppendResult.UNKNOWN else LOG_DELAY
        self.later(wait, node.call, node.core.appended, stream, operation, result)
        if result is not AppendResult.REFUSED:
            for reader in list(self.nodes.values()):
                self.later(LOG_DELAY, self.read_log, reader, stream, False)

    def read_log(self, node: Node, stream: str, again: bool = True) -> None:
        """Bring an instance what a stream has for it."""
        if not node.alive:
            return
        if again:
            self.later(timedelta(seconds=1), self.read_log, node, stream)
        reachable = self.connected(node.name, "platform") and not self.log.down
        if stream not in node.followed or not reachable or node.frozen:
            return
        now = self.clock.monotonic()
        records, following = self.log.read(stream, node.followed[stream], 1000, now)
        node.followed[stream] = following
        if records or again:
            node.call(node.core.records, stream, records, True)

    # Engines

    def run_engine(self, node: Node, job: Job, address: str) -> None:
        """Let an engine take a job."""
        engine = self.engines[address]
        assert job.adapter is not None
        self._note_work(node, address)
        run = Run(
            job.request_id,
            job.attempt,
            str(job.adapter),
            job.tokens,
            int(job.priority),
            job.request_id,
        )
        engine.now = self.clock.monotonic()
        taken = engine.submit(run)
        if isinstance(taken, Refusal):
            reasons = {
                "not_loaded": Reason.NOT_RESIDENT,
                "leaving": Reason.UPSTREAM_LEAVING,
            }
            reason = reasons.get(taken.error, Reason.UPSTREAM_REFUSED)
            failure = not_run(reason, Step.DISPATCH, address)
            self.later(
                HOP, node.call, node.core.answers.dispatch_done, job.id, 0, failure
            )
            return
        self._readers[address, job.id].append(_Reader(node, job, 0, False))
        self.later(
            HOP,
            node.call,
            node.core.answers.dispatch_head,
            job.id,
            200,
            {},
            engine.incarnation,
        )

    def _note_work(self, node: Node, address: str) -> None:
        """Note new work, unless the instance can't know who is leaving.

        That is so while neither it nor any instance that it reaches sees the
        platform's list.
        """
        sees = [
            other.name
            for other in self.nodes.values()
            if not self.list_down and self.connected(other.name, "platform")
        ]
        if any(self.connected(node.name, name) for name in sees):
            self.work.append((address, self.clock.monotonic()))

    def resume_run(self, node: Node, job: Job, address: str, index: int) -> None:
        """Go on with a stream, if the engine still has it."""
        run = self.engines[address].runs_by_id.get(job.id)
        if run is None or not self.connected(node.name, address):
            failure = Failure(
                Reason.ANSWER_CUT, Outcome.FAILED, Step.ANSWER, address, "gone"
            )
            self.later(
                HOP, node.call, node.core.answers.resumed_done, job, index, failure
            )
            return
        reader = _Reader(node, job, index, True)
        self._readers[address, job.id].append(reader)
        self._bring(address, run, reader)

    def _produced(self, address: str, run: Run) -> None:
        for reader in list(self._readers.get((address, run.id), ())):
            self._bring(address, run, reader)
        if run.ended:
            self._readers.pop((address, run.id), None)

    def _bring(self, address: str, run: Run, reader: _Reader) -> None:
        node, job = reader.node, reader.job
        if not self.connected(node.name, address):
            return
        core = node.core
        while reader.index < run.produced:
            data = run.token(reader.index).encode()
            if reader.resumed:
                self.later(
                    HOP,
                    node.call,
                    core.answers.resumed_data,
                    job,
                    reader.index,
                    1,
                    data,
                )
            else:
                self.later(
                    HOP,
                    node.call,
                    core.answers.dispatch_data,
                    job.id,
                    reader.index,
                    1,
                    data,
                )
            reader.index += 1
        if not run.ended:
            return
        if reader.resumed:
            self.later(
                HOP, node.call, core.answers.resumed_done, job, reader.index, None
            )
        else:
            self.later(
                HOP, node.call, core.answers.dispatch_done, job.id, reader.index, None
            )

    def restart(self, name: str) -> None:
        """Restart an engine empty; open answers are cut."""
        engine = self.engines[name]
        engine.restart()
        for (address, _), readers in list(self._readers.items()):
            if address != name:
                continue
            for reader in readers:
                self._cut_answer(name, reader)
            del self._readers[address, _]

    def _cut_answer(self, address: str, reader: _Reader) -> None:
        node, job = reader.node, reader.job
        failure = Failure(Reason.ANSWER_CUT, Outcome.FAILED, Step.ANSWER, address)
        if reader.resumed:
            self.later(
                HOP,
                node.call,
                node.core.answers.resumed_done,
                job,
                reader.index,
                failure,
            )
        else:
            self.later(
                HOP,
                node.call,
                node.core.answers.dispatch_done,
                job.id,
                reader.index,
                failure,
            )

    def take_order(self, node: Node, order: Order, address: str) -> None:
        """Let an engine take an order; its answer may be lost."""
        engine = self.engines[address]
        engine.now = self.clock.monotonic()
        lost = self.lost_order_answers > 0
        self.lost_order_answers -= 1 if lost else 0
        results = {"load_failed": OrderResult.FAILED, "": OrderResult.DONE}

        def finished(error: str) -> None:
            result = results.get(error)
            if result is None:
                result = OrderResult(error)
            if lost or not self.connected(node.name, address):
                result = OrderResult.UNKNOWN
                self.later(LOST_ANSWER, node.call, node.core.order_done, order, result)
                return
            self.later(HOP, node.call, node.core.order_done, order, result)

        engine.order(order_body(order), finished)

    def read_engine(
        self, node: Node, upstream: str, address: str, fence: tuple[int, int]
    ) -> None:
        """Bring an instance an engine's state."""
        engine = self.engines.get(address)
        if engine is None or not self.connected(node.name, address):
            self.later(HOP, node.call, node.core.engine_state, upstream, None)
            return
        engine.now = self.clock.monotonic()
        found = engine.read(fence)
        state = parse_state(found)
        self.later(HOP, node.call, node.core.engine_state, upstream, state)

    # Services

    def run_service(self, node: Node, job: Job, address: str) -> None:
        """Let a service run a job; its answer may be lost."""
        service = self.services[address]
        service.runs_by_key[job.key or job.request_id] += 1
        service.runs_by_request[job.request_id] += 1
        self._note_work(node, address)
        if service.lost_answers > 0:
            service.lost_answers -= 1
            failure = Failure(Reason.ANSWER_CUT, Outcome.UNKNOWN, Step.ANSWER, address)
            self.later(
                LOST_ANSWER,
                node.call,
                node.core.answers.dispatch_done,
                job.id,
                0,
                failure,
            )
            return
        self.later(service.seconds, self._served, node, job, address)

    def _served(self, node: Node, job: Job, address: str) -> None:
        core = node.core
        if not self.connected(node.name, address):
            failure = Failure(Reason.ANSWER_CUT, Outcome.UNKNOWN, Step.ANSWER, address)
            self.later(
                LOST_ANSWER, node.call, core.answers.dispatch_done, job.id, 0, failure
            )
            return
        data = f"done {job.request_id}".encode()
        node.call(core.answers.dispatch_head, job.id, 200, {}, "")
        node.call(core.answers.dispatch_data, job.id, 0, len(data), data)
        node.call(core.answers.dispatch_done, job.id, len(data), None)

    # Callers and operators

    def ask(self, instance: str, **options: Any) -> Asked:
        """Make a caller's request at an instance."""
        request = CallerRequest(f"r{next(self._requests)}", **options)
        asked = Asked(request, instance, self.clock.monotonic())
        self.asked[request.request_id] = asked
        node = self.nodes[instance]
        node.call(node.core.submit, request)
        return asked

    def vanish(self) -> None:
        """Let the callers of all open requests go."""
        for request_id, asked in self.asked.items():
            node = self.nodes.get(asked.instance)
            if asked.ended or node is None:
                continue
            asked.ended = True
            node.call(node.core.caller_left, request_id)

    def replied(self, request_id: str, reply: Reply) -> None:
        """Take a piece of an answer."""
        asked = self.asked[request_id]
        if asked.ended:
            self.violations.append(f"{request_id} got {reply} after its end")
            return
        if isinstance(reply, ReplyHead):
            asked.adapter = reply.adapter
            asked.upstream = reply.upstream
        elif isinstance(reply, ReplyData):
            asked.parts.append(reply.data)
        else:
            asked.ended = True
            asked.ended_at = self.clock.monotonic()
            asked.whole = isinstance(reply, ReplyEnd)
            if isinstance(reply, ReplyFailure):
                asked.failure = reply.failure

    def change(
        self,
        instance: str,
        change: Change,
        decided: Callable[[Any], None] | None = None,
    ) -> None:
        """Make an operator's change at an instance."""
        node = self.nodes[instance]

        def settled(decision: Any) -> None:
            self.decided[change.operation] = decision
            if decided is not None:
                decided(decision)

        node.call(node.core.change, change, settled)

    # What must always hold

    def broken_promises(self) -> list[str]:
        """Return every way in which a promise was broken."""
        broken = list(self.violations)
        for name, engine in self.engines.items():
            broken += [f"{name}: {text}" for text in engine.violations]
        for asked in self.asked.values():
            broken += self._broken_by(asked)
        for name, at in self.leaving_at.items():
            broken += self._late_work(name, at)
        return broken + self._double_winners()

    def _double_winners(self) -> list[str]:
        """Return the races of operators that more than one of them won."""
        winners: Counter[str] = Counter()
        for operation, decision in self.decided.items():
            won = getattr(decision, "verdict", None) is Verdict.ACCEPTED
            if operation.startswith("race-") and won:
                winners[operation.rpartition("-")[0]] += 1
        return [
            f"{name} was won {count} times"
            for name, count in winners.items()
            if count > 1
        ]

    def _broken_by(self, asked: Asked) -> list[str]:
        request = asked.request
        runs = self.runs_of(request)
        broken = []
        if not request.repeatable and runs > 1:
            broken.append(f"{request.request_id} ({request.key}) ran {runs} times")
        failure = asked.failure
        if failure is not None and failure.outcome is Outcome.NOT_RUN:
            if self._ran(request):
                broken.append(f"{request.request_id} was told not run, but ran")
        if asked.whole:
            broken += self._wrong_answer(asked)
        return broken

    def _wrong_answer(self, asked: Asked) -> list[str]:
        request = asked.request
        text = b"".join(asked.parts).decode()
        if request.service:
            expected = f"done {request.request_id}"
        else:
            expected = "".join(
                f"{asked.adapter}#{request.request_id}#{index} "
                for index in range(request.tokens)
            )
            name, _, version = request.model.partition("@")
            served = asked.adapter
            if served is None or served.name != name:
                return [f"{request.request_id} asked {request.model}, got {served}"]
            if version and served.version != version:
                return [f"{request.request_id} asked {request.model}, got {served}"]
        if text != expected:
            return [f"{request.request_id} got {text!r}, not {expected!r}"]
        return []

    def runs_of(self, request: CallerRequest) -> int:
        """Return how often a request, or its key, has run."""
        key = request.key or request.request_id
        count = sum(service.runs_by_key[key] for service in self.services.values())
        for engine in self.engines.values():
            count += sum(1 for run in engine.started if run[0] == request.request_id)
        return count

    def _ran(self, request: CallerRequest) -> bool:
        if request.service:
            return any(
                service.runs_by_request[request.request_id]
                for service in self.services.values()
            )
        return self.runs_of(request) > 0

    def _late_work(self, name: str, left_at: timedelta) -> list[str]:
        work = [at for upstream, at in self.work if upstream == name]
        late = [at for at in work if at > left_at + timedelta(seconds=2)]
        return [f"{name} was leaving and got work at {at}" for at in late]
