"""One instance without sockets and threads: all its parts put together.

Everything comes in as a method call and goes out through `Outside`, so the tests
run several instances on one manual clock with small fakes between them. The
daemon's core task owns one `Instance` and calls it from one thread.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from . import actions, claims, keys, messages
from .admission import RetryBudget
from .appends import Append, AppendBudget, AppendPriority
from .changes import SNAPSHOT_STREAM, Changes, Decided, Watcher
from .clock import Clock
from .configuration import STREAM as CONFIGURATION, Change, Event
from .entry import Call, Entry, Router, Target
from .failures import Failure, Outcome, Reason, Step, not_run
from .home import EngineState
from .homes import Homes, HomesTiming, UpstreamSettings
from .loads import KeeperChoice, LoadKeeper, Want
from .membership import Membership, rank
from .outside import AppendResult, CallerRequest, JobId, Outside
from .policies import DEFAULT_WEIGHTS, PolicyOptions, RouteRequest, UpstreamView, create
from .residency import Residency
from .resources import PolicySpec
from .types import AdapterVersion, Endpoint, Job, Priority

SNAPSHOT_KEY = "snapshot-writer"
SNAPSHOT_PATIENCE = timedelta(seconds=20)
HEARTBEATS_AT_ONCE = 8
SLOW_TICK = timedelta(milliseconds=250)
ASK_PEER_EVERY = timedelta(seconds=1)
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


@dataclass(slots=True)
class Flow:
    """Bytes of one answer that its entry has not yet taken."""

    open_bytes: int = 0
    paused: bool = False


@dataclass(slots=True)
class Status:
    """What an instance knows, for the operators' status page."""

    name: str
    incarnation: str
    zone: str
    offset: int
    ready: bool
    leaving: bool
    keeper: str
    share: float
    log_lag: float
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    upstreams: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures for the metrics."""

    log_lag: float
    in_contact: int


class Instance(Router):
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
            self.name, self, outside, clock, RetryBudget(settings.retry_share)
        )
        self.keeper = LoadKeeper(
            settings.loads_per_second, settings.loads_at_once, settings.load_timeout
        )
        self.keeper_choice = KeeperChoice(self.membership, settings.zones)
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
        self._grant_sources: dict[tuple[str, AdapterVersion], str] = {}
        self._flows: dict[JobId, Flow] = defaultdict(Flow)
        self._jobs: dict[JobId, Job] = {}
        self._usable: dict[str, frozenset[str]] = {}
        self._offsets: dict[str, int] = {}
        self._peers: set[str] = set()
        self._beat_at: timedelta | None = None
        self._beats = 0
        self._slow_at: timedelta | None = None
        self._asked_at: timedelta | None = None
        self._snapshot_due_since: timedelta | None = None
        self._changed_views = True
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
            self._follow_configuration(at_end)
        if not at_end:
            return
        if stream == CONFIGURATION and not self.changes.gap:
            self.changes.caught_up = True
        if stream == claims.STREAM:
            self.claims_read = True
        if stream == keys.STREAM:
            self.key_recorder.caught_up = True

    def _follow_configuration(self, at_end: bool) -> None:
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
        self._changed_views = True

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
        self._changed_views = True
        entries = self.membership.instances(now)
        self.budget.instances = max(1, len(entries))

    def peer_up(self, peer: str, incarnation: str) -> None:
        """Note that the link to an instance is up."""
        now = self.clock.monotonic()
        self._peers.add(peer)
        self.membership.heard(peer, incarnation, False, now)
        self.outside.send_to(peer, self._heartbeat(all_loads=True))
        for name, home in self.homes.by_upstream.items():
            if home.settings.engine:
                held = [str(adapter) for adapter in home.slots.by_adapter]
                delta = messages.ResidencyDelta(name, True, held, [])
                self.outside.send_to(peer, delta)

    def peer_down(self, peer: str) -> None:
        """Note that the link to an instance is gone."""
        self._peers.discard(peer)
        self.membership.link_lost(peer, self.clock.monotonic())
        self.entry.home_lost(peer)
        self.homes.entry_lost(peer)
        self.keeper.forget(peer)

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
            self.keeper_choice.name,
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

    def message(self, peer: str, incarnation: str, item: Any) -> None:
        """Take in a message of an instance."""
        handler = _message_handlers.get(type(item))
        if handler is None:
            self.outside.count("bad_frames", "unexpected")
            return
        handler(self, peer, incarnation, item)

    def _on_heartbeat(
        self, peer: str, incarnation: str, item: messages.Heartbeat
    ) -> None:
        now = self.clock.monotonic()
        was_leaving = self.membership.leaving(peer)
        self.membership.heard(peer, incarnation, item.leaving, now)
        self.membership.keepers[peer] = item.keeper
        self._offsets[peer] = item.offset
        self._take_loads(item.loads)
        if item.leaving and not was_leaving:
            self._changed_views = True
        told = {str(name) for name in item.leaving_upstreams}
        if not told <= self.membership.leaving_upstreams:
            self.membership.leaving_upstreams |= told
            self.homes.set_leaving(self.membership.upstreams_leaving())
            self._changed_views = True
        self._ask_peer(now)

    def _on_residency(
        self, peer: str, incarnation: str, item: messages.ResidencyDelta
    ) -> None:
        if item.upstream not in self.residency.views:
            return
        added = [AdapterVersion.parse(text) for text in item.added]
        if item.full:
            self.residency.replace(item.upstream, added)
            return
        for adapter in added:
            self.residency.set(item.upstream, adapter, True)
        for text in item.removed:
            self.residency.set(item.upstream, AdapterVersion.parse(text), False)

    def _on_open(self, peer: str, incarnation: str, item: messages.OpenRequest) -> None:
        now = self.clock.monotonic()
        job = Job(
            request_id=item.request_id,
            attempt=item.attempt,
            entry=peer,
            upstream=item.upstream,
            adapter=AdapterVersion.parse(item.adapter) if item.adapter else None,
            priority=Priority(item.priority),
            deadline=now + timedelta(milliseconds=item.remaining_ms),
            enqueued_at=now,
            method=item.method,
            path=item.path,
            headers=item.headers,
            body=item.body,
            stream=item.stream,
            repeatable=item.repeatable,
            key=item.key,
            team=item.team,
            tokens=item.tokens,
            weights=item.weights,
        )
        self._submit(job)

    def _on_cancel(
        self, peer: str, incarnation: str, item: messages.CancelRequest
    ) -> None:
        job = self._jobs.get((item.request_id, item.attempt))
        if job is not None and job.entry == peer:
            self.homes.cancel(job.upstream, job.id)

    def _on_started(self, peer: str, incarnation: str, item: messages.Started) -> None:
        self._take_loads([item.load])
        self.entry.started((item.request_id, item.attempt), peer)

    def _on_head(self, peer: str, incarnation: str, item: messages.Head) -> None:
        job_id = (item.request_id, item.attempt)
        self.entry.head(job_id, peer, item.status, item.headers)

    def _on_data(self, peer: str, incarnation: str, item: messages.Data) -> None:
        job_id = (item.request_id, item.attempt)
        self.entry.data(job_id, peer, item.index, item.count, item.data)

    def _on_end(self, peer: str, incarnation: str, item: messages.End) -> None:
        self.entry.end((item.request_id, item.attempt), peer, item.count)

    def _on_failed(self, peer: str, incarnation: str, item: messages.Failed) -> None:
        failure = Failure(
            Reason(item.reason),
            Outcome(item.outcome),
            Step(item.step),
            item.peer,
            item.detail,
            timedelta(milliseconds=item.retry_after_ms)
            if item.retry_after_ms >= 0
            else None,
        )
        self.entry.failed((item.request_id, item.attempt), peer, failure)

    def _on_credit(self, peer: str, incarnation: str, item: messages.Credit) -> None:
        self._credited((item.request_id, item.attempt), item.count)

    def _on_wanted(
        self, peer: str, incarnation: str, item: messages.LoadWanted
    ) -> None:
        adapter = AdapterVersion.parse(item.adapter)
        self._keep_want(peer, item.upstream, adapter, item.benefit)

    def _on_dropped(
        self, peer: str, incarnation: str, item: messages.LoadDropped
    ) -> None:
        self.keeper.drop(item.upstream, AdapterVersion.parse(item.adapter))

    def _on_granted(
        self, peer: str, incarnation: str, item: messages.LoadGranted
    ) -> None:
        adapter = AdapterVersion.parse(item.adapter)
        self._grant_sources[item.upstream, adapter] = peer
        self.homes.load_granted(item.upstream, adapter, item.number)

    def _on_returned(
        self, peer: str, incarnation: str, item: messages.GrantReturned
    ) -> None:
        self.keeper.finish(item.number, item.used)

    def _on_fetch(
        self, peer: str, incarnation: str, item: messages.FetchConfiguration
    ) -> None:
        found = self.changes.records_after(item.after)
        if found is not None:
            pairs = [[offset, record] for offset, record in found]
            self.outside.send_to(peer, messages.ConfigurationRecords(pairs))
            return
        for chunk in self.changes.state.to_chunks():
            self.outside.send_to(peer, messages.ConfigurationSnapshot(chunk))

    def _on_records(
        self, peer: str, incarnation: str, item: messages.ConfigurationRecords
    ) -> None:
        for pair in item.records:
            if isinstance(pair, list) and len(pair) == 2 and isinstance(pair[0], int):
                self.changes.read(pair[0], pair[1])
        self._caught_up_by_peer(peer)

    def _on_snapshot(
        self, peer: str, incarnation: str, item: messages.ConfigurationSnapshot
    ) -> None:
        self.changes.read_chunk(item.chunk)
        self._caught_up_by_peer(peer)

    def _caught_up_by_peer(self, peer: str) -> None:
        self._follow_configuration(at_end=False)
        behind = self.changes.state.offset < self._offsets.get(peer, -1)
        if not behind and not self.changes.gap:
            self.changes.caught_up = True

    def _ask_peer(self, now: timedelta) -> None:
        ahead = max(self._offsets.items(), key=lambda pair: pair[1], default=("", -1))
        if ahead[1] <= self.changes.state.offset:
            return
        if self._asked_at is not None and now - self._asked_at < ASK_PEER_EVERY:
            return
        self._asked_at = now
        ask = messages.FetchConfiguration(self.changes.state.offset)
        self.outside.send_to(ahead[0], ask)

    # Requests: the entry's view of the rest

    def submit(self, request: CallerRequest) -> None:
        """Take in a caller's request."""
        self.entry.submit(request)

    def resolve(self, request: CallerRequest) -> Target | Failure:
        """Return what is asked for, pinned to a version."""
        if not self.changes.caught_up:
            detail = "the configuration is not yet read"
            return not_run(
                Reason.LOG_UNAVAILABLE,
                Step.RESOLVE,
                "log_service",
                detail,
                timedelta(seconds=1),
            )
        if request.service:
            return self._resolve_service(request)
        name, _, version = request.model.partition("@")
        resource = self.changes.state.get("adapters", name)
        if resource is None:
            return not_run(Reason.UNKNOWN_ADAPTER, Step.RESOLVE, "", name)
        spec = resource.spec
        version = version or spec["default_version"]
        if version not in spec["versions"]:
            return not_run(Reason.UNKNOWN_VERSION, Step.RESOLVE, "", request.model)
        weights = spec["versions"][version]["weights"]
        priority = request.priority
        if priority is None:
            priority = Priority[spec["priority"].upper()]
        return Target(AdapterVersion(name, version), weights, priority, spec["team"])

    def _resolve_service(self, request: CallerRequest) -> Target | Failure:
        known = any(
            group == f"service {request.service}" for group in self._usable_by_group()
        )
        if not known:
            return not_run(Reason.UNKNOWN_SERVICE, Step.RESOLVE, "", request.service)
        priority = Priority.NORMAL if request.priority is None else request.priority
        return Target(None, "", priority, "")

    def choose(self, call: Call) -> str | Failure:
        """Return the upstream for a call."""
        adapter = call.target.adapter
        group = f"service {call.request.service}"
        if adapter is not None:
            resource = self.changes.state.get("adapters", adapter.name)
            if resource is None:
                return not_run(Reason.UNKNOWN_ADAPTER, Step.ROUTE, "", adapter.name)
            group = f"engine {resource.spec['base_model']}"
        usable = self._usable_by_group().get(group, frozenset())
        resident: list[UpstreamView] = []
        if adapter is None:
            placements = [self.residency.views[name] for name in usable]
        else:
            resident = self.residency.resident_views(adapter, usable)
            placements = self._placements(group, adapter, usable)
        if call.tried:
            resident = [view for view in resident if view.name not in call.tried]
            placements = [view for view in placements if view.name not in call.tried]
        zone = self.settings.own.zone
        route = self.policy.route(RouteRequest(adapter, zone, resident, placements))
        if route is None:
            reason = Reason.NO_UPSTREAM
            if not call.tried and self._declared(group):
                reason = Reason.NO_HOME
            return not_run(reason, Step.ROUTE, "", group, timedelta(seconds=1))
        self.outside.count("routes", route.reason)
        return route.upstream

    def _declared(self, group: str) -> bool:
        """Return whether a group has upstreams that stay, reached or not."""
        return any(
            item.group == group and not self.membership.leaving(name)
            for name, item in self.homes.settings.items()
        )

    def _placements(
        self, group: str, adapter: AdapterVersion, usable: frozenset[str]
    ) -> list[UpstreamView]:
        if self.policy.looks_at_all:
            return [self.residency.views[name] for name in usable]
        return self.residency.placements(group, adapter, usable)

    def _usable_by_group(self) -> dict[str, frozenset[str]]:
        if not self._changed_views:
            return self._usable
        self._changed_views = False
        found: dict[str, set[str]] = {}
        for name, item in self.homes.settings.items():
            members = found.setdefault(item.group, set())
            if self.membership.leaving(name) or item.region != self.settings.own.region:
                continue
            home = self.homes.home_of(name)
            if home == self.name or home in self._peers:
                members.add(name)
        for group, names in found.items():
            if self._usable.get(group) != names:
                self._usable[group] = frozenset(names)
        for group in set(self._usable) - set(found):
            del self._usable[group]
        return self._usable

    def home_of(self, upstream: str) -> str | None:
        """Return the instance that is an upstream's home, if one is known."""
        return self.homes.home_of(upstream)

    def address(self, upstream: str) -> str:
        """Return the address of an upstream."""
        settings = self.homes.settings.get(upstream)
        return settings.address if settings else ""

    def open(self, home: str, job: Job) -> bool:
        """Pass a job to its home; return False if there is no link."""
        view = self.residency.views.get(job.upstream)
        if view is not None:
            view.sent += 1
        if home == self.name:
            self._submit(job)
            return True
        remaining = (job.deadline - self.clock.monotonic()) // timedelta(milliseconds=1)
        return self.outside.send_to(
            home,
            messages.OpenRequest(
                job.request_id,
                job.attempt,
                job.upstream,
                str(job.adapter) if job.adapter else "",
                job.weights,
                int(job.priority),
                remaining,
                job.method,
                job.path,
                job.headers,
                job.body,
                job.stream,
                job.repeatable,
                job.key,
                job.team,
                job.tokens,
            ),
        )

    def close(self, home: str, job: Job) -> None:
        """Tell a home that the caller has gone."""
        if home == self.name:
            self.homes.cancel(job.upstream, job.id)
            return
        cancel = messages.CancelRequest(job.request_id, job.attempt)
        if not home or not self.outside.send_to(home, cancel):
            self.outside.cancel(job, self.address(job.upstream))

    def credit(self, home: str, job: Job, count: int) -> None:
        """Tell a home that the caller has taken so many bytes."""
        if home == self.name:
            self._credited(job.id, count)
        elif home:
            credit = messages.Credit(job.request_id, job.attempt, count)
            self.outside.send_to(home, credit)

    def caller_left(self, request_id: str) -> None:
        """Forget a request whose caller has gone."""
        self.entry.caller_left(request_id)

    def consumed(self, request_id: str, count: int) -> None:
        """Note that a caller has taken so many bytes of its answer."""
        self.entry.consumed(request_id, count)

    # Requests: the home's side

    def _submit(self, job: Job) -> None:
        self._jobs[job.id] = job
        if not self.homes.submit(job):
            self.tell_failed(
                job, not_run(Reason.HOME_MOVED, Step.ADMIT, self.name, job.upstream)
            )

    def tell_failed(self, job: Job, failure: Failure) -> None:
        """Tell a job's entry that it failed."""
        self._jobs.pop(job.id, None)
        self._flows.pop(job.id, None)
        if job.entry == self.name:
            self.entry.failed(job.id, self.name, failure)
            return
        retry_after = -1
        if failure.retry_after is not None:
            retry_after = failure.retry_after // timedelta(milliseconds=1)
        self.outside.send_to(
            job.entry,
            messages.Failed(
                job.request_id,
                job.attempt,
                failure.reason.value,
                failure.outcome.value,
                failure.step.value,
                failure.peer,
                failure.detail,
                retry_after,
            ),
        )

    def tell_started(self, job: Job) -> None:
        """Tell a job's entry that it is about to be sent."""
        if job.entry == self.name:
            self.entry.started(job.id, self.name)
        else:
            load = self.homes.load_list(job.upstream)
            started = messages.Started(job.request_id, job.attempt, load)
            self.outside.send_to(job.entry, started)

    def record_key(self, job: Job) -> None:
        """Record the key of a job."""
        self.key_recorder.record(job, self.clock.monotonic())

    def void_key(self, job: Job) -> None:
        """Void the key of a job that was not run."""
        self.key_recorder.void(job)

    def _key_answered(self, job: Job, failure: Failure | None) -> None:
        self.homes.key_recorded(job, failure)

    def dispatch_head(
        self, job_id: JobId, status: int, headers: dict[str, str], incarnation: str
    ) -> None:
        """Take in the head of an upstream's answer."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        self.homes.saw_incarnation(job.upstream, incarnation)
        if job.entry == self.name:
            self.entry.head(job_id, self.name, status, headers)
            return
        head = messages.Head(job_id[0], job_id[1], status, headers)
        self.outside.send_to(job.entry, head)

    def dispatch_data(self, job_id: JobId, index: int, count: int, data: bytes) -> None:
        """Take in a piece of an upstream's answer."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        flow = self._flows[job_id]
        flow.open_bytes += len(data)
        if flow.open_bytes > self.settings.window_bytes and not flow.paused:
            flow.paused = True
            self.outside.pause(job_id, True)
        if job.entry == self.name:
            self.entry.data(job_id, self.name, index, count, data)
            return
        item = messages.Data(job_id[0], job_id[1], index, count, data)
        self.outside.send_to(job.entry, item)

    def dispatch_done(self, job_id: JobId, count: int, failure: Failure | None) -> None:
        """Take in the end of an upstream's answer.

        Parameters
        ----------
        count : int
            How many events or bytes the whole answer had.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return
        if failure is None:
            self._jobs.pop(job_id, None)
            self._flows.pop(job_id, None)
            if job.entry == self.name:
                self.entry.end(job_id, self.name, count)
            else:
                end = messages.End(job_id[0], job_id[1], count)
                self.outside.send_to(job.entry, end)
        self.homes.dispatch_done(job, failure)

    def _credited(self, job_id: JobId, count: int) -> None:
        flow = self._flows.get(job_id)
        if flow is None:
            return
        flow.open_bytes -= count
        if flow.paused and flow.open_bytes <= self.settings.window_bytes // 2:
            flow.paused = False
            self.outside.pause(job_id, False)

    # Resumed streams are read by the entry itself

    def resumed_data(self, job: Job, index: int, count: int, data: bytes) -> None:
        """Take in a piece of a resumed stream."""
        self.entry.data(job.id, job.upstream, index, count, data)

    def resumed_done(self, job: Job, count: int, failure: Failure | None) -> None:
        """Take in the end of a resumed stream."""
        if failure is None:
            self.entry.end(job.id, job.upstream, count)
        else:
            self.entry.failed(job.id, job.upstream, failure)

    # Engines

    def order_done(self, order: actions.Order, result: actions.OrderResult) -> None:
        """Take in how an order ended."""
        self.homes.order_done(order, result)

    def engine_state(self, upstream: str, state: EngineState | None) -> None:
        """Take in what an engine holds, or None if it did not answer."""
        self.homes.engine_state(upstream, state)

    # The load budget

    def want_load(self, wanted: actions.WantLoad) -> None:
        """Pass a wanted load to the keeper of the budget."""
        keeper = self.keeper_choice.name
        if keeper == self.name:
            self._keep_want(self.name, wanted.upstream, wanted.adapter, wanted.benefit)
        elif keeper:
            item = messages.LoadWanted(
                wanted.upstream, str(wanted.adapter), wanted.benefit
            )
            self.outside.send_to(keeper, item)

    def drop_want(self, dropped: actions.DropWant) -> None:
        """Withdraw a wanted load."""
        keeper = self.keeper_choice.name
        if keeper == self.name:
            self.keeper.drop(dropped.upstream, dropped.adapter)
        elif keeper:
            item = messages.LoadDropped(dropped.upstream, str(dropped.adapter))
            self.outside.send_to(keeper, item)

    def return_grant(self, returned: actions.ReturnGrant) -> None:
        """Return a grant to the keeper that gave it."""
        key = (returned.upstream, returned.adapter)
        source = self._grant_sources.pop(key, self.name)
        if source == self.name:
            self.keeper.finish(returned.grant, returned.used)
            return
        item = messages.GrantReturned(returned.grant, returned.used)
        self.outside.send_to(source, item)

    def _keep_want(
        self, home: str, upstream: str, adapter: AdapterVersion, benefit: float
    ) -> None:
        now = self.clock.monotonic()
        self.keeper.want(Want(home, upstream, adapter, benefit, now))

    def settle(self) -> None:
        """Grant the loads that are due; call it after each round of messages.

        It is no part of taking in a wish, as a grant that cannot be used leads
        to the next wish at once.
        """
        now = self.clock.monotonic()
        for grant in self.keeper.next_grants(now):
            if grant.home == self.name:
                self._grant_sources[grant.upstream, grant.adapter] = self.name
                self.homes.load_granted(grant.upstream, grant.adapter, grant.number)
                continue
            item = messages.LoadGranted(
                grant.upstream, str(grant.adapter), grant.number
            )
            if not self.outside.send_to(grant.home, item):
                self.keeper.finish(grant.number, False)

    def residency_changed(self, change: actions.ResidencyChanged) -> None:
        """Tell everybody what an upstream holds."""
        if change.upstream in self.residency.views:
            self.residency.set(change.upstream, change.adapter, change.resident)
        text = [str(change.adapter)]
        added, removed = (text, []) if change.resident else ([], text)
        delta = messages.ResidencyDelta(change.upstream, False, added, removed)
        for peer in self._peers:
            self.outside.send_to(peer, delta)

    # Time

    def tick(self) -> None:
        """Do what is due by time; call it every few tens of milliseconds."""
        now = self.clock.monotonic()
        self.entry.tick()
        self.homes.tick()
        self.settle()
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
        self.keeper_choice.update(now)
        self.keeper.set_share(self.keeper_choice.share(now))
        few = len(self._peers) <= HEARTBEATS_AT_ONCE
        heartbeat = self._heartbeat(all_loads=not few)
        for peer in self._beat_peers():
            self.outside.send_to(peer, heartbeat)
        for peer in list(self._peers):
            if not self.membership.in_contact(peer, now):
                self.outside.drop(peer)
        self._changed_views = True
        self._ask_peer(now)
        self._snapshot(now)

    def _beat_peers(self) -> list[str]:
        """Return whom to send a heartbeat now: of many, some in turn."""
        peers = sorted(self._peers)
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

    # Status

    def status_summary(self) -> Summary:
        """Return the few figures that are watched all the time."""
        now = self.clock.monotonic()
        lag = (now - self.log_read_at).total_seconds() if self.log_read_at else -1.0
        contact = sum(
            1
            for name, endpoint in self.membership.by_name.items()
            if endpoint.kind == "entry" and self.membership.in_contact(name, now)
        )
        return Summary(lag, contact)

    def status(self) -> Status:
        """Return what operators want to know."""
        now = self.clock.monotonic()
        status = Status(
            self.name,
            self.settings.incarnation,
            self.settings.own.zone,
            self.changes.state.offset,
            self.ready,
            self.stopping,
            self.keeper_choice.name,
            self.keeper_choice.share(now),
            (now - self.log_read_at).total_seconds() if self.log_read_at else -1.0,
        )
        for name, endpoint in self.membership.by_name.items():
            if endpoint.kind == "entry":
                own = name == self.name
                offset = status.offset if own else self._offsets.get(name, -1)
                status.instances[name] = {
                    "availability_zone": endpoint.zone,
                    "alive": self.membership.alive(name, now),
                    "in_contact": self.membership.in_contact(name, now),
                    "leaving": self.membership.leaving(name),
                    "offset": offset,
                }
        for name, settings in self.homes.settings.items():
            view = self.residency.views[name]
            held = self.residency.adapters_by_upstream.get(name, set())
            status.upstreams[name] = {
                "availability_zone": settings.zone,
                "home": self.homes.home_of(name) or "",
                "leaving": self.membership.leaving(name),
                "running": view.running,
                "waiting": view.waiting,
                "slots": settings.slots if settings.engine else 0,
                "adapters": sorted(str(adapter) for adapter in held),
            }
        return status


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


MessageHandler = Callable[[Instance, str, str, Any], None]
_message_handlers: dict[type, MessageHandler] = {
    messages.Heartbeat: Instance._on_heartbeat,
    messages.ResidencyDelta: Instance._on_residency,
    messages.OpenRequest: Instance._on_open,
    messages.CancelRequest: Instance._on_cancel,
    messages.Started: Instance._on_started,
    messages.Head: Instance._on_head,
    messages.Data: Instance._on_data,
    messages.End: Instance._on_end,
    messages.Failed: Instance._on_failed,
    messages.Credit: Instance._on_credit,
    messages.LoadWanted: Instance._on_wanted,
    messages.LoadDropped: Instance._on_dropped,
    messages.LoadGranted: Instance._on_granted,
    messages.GrantReturned: Instance._on_returned,
    messages.FetchConfiguration: Instance._on_fetch,
    messages.ConfigurationRecords: Instance._on_records,
    messages.ConfigurationSnapshot: Instance._on_snapshot,
}
