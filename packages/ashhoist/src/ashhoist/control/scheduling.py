"""Scheduling of adapter loads and requests by the leader."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..adapter import Adapter
from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..orders import EngineReport, Order, OrderAnswer
from ..placement import Residency
from ..placement.actions import (
    DirectSend,
    FetchReport,
    Placed,
    Refused,
    RequestQueued,
    SchedulerAction,
    ServedAdaptersChanged,
)
from ..placement.messages import RequestOutcome
from ..placement.pending_requests import PendingRequest
from ..placement.permits import EnginePermits
from ..placement.scheduler import Scheduler
from ..routing import ServingConfiguration
from ..upstreams import Directory
from .effects import Effects
from .messages import (
    EngineUses,
    PlacementDeclined,
    PlacementGranted,
    PlacementQuery,
    PlacementQueued,
)
from .residency_feed import ResidencyFeed

MILLISECOND = timedelta(milliseconds=1)
STATE_LOG_INTERVAL = timedelta(seconds=2)
"""How often the state of engines and waiting requests is logged."""
RESIDENCY_INTERVAL = timedelta(milliseconds=250)
"""How often hubs are sent what engines serve; they need it if the leader is lost."""


class Scheduling:
    """Runs the scheduler while this instance leads, and exchanges messages for it.

    Parameters
    ----------
    may_order : callable
        Takes a zone; returns whether orders reach its engines now.
    order : callable
        Sends an order.
    bears_few_rejections : callable
        Returns whether the engines of a service crash if they reject too many
        requests.
    send : callable
        Takes the name of an instance, this one included, and a message.
    linked_hubs : callable
        Returns the names of the linked hubs.
    """

    def __init__(
        self,
        may_order: Callable[[str], bool],
        order: Callable[[Order], None],
        directory: Directory,
        permits: EnginePermits,
        bears_few_rejections: Callable[[str], bool],
        residency: Residency,
        effects: Effects,
        send: Callable[[str, Any], None],
        linked_hubs: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._may_order = may_order
        self._order = order
        self._directory = directory
        self._permits = permits
        self._bears_few_rejections = bears_few_rejections
        self._residency = residency
        self._effects = effects
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self.scheduler: Scheduler | None = None
        self.epoch = 0
        self._state_logged_at = ZERO
        self._linked_hubs = linked_hubs
        self._residency_feed = ResidencyFeed(linked_hubs, send)
        self._changed_residency: dict[str, dict[Adapter, int]] = {}
        self._residency_sent_at = ZERO

    @property
    def leads(self) -> bool:
        """Return whether this instance is the scheduling leader."""
        return self.scheduler is not None

    @property
    def has_order_in_flight(self) -> bool:
        """Return whether an order of this instance is in progress."""
        return self.scheduler is not None and self.scheduler.has_order_in_flight

    # Start and end

    def begin(self, configuration: ServingConfiguration | None) -> None:
        """Start scheduling, in a new epoch."""
        self.epoch += 1
        self._changed_residency = {}
        self._residency_feed = ResidencyFeed(self._linked_hubs, self._send)
        self.scheduler = Scheduler(
            self._may_order,
            self._carry_out,
            self._permits,
            self._residency,
            self._clock,
            self._metrics,
            self._log,
            self._bears_few_rejections,
        )
        self._log.info("scheduling begins", epoch=self.epoch)
        self.set_upstreams(configuration)

    def end(self) -> None:
        """Stop scheduling."""
        if self.scheduler is not None:
            self._log.info("scheduling ends", epoch=self.epoch)
            self.scheduler = None

    def epoch_received(self, epoch: int) -> None:
        """Handle another instance's epoch; a leader moves on to a newer one."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        if self.scheduler is None:
            return
        self.epoch += 1
        self._residency_feed.restart()
        for engine in self.scheduler.engines.values():
            engine.request_report(self._clock.monotonic())

    def set_upstreams(self, configuration: ServingConfiguration | None) -> None:
        """Set the scheduler's engines from the configuration and the directory."""
        if self.scheduler is None or configuration is None:
            return
        settings = configuration.engine_services()
        upstreams = [
            upstream for name in settings for upstream in self._directory.view.of(name)
        ]
        self.scheduler.set_upstreams(settings, upstreams)
        self._residency_feed.keep(self.scheduler.engines)

    # Messages of instances and engines

    def asked(self, instance: str, ask: PlacementQuery) -> None:
        """Handle a request that waits at an instance."""
        if self.scheduler is None:
            return
        now = self._clock.monotonic()
        self.scheduler.submit(
            PendingRequest(
                ask.id,
                instance,
                ask.service,
                Adapter(ask.model, ask.name),
                ask.oldest_version,
                ask.tokens,
                ask.worth,
                ask.late_worth,
                now,
                now + ask.aim_left_ms * MILLISECOND,
                now + ask.left_ms * MILLISECOND,
                now + ask.give_up_left_ms * MILLISECOND,
                ask.zone,
                ask.may_retry,
                frozenset(ask.tried),
                ask.gap_ms,
                ask.software_version,
            )
        )

    def withdrawn(self, want_id: str) -> None:
        """Handle the withdrawal of a waiting request."""
        if self.scheduler is not None:
            self.scheduler.cancel(want_id)

    def used(self, instance: str, uses: EngineUses) -> None:
        """Record requests sent to engines, their first events and their outcomes."""
        if self.scheduler is None:
            return
        for use_id, upstream, model, name, tokens in uses.began:
            sent = DirectSend(upstream, Adapter(model, name), tokens)
            self.scheduler.record_direct_send(use_id, instance, sent)
        # A new leader is sent all uses at once; when they started is not known then.
        began_ids = {row[0] for row in uses.began}
        for use_id, upstream in uses.started:
            observed = use_id not in began_ids
            self.scheduler.record_first_token(upstream, use_id, observed)
        for use_id, upstream, end in uses.ended:
            self.scheduler.record_end(upstream, use_id, RequestOutcome(end))

    def answered(self, upstream: str, number: int, answer: OrderAnswer) -> None:
        """Handle the outcome of an order."""
        if self.scheduler is not None:
            self.scheduler.order_answered(upstream, number, answer)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Handle an engine's report; None if it did not answer."""
        if self.scheduler is not None:
            self.scheduler.engine_reported(upstream, report)

    def instance_gone(self, instance: str) -> None:
        """Drop the waiting requests of an instance that is no longer linked."""
        self._residency_feed.forget_receiver(instance)
        if self.scheduler is not None:
            self.scheduler.remove_instance(instance)

    def plan(self, on_timer: bool) -> None:
        """Send the orders and residency updates that are due; see `Scheduler.plan`."""
        if self.scheduler is None:
            return
        self.scheduler.plan(on_timer)
        now = self._clock.monotonic()
        if now - self._state_logged_at >= STATE_LOG_INTERVAL:
            self._state_logged_at = now
            self.scheduler.log_state()
        if now - self._residency_sent_at >= RESIDENCY_INTERVAL:
            self._residency_sent_at = now
            self._send_residency()

    def _send_residency(self) -> None:
        changed, self._changed_residency = self._changed_residency, {}
        for upstream, served in changed.items():
            self._residency.put(self.epoch, upstream, served)
        self._residency_feed.publish(self.epoch, changed)

    # Actions of the scheduler

    def _carry_out(self, action: SchedulerAction) -> None:
        if isinstance(action, Order):
            self._order(action)
        elif isinstance(action, FetchReport):
            self._effects.report(action)
        elif isinstance(action, Placed):
            self._send_granted(action)
        elif isinstance(action, RequestQueued):
            self._send(action.request.instance, PlacementQueued(action.request.id))
        elif isinstance(action, Refused):
            self._send_declined(action)
        elif isinstance(action, ServedAdaptersChanged):
            self._changed_residency[action.upstream] = action.served

    def _send_granted(self, action: Placed) -> None:
        request = action.request
        expected = int(action.expected / MILLISECOND)
        granted = PlacementGranted(
            request.id, action.upstream, action.version, expected, action.permitted
        )
        self._send(request.instance, granted)

    def _send_declined(self, action: Refused) -> None:
        request = action.request
        wait = int(action.retry_after / MILLISECOND)
        self._send(request.instance, PlacementDeclined(request.id, action.reason, wait))
