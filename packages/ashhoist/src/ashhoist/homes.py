"""The homes that this instance is, and the claims that make it one.

Every upstream has one home in its own availability zone. An instance claims an
upstream on the log when it is the first in rendezvous order among the live
instances of the zone and no live instance holds a claim.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from . import actions
from .appends import AppendPriority
from .claims import Authority, Claim, ClaimAction, ClaimRecord, Claims
from .clock import Clock
from .failures import Failure
from .home import EngineState, Home, HomeSettings
from .membership import Membership, rank
from .messages import UpstreamLoad
from .outside import Outside
from .policies import Policy
from .types import AdapterVersion, Job

CLAIM_TIMEOUT = timedelta(seconds=2)
RENEW_PART = 3
KEEP_PART = 4
HOLD_TIME = timedelta(seconds=3)
"""A claim read so recently shows that its holder lives, whoever hears it."""


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """What the configuration says of one upstream."""

    name: str
    engine: bool
    address: str
    zone: str
    region: str
    group: str
    slots: int
    max_batch: int
    checks_fence: bool
    queue_length: int


@dataclass(frozen=True, slots=True)
class HomesTiming:
    """Leases and bounds.

    Parameters
    ----------
    lease : timedelta
        How long a claim lasts on an upstream that does not check fences.
    send_bound : timedelta
        An order leaves within this time or not at all.
    """

    lease: timedelta
    send_bound: timedelta
    clock_rate_margin: float
    log_retention: timedelta = timedelta(hours=24)

    @property
    def wait(self) -> timedelta:
        """Return how long a successor waits after a holder's last sign."""
        return (self.lease + self.send_bound) * (1.0 + self.clock_rate_margin)


@dataclass(slots=True)
class _PendingClaim:
    operation: str
    upstreams: tuple[str, ...]
    sent_at: timedelta
    action: ClaimAction


class AnswersSide(Protocol):
    """Tells the entries what became of their jobs."""

    def tell_failed(self, job: Job, failure: Failure) -> None:
        """Tell a job's entry that it failed."""

    def tell_started(self, job: Job) -> None:
        """Tell a job's entry that it is about to be sent."""


class GrantsSide(Protocol):
    """Passes wishes for loads on to the keeper."""

    def want_load(self, wanted: actions.WantLoad) -> None:
        """Pass a wanted load to the keeper."""

    def drop_want(self, dropped: actions.DropWant) -> None:
        """Withdraw a wanted load."""

    def return_grant(self, returned: actions.ReturnGrant) -> None:
        """Return a grant to whom it came from."""


class HomeOwner(Protocol):
    """What `Homes` needs of the instance."""

    @property
    def answers(self) -> AnswersSide:
        """Return what tells the entries."""

    @property
    def grants(self) -> GrantsSide:
        """Return what asks for loads."""

    def append(
        self,
        priority: AppendPriority,
        stream: str,
        operation: str,
        record: dict[str, Any],
    ) -> None:
        """Queue an append."""

    def new_operation(self) -> str:
        """Return an operation id that is used once."""

    def record_key(self, job: Job) -> None:
        """Record the key of a job."""

    def void_key(self, job: Job) -> None:
        """Void the key of a job that was not run."""

    def residency_changed(self, change: actions.ResidencyChanged) -> None:
        """Tell everybody what an upstream holds."""


