"""One instance without sockets and threads: all its parts put together.

Everything comes in as a method call and goes out through `Outside`, so the tests
run several instances on one manual clock with small fakes between them. The
daemon's core task owns one `Instance` and calls it from one thread.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from . import actions, claims, keys, messages
from .admission import RetryBudget
from .answers import Answers
from .appends import Append, AppendBudget, AppendPriority
from .changes import SNAPSHOT_STREAM, Changes, Decided, Watcher
from .clock import Clock
from .configuration import STREAM as CONFIGURATION, Change, Event
from .entry import Entry
from .failures import Failure
from .grants import Grants
from .home import EngineState
from .homes import Homes, HomesTiming, UpstreamSettings
from .inbound import Inbound
from .membership import Membership, rank
from .outside import AppendResult, CallerRequest, Outside
from .policies import DEFAULT_WEIGHTS, PolicyOptions, UpstreamView, create
from .residency import Residency
from .resources import PolicySpec
from .routes import Routes
from .types import Endpoint, Job, Priority

SNAPSHOT_KEY = "snapshot-writer"
SNAPSHOT_PATIENCE = timedelta(seconds=20)
HEARTBEATS_AT_ONCE = 8
SLOW_TICK = timedelta(milliseconds=250)
APPEND_PRIORITIES = {
    claims.STREAM: AppendPriority.CLAIM,
    CONFIGURATION: AppendPriority.CONFIGURATION,
    keys.STREAM: AppendPriority.KEY,
    SNAPSHOT_STREAM: AppendPriority.SNAPSHOT,
}
KEY_WINDOW = timedelta(hours=1)


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """What an instance needs to know from its settings."""

    own: Endpoint
    incarnation: str
    timing: HomesTiming
    heartbeat: timedelta = timedelta(seconds=1)
    suspect_after: timedelta = timedelta(seconds=3)
    zones: int = 3
    loads_per_second: float = 2.0
    loads_at_once: int = 1
    load_timeout: timedelta = timedelta(seconds=30)
    appends_per_second: float = 100.0
    log_retention: timedelta = timedelta(hours=24)
    retry_share: float = 0.1
    window_bytes: int = 262_144
    queue_length: int = 256
    seed: int = 0


class Instance:
    """The whole state of one instance."""

    def __init__(self, settings: CoreSettings, clock: Clock, outside: Outside) -> None:
        self.settings = settings
        self.clock = clock
        self.outside = outside
        self.name = settings.own.name
        self.random = random.Random(f"{settings.seed}{settings.incarnation}")
        self.membership = Membership(settings.own, settings.suspect_after)
        self.membership.by_name[self.name] = settings.own
        self.residency = Residency()
        self.inbound = Inbound(self)
        self.routes = Routes(self)
        self.answers = Answers(self)
        self.grants = Grants(self, settings)
        self.changes = Changes(
            clock, self._append, self._configuration_changed, settings.log_retention
        )
        self.policy = create("weighted", PolicyOptions())
        self.homes = Homes(
            f"{self.name}/{settings.incarnation}",
            self.membership,
            settings.timing,
            clock,
            outside,
            self,
            self.policy,
            self.random,
        )
        self.entry = Entry(
            self.name, self.routes, outside, clock, RetryBudget(settings.retry_share)
        )
        self.key_recorder = keys.KeyRecorder(
            keys.KeyFold(KEY_WINDOW),
            clock,
            self.new_operation,
            lambda operation, record: self._append(keys.STREAM, operation, record),
            self._key_answered,
        )
        self.budget = AppendBudget(settings.appends_per_second)
        self.stopping = False
        self.claims_read = False
        self.listed = False
        self.log_read_at: timedelta | None = None
        self._operations = 0
        self.peers: set[str] = set()
        self._beat_at: timedelta | None = None
        self._beats = 0
        self._slow_at: timedelta | None = None
        self._snapshot_due_since: timedelta | None = None
        self._following = False
        self._followed_from = -1
        self._gap_seen = False

    # Identity

    def new_operation(self) -> str:
        """Return an operation id that is used once."""
        self._operations += 1
        return f"{self.name}/{self.settings.incarnation}/{self._operations}"

    @property
    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        known = self.changes.caught_up and self.claims_read and self.listed
        return known and not self.stopping

    # Appends

    def append(
        self,
        priority: AppendPriority,
        stream: str,
        operation: str,
        record: dict[str, Any],
    ) -> None:
        """Queue an append."""
        self.budget.add(priority, Append(stream, operation, record))
        self._send_appends()

    def _append(self, stream: str, operation: str, record: dict[str, Any]) -> None:
        self.append(APPEND_PRIORITIES[stream], stream, operation, record)

    def _send_appends(self) -> None:
        for append in self.budget.due(self.clock.monotonic()):
            self.outside.append(append.stream, append.operation, append.record)

    def appended(self, stream: str, operation: str, result: AppendResult) -> None:
        """Take in how an append ended; its record is read back in any case."""
        self.outside.count("appends", stream, result)
        if result is not AppendResult.REFUSED:
            return
        if stream == CONFIGURATION:
            self.changes.append_refused(operation)
        if stream == claims.STREAM:
            self.homes.append_refused(operation)
        if stream == keys.STREAM:
            self.key_recorder.refused(operation, self.clock.monotonic())

    # What is read from the log

    def start(self) -> None:
        """Begin to read the log: snapshots first, then what follows them."""
        for stream in (SNAPSHOT_STREAM, claims.STREAM, keys.STREAM):
            self.outside.follow(stream, 0)

    def records(
        self, stream: str, records: Iterable[tuple[int, Any]], at_end: bool
    ) -> None:
        """Take in records of a stream, in offset order.

        Parameters
        ----------
        at_end : bool
            True if these were all that the log had when it was asked.
        """
        now = self.clock.monotonic()
        self.log_read_at = now
        for offset, record in records:
            if stream == CONFIGURATION:
                if not self.changes.read(offset, record):
                    self._gap_seen = True
            elif stream == claims.STREAM:
                self.homes.read_claim(offset, record)
            elif stream == keys.STREAM:
                self.key_recorder.read(offset, record, now)
            elif stream == SNAPSHOT_STREAM:
                self.changes.read_chunk(record)
        if stream == SNAPSHOT_STREAM:
            self.follow_configuration(at_end)
        if not at_end:
            return
        if stream == CONFIGURATION and not self.changes.gap:
            self.changes.caught_up = True
        if stream == claims.STREAM:
            self.claims_read = True
        if stream == keys.STREAM:
            self.key_recorder.caught_up = True

    def follow_configuration(self, at_end: bool) -> None:
        """Read on behind the newest snapshot, first or after a gap."""
        first = at_end and not self._following
        if first or self.changes.state.offset > self._followed_from:
            if not first and not self._gap_seen:
                return
            self._following = True
            self._gap_seen = False
            self._followed_from = self.changes.state.offset
            self.outside.follow(CONFIGURATION, self.changes.state.offset + 1)

    # Configuration

    def change(self, change: Change, decided: Decided) -> None:
        """Put an operator's change on the log."""
        self.changes.change(change, decided)

    def watch(self, after: int | None, watcher: Watcher) -> int | None:
        """Begin a watch; see `Changes.watch`."""
        return self.changes.watch(after, watcher)

    def _configuration_changed(self, event: Event) -> None:
        if event.kind in ("upstreams", "policies"):
            self._apply_upstreams()

    def _apply_upstreams(self) -> None:
        spec = self._policy_spec()
        settings = {
            name: _upstream_settings(name, resource.spec, spec["queue_length"])
            for name, resource in self.changes.state.of_kind("upstreams").items()
        }
        weights = dict(DEFAULT_WEIGHTS)
        for name, weight in spec["priority_weights"].items():
            weights[Priority[name.upper()]] = weight
        options = PolicyOptions(spec["stall_weight"], weights, spec["team_shares"])
        self.policy = create(spec["policy"], options)
        self.homes.configure(settings, self.policy)
        for name in set(self.residency.views) - set(settings):
            self.residency.replace(name, ())
            del self.residency.views[name]
        for name, item in settings.items():
            view = self.residency.views.setdefault(name, UpstreamView(name, item.zone))
            view.slots = item.slots
            view.max_batch = item.max_batch
        self.routes.changed = True

    def _policy_spec(self) -> dict[str, Any]:
        resource = self.changes.state.get("policies", "default")
        if resource is not None:
            return resource.spec
        return PolicySpec(queue_length=self.settings.queue_length).model_dump()

    # Membership

    def instance_list(self, endpoints: list[Endpoint]) -> None:
        """Take in the platform's instance list."""
        now = self.clock.monotonic()
        self.listed = True
        self.membership.apply_list(endpoints, now)
        self.homes.set_leaving(self.membership.upstreams_leaving())
        self.routes.changed = True
        entries = self.membership.instances(now)
        self.budget.instances = max(1, len(entries))

    def peer_up(self, peer: str, incarnation: str) -> None:
        """Note that the link to an instance is up."""
        now = self.clock.monotonic()
        self.peers.add(peer)
        self.membership.heard(peer, incarnation, False, now)
        self.outside.send_to(peer, self._heartbeat(all_loads=True))
        for name, home in self.homes.by_upstream.items():
            if home.settings.engine:
                held = [str(adapter) for adapter in home.slots.by_adapter]
                delta = messages.ResidencyDelta(name, True, held, [])
                self.outside.send_to(peer, delta)

    def peer_down(self, peer: str) -> None:
        """Note that the link to an instance is gone."""
        self.peers.discard(peer)
        self.membership.link_lost(peer, self.clock.monotonic())
        self.entry.home_lost(peer)
        self.homes.entry_lost(peer)
        self.grants.keeper.forget(peer)

    def _heartbeat(self, all_loads: bool = False) -> messages.Heartbeat:
        if all_loads:
            self._take_loads(self.homes.changed_loads())
            loads = [
                self.homes.load_of(name, home).to_list()
                for name, home in self.homes.by_upstream.items()
            ]
        else:
            loads = self.homes.changed_loads()
            self._take_loads(loads)
        return messages.Heartbeat(
            self.stopping,
            self.changes.state.offset,
            self.grants.keeper_choice.name,
            loads,
            sorted(self.membership.upstreams_leaving()),
        )

    def _take_loads(self, loads: list[Any]) -> None:
        for values in loads:
            load = messages.UpstreamLoad.from_list(values)
            view = self.residency.views.get(load.upstream)
            if view is None:
                continue
            view.running = load.running
            view.waiting = load.waiting
            view.wanted = load.wanted
            view.free_slots = load.free_slots
            view.service_seconds = load.service_ms / 1000
            view.load_seconds = load.load_ms / 1000
            view.sent = 0

    # Messages of other instances

    # Requests: the entry's view of the rest

    def submit(self, request: CallerRequest) -> None:
        """Take in a caller's request."""
        self.entry.submit(request)

    def caller_left(self, request_id: str) -> None:
        """Forget a request whose caller has gone."""
        self.entry.caller_left(request_id)

    def consumed(self, request_id: str, count: int) -> None:
        """Note that a caller has taken so many bytes of its answer."""
        self.entry.consumed(request_id, count)

    # Keys

    def record_key(self, job: Job) -> None:
        """Record the key of a job."""
        self.key_recorder.record(job, self.clock.monotonic())

    def void_key(self, job: Job) -> None:
        """Void the key of a job that was not run."""
        self.key_recorder.void(job)

    def _key_answered(self, job: Job, failure: Failure | None) -> None:
        self.homes.key_recorded(job, failure)

    # Resumed streams are read by the entry itself

    # Engines

    def order_done(self, order: actions.Order, result: actions.OrderResult) -> None:
        """Take in how an order ended."""
        self.homes.order_done(order, result)

    def engine_state(self, upstream: str, state: EngineState | None) -> None:
        """Take in what an engine holds, or None if it did not answer."""
        self.homes.engine_state(upstream, state)

    # The load budget

    def residency_changed(self, change: actions.ResidencyChanged) -> None:
        """Tell everybody what an upstream holds."""
        if change.upstream in self.residency.views:
            self.residency.set(change.upstream, change.adapter, change.resident)
        text = [str(change.adapter)]
        added, removed = (text, []) if change.resident else ([], text)
        delta = messages.ResidencyDelta(change.upstream, False, added, removed)
        for peer in self.peers:
            self.outside.send_to(peer, delta)

    # Time

    def tick(self) -> None:
        """Do what is due by time; call it every few tens of milliseconds."""
        now = self.clock.monotonic()
        self.entry.tick()
        self.homes.tick()
        self.grants.settle()
        self._send_appends()
        if self._slow_at is None or now - self._slow_at >= SLOW_TICK:
            self._slow_at = now
            self._slow_tick(now)
        if self._beat_at is None or now - self._beat_at >= self.settings.heartbeat:
            self._beat_at = now
            self._beat(now)

    def _slow_tick(self, now: timedelta) -> None:
        """Do what grows with the number of instances or upstreams."""
        self.changes.tick()
        self.key_recorder.tick(now)
        if self.claims_read:
            self.homes.tend_claims()

    def _beat(self, now: timedelta) -> None:
        self.grants.keeper_choice.update(now)
        self.grants.keeper.set_share(self.grants.keeper_choice.share(now))
        few = len(self.peers) <= HEARTBEATS_AT_ONCE
        heartbeat = self._heartbeat(all_loads=not few)
        for peer in self._beat_peers():
            self.outside.send_to(peer, heartbeat)
        for peer in list(self.peers):
            if not self.membership.in_contact(peer, now):
                self.outside.drop(peer)
        self.routes.changed = True
        self.inbound.ask_peer(now)
        self._snapshot(now)

    def _beat_peers(self) -> list[str]:
        """Return whom to send a heartbeat now: of many, some in turn."""
        peers = sorted(self.peers)
        count = len(peers)
        self.membership.stretch = max(1.0, count / HEARTBEATS_AT_ONCE)
        if count <= HEARTBEATS_AT_ONCE:
            return peers
        start = self._beats * HEARTBEATS_AT_ONCE
        self._beats += 1
        return [peers[(start + step) % count] for step in range(HEARTBEATS_AT_ONCE)]

    def _snapshot(self, now: timedelta) -> None:
        """Write a snapshot if one is due; the first in rank does it at once."""
        if not self.changes.snapshot_due():
            self._snapshot_due_since = None
            return
        if self._snapshot_due_since is None:
            self._snapshot_due_since = now
        ranked = rank(SNAPSHOT_KEY, self.membership.instances(now))
        place = ranked.index(self.name) if self.name in ranked else len(ranked)
        if now - self._snapshot_due_since < SNAPSHOT_PATIENCE * (place + 1):
            return
        self.changes.write_snapshot(self.new_operation)

    # Stopping

    def stop(self) -> None:
        """Begin a planned stop: hand the homes over, let everything finish."""
        self.stopping = True
        self.membership.leaving_by_word[self.name] = self.settings.incarnation
        self._beat(self.clock.monotonic())
        self.homes.release_all()

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight any more."""
        return not self.entry.calls and self.homes.idle


def _upstream_settings(
    name: str, spec: dict[str, Any], queue_length: int
) -> UpstreamSettings:
    engine = spec["type"] == "engine"
    group = f"engine {spec['base_model']}" if engine else f"service {spec['service']}"
    return UpstreamSettings(
        name,
        engine,
        spec["address"],
        spec["availability_zone"],
        spec["region"],
        group,
        spec["slots"],
        spec["max_batch"],
        spec["checks_fence"],
        queue_length,
    )
