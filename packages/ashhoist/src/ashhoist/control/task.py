"""The control task: passes messages to the `Core` and carries out its decisions."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from ..customers.charges import Charge, ChargeTimedOut, TokenRefund
from ..forwarding import ConnectivityChanged, UpstreamsUnreachable
from ..http import Pool
from ..links import Links, news
from ..logs import Logger
from ..loop import Loop, Timer
from ..orders import LeaseAction, Order
from ..overload.sends import SendCancelled, SendEnded, SendQuery, ServiceOverloaded
from ..placement.actions import FetchReport
from ..placement.messages import (
    FirstEventReceived,
    Lookup,
    PlacementCancelled,
    PlacementRequest,
    RequestEnded,
    RequestSent,
)
from ..quarantine import RequestCompleted, RequestInterrupted, UpstreamAnswered
from ..store import Topic
from ..store.follower import FollowedRecords, LogAvailability
from ..streams import StreamBegan, VersionLookup, VersionLookupTimedOut
from ..types import Endpoint
from ..upstreams import PermitRequest, StatedLimit, UpstreamFull, UpstreamLeaving
from .core import Core
from .engines import EngineControl, OrderDone, ReportDone
from .replica import SHARED_TOPICS
from .store_calls import (
    CrashAppended,
    InstancesRead,
    LeaseAppended,
    LeaseRead,
    StoreCalls,
)

IDLE_TICK = timedelta(milliseconds=200)
LEADING_TICK = timedelta(milliseconds=100)
BUSY_TICK = timedelta(milliseconds=15)
"""Tick interval while loads are in progress."""

Handler = Callable[["ControlTask", Any], None]
_handlers: dict[type, Handler] = {}


def _handles(message: type) -> Callable[[Handler], Handler]:
    """Register a method as the handler of one message type."""

    def decorate(method: Handler) -> Handler:
        _handlers[message] = method
        return method

    return decorate


class ControlTask:
    """Owns the core and implements its `Effects`.

    Messages are handled as soon as they are sent; the changes that they make are acted
    on once, at the end of the loop's turn.
    """

    def __init__(self, log: Logger, loop: Loop) -> None:
        self._log = log
        self._loop = loop
        self._settle_scheduled = False
        self._admission_timer: Timer | None = None
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
        """Set the collaborators, once, before the task starts."""
        self.core = core
        self._links = links
        self._store = store
        self._engines = engines
        self._pool = pool
        self._read_now = read_now

    def start(self) -> None:
        """Start the core and its periodic work."""
        self.core.start()
        self._tick()

    def send(self, message: Any) -> None:
        """Handle a message; an error in its handler is recorded, not propagated."""
        name = type(message).__name__
        handler = _handlers.get(type(message))
        if handler is None:
            self._log.error("no handler", message=name)
            return
        self.core.errors.run(name, lambda: handler(self, message))
        self._schedule_settle()

    def _schedule_settle(self) -> None:
        if not self._settle_scheduled:
            self._settle_scheduled = True
            self._loop.call_at_end_of_turn(self._settle)

    def _settle(self) -> None:
        self._settle_scheduled = False
        self.core.settle()
        self._schedule_admissions()

    def _schedule_admissions(self) -> None:
        """Set the timer for the next decision about queued requests."""
        self.core.errors.run("admission timer", self._set_admission_timer)

    def _set_admission_timer(self) -> None:
        at = self.core.admissions.next_step_at()
        if at is None:
            return
        timer = self._admission_timer
        if timer is not None:
            if timer.at <= at:
                return
            timer.cancel()
        self._admission_timer = self._loop.call_at(at, self._step_admissions)

    def _step_admissions(self) -> None:
        self._admission_timer = None
        self.core.errors.run("admission decisions", self.core.admissions.step)
        self._schedule_admissions()

    def _tick(self) -> None:
        """Run the core's periodic work, and schedule the next tick."""
        errors = self.core.errors
        # The next tick is scheduled first: an error in this one must not be the end.
        if not errors.run(
            "tick interval", lambda: self._schedule_tick(self._interval())
        ):
            self._schedule_tick(IDLE_TICK)
        was_reading = self.core.is_log_reader
        self.core.tick()
        self._schedule_admissions()
        if self.core.is_log_reader and not was_reading:
            for topic in SHARED_TOPICS:
                self._read_now(topic)

    def _schedule_tick(self, interval: timedelta) -> None:
        self._loop.call_at(self._loop.clock.monotonic() + interval, self._tick)

    def _interval(self) -> timedelta:
        """Return the tick interval: shorter when loading, leading or stopping."""
        scheduler = self.core.scheduling.scheduler
        if scheduler is not None and scheduler.busy:
            return BUSY_TICK
        if scheduler is not None or self.core.stopping:
            return LEADING_TICK
        return IDLE_TICK

    # Implementation of `Effects`

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; False if there is no link."""
        return self._links.send_to(peer, message)

    def drop(self, peer: str, reason: str) -> None:
        """Break the link to an instance."""
        self._links.drop(peer, reason)

    def link(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Set which instances to link to, and whether this one dials all of them."""
        self._loop.call_soon(lambda: self._links.set_peers(endpoints, dials_all))

    def lease_call(self, action: LeaseAction) -> None:
        """Make a store call for a lease of this instance."""
        self._store.lease_call(action)

    def lease_call_for(self, peer: str, message: Any) -> None:
        """Make a store call for another instance's lease, and send it the result."""
        self._store.lease_call_for(
            message, lambda answer: self._send_answer(peer, answer)
        )

    def _send_answer(self, peer: str, message: Any) -> None:
        self._links.send_to(peer, message)

    def read_now(self, topic: Topic) -> None:
        """Read a topic of the log once, immediately."""
        self._read_now(topic)

    def register(self) -> None:
        """Register this instance."""
        self._store.register()

    def unregister(self) -> None:
        """Remove this instance."""
        self._store.unregister()

    def append_crashes(self, records: Mapping[str, bytes]) -> None:
        """Write crash records by key; an empty value deletes a record."""
        self._store.append_crashes(records)

    def order(self, order: Order) -> None:
        """Send an order to an engine."""
        self._engines.order(order)

    def report(self, request: FetchReport) -> None:
        """Request a report from an engine."""
        self._engines.report(request)

    def forget_upstream(self, upstream: str) -> None:
        """Close the connections to an upstream that no longer exists."""
        self._pool.forget(upstream)
        self._engines.forget(upstream)

    # Messages

    @_handles(FollowedRecords)
    def _followed(self, followed: FollowedRecords) -> None:
        self.core.followed(followed)

    @_handles(LogAvailability)
    def _follower_state(self, state: LogAvailability) -> None:
        """Ignore: the follower logs it, and the age of the last read is known."""

    @_handles(LeaseRead)
    def _lease_read(self, message: LeaseRead) -> None:
        self.core.lease_read(message.zone, message.result)

    @_handles(LeaseAppended)
    def _lease_appended(self, message: LeaseAppended) -> None:
        self.core.lease_appended(message.action, message.result)

    @_handles(InstancesRead)
    def _instances(self, message: InstancesRead) -> None:
        self.core.instances(message.records)

    @_handles(news.PeerUp)
    def _peer_up(self, message: news.PeerUp) -> None:
        self.core.peer_up(message.peer)

    @_handles(news.PeerDown)
    def _peer_down(self, message: news.PeerDown) -> None:
        self.core.peer_down(message.peer)

    @_handles(news.PeerMessages)
    def _peer_messages(self, message: news.PeerMessages) -> None:
        for item in message.messages:
            self._peer_message(message.peer, item)

    def _peer_message(self, peer: str, message: Any) -> None:
        """Handle a message of an instance; an error in it does not stop the next."""
        self.core.errors.run(
            type(message).__name__,
            lambda: self.core.handle_message(peer, message),
            affects_readiness=False,
        )

    @_handles(PlacementRequest)
    def _placement_request(self, message: PlacementRequest) -> None:
        self.core.placement_client.request_placement(message)

    @_handles(Lookup)
    def _looked_up(self, message: Lookup) -> None:
        self.core.lookups.ask(message)

    @_handles(PlacementCancelled)
    def _placement_cancelled(self, message: PlacementCancelled) -> None:
        self.core.placement_client.no_longer_wanted(message)

    @_handles(RequestSent)
    def _request_sent(self, message: RequestSent) -> None:
        self.core.placement_client.record_direct_send(message)

    @_handles(FirstEventReceived)
    def _first_event_received(self, message: FirstEventReceived) -> None:
        self.core.placement_client.record_first_event(message)

    @_handles(RequestEnded)
    def _request_ended(self, message: RequestEnded) -> None:
        self.core.placement_client.record_end(message)

    @_handles(Charge)
    def _charge(self, message: Charge) -> None:
        self.core.quotas.charge(message)

    @_handles(ChargeTimedOut)
    def _charge_unanswered(self, message: ChargeTimedOut) -> None:
        self.core.quotas.charge_timed_out(message)

    @_handles(TokenRefund)
    def _tokens_unused(self, message: TokenRefund) -> None:
        self.core.quotas.refund(message)

    @_handles(ConnectivityChanged)
    def _connectivity_changed(self, message: ConnectivityChanged) -> None:
        self.core.connectivity_changed(message.is_cut_off)

    @_handles(UpstreamsUnreachable)
    def _upstreams_unreachable(self, message: UpstreamsUnreachable) -> None:
        self.core.forwarding.upstreams_unreachable()

    @_handles(RequestInterrupted)
    def _request_interrupted(self, message: RequestInterrupted) -> None:
        self.core.crashes.request_interrupted(message)

    @_handles(RequestCompleted)
    def _request_completed(self, message: RequestCompleted) -> None:
        self.core.crashes.request_completed(message)

    @_handles(UpstreamAnswered)
    def _upstream_answered(self, message: UpstreamAnswered) -> None:
        self.core.crashes.upstream_answered(message)

    @_handles(CrashAppended)
    def _crash_appended(self, message: CrashAppended) -> None:
        self.core.crashes.appended(message.result)

    @_handles(UpstreamLeaving)
    def _upstream_leaving(self, message: UpstreamLeaving) -> None:
        self.core.departure_notices.noticed(message)

    @_handles(UpstreamFull)
    def _upstream_full(self, message: UpstreamFull) -> None:
        self.core.rejection_notices.noticed(message)

    @_handles(StatedLimit)
    def _stated_limit(self, message: StatedLimit) -> None:
        self.core.limit_notices.noticed(message)

    @_handles(PermitRequest)
    def _permit_request(self, message: PermitRequest) -> None:
        self.core.permits.ask(message)

    @_handles(SendQuery)
    def _send_query(self, message: SendQuery) -> None:
        self.core.admission_client.ask(message)

    @_handles(SendCancelled)
    def _send_cancelled(self, message: SendCancelled) -> None:
        self.core.admission_client.cancel(message)

    @_handles(SendEnded)
    def _send_ended(self, message: SendEnded) -> None:
        self.core.admission_client.record_end(message)

    @_handles(ServiceOverloaded)
    def _service_overloaded(self, message: ServiceOverloaded) -> None:
        self.core.admission_client.report_overload(message)

    @_handles(StreamBegan)
    def _stream_began(self, message: StreamBegan) -> None:
        self.core.stream_notices.began(message)

    @_handles(VersionLookup)
    def _version_lookup(self, message: VersionLookup) -> None:
        self.core.stream_lookups.ask(message)

    @_handles(VersionLookupTimedOut)
    def _version_lookup_timed_out(self, message: VersionLookupTimedOut) -> None:
        self.core.stream_lookups.timed_out(message)

    @_handles(OrderDone)
    def _order_done(self, message: OrderDone) -> None:
        upstream, reply = message.order.upstream, message.reply
        self.core.order_answered(message.order, reply.answer)
        if reply.leaving:
            self.core.engine_leaves(upstream)
        self.core.engine_limited(upstream, reply.limit, message.sent_at)

    @_handles(ReportDone)
    def _report_done(self, message: ReportDone) -> None:
        upstream, report = message.upstream, message.report
        self.core.reported(upstream, report)
        if report is not None:
            self.core.engine_limited(upstream, report.limit, message.sent_at)


__all__ = ["ControlTask"]