@dataclass(slots=True)
class Homes:
    """All homes of one instance."""

    holder: str
    membership: Membership
    timing: HomesTiming
    clock: Clock
    outside: Outside
    owner: HomeOwner
    policy: Policy
    random_source: random.Random
    claims: Claims = field(init=False)
    by_upstream: dict[str, Home] = field(default_factory=dict)
    settings: dict[str, UpstreamSettings] = field(default_factory=dict)
    stopping: bool = False
    _pending: dict[str, _PendingClaim] = field(default_factory=dict)
    _sent_at: dict[str, timedelta] = field(default_factory=dict)
    _reads: dict[str, timedelta] = field(default_factory=dict)
    _near: list[str] = field(default_factory=list)
    _told: dict[str, UpstreamLoad] = field(default_factory=dict)
    _renewed_at: timedelta = timedelta()
    _kept_at: timedelta = timedelta()

    def __post_init__(self) -> None:
        self.claims = Claims(self.timing.wait)
        self._kept_at = self.clock.monotonic()

    # Who is the home

    def holder_of(self, upstream: str) -> str | None:
        """Return the live instance whose claim is in force, if there is one."""
        claim = self.claims.by_upstream.get(upstream)
        if claim is None or claim.released:
            return None
        name, _, incarnation = claim.holder.partition("/")
        if claim.holder == self.holder:
            return name
        known = self.membership.incarnations.get(name)
        if known is not None and known != incarnation:
            return None
        if self.membership.leaving(name) and known is None:
            return None
        now = self.clock.monotonic()
        if self.membership.alive(name, now) or now - claim.read_at <= HOLD_TIME:
            return name
        return None

    def home_of(self, upstream: str) -> str | None:
        """Return the instance that serves an upstream now, if one is known."""
        holder = self.holder_of(upstream)
        if holder is not None:
            return holder
        return self._first(upstream)

    def _first(self, upstream: str) -> str | None:
        settings = self.settings.get(upstream)
        if settings is None:
            return None
        now = self.clock.monotonic()
        names = self.membership.instances(now, settings.zone, settings.region)
        if not names and not self.membership.lists_zone(settings.zone):
            names = self.membership.instances(now, region=settings.region)
        ranked = rank(upstream, names)
        return ranked[0] if ranked else None

    def is_home(self, upstream: str) -> bool:
        """Return whether this instance serves an upstream now."""
        return self.home_of(upstream) == self.membership.own.name

    # Configuration

    def configure(self, settings: dict[str, UpstreamSettings], policy: Policy) -> None:
        """Take in the upstreams and the policy that are in force."""
        for name in set(self.settings) - set(settings):
            if name in self.by_upstream:
                self.by_upstream[name].leave()
                self._carry_out(self.by_upstream[name])
        self.settings = settings
        own = self.membership.own
        self._near = [
            name
            for name, item in settings.items()
            if item.engine and (item.zone, item.region) == (own.zone, own.region)
        ]
        self.policy = policy
        for name, home in self.by_upstream.items():
            home.policy = policy
            home.queue.ageing = policy.ageing
            if name in settings:
                home.slots.capacity = settings[name].slots
                home.queue.limit = settings[name].queue_length

    def _home(self, upstream: str) -> Home:
        home = self.by_upstream.get(upstream)
        if home is not None:
            return home
        settings = self.settings[upstream]
        home = Home(
            HomeSettings(
                upstream,
                settings.engine,
                settings.slots if settings.engine else 0,
                settings.max_batch,
                settings.queue_length,
                self.timing.send_bound,
            ),
            self.policy,
            self.clock,
            self.random_source,
        )
        if self.membership.leaving(upstream):
            home.leaving = True
        self.by_upstream[upstream] = home
        if settings.engine:
            home.set_authority(None)
            self._carry_out(home)
        return home

    # Requests

    def submit(self, job: Job) -> bool:
        """Take in a job; return False if this instance is not its home."""
        if job.upstream not in self.settings or not self.is_home(job.upstream):
            return False
        home = self._home(job.upstream)
        home.submit(job)
        self._carry_out(home)
        return True

    def cancel(self, upstream: str, job_id: tuple[str, int]) -> None:
        """Cancel a job whose caller has gone."""
        home = self.by_upstream.get(upstream)
        if home is not None:
            home.cancel(job_id)
            self._carry_out(home)

    def key_recorded(self, job: Job, failure: Failure | None) -> None:
        """Take in what the keys stream says of a job."""
        home = self.by_upstream.get(job.upstream)
        if home is not None:
            home.key_recorded(job.id, failure)
            self._carry_out(home)

    def dispatch_done(self, job: Job, failure: Failure | None) -> None:
        """Take in how a job ended at its upstream."""
        home = self.by_upstream.get(job.upstream)
        if home is not None:
            home.dispatch_done(job.id, failure)
            self._carry_out(home)

    def entry_lost(self, name: str) -> None:
        """Drop what an entry instance that is gone had queued here."""
        for home in self.by_upstream.values():
            home.entry_lost([name])

    def set_leaving(self, upstreams: set[str]) -> None:
        """Take in which upstreams are leaving; all others stay."""
        for name, home in self.by_upstream.items():
            if name in upstreams:
                home.leave()
                self._carry_out(home)
            else:
                home.leaving = name not in self.settings

    # Orders and what engines say

    def order_done(self, order: actions.Order, result: actions.OrderResult) -> None:
        """Take in how an order ended."""
        home = self.by_upstream.get(order.upstream)
        if home is None:
            return
        home.order_done(order.number, result)
        self._carry_out(home)

    def engine_state(self, upstream: str, state: EngineState | None) -> None:
        """Take in an engine's state, or None if it did not answer."""
        home = self.by_upstream.get(upstream)
        if home is None:
            return
        asked_at = self._reads.pop(upstream, timedelta())
        if state is None:
            home.engine_unreachable()
        else:
            home.engine_state(state, asked_at)
        self._carry_out(home)

    def saw_incarnation(self, upstream: str, incarnation: str) -> None:
        """Note the incarnation on an engine's answer."""
        home = self.by_upstream.get(upstream)
        if home is not None:
            home.saw_incarnation(incarnation)

    def load_granted(self, upstream: str, adapter: AdapterVersion, grant: int) -> None:
        """Take in a granted load."""
        home = self.by_upstream.get(upstream)
        if home is None:
            self.owner.grants.return_grant(
                actions.ReturnGrant(upstream, adapter, grant, False)
            )
            return
        home.load_granted(adapter, grant)
        self._carry_out(home)

    # Claims

    def read_claim(self, offset: int, record: Any) -> None:
        """Apply a record of the claims stream."""
        now = self.clock.monotonic()
        operation = record.get("operation") if isinstance(record, dict) else None
        changed = self.claims.apply(offset, record, now)
        for claim in changed:
            self._claim_changed(claim, operation)
        if isinstance(operation, str):
            self._settle(operation)

    def _claim_changed(self, claim: Claim, operation: Any) -> None:
        if claim.holder != self.holder or claim.released:
            self._lose(claim.upstream)
            return
        pending = self._pending.get(operation)
        if pending is not None:
            self._sent_at[claim.upstream] = pending.sent_at
        self._grant_authority(claim)

    def _grant_authority(self, claim: Claim) -> None:
        settings = self.settings.get(claim.upstream)
        sent_at = self._sent_at.get(claim.upstream)
        if settings is None or sent_at is None or not settings.engine:
            return
        home = self._home(claim.upstream)
        home.set_authority(
            Authority(
                claim.upstream,
                claim.token,
                settings.checks_fence,
                claim.free_after,
                sent_at + self.timing.lease,
            )
        )
        self._carry_out(home)

    def _lose(self, upstream: str) -> None:
        home = self.by_upstream.get(upstream)
        self._sent_at.pop(upstream, None)
        if home is None:
            return
        home.set_authority(None)
        if not self.is_home(upstream):
            home.release()
        self._carry_out(home)

    def _settle(self, operation: str) -> None:
        self._pending.pop(operation, None)

    def append_refused(self, operation: str) -> None:
        """Note that an append was surely not made."""
        self._pending.pop(operation, None)

    def tend_claims(self) -> None:
        """Claim what has no home, and renew what is held."""
        now = self.clock.monotonic()
        for operation, pending in list(self._pending.items()):
            if now - pending.sent_at >= CLAIM_TIMEOUT:
                del self._pending[operation]
        if not self.stopping:
            self._claim_due(now)
        self._renew_due(now)

    def tick(self) -> None:
        """Do what is due by time in all homes."""
        for name in list(self.by_upstream):
            home = self.by_upstream[name]
            home.tick()
            self._carry_out(home)
            self._forget_if_done(name, home)

    def _claim_due(self, now: timedelta) -> None:
        pending = {name for item in self._pending.values() for name in item.upstreams}
        own = self.membership.own
        for name in self._near:
            if name in pending:
                continue
            if self.holder_of(name) is not None or self._first(name) != own.name:
                continue
            claim = self.claims.by_upstream.get(name)
            seen = claim.token if claim else -1
            self._append(ClaimAction.CLAIM, (name,), seen, now)

    def _renew_due(self, now: timedelta) -> None:
        """Renew leases often, and all claims well before their records expire."""
        leases = now - self._renewed_at >= self.timing.lease / RENEW_PART
        everything = now - self._kept_at >= self.timing.log_retention / KEEP_PART
        if not leases and not everything:
            return
        names = tuple(
            name
            for name, home in self.by_upstream.items()
            if home.authority is not None
            and (everything or not home.authority.checks_fence)
        )
        if not names or any(
            item.action is ClaimAction.RENEW for item in self._pending.values()
        ):
            return
        self._renewed_at = now
        if everything:
            self._kept_at = now
        self._append(ClaimAction.RENEW, names, -1, now)

    def _append(
        self, action: ClaimAction, names: tuple[str, ...], seen: int, now: timedelta
    ) -> None:
        operation = self.owner.new_operation()
        tokens: tuple[int, ...] = ()
        if action is ClaimAction.RENEW:
            tokens = tuple(self.claims.by_upstream[name].token for name in names)
        record = ClaimRecord(operation, action, self.holder, names, seen, tokens)
        self._pending[operation] = _PendingClaim(operation, names, now, action)
        self.owner.append(AppendPriority.CLAIM, "claims", operation, record.to_record())

    def _forget_if_done(self, name: str, home: Home) -> None:
        if home.releasing and home.idle and not self.is_home(name):
            del self.by_upstream[name]
            self._told.pop(name, None)

    # Stopping

    def release_all(self) -> None:
        """Hand all homes over: queued work goes back, what runs goes on."""
        self.stopping = True
        held = []
        for name, home in self.by_upstream.items():
            home.release()
            self._carry_out(home)
            claim = self.claims.by_upstream.get(name)
            if claim is not None and claim.holder == self.holder:
                held.append(name)
        if held:
            now = self.clock.monotonic()
            self._append(ClaimAction.RELEASE, tuple(held), -1, now)

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight in any home."""
        return all(home.idle for home in self.by_upstream.values())

    # What others are told

    def changed_loads(self) -> list[list[Any]]:
        """Return the loads that changed since the last call."""
        changed = []
        for name, home in self.by_upstream.items():
            load = self.load_of(name, home)
            if self._told.get(name) != load:
                self._told[name] = load
                changed.append(load.to_list())
        return changed

    def load_of(self, name: str, home: Home) -> UpstreamLoad:
        """Return how busy a home's upstream is."""
        return UpstreamLoad(
            name,
            len(home.running) + len(home.recording),
            len(home.queue),
            home.wanted,
            max(0, home.slots.free),
            home.times.service // timedelta(milliseconds=1),
            home.times.load // timedelta(milliseconds=1),
        )

    def load_list(self, upstream: str) -> list[Any]:
        """Return a load in the form that travels between instances."""
        return self.load_of(upstream, self.by_upstream[upstream]).to_list()

    # Actions

    def _carry_out(self, home: Home) -> None:
        for action in home.take_actions():
            self._carry_out_one(action)

    def _carry_out_one(self, action: actions.Action) -> None:
        handler = _handlers[type(action)]
        handler(self, action)

    def _address(self, upstream: str) -> str:
        settings = self.settings.get(upstream)
        return settings.address if settings else ""

    def _dispatch(self, action: actions.Dispatch) -> None:
        self.outside.dispatch(action.job, self._address(action.job.upstream))

    def _cancel(self, action: actions.CancelDispatch) -> None:
        self.outside.cancel(action.job, self._address(action.job.upstream))

    def _send_order(self, action: actions.SendOrder) -> None:
        address = self._address(action.order.upstream)
        self.outside.send_order(action.order, address, action.authority)

    def _read_back(self, action: actions.ReadBack) -> None:
        self._reads[action.upstream] = self.clock.monotonic()
        address = self._address(action.upstream)
        self.outside.read_engine(action.upstream, address, action.token, action.number)

    def _home_lost(self, action: actions.HomeLost) -> None:
        self._sent_at.pop(action.upstream, None)


Handler = Callable[[Homes, Any], None]
_handlers: dict[type, Handler] = {
    actions.SendOrder: Homes._send_order,
    actions.ReadBack: Homes._read_back,
    actions.Dispatch: Homes._dispatch,
    actions.CancelDispatch: Homes._cancel,
    actions.HomeLost: Homes._home_lost,
    actions.Tell: lambda homes, a: homes.owner.answers.tell_failed(a.job, a.failure),
    actions.TellStarted: lambda homes, a: homes.owner.answers.tell_started(a.job),
    actions.RecordKey: lambda homes, a: homes.owner.record_key(a.job),
    actions.VoidKey: lambda homes, a: homes.owner.void_key(a.job),
    actions.WantLoad: lambda homes, a: homes.owner.grants.want_load(a),
    actions.DropWant: lambda homes, a: homes.owner.grants.drop_want(a),
    actions.ReturnGrant: lambda homes, a: homes.owner.grants.return_grant(a),
    actions.ResidencyChanged: lambda homes, a: homes.owner.residency_changed(a),
}
