"""What this instance does while it is the leader."""

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
    AskReport,
    Beginning,
    Held,
    Placed,
    Refused,
    SchedulerAction,
    Serving,
)
from ..placement.asks import UseEnd
from ..placement.permits import EnginePermits
from ..placement.scheduler import Scheduler
from ..placement.wants import Want
from ..routing import ServingConfiguration
from ..upstreams import Directory
from .messages import Ask, Declined, Granted, Uses, Waits
from .outside import Outside
from .residency_feed import ResidencyFeed

MILLISECOND = timedelta(milliseconds=1)
TELL_EVERY = timedelta(seconds=2)
HOLDS_EVERY = timedelta(milliseconds=250)
"""How often hubs are told what engines serve; they need it if the leader is lost."""


class Scheduling:
    """The scheduler, while this instance leads, and its talk with the others.

    Parameters
    ----------
    may_order : callable
        Takes a zone; returns whether orders reach its engines now.
    order : callable
        Sends an order on its way.
    tell : callable
        Takes the name of an instance, this one included, and a message.
    linked_hubs : callable
        Returns the names of the hubs that there are links to.
    """

    def __init__(
        self,
        may_order: Callable[[str], bool],
        order: Callable[[Order], None],
        directory: Directory,
        permits: EnginePermits,
        residency: Residency,
        outside: Outside,
        tell: Callable[[str, Any], None],
        linked_hubs: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._may_order = may_order
        self._order = order
        self._directory = directory
        self._permits = permits
        self._residency = residency
        self._outside = outside
        self._tell = tell
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self.scheduler: Scheduler | None = None
        self.epoch = 0
        self._told_at = ZERO
        self._linked_hubs = linked_hubs
        self._feed = ResidencyFeed(linked_hubs, tell)
        self._changed: dict[str, dict[Adapter, int]] = {}
        self._holds_told_at = ZERO

    @property
    def leads(self) -> bool:
        """Return whether this instance schedules now."""
        return self.scheduler is not None

    @property
    def ordering(self) -> bool:
        """Return whether an order of this instance is under way."""
        return self.scheduler is not None and self.scheduler.ordering

    # Beginning and ending

    def begin(self, configuration: ServingConfiguration | None) -> None:
        """Begin to schedule, in an epoch of its own."""
        self.epoch += 1
        self._changed = {}
        self._feed = ResidencyFeed(self._linked_hubs, self._tell)
        self.scheduler = Scheduler(
            self._may_order,
            self._act,
            self._permits,
            self._residency,
            self._clock,
            self._metrics,
            self._log,
        )
        self._log.info("scheduling begins", epoch=self.epoch)
        self.set_upstreams(configuration)

    def end(self) -> None:
        """Schedule no more."""
        if self.scheduler is not None:
            self._log.info("scheduling ends", epoch=self.epoch)
            self.scheduler = None

    def heard(self, epoch: int) -> None:
        """Take in another instance's epoch; this one's is then a newer one."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        if self.scheduler is None:
            return
        self.epoch += 1
        self._feed.restart()
        for engine in self.scheduler.engines.values():
            engine.ask_again(self._clock.monotonic())

    def set_upstreams(self, configuration: ServingConfiguration | None) -> None:
        """Tell the scheduler which engines there are."""
        if self.scheduler is None or configuration is None:
            return
        settings = configuration.engine_services()
        found = [
            upstream for name in settings for upstream in self._directory.view.of(name)
        ]
        self.scheduler.set_upstreams(settings, found)
        self._feed.keep(self.scheduler.engines)

    # What instances ask

    def asked(self, instance: str, ask: Ask) -> None:
        """Take in a request that waits at an instance."""
        if self.scheduler is None:
            return
        now = self._clock.monotonic()
        self.scheduler.want(
            Want(
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
                ask.may_return,
                frozenset(ask.tried),
            )
        )

    def withdrawn(self, want_id: str) -> None:
        """Take in that a request no longer waits."""
        if self.scheduler is not None:
            self.scheduler.withdraw(want_id)

    def used(self, instance: str, uses: Uses) -> None:
        """Take in what requests of an instance do at engines."""
        if self.scheduler is None:
            return
        for use_id, upstream, model, name, tokens in uses.began:
            beginning = Beginning(upstream, Adapter(model, name), tokens)
            self.scheduler.began(use_id, instance, beginning)
        for use_id, upstream in uses.started:
            self.scheduler.started(upstream, use_id)
        for use_id, upstream, end in uses.ended:
            self.scheduler.ended(upstream, use_id, UseEnd(end))

    def answered(self, upstream: str, number: int, answer: OrderAnswer) -> None:
        """Take in how an order ended."""
        if self.scheduler is not None:
            self.scheduler.answered(upstream, number, answer)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Take in what an engine holds."""
        if self.scheduler is not None:
            self.scheduler.reported(upstream, report)

    def instance_gone(self, instance: str) -> None:
        """Forget what waited at an instance that can't be reached."""
        self._feed.forget_receiver(instance)
        if self.scheduler is not None:
            self.scheduler.instance_gone(instance)

    def plan(self, by_time: bool) -> None:
        """Send the orders that are due; see `Scheduler.plan`."""
        if self.scheduler is None:
            return
        self.scheduler.plan(by_time)
        now = self._clock.monotonic()
        if now - self._told_at >= TELL_EVERY:
            self._told_at = now
            self.scheduler.tell()
        if now - self._holds_told_at >= HOLDS_EVERY:
            self._holds_told_at = now
            self._tell_holds()

    def _tell_holds(self) -> None:
        changed, self._changed = self._changed, {}
        for upstream, held in changed.items():
            self._residency.put(self.epoch, upstream, held)
        self._feed.tell(self.epoch, changed)

    # What the scheduler wants done

    def _act(self, action: SchedulerAction) -> None:
        if isinstance(action, Order):
            self._order(action)
        elif isinstance(action, AskReport):
            self._outside.report(action)
        elif isinstance(action, Placed):
            self._placed(action)
        elif isinstance(action, Held):
            self._tell(action.want.instance, Waits(action.want.id))
        elif isinstance(action, Refused):
            self._refused(action)
        elif isinstance(action, Serving):
            self._changed[action.upstream] = action.held

    def _placed(self, action: Placed) -> None:
        want = action.want
        expected = int(action.expected / MILLISECOND)
        granted = Granted(
            want.id, action.upstream, action.version, expected, action.permitted
        )
        self._tell(want.instance, granted)

    def _refused(self, action: Refused) -> None:
        want = action.want
        wait = int(action.retry_after / MILLISECOND)
        self._tell(want.instance, Declined(want.id, action.reason, wait))
