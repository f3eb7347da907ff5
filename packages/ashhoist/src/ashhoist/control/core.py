"""The control state of one instance, without sockets or threads.

Input arrives as method calls and output leaves through `Effects`, so that tests can
run many instances on one manual clock, connected by small fakes.
"""

from collections.abc import Mapping, Set
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
from ..routing.active_configuration import ActiveConfiguration
from ..store import AppendResult, Newest, Position, ReadPacing, Topic, Unavailable
from ..store.follower import FollowedRecords
from ..streams import BegunStreams, SoftwareVersions, StreamLifetime
from ..upstreams import (
    Backoffs,
    Directory,
    Health,
    RateLimits,
    RejectionLimits,
    StatedLimit,
    UpstreamLeaving,
)
from . import message_handlers, messages
from .admission_client import AdmissionClient
from .admissions import Admissions
from .crash_notices import CrashNotices
from .crash_reports import CrashReports
from .departure_notices import DepartureNotices
from .effects import Effects
from .election import Election
from .error_monitor import ErrorMonitor
from .forwarding_notices import ForwardingNotices
from .gauges import Gauges
from .heartbeats import HeartbeatSender
from .hubs import Hubs, Identity
from .lease_handover import LeaseHandover
from .limit_notices import LimitNotices
from .lookups import Lookups
from .membership import Membership
from .order_leases import OrderLeases
from .order_router import OrderRouter
from .peers import InstanceRecord, Peers
from .permits import Permits
from .placement_client import PlacementClient
from .proofs import MICROSECOND, Proofs
from .quotas import Quotas
from .readers import MILLISECOND, InitialRead, LogReaderSelection
from .records import Decode, SharedRecords
from .rejection_notices import RejectionNotices
from .replica import INCOMPLETE, SHARED_TOPICS
from .scheduling import Scheduling
from .stream_lookups import StreamLookups
from .stream_notices import StreamNotices
from .stream_replicas import StreamReplicas

