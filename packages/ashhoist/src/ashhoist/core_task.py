"""The task that owns an `Instance` and carries out what it decides."""

from datetime import timedelta
from typing import Any

from . import bridge
from .actions import Order
from .claims import Authority
from .clock import Clock
from .core import CoreSettings, Instance
from .engines import EngineClient
from .instances import Links, news
from .instances.links import Peers
from .log_service import Follow, LogTask, StartAppend
from .logs import Logger
from .metrics import Metrics
from .outside import JobId, Reply, ReplyEnd, ReplyFailure
from .services import ServiceClient
from .status import summary
from .tasks import Task, handles
from .types import Job

BUSY_SECONDS = 0.05
IDLE_SECONDS = 0.25
MEASURE_EVERY = timedelta(seconds=1)


class CoreTask(Task):
    """Owns the instance's state; also its `Outside`.

    The peers' tasks are set once, before the task starts (`connect`).
    """

    def __init__(
        self, log: Logger, settings: CoreSettings, clock: Clock, metrics: Metrics
    ) -> None:
        super().__init__("core", log, timedelta(seconds=BUSY_SECONDS))
        self._clock = clock
        self._metrics = metrics
        self.core = Instance(settings, clock, self)
        self._replies: dict[str, Any] = {}
        self._measured_at = timedelta()
        self._links: Links
        self._log_task: LogTask
        self._engines: EngineClient
        self._services: ServiceClient

    def connect(
        self,
        links: Links,
        log_task: LogTask,
        engines: EngineClient,
        services: ServiceClient,
    ) -> None:
        """Set the peers' tasks."""
        self._links = links
        self._log_task = log_task
        self._engines = engines
        self._services = services

    def opened(self) -> None:
        """Begin to read the log."""
        self.core.start()

    def interval(self) -> float:
        """Return a longer interval while nothing is in flight."""
        return IDLE_SECONDS if self.core.idle else BUSY_SECONDS

    def settle(self) -> None:
        """Grant the loads that are due."""
        self.core.grants.settle()

    def tick(self) -> None:
        """Do what is due by time."""
        self.core.tick()
        now = self._clock.monotonic()
        if now - self._measured_at >= MEASURE_EVERY:
            self._measured_at = now
            self._measure()

    # Messages in

    @handles(bridge.Submit)
    def _submit(self, item: bridge.Submit) -> None:
        self._replies[item.request.request_id] = item.replies
        self.core.submit(item.request)

    @handles(bridge.CallerLeft)
    def _caller_left(self, item: bridge.CallerLeft) -> None:
        self._replies.pop(item.request_id, None)
        self.core.caller_left(item.request_id)

    @handles(bridge.Consumed)
    def _consumed(self, item: bridge.Consumed) -> None:
        self.core.consumed(item.request_id, item.count)

    @handles(bridge.DispatchHead)
    def _dispatch_head(self, item: bridge.DispatchHead) -> None:
        self.core.answers.dispatch_head(
            item.job_id, item.status, item.headers, item.incarnation
        )

    @handles(bridge.DispatchData)
    def _dispatch_data(self, item: bridge.DispatchData) -> None:
        self.core.answers.dispatch_data(item.job_id, item.index, item.count, item.data)

    @handles(bridge.DispatchDone)
    def _dispatch_done(self, item: bridge.DispatchDone) -> None:
        self.core.answers.dispatch_done(item.job_id, item.count, item.failure)

    @handles(bridge.ResumedData)
    def _resumed_data(self, item: bridge.ResumedData) -> None:
        self.core.answers.resumed_data(item.job, item.index, item.count, item.data)

    @handles(bridge.ResumedDone)
    def _resumed_done(self, item: bridge.ResumedDone) -> None:
        self.core.answers.resumed_done(item.job, item.count, item.failure)

    @handles(bridge.OrderDone)
    def _order_done(self, item: bridge.OrderDone) -> None:
        self.log.info(
            "order ended",
            kind=item.order.kind.value,
            adapter=str(item.order.adapter),
            upstream=item.order.upstream,
            result=item.result.value,
        )
        self.core.order_done(item.order, item.result)

    @handles(bridge.EngineRead)
    def _engine_read(self, item: bridge.EngineRead) -> None:
        self.core.engine_state(item.upstream, item.state)

    @handles(bridge.Records)
    def _records(self, item: bridge.Records) -> None:
        self.core.records(item.stream, item.records, item.at_end)

    @handles(bridge.Appended)
    def _appended(self, item: bridge.Appended) -> None:
        self.core.appended(item.stream, item.operation, item.result)

    @handles(bridge.Listed)
    def _listed(self, item: bridge.Listed) -> None:
        self.core.instance_list(item.endpoints)
        region = self.core.settings.own.region
        peers = [
            endpoint
            for endpoint in item.endpoints
            if endpoint.kind == "entry" and endpoint.region == region
        ]
        self._links.send(Peers(peers))

    @handles(news.PeerUp)
    def _peer_up(self, item: news.PeerUp) -> None:
        self.log.info("link up", peer=item.peer)
        self.core.peer_up(item.peer, item.incarnation)

    @handles(news.PeerDown)
    def _peer_down(self, item: news.PeerDown) -> None:
        self.log.info("link down", peer=item.peer)
        self.core.peer_down(item.peer)

    @handles(news.PeerMessages)
    def _peer_messages(self, item: news.PeerMessages) -> None:
        for message in item.messages:
            try:
                self.core.inbound.message(item.peer, item.incarnation, message)
            except ValueError as error:
                self.count("bad_frames", "value")
                self.log.warning("bad message", peer=item.peer, why=str(error))
                self._links.drop(item.peer)
                return

    @handles(bridge.ChangeConfiguration)
    def _change(self, item: bridge.ChangeConfiguration) -> None:
        self.core.change(item.change, item.decided.set_result)

    @handles(bridge.Read)
    def _read(self, item: bridge.Read) -> None:
        try:
            item.result.set_result(item.function(self.core))
        except Exception as error:
            item.result.set_exception(error)

    @handles(bridge.Watch)
    def _watch(self, item: bridge.Watch) -> None:
        item.number.set_result(self.core.watch(item.after, item.events.put))

    @handles(bridge.Unwatch)
    def _unwatch(self, item: bridge.Unwatch) -> None:
        self.core.changes.unwatch(item.number)

    @handles(bridge.StopOnPlan)
    def _stop_on_plan(self, item: bridge.StopOnPlan) -> None:
        self.log.info("planned stop begins")
        self.core.stop()

    # What the core asks for

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; return False if there is no link."""
        return self._links.send_to(peer, message)

    def drop(self, peer: str) -> None:
        """Close the link to an instance that is silent."""
        self._links.drop(peer)

    def follow(self, stream: str, offset: int) -> None:
        """Read a stream of the log from an offset on."""
        self._log_task.send(Follow(stream, offset))

    def append(self, stream: str, operation: str, record: dict[str, Any]) -> None:
        """Append a record to a stream of the log."""
        self._log_task.send(StartAppend(stream, operation, record))

    def dispatch(self, job: Job, address: str) -> None:
        """Send a job to its upstream."""
        self.log.debug(
            "request sent upstream",
            request=job.request_id,
            attempt=job.attempt,
            upstream=job.upstream,
        )
        if job.adapter is None:
            self._services.dispatch(job, address)
        else:
            self._engines.dispatch(job, address)

    def resume(self, job: Job, address: str, index: int) -> None:
        """Go on with a stream of an engine from an event number."""
        self.log.info(
            "stream goes on from the engine",
            request=job.request_id,
            upstream=job.upstream,
            index=index,
        )
        self._engines.resume(job, address, index)

    def cancel(self, job: Job, address: str) -> None:
        """Cancel a job that an upstream may be running."""
        if job.adapter is None:
            self._services.cancel(job)
        else:
            self._engines.cancel(job, address)

    def pause(self, job_id: JobId, paused: bool) -> None:
        """Stop or go on reading a job's answer."""
        self._engines.pause(job_id, paused)

    def send_order(self, order: Order, address: str, authority: Authority) -> None:
        """Send an order to an engine."""
        self._engines.send_order(order, address, authority)

    def read_engine(self, upstream: str, address: str, token: int, number: int) -> None:
        """Read an engine back."""
        self._engines.read(upstream, address, token, number)

    def reply(self, request_id: str, reply: Reply) -> None:
        """Hand a piece of the answer to the caller's connection."""
        if isinstance(reply, ReplyEnd | ReplyFailure):
            replies = self._replies.pop(request_id, None)
        else:
            replies = self._replies.get(request_id)
        if replies is not None:
            replies.put(reply)
        if isinstance(reply, ReplyFailure):
            failure = reply.failure
            self.log.info(
                "request has no whole answer",
                request=request_id,
                reason=failure.reason.value,
                outcome=failure.outcome.value,
                step=failure.step.value,
                peer=failure.peer,
            )
        elif isinstance(reply, ReplyEnd):
            self.log.debug("request answered", request=request_id)

    def count(self, metric: str, *labels: str) -> None:
        """Count one event."""
        self._metrics.count(metric, *labels)

    def observe(self, metric: str, value: float) -> None:
        """Take one measured value."""
        self._metrics.observe(metric, value)

    # Metrics

    def _measure(self) -> None:
        core, gauge = self.core, self._metrics.gauge
        for name, home in core.homes.by_upstream.items():
            gauge("queued", len(home.queue), name)
            gauge("running", len(home.running), name)
            measures = home.take_measures()
            for value in measures.stalls:
                self.observe("load_stall_seconds", value)
            for value in measures.waits:
                self.observe("queue_seconds", value)
            for value in measures.fills:
                self.observe("batch_fill", value)
            for result, number in measures.loads.items():
                self._metrics.count("loads", result, amount=number)
        figures = summary(core)
        gauge("open_calls", len(core.entry.calls))
        gauge("configuration_offset", core.changes.state.offset)
        gauge("log_lag_seconds", figures.log_lag)
        gauge("instances_in_contact", figures.in_contact)
        gauge("ready", 1 if core.ready else 0)
