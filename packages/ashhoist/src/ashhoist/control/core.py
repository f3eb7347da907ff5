"""What one instance believes, without sockets and threads.

Everything comes in as a call and goes out through `Outside`, so that tests run
many instances on one manual clock with small fakes between them.
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
from .order_desk import OrderDesk
from .order_leases import OrderLeases
from .outside import Outside
from .peers import InstanceRecord, Peers
from .permits import Permits
from .proofs import MICROSECOND, Proofs
from .quotas import Quotas
from .readers import MILLISECOND, FirstRead, Readers
from .records import Decode, SharedRecords
from .release import Release
from .scheduling import Scheduling

LOOK_AFTER_PEERS_EVERY = timedelta(milliseconds=500)
"""How often links that are silent, or not needed, are looked for."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """What the core needs to know from the settings."""

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
        """Return what others know of this instance."""
        return Identity(self.name, self.zone, self.address, self.capacity)


class Core:
    """The whole belief of one instance. One thread calls it."""

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
        self.agent = Agent(settings.zone, directory, self._tell_leader, clock)
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
        self.desk = OrderDesk(
            settings.name, holder, self.leases, self.peers, outside, clock, log
        )
        self.quotas = Quotas(
            settings.name,
            settings.quotas,
            in_force,
            self.peers,
            lambda: self.membership.knows_others,
            self._tell,
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
            self._tell,
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
            self._tell,
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
            self._tell,
            clock,
            log,
        )
        self.crash_notices = CrashNotices(
            settings.name, quarantine, self.peers, self._hubs, self._tell
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
            directory, self.peers, self._hubs, self._apply_upstreams, self._tell, log
        )
        self.limit_notices = LimitNotices(
            limits,
            self.peers,
            self._hubs,
            self.permits.limits_changed,
            self._tell,
            clock,
            log,
        )
        self.lookups = Lookups(settings.name, residency, self._hubs, self._tell)
        self._gauges = Gauges(
            directory, self.peers, self.records, self.scheduling, metrics, clock
        )
        self._election = Election(settings.name, self.peers, self._hubs, clock)
        self.leader: str | None = None
        self.stopping = False
        self._release = Release(self.desk, self.leases, clock)
        self._first_read = FirstRead(self._hubs, clock)
        self._readers = Readers(settings.name, self.peers, self._hubs, clock)
        self.reads_itself = False
        self._beats = Beats(
            settings.name,
            settings.zone,
            self.peers,
            self._hubs,
            outside,
            lambda: self.reads_itself,
            self.leases.claims,
            self._make_beat,
            clock,
        )
        self._looked_after_at = ZERO

    @property
    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._informed and not self.stopping

    @property
    def settled(self) -> bool:
        """Return whether a planned stop has handed everything over."""
        return self.stopping and not self._release.pending and not self.leases.held

    # Start and stop

    def start(self) -> None:
        """Register, and begin to link to the others."""
        self.membership.register_if_due()
        self.membership.relink()

    def stop(self) -> None:
        """Begin a planned stop."""
        self.stopping = True
        self._release.begin()
        self.outside.unregister()
        self._beats.send_all(self.leader)

    def instances(self, records: list[InstanceRecord]) -> None:
        """Take in that this instance is registered, and which others are."""
        self.membership.registered(records)
        self._read_first()

    def _read_first(self) -> None:
        """Read the log while nothing is known, where peers are not the ones to ask."""
        if not self._informed and self._first_read.due(self.membership.knows_others):
            for topic in SHARED_TOPICS:
                self.outside.read_now(topic)

    @property
    def _informed(self) -> bool:
        """Return whether this instance knows enough to serve."""
        needed = self._in_force.table is not None and self.records.knows_all
        crashes = self.records.knows_latest(Topic.CRASHES) and self._was_greeted
        return self._first_read.suffices(needed, crashes)

    @property
    def _was_greeted(self) -> bool:
        """Return whether another instance has told what the log may not say yet."""
        if self.membership.knows_others and not self.peers.by_name:
            return True
        return any(peer.beat is not None for peer in self.peers.by_name.values())

    # What the log says

    def followed(self, followed: Followed) -> None:
        """Take in records that were read from the log."""
        self.leases.log_answers()
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
        self.leases.follow(
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
        """Take in a zone's newest claims."""
        self.leases.read(zone, result)

    def lease_appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Take in how a claim's append ended."""
        before = len(self.leases.held)
        self.leases.appended(action, result)
        if len(self.leases.held) != before:
            # Whoever schedules need not wait for the next beat to know.
            self._beats.send_all(self.leader)

    # Links

    def peer_up(self, peer: str) -> None:
        """Take in that there is a link to an instance."""
        now = self._clock.monotonic()
        self.peers.up(peer, now)
        self._log.info("instance linked", peer=peer)
        self.membership.introduce(peer)
        self.departures.greet(peer)
        self.limit_notices.greet(peer)
        self.crash_notices.greet(peer)
        # Its first beat tells that all the rest was told before.
        self._beats.greet(peer, self.leader)
        self.membership.relink()

    def peer_down(self, peer: str) -> None:
        """Take in that a link is gone."""
        self.peers.down(peer, self._clock.monotonic())
        self._log.info("instance lost", peer=peer)
        self.scheduling.instance_gone(peer)
        self._beats.forget(peer)
        self.quotas.forget(peer)
        self._elect()
        self.membership.relink()

    def peer_message(self, peer: str, message: Any) -> None:
        """Take in a message of a linked instance."""
        if not inbox.handle(self, peer, message):
            self._metrics.count("bad_frames", "unexpected")

    def beaten(self, peer: str, beat: messages.Beat) -> None:
        """Take in another instance's sign of life."""
        now = self._clock.monotonic()
        led_before = self.peers.leads(peer)
        told_news = self.peers.beat(peer, beat, now)
        for row in beat.claims:
            self.leases.heard(Claim.from_row(row))
        self.scheduling.heard(beat.epoch)
        self.membership.compare(peer, beat.instances)
        self.quotas.beaten(peer, beat)
        if told_news:
            self._elect()
        if beat.leads and peer == self.leader:
            self.proofs.heard(peer)
            self.permits.heard(peer)
        if beat.leads and not led_before and peer == self.leader:
            # What it was told before it began to lead, it has passed over.
            self.agent.greet_leader()
        for topic in SHARED_TOPICS:
            peer_offset = Position(beat.offsets.get(str(topic), NOT_WHOLE))
            self.records.catch_up(peer, topic, peer_offset)
        self.records.pull_newer_version(peer, beat.configuration)

    def share_left(self, peer: str, since: int) -> None:
        """Take in that an instance leaves its share of all rates here."""
        self.quotas.left(peer, since)
        self.permits.left(peer, since)

    def asked(self, peer: str, ask: messages.Ask) -> None:
        """Take in a request of another instance that waits for its adapter."""
        if not self.scheduling.leads:
            # The asker knows no better yet; it hears of the leader with a beat.
            self._beats.greet(peer, self.leader)
            return
        self.scheduling.asked(peer, ask)

    def _tell(self, instance: str, message: Any) -> None:
        if instance == self._settings.name:
            self.peer_message(instance, message)
            return
        self.outside.send_to(instance, message)

    def _tell_leader(self, message: Any) -> None:
        if self.leader is not None:
            self._tell(self.leader, message)

    # Who schedules

    def _elect(self) -> None:
        """Follow the leader, or be it."""
        leader = self._election.choose(self.scheduling.leads, self.stopping)
        own = self._settings.name
        if leader == own and not self.scheduling.leads:
            self.scheduling.begin(self._configuration())
            self._beats.send_all(own)
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
        """Take in how an order ended."""
        self.desk.ended(order, answer)
        if answer is OrderAnswer.FENCED:
            self.leases.order_fenced(order.zone, order.fence)
        if order.origin == self._settings.name:
            self.scheduling.answered(order.upstream, order.number, answer)
            return
        self.desk.answered(order, answer)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Take in what an engine holds."""
        self.scheduling.reported(upstream, report)
        if report is not None and report.leaves:
            self.engine_leaves(upstream)

    def engine_leaves(self, upstream: str) -> None:
        """Take in that an engine leaves, as its answer to an order or question said."""
        notice = UpstreamLeaves(upstream, self._directory.life_of(upstream))
        self.departures.noticed(notice)

    def engine_limited(
        self, upstream: str, per_second: float | None, asked_at: timedelta
    ) -> None:
        """Take in the limit that an engine's answer to an order or question named.

        None says nothing: only answers to requests end a limit.
        """
        if per_second is None:
            return
        life = self._directory.life_of(upstream)
        now = self._clock.monotonic()
        self.limit_notices.noticed(NamedLimit(life, per_second, asked_at, now))

    # Time

    def settle(self) -> None:
        """Do what is due after a round of messages."""
        if self.leader is not None:
            self.agent.tell_uses()
        if self.quotas.take_news():
            self._beats.send_all(self.leader)
        self.crash_notices.tell_held(self.crashes.note_held())
        self.crashes.step()
        self.scheduling.plan(by_time=False)

    def tick(self) -> None:
        """Do what is due by time."""
        now = self._clock.monotonic()
        if not self.stopping:
            self.membership.register_if_due()
        self._read_first()
        self.records.tick()
        self._release.step()
        self._elect()
        self._choose_to_read()
        self.proofs.keep(self.leader)
        self.quotas.return_left_over()
        self.crashes.tick()
        self.leases.step()
        self._beats.send_due(self.leader)
        if now - self._looked_after_at >= LOOK_AFTER_PEERS_EVERY:
            self._looked_after_at = now
            self._look_after_peers(now)
            self._gauges.measure(self.ready)
        self.settle()
        self.scheduling.plan(by_time=True)

    def _choose_to_read(self) -> None:
        """Decide whether this instance reads the log itself."""
        reads = self._readers.reads_itself(self.leader)
        if reads == self.reads_itself:
            return
        self.reads_itself = reads
        event = "reads the log" if reads else "leaves the log to others"
        self._log.info(event, leader=self.leader)

    def _look_after_peers(self, now: timedelta) -> None:
        for peer in self.peers.silent(now):
            self._log.info("instance silent", peer=peer)
            self.outside.drop(peer, "silent")
        for peer in self._hubs.surplus():
            self.outside.drop(peer, "surplus")
        self.peers.forget_lost(now)
        self.membership.relink()

    def _make_beat(self, every: timedelta, claims: list[Claim]) -> messages.Beat:
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