PEER_CHECK_INTERVAL = timedelta(milliseconds=500)
"""How often silent and surplus links are detected and dropped."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """The settings that the core uses."""

    name: str
    zone: str
    address: str
    life: str
    paces: Mapping[Topic, ReadPacing]
    seeds: tuple[str, ...] = ()
    lease: LeaseTiming = LeaseTiming()
    capacity: float = 1.0
    quotas: QuotaBounds = QuotaBounds()
    callers: str = ""

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
        active_configuration: ActiveConfiguration,
        directory: Directory,
        residency: Residency,
        health: Health,
        limits: RateLimits,
        backoffs: Backoffs,
        rejections: RejectionLimits,
        proof: Proof,
        quarantine: Quarantine,
        effects: Effects,
        errors: ErrorMonitor,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._settings = settings
        self.errors = errors
        self._in_force = active_configuration
        self._directory = directory
        self.residency = residency
        self.effects = effects
        self._clock = clock
        self._metrics = metrics
        self._log = log
        holder = f"{settings.name}@{settings.address}"
        self.peers = Peers(settings.name)
        self._hubs = Hubs(settings.identity, self.peers, clock)
        self.membership = Membership(
            settings.identity, settings.seeds, self.peers, self._hubs, effects, clock
        )
        self.placement_client = PlacementClient(
            settings.zone, directory, self._send_to_leader, clock
        )
        self.records = SharedRecords(
            decode,
            active_configuration,
            directory,
            residency,
            health,
            quarantine,
            self.peers,
            self._hubs,
            effects,
            settings.paces,
            self._apply_upstreams,
            self.membership.log_restored,
            lambda record: self.stream_notices.record_followed(record),
            errors,
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
            effects,
            lambda: self.membership.knows_others and not self.peers.by_name,
            clock,
            log,
        )
        self.order_router = OrderRouter(
            settings.name, holder, self.leases, self.peers, effects, clock, log
        )
        self.quotas = Quotas(
            settings.name,
            settings.quotas,
            active_configuration,
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
            directory.incarnation_of,
            lambda: self.quotas.instances,
            self.quotas.delegated_since,
            self._send,
            clock,
            metrics,
        )
        self.scheduling = Scheduling(
            self.order_router.reaches,
            self._order,
            directory,
            self.permits,
            rejections.is_limited,
            residency,
            effects,
            self._send,
            self._hubs.linked_hubs,
            clock,
            metrics,
            log,
        )
        self.admission_client = AdmissionClient(
            settings.zone, directory, self._send_to_leader, clock
        )
        self.admissions = Admissions(
            settings.name,
            active_configuration,
            directory,
            self.peers,
            lambda: self.scheduling.epoch,
            self._send,
            rejections.is_limited,
            clock,
            metrics,
            log,
        )
        self.proofs = Proofs(
            proof,
            self.records.replica,
            self.peers,
            self._hubs,
            effects,
            lambda: self._has_customers,
            self.quotas.delegated_since,
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
            self._recorded_incarnations,
            effects,
            clock,
            metrics,
            log,
        )
        self.departure_notices = DepartureNotices(
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
        self.rejection_notices = RejectionNotices(
            backoffs, self.peers, self._hubs, self._send, log
        )
        self.forwarding = ForwardingNotices(
            settings.identity,
            settings.callers,
            self.peers,
            self._hubs,
            self._send,
            clock,
            log,
        )
        self._make_streams()
        self.lookups = Lookups(settings.name, residency, self._hubs, self._send)
        self._gauges = Gauges(
            directory, self.peers, self.records, self.scheduling, metrics, clock
        )
        self._election = Election(
            settings.name,
            self.peers,
            self._hubs,
            clock,
        )
        self.leader: str | None = None
        self.stopping = False
        self._lease_handover = LeaseHandover(self.order_router, self.leases, clock)
        self._first_read = InitialRead(self._hubs, clock)
        self._readers = LogReaderSelection(settings.name, self.peers, self._hubs, clock)
        self.is_log_reader = False
        self._heartbeats = HeartbeatSender(
            settings.name,
            settings.zone,
            self.peers,
            self._hubs,
            effects,
            lambda: self.is_log_reader,
            self.leases.claims,
            self._make_heartbeat,
            clock,
        )
        self._peers_checked_at = ZERO

    def _make_streams(self) -> None:
        """Make the parts that know at which software versions streams have begun."""
        lifetime = StreamLifetime(lambda: self._in_force.table)
        begun = BegunStreams(lifetime, self._clock)
        versions = SoftwareVersions(lifetime, self._clock)
        replicas = StreamReplicas(self.peers, self._hubs)
        self.stream_notices = StreamNotices(
            begun,
            versions,
            replicas,
            self._directory,
            lambda: self.scheduling.leads,
            self.crashes.write,
            self._send,
            self._log,
        )
        self.stream_lookups = StreamLookups(
            begun,
            versions,
            replicas,
            self.peers,
            self._has_current_upstreams,
            self.effects.send_to,
            self._clock,
        )

    def _has_current_upstreams(self) -> bool:
        """Return whether the log answers here, or at a linked instance."""
        now = self._clock.monotonic()
        return self.records.reads_log or self.peers.has_recent_reader(now)

    @property
    def ready(self) -> bool:
        """Return whether this instance can serve requests."""
        if self.stopping or self.errors.failing_parts():
            return False
        return self._has_needed_state and not self.records.lacks_configuration

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
        """Start a planned stop; an error in one part stops no other."""
        self.stopping = True
        run = self.errors.run
        run("lease handover", self._lease_handover.begin)
        run("registration", self.effects.unregister)
        run("stream notices", self.stream_notices.hand_over)
        run("heartbeats", lambda: self._heartbeats.send_all(self.leader))

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
                self.effects.read_now(topic)

    @property
    def _has_needed_state(self) -> bool:
        """Return whether this instance has the state that it needs to serve."""
        needed = self._in_force.table is not None and self.records.knows_all
        crashes = self.records.knows_latest(Topic.CRASHES) and self._has_peer_state
        return self._first_read.suffices(needed, crashes)

    @property
    def _has_peer_state(self) -> bool:
        """Return whether a peer has sent state that the log may not have yet.

        Also true if there are no other instances.
        """
        if self.membership.knows_others and not self.peers.by_name:
            return True
        return any(peer.heartbeat is not None for peer in self.peers.by_name.values())

    # Records of the shared log

    def followed(self, followed: FollowedRecords) -> None:
        """Apply records that were read from the log."""
        self.leases.log_answered()
        self.records.followed(followed)
        if followed.topic is Topic.CONFIGURATION and followed.complete:
            self.proofs.read(followed.asked_at)

    def _recorded_incarnations(self, followed_for: timedelta) -> Set[str] | None:
        """Return the upstreams' incarnations whose records the log has.

        None if the log has been followed for less than the given time.
        """
        followed_since = self.records.followed_since(Topic.UPSTREAMS)
        if followed_since is None:
            return None
        if self._clock.monotonic() - followed_since < followed_for:
            return None
        return {
            self._directory.incarnation_of(record.key)
            for record in self.records.replica.live(Topic.UPSTREAMS)
        }

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
        self.peers.link_up(peer, now)
        self._log.info("instance linked", peer=peer)
        self.membership.introduce(peer)
        self.departure_notices.greet(peer)
        self.limit_notices.greet(peer)
        self.crash_notices.greet(peer)
        self.forwarding.greet(peer)
        self.stream_notices.greet(peer)
        # The heartbeat must come last: the peer takes the first one as the sign that
        # it has received everything above.
        self._heartbeats.greet(peer, self.leader)
        self.membership.relink()

    def peer_down(self, peer: str) -> None:
        """Handle the loss of a link."""
        self.peers.link_down(peer, self._clock.monotonic())
        self._log.info("instance lost", peer=peer)
        self.scheduling.instance_gone(peer)
        self.admissions.instance_gone(peer)
        self.admission_client.instance_gone(peer)
        self.stream_lookups.instance_gone(peer)
        self._heartbeats.forget(peer)
        self.quotas.forget(peer)
        self.forwarding.forget(peer)
        self._elect()
        self.membership.relink()

    def handle_message(self, peer: str, message: Any) -> None:
        """Handle a message of a linked instance."""
        if not message_handlers.handle(self, peer, message):
            self._metrics.count("bad_frames", "unexpected")

    def handle_heartbeat(self, peer: str, heartbeat: messages.Heartbeat) -> None:
        """Handle a heartbeat of another instance."""
        now = self._clock.monotonic()
        was_leading = self.peers.leads(peer)
        peer_changed = self.peers.record_heartbeat(peer, heartbeat, now)
        for row in heartbeat.claims:
            self.leases.claim_received(Claim.from_row(row))
        self.scheduling.epoch_received(heartbeat.epoch)
        self.membership.compare(peer, heartbeat.instances)
        self.quotas.handle_heartbeat(peer, heartbeat)
        if peer_changed:
            self._elect()
        if heartbeat.leads and peer == self.leader:
            self.proofs.heard(peer)
            self.permits.leader_heartbeat(peer)
        if heartbeat.leads and not was_leading and peer == self.leader:
            # It ignored what this instance sent before it became the leader.
            self.placement_client.send_all_to_leader()
        for topic in SHARED_TOPICS:
            peer_offset = Position(heartbeat.offsets.get(str(topic), INCOMPLETE))
            self.records.catch_up(peer, topic, peer_offset)
        self.records.pull_newer_version(peer, heartbeat.configuration)

    def share_delegated(self, peer: str, since: int) -> None:
        """Handle an instance's delegation of its share of all rates to this one."""
        self.quotas.share_delegated(peer, since)
        self.permits.share_delegated(peer, since)

    def handle_forwarding_notice(
        self, peer: str, notice: messages.ForwardingNotice
    ) -> None:
        """Handle what an instance says of its connections to upstreams."""
        if self.forwarding.handle_notice(peer, notice):
            self._elect()
            self.membership.relink()

    def connectivity_changed(self, is_cut_off: bool) -> None:
        """Handle that this instance lost all upstreams, or reaches them again."""
        self.forwarding.set_cut_off(is_cut_off)
        self._elect()
        self.membership.relink()

    def asked(self, peer: str, ask: messages.PlacementQuery) -> None:
        """Handle another instance's request that waits for its adapter."""
        if not self.scheduling.leads:
            # The sender has not heard of the current leader; a heartbeat names it.
            self._heartbeats.greet(peer, self.leader)
            return
        self.scheduling.asked(peer, ask)

    def _send(self, instance: str, message: Any) -> None:
        if instance == self._settings.name:
            self.handle_message(instance, message)
            return
        self.effects.send_to(instance, message)

    def _send_to_leader(self, message: Any) -> None:
        if self.leader is not None:
            self._send(self.leader, message)

    # Leader election

    def _elect(self) -> None:
        """Choose the leader, and start or end scheduling accordingly."""
        leader = self._election.choose(
            self.scheduling.leads, self.stopping, self.forwarding.is_cut_off
        )
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
        self.admissions.follow(leader)
        self.admission_client.follow(leader)
        self._log.info("leader changed", leader=leader)
        self.membership.relink()
        if leader is None:
            return
        self.placement_client.send_all_to_leader()

    def _order(self, order: Order) -> None:
        answer = self.order_router.send(order)
        if answer is not None:
            self.scheduling.answered(order.upstream, order.number, answer)

    # Engines

    def order_answered(self, order: Order, answer: OrderAnswer) -> None:
        """Handle the outcome of an order that this instance sent to an engine."""
        self.order_router.ended(order, answer)
        if answer is OrderAnswer.FENCED:
            self.leases.order_fenced(order.zone, order.fence)
        if order.origin == self._settings.name:
            self.scheduling.answered(order.upstream, order.number, answer)
            return
        self.order_router.answered(order, answer)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Handle an engine's report; None if it did not answer."""
        self.scheduling.reported(upstream, report)
        if report is not None and report.leaving:
            self.engine_leaves(upstream)

    def engine_leaves(self, upstream: str) -> None:
        """Handle an engine's notice, in an answer to this instance, that it leaves."""
        notice = UpstreamLeaving(upstream, self._directory.incarnation_of(upstream))
        self.departure_notices.noticed(notice)

    def engine_limited(
        self, upstream: str, per_second: float | None, asked_at: timedelta
    ) -> None:
        """Handle the rate limit named in an engine's answer to an order or report.

        None leaves a known limit as it is: only answers to requests can end a limit.
        """
        if per_second is None:
            return
        life = self._directory.incarnation_of(upstream)
        now = self._clock.monotonic()
        self.limit_notices.noticed(StatedLimit(life, per_second, asked_at, now))

    # Periodic work

    def settle(self) -> None:
        """Act on the changes that a batch of messages has made."""
        run = self.errors.run
        run("reports to the leader", self._report_to_leader)
        run("quota pressure", self._announce_tight_quotas)
        run("crash decisions", self._decide_on_crashes)
        run("planning", lambda: self.scheduling.plan(on_timer=False))

    def _report_to_leader(self) -> None:
        if self.leader is not None:
            self.placement_client.send_use_changes()
            self.admission_client.send_ends()

    def _announce_tight_quotas(self) -> None:
        if self.quotas.take_tight_changed():
            self._heartbeats.send_all(self.leader)

    def _decide_on_crashes(self) -> None:
        self.crash_notices.notify_quarantined(self.crashes.update_quarantined())
        self.crashes.step()

    def tick(self) -> None:
        """Do the periodic work that is due; an error in one part stops no other."""
        now = self._clock.monotonic()
        run = self.errors.run
        if not self.stopping:
            run("registration", self.membership.register_if_due)
        run("first read", self._read_log_at_start)
        run("records", self.records.tick)
        if self.records.knows_all:
            run("stream notices", self.stream_notices.tick)
        run("lease handover", self._lease_handover.step)
        run("election", self._elect)
        run("log reading", self._update_log_reading)
        run("proofs", lambda: self.proofs.keep(self.leader))
        run("quotas", self.quotas.return_unused_tokens)
        run("crash records", self.crashes.tick)
        run("leases", self.leases.step)
        run("heartbeats", lambda: self._heartbeats.send_due(self.leader))
        if now - self._peers_checked_at >= PEER_CHECK_INTERVAL:
            self._peers_checked_at = now
            run("peer checks", lambda: self._check_peers(now))
            run("gauges", lambda: self._gauges.measure(self.ready), False)
        self.settle()
        run("periodic planning", lambda: self.scheduling.plan(on_timer=True))
        run("admissions", self.admissions.step)
        self.errors.note_change()

    def _update_log_reading(self) -> None:
        """Update whether this instance reads the log itself."""
        reads = self._readers.is_log_reader(self.leader)
        if reads == self.is_log_reader:
            return
        self.is_log_reader = reads
        event = "reads the log" if reads else "leaves the log to others"
        self._log.info(event, leader=self.leader)

    def _check_peers(self, now: timedelta) -> None:
        for peer in self.peers.silent(now):
            self._log.info("instance silent", peer=peer)
            self.effects.drop(peer, "silent")
        for peer in self._hubs.surplus_links():
            self.effects.drop(peer, "surplus")
        self.peers.forget_lost(now)
        self.membership.relink()

    def _make_heartbeat(
        self, every: timedelta, claims: list[Claim]
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.stopping,
            self.records.reads_for // MILLISECOND,
            self.scheduling.leads,
            self.scheduling.epoch,
            self._in_force.version,
            self.records.replica.offsets(),
            [claim.to_row() for claim in claims],
            round(every / timedelta(milliseconds=1)),
            len(self.peers.by_name),
            self._clock.monotonic() // MICROSECOND,
            self.quotas.tight(),
        )
