"""The control state of one instance, without sockets or threads.

Input arrives as method calls and output leaves through `Outside`, so that tests can
run many instances on one manual clock, connected by small fakes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Proof, QuotaBounds
from ..logs import Logger
from ..metrics import Metrics
from ..orders import (
    AppendClaim,
    Claim,
    EngineReport,
    LeaseTiming,
    Order,
    OrderAnswer,
)
from ..placement import Residency
from ..quarantine import Quarantine
from ..routing import ServingConfiguration
from ..routing.in_force import InForce
from ..store import AppendResult, Newest, Pace, Position, Topic, Unavailable
from ..store.follower import Followed
from ..upstreams import Directory, Health, NamedLimit, RateLimits, UpstreamLeaves
from . import inbox, messages
from .agent import Agent
from .beats import Beats
from .crash_notices import CrashNotices
from .crash_reports import CrashReports
from .departures import Departures
from .election import Election
from .gauges import Gauges
from .hubs import Hubs, Identity
from .knowledge import NOT_WHOLE, SHARED_TOPICS
from .limit_notices import LimitNotices
from .lookups import Lookups
from .membership import Membership
from .order_desk import OrderRouter
from .order_leases import OrderLeases
from .outside import Outside
from .peers import InstanceRecord, Peers
from .permits import Permits
from .proofs import MICROSECOND, Proofs
from .quotas import Quotas
from .readers import MILLISECOND, FirstRead, Readers
from .records import Decode, SharedRecords
from .release import LeaseHandover
from .scheduling import Scheduling

PEER_CHECK_INTERVAL = timedelta(milliseconds=500)
"""How often silent and surplus links are detected and dropped."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """The settings that the core uses."""

    name: str
    zone: str
    address: str
    life: str
    paces: Mapping[Topic, Pace]
    seeds: tuple[str, ...] = ()
    lease: LeaseTiming = LeaseTiming()
    capacity: float = 1.0
    quotas: QuotaBounds = QuotaBounds()

    @property
    def identity(self) -> Identity:
        """Return the properties that other instances see of this one."""
        return Identity(self.name, self.zone, self.address, self.capacity)


class Core:
    """The control state of one instance. Not thread-safe: one thread calls it."""

    def __init__(
        self,
        settings: CoreSettings,
        decode: Decode,
        in_force: InForce,
        directory: Directory,
        residency: Residency,
        health: Health,
        limits: RateLimits,
        proof: Proof,
        quarantine: Quarantine,
        outside: Outside,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._settings = settings
        self._in_force = in_force
        self._directory = directory
        self.residency = residency
        self.outside = outside
        self._clock = clock
        self._metrics = metrics
        self._log = log
        holder = f"{settings.name}@{settings.address}"
        self.peers = Peers(settings.name)
        self._hubs = Hubs(settings.identity, self.peers, clock)
        self.membership = Membership(
            settings.identity, settings.seeds, self.peers, self._hubs, outside, clock
        )
        self.agent = Agent(settings.zone, directory, self._send_to_leader, clock)
        self.records = SharedRecords(
            decode,
            in_force,
            directory,
            residency,
            health,
            quarantine,
            self.peers,
            self._hubs,
            outside,
            settings.paces,
            self._apply_upstreams,
            self.membership.log_restored,
            clock,
            metrics,
            log,
        )
        self.leases = OrderLeases(
            settings.identity,
            holder,
            settings.life,
            settings.lease,
            self.peers,
            self._hubs,
            outside,
            lambda: self.membership.knows_others and not self.peers.by_name,
            clock,
            log,
        )
        self.desk = OrderRouter(
            settings.name, holder, self.leases, self.peers, outside, clock, log
        )
        self.quotas = Quotas(
            settings.name,
            settings.quotas,
            in_force,
            self.peers,
            lambda: self.membership.knows_others,
            self._send,
            clock,
            metrics,
            log,
        )
        self.permits = Permits(
            settings.name,
            limits,
            directory.life_of,
            lambda: self.quotas.instances,
            self.quotas.leaves_since,
            self._send,
            clock,
            metrics,
        )
        self.scheduling = Scheduling(
            self.desk.reaches,
            self._order,
            directory,
            self.permits,
            residency,
            outside,
            self._send,
            self._hubs.linked_hubs,
            clock,
            metrics,
            log,
        )
        self.proofs = Proofs(
            proof,
            self.records.knowledge,
            self.peers,
            self._hubs,
            outside,
            lambda: self._has_customers,
            self.quotas.leaves_since,
            self._catch_up_configuration,
            self._send,
            clock,
            log,
        )
        self.crash_notices = CrashNotices(
            settings.name, quarantine, self.peers, self._hubs, self._send
        )
        self.crashes = CrashReports(
            settings.name,
            quarantine,
            self.peers,
            lambda: self.scheduling.leads,
            outside,
            clock,
            metrics,
            log,
        )
        self.departures = Departures(
            directory, self.peers, self._hubs, self._apply_upstreams, self._send, log
        )
        self.limit_notices = LimitNotices(
            limits,
            self.peers,
            self._hubs,
            self.permits.limits_changed,
            self._send,
            clock,
            log,
        )
        self.lookups = Lookups(settings.name, residency, self._hubs, self._send)
        self._gauges = Gauges(
            directory, self.peers, self.records, self.scheduling, metrics, clock
        )
        self._election = Election(settings.name, self.peers, self._hubs, clock)
        self.leader: str | None = None
        self.stopping = False
        self._lease_handover = LeaseHandover(self.desk, self.leases, clock)
        self._first_read = FirstRead(self._hubs, clock)
        self._readers = Readers(settings.name, self.peers, self._hubs, clock)
        self.reads_itself = False
        self._heartbeats = Beats(
            settings.name,
            settings.zone,
            self.peers,
            self._hubs,
            outside,
            lambda: self.reads_itself,
            self.leases.claims,
            self._make_heartbeat,
            clock,
        )
        self._peers_checked_at = ZERO

    @property
    def ready(self) -> bool:
        """Return whether this instance can serve requests."""
        return self._has_needed_state and not self.stopping

    @property
    def settled(self) -> bool:
        """Return whether a planned stop has released all leases."""
        return (
            self.stopping and not self._lease_handover.pending and not self.leases.held
        )

    # Start and stop

    def start(self) -> None:
        """Register this instance and start linking to the others."""
        self.membership.register_if_due()
        self.membership.relink()

    def stop(self) -> None:
        """Start a planned stop."""
        self.stopping = True
        self._lease_handover.begin()
        self.outside.unregister()
        self._heartbeats.send_all(self.leader)

    def instances(self, records: list[InstanceRecord]) -> None:
        """Handle the register's contents, read after this instance registered."""
        self.membership.registered(records)
        self._read_log_at_start()

    def _read_log_at_start(self) -> None:
        """Read the log once if needed state is missing and peers don't supply it."""
        if not self._has_needed_state and self._first_read.due(
            self.membership.knows_others
        ):
            for topic in SHARED_TOPICS:
                self.outside.read_now(topic)

    @property
    def _has_needed_state(self) -> bool:
        """Return whether this instance has the state that it needs to serve."""
        needed = self._in_force.table is not None and self.records.knows_all
        crashes = self.records.knows_latest(Topic.CRASHES) and self._was_greeted
        return self._first_read.suffices(needed, crashes)

    @property
    def _was_greeted(self) -> bool:
        """Return whether a peer has sent state that the log may not have yet.

        Also true if there are no other instances.
        """
        if self.membership.knows_others and not self.peers.by_name:
            return True
        return any(peer.beat is not None for peer in self.peers.by_name.values())

    # Records of the shared log

    def followed(self, followed: Followed) -> None:
        """Apply records that were read from the log."""
        self.leases.log_answered()
        self.records.followed(followed)
        if followed.topic is Topic.CONFIGURATION and followed.complete:
            self.proofs.read(followed.asked_at)

    def _catch_up_configuration(self, peer: str, offset: Position) -> None:
        self.records.catch_up(peer, Topic.CONFIGURATION, offset)

    @property
    def _has_customers(self) -> bool:
        table = self._in_force.table
        return table is not None and bool(table.customers)

    def _apply_upstreams(self) -> None:
        configuration = self._configuration()
        if configuration is None:
            return
        self.scheduling.set_upstreams(configuration)
        services = configuration.engine_services()
        self.leases.track_zones(
            {
                upstream.zone
                for name in services
                for upstream in self._directory.view.of(name)
            }
        )

    def _configuration(self) -> ServingConfiguration | None:
        table = self._in_force.table
        return None if table is None else table.configuration

    # The leases

    def lease_read(self, zone: str, result: Newest | Unavailable) -> None:
        """Handle the newest claims on a zone's lease."""
        self.leases.read(zone, result)

    def lease_appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Handle the result of appending a claim."""
        before = len(self.leases.held)
        self.leases.appended(action, result)
        if len(self.leases.held) != before:
            # The leader learns of the change without waiting for the next heartbeat.
            self._heartbeats.send_all(self.leader)

    # Links

    def peer_up(self, peer: str) -> None:
        """Handle a new link to an instance."""
        now = self._clock.monotonic()
        self.peers.up(peer, now)
        self._log.info("instance linked", peer=peer)
        self.membership.introduce(peer)
        self.departures.greet(peer)
        self.limit_notices.greet(peer)
        self.crash_notices.greet(peer)
        # The heartbeat must come last: the peer takes the first one as the sign that
        # it has received everything above.
        self._heartbeats.greet(peer, self.leader)
        self.membership.relink()

    def peer_down(self, peer: str) -> None:
        """Handle the loss of a link."""
        self.peers.down(peer, self._clock.monotonic())
        self._log.info("instance lost", peer=peer)
        self.scheduling.instance_gone(peer)
        self._heartbeats.forget(peer)
        self.quotas.forget(peer)
        self._elect()
        self.membership.relink()

    def peer_message(self, peer: str, message: Any) -> None:
        """Handle a message of a linked instance."""
        if not inbox.handle(self, peer, message):
            self._metrics.count("bad_frames", "unexpected")

    def beaten(self, peer: str, beat: messages.Beat) -> None:
        """Handle a heartbeat of another instance."""
        now = self._clock.monotonic()
        was_leading = self.peers.leads(peer)
        peer_changed = self.peers.beat(peer, beat, now)
        for row in beat.claims:
            self.leases.claim_received(Claim.from_row(row))
        self.scheduling.epoch_received(beat.epoch)
        self.membership.compare(peer, beat.instances)
        self.quotas.beaten(peer, beat)
        if peer_changed:
            self._elect()
        if beat.leads and peer == self.leader:
            self.proofs.heard(peer)
            self.permits.leader_heartbeat(peer)
        if beat.leads and not was_leading and peer == self.leader:
            # It ignored what this instance sent before it became the leader.
            self.agent.greet_leader()
        for topic in SHARED_TOPICS:
            peer_offset = Position(beat.offsets.get(str(topic), NOT_WHOLE))
            self.records.catch_up(peer, topic, peer_offset)
        self.records.pull_newer_version(peer, beat.configuration)

    def share_left(self, peer: str, since: int) -> None:
        """Handle an instance's delegation of its share of all rates to this one."""
        self.quotas.share_delegated(peer, since)
        self.permits.share_delegated(peer, since)

    def asked(self, peer: str, ask: messages.Ask) -> None:
        """Handle another instance's request that waits for its adapter."""
        if not self.scheduling.leads:
            # The sender has not heard of the current leader; a heartbeat names it.
            self._heartbeats.greet(peer, self.leader)
            return
        self.scheduling.asked(peer, ask)

    def _send(self, instance: str, message: Any) -> None:
        if instance == self._settings.name:
            self.peer_message(instance, message)
            return
        self.outside.send_to(instance, message)

    def _send_to_leader(self, message: Any) -> None:
        if self.leader is not None:
            self._send(self.leader, message)

    # Leader election

    def _elect(self) -> None:
        """Choose the leader, and start or end scheduling accordingly."""
        leader = self._election.choose(self.scheduling.leads, self.stopping)
        own = self._settings.name
        if leader == own and not self.scheduling.leads:
            self.scheduling.begin(self._configuration())
            self._heartbeats.send_all(own)
        if leader != own:
            self.scheduling.end()
        if leader == self.leader:
            return
        self.leader = leader
        self.quotas.follow(leader)
        self.permits.follow(leader)
        self._log.info("leader changed", leader=leader)
        self.membership.relink()
        if leader is None:
            return
        self.agent.greet_leader()

    def _order(self, order: Order) -> None:
        answer = self.desk.send(order)
        if answer is not None:
            self.scheduling.answered(order.upstream, order.number, answer)

    # Engines

    def order_answered(self, order: Order, answer: OrderAnswer) -> None:
        """Handle the outcome of an order that this instance sent to an engine."""
        self.desk.ended(order, answer)
        if answer is OrderAnswer.FENCED:
            self.leases.order_fenced(order.zone, order.fence)
        if order.origin == self._settings.name:
            self.scheduling.answered(order.upstream, order.number, answer)
            return
        self.desk.answered(order, answer)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Handle an engine's report; None if it did not answer."""
        self.scheduling.reported(upstream, report)
        if report is not None and report.leaves:
            self.engine_leaves(upstream)

    def engine_leaves(self, upstream: str) -> None:
        """Handle an engine's notice, in an answer to this instance, that it leaves."""
        notice = UpstreamLeaves(upstream, self._directory.life_of(upstream))
        self.departures.noticed(notice)

    def engine_limited(
        self, upstream: str, per_second: float | None, asked_at: timedelta
    ) -> None:
        """Handle the rate limit named in an engine's answer to an order or report.

        None leaves a known limit as it is: only answers to requests can end a limit.
        """
        if per_second is None:
            return
        life = self._directory.life_of(upstream)
        now = self._clock.monotonic()
        self.limit_notices.noticed(NamedLimit(life, per_second, asked_at, now))

    # Periodic work

    def settle(self) -> None:
        """Act on the changes that a batch of messages has made."""
        if self.leader is not None:
            self.agent.tell_uses()
        if self.quotas.take_tight_changed():
            self._heartbeats.send_all(self.leader)
        self.crash_notices.tell_held(self.crashes.update_quarantined())
        self.crashes.step()
        self.scheduling.plan(by_time=False)

    def tick(self) -> None:
        """Do the periodic work that is due."""
        now = self._clock.monotonic()
        if not self.stopping:
            self.membership.register_if_due()
        self._read_log_at_start()
        self.records.tick()
        self._lease_handover.step()
        self._elect()
        self._update_log_reading()
        self.proofs.keep(self.leader)
        self.quotas.return_unused_tokens()
        self.crashes.tick()
        self.leases.step()
        self._heartbeats.send_due(self.leader)
        if now - self._peers_checked_at >= PEER_CHECK_INTERVAL:
            self._peers_checked_at = now
            self._check_peers(now)
            self._gauges.measure(self.ready)
        self.settle()
        self.scheduling.plan(by_time=True)

    def _update_log_reading(self) -> None:
        """Update whether this instance reads the log itself."""
        reads = self._readers.reads_itself(self.leader)
        if reads == self.reads_itself:
            return
        self.reads_itself = reads
        event = "reads the log" if reads else "leaves the log to others"
        self._log.info(event, leader=self.leader)

    def _check_peers(self, now: timedelta) -> None:
        for peer in self.peers.silent(now):
            self._log.info("instance silent", peer=peer)
            self.outside.drop(peer, "silent")
        for peer in self._hubs.surplus():
            self.outside.drop(peer, "surplus")
        self.peers.forget_lost(now)
        self.membership.relink()

    def _make_heartbeat(self, every: timedelta, claims: list[Claim]) -> messages.Beat:
        return messages.Beat(
            self.stopping,
            self.records.reads_for // MILLISECOND,
            self.scheduling.leads,
            self.scheduling.epoch,
            self._in_force.version,
            self.records.knowledge.offsets(),
            [claim.to_row() for claim in claims],
            round(every / timedelta(milliseconds=1)),
            len(self.peers.by_name),
            self._clock.monotonic() // MICROSECOND,
            self.quotas.tight(),
        )
