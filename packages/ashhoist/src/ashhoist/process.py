"""One instance as a process on a platform: wires everything, decides nothing."""

import functools
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from uuid import uuid4

from . import logs
from .clock import SystemClock
from .control.core import Core, CoreSettings, Decode
from .control.engines import EngineControl, EngineProtocol
from .control.error_monitor import ErrorMonitor
from .control.peers import InstanceRecord
from .control.store_calls import StoreCalls
from .control.task import ControlTask
from .customers import QuotaBounds
from .exceptions import AddressInUseError
from .forwarding import (
    ConnectivityChanged,
    ConnectivityProbes,
    UpstreamsUnreachable,
)
from .http import ClosedConnections, Listener, Pool
from .instance_state import InstanceState
from .links import Links
from .loop import Loop, Steps, Task, sleep_until
from .metrics import Metrics
from .probes import ProbeServer
from .process_settings import ProcessSettings, paces
from .request_wiring import RequestWiring
from .requests import HeaderNames
from .signals import SettingsWatcher, Signals
from .store import CallCounts, CountedLog, Follower, Position, SharedLog, Topic
from .types import Endpoint

LINK_TOKENS = frozenset({"instances"})
NOTICE = timedelta(milliseconds=2600)
"""How long new connections are taken after readiness has gone false."""
LAST_PART = timedelta(milliseconds=700)
"""What is left of the time to stop when requests are ended."""
ABORT_PART = timedelta(milliseconds=300)
"""What is left of it when callers that do not take their responses are given up."""
LOOK_EVERY = timedelta(milliseconds=50)
LOOK_AT_SETTINGS = timedelta(seconds=2)
RESERVED_DESCRIPTORS = 200
"""For files, links, orders and the store."""
DESCRIPTORS_A_CALL = 2
"""A caller's connection, and one to an upstream."""


@dataclass(frozen=True, slots=True)
class Platform:
    """What a platform's adapter gives to the product."""

    header_names: HeaderNames
    open_log: Callable[[str, Loop], SharedLog]
    decode: Decode
    engines: EngineProtocol
    readiness_path: str = "/readyz"


class Process:
    """All parts of one instance.

    Raises
    ------
    AddressInUseError
        If one of the addresses is taken.
    """

    def __init__(
        self, settings: ProcessSettings, platform: Platform, loop: Loop
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.clock = loop.clock
        self.metrics = Metrics()
        self.log_calls = CallCounts(self.metrics, self.clock, logs.get("store"))
        self.life = uuid4().hex[:12]
        self._paces = paces(settings.store, settings.bounds)
        self._source = random.Random(self.life)
        self._platform = platform
        self._log = logs.get("process")
        self.state = InstanceState.initial(settings, self.clock, self.metrics)
        self.pool = Pool(loop)
        self._closing = False
        self.control = ControlTask(logs.get("control"), loop)
        self._connect_control()
        self._connect_connectivity()
        wiring = RequestWiring(
            settings,
            platform.header_names,
            self.state,
            self.control,
            self.pool,
            loop,
            self.metrics,
            self._source,
        )
        self._budget = wiring.budget
        self.handler = wiring.handler(lambda: self._closing)
        self.listener = self._make_listener()
        self.followers = self._make_followers()
        self.probes = ProbeServer(
            settings.instance.readiness,
            settings.instance.metrics,
            platform.readiness_path,
            lambda: self.control.core.ready,
            self.metrics,
            loop,
        )

    # Wiring

    def _make_listener(self) -> Listener:
        address = self.settings.instance.callers
        descriptors = self.settings.limits.descriptors - RESERVED_DESCRIPTORS
        closed = ClosedConnections(self.clock, self.metrics, logs.get("requests"))
        try:
            return Listener(
                address,
                self.handler.serve,
                lambda: self.handler.limits().idle_time,
                max(descriptors // DESCRIPTORS_A_CALL, 1),
                self.loop,
                closed,
            )
        except OSError as error:
            why = f"cannot listen on {address}: {error}"
            raise AddressInUseError(why) from None

    def _connect_control(self) -> None:
        settings, state = self.settings.instance, self.state
        control = self.control
        core_settings = CoreSettings(
            settings.name,
            settings.availability_zone,
            settings.instances,
            self.life,
            self._paces,
            settings.seeds,
            capacity=self.settings.limits.capacity,
            quotas=QuotaBounds(
                self.settings.quotas.window, self.settings.quotas.overage
            ),
            callers=settings.callers,
        )
        core = Core(
            core_settings,
            self._platform.decode,
            state.active_configuration,
            state.directory,
            state.residency,
            state.health,
            state.limits,
            state.backoffs,
            state.rejections,
            state.proof,
            state.quarantine,
            control,
            ErrorMonitor(self.clock, self.metrics, logs.get("control")),
            self.clock,
            self.metrics,
            logs.get("control"),
        )
        engines = EngineControl(
            self._platform.engines,
            core.order_router.may_send,
            control.send,
            self.loop,
        )
        own = InstanceRecord(
            settings.name,
            settings.availability_zone,
            settings.instances,
            self.settings.limits.capacity,
        )
        store = StoreCalls(
            own, self._open_log, control.send, self.loop, logs.get("store")
        )
        control.connect(
            core, self._make_links(), store, engines, self.pool, self._read_now
        )

    def _connect_connectivity(self) -> None:
        connectivity = self.state.connectivity
        self.connectivity_probes = ConnectivityProbes(
            self.settings.instance.availability_zone,
            connectivity,
            self.state.directory,
            self.loop,
            self._source,
        )
        connectivity.on_change = self._connectivity_changed
        connectivity.on_unreachable = lambda: self.control.send(UpstreamsUnreachable())
        connectivity.others_reach = lambda: bool(
            self.control.core.forwarding.available()
        )

    def _connectivity_changed(self) -> None:
        is_cut_off = self.state.connectivity.is_cut_off
        if not is_cut_off:
            # The failures seen meanwhile were those of this instance's links.
            self.state.health.forget_failures()
        self.control.send(ConnectivityChanged(is_cut_off))

    def _read_now(self, topic: Topic) -> None:
        self.followers[topic].wake()

    def _make_links(self) -> Links:
        settings = self.settings.instance
        own = Endpoint(
            settings.name,
            settings.availability_zone,
            settings.region,
            settings.instances,
        )
        self.links = Links(
            self.loop,
            own,
            self.life,
            LINK_TOKENS,
            self.control.send,
            self.metrics.count,
            self._source,
            logs.get("instances"),
        )
        return self.links

    def _open_log(self) -> SharedLog:
        log = self._platform.open_log(self.settings.store.address, self.loop)
        return CountedLog(log, self.log_calls)

    def _make_followers(self) -> dict[Topic, Follower]:
        return {
            topic: Follower(
                topic,
                self._open_log(),
                pace,
                self.control.send,
                lambda: self.control.core.is_log_reader,
                self.clock,
                logs.get("store"),
                functools.partial(self._read_after, topic),
            )
            for topic, pace in self._paces.items()
        }

    def _read_after(self, topic: Topic) -> Position:
        return self.control.core.records.replica.read_after(topic)

    # Life

    def start(self) -> None:
        """Start all parts."""
        self.links.start()
        self.control.start()
        for topic, follower in self.followers.items():
            Task(self.loop, follower.run(), f"follower of {topic}")
        self.listener.start()
        self.probes.start()
        settings = self.settings.instance
        self._log.info(
            "started",
            instance=settings.name,
            zone=settings.availability_zone,
            life=self.life,
            callers=settings.callers,
            instances=settings.instances,
        )

    def stop(self) -> Steps[bool]:
        """Stop on plan; return whether nothing was broken off."""
        began = self.clock.monotonic()
        end = began + self.settings.bounds.stop
        self._log.info("stopping", busy=self.listener.busy)
        self.control.core.stop()
        yield from sleep_until(began + NOTICE)
        self._closing = True
        self.listener.stop()
        while not self.idle() and self.clock.monotonic() < end - LAST_PART:
            yield from self._pause()
        clean, busy = self.idle(), self.listener.busy
        if busy:
            yield from self._end_requests(end - ABORT_PART)
        ended = self.handler.ended_by_stop
        self._log.info("stopped", clean=clean, busy=busy, ended=ended)
        return clean

    def _end_requests(self, until: timedelta) -> Steps[None]:
        """End the requests that are still at work; give up callers at `until`."""
        self.listener.interrupt()
        yield from self._pause()
        while self.listener.busy and self.clock.monotonic() < until:
            yield from self._pause()
        if self.listener.busy:
            self.listener.abort()
            yield from self._pause()

    def _pause(self) -> Steps[None]:
        yield from sleep_until(self.clock.monotonic() + LOOK_EVERY)

    def apply(self, settings: ProcessSettings) -> None:
        """Put changed settings in force, as far as a running process can."""
        self.settings = settings
        retries = settings.retries
        self._budget.set(retries.ratio, retries.extra, retries.window)
        self.control.core.membership.set_seeds(settings.instance.seeds)

    def idle(self) -> bool:
        """Return whether nothing is in flight and all is handed over."""
        return not self.listener.busy and self.control.core.settled

    def live(self, signals: Signals, watcher: SettingsWatcher) -> Steps[bool]:
        """Serve until a signal asks to stop; return whether the stop was clean."""
        while not signals.stop_asked:
            yield from signals.wait(LOOK_AT_SETTINGS)
            self.log_calls.log_if_due()
            self._reload(watcher, signals.take_reload())
        return (yield from self.stop())

    def _reload(self, watcher: SettingsWatcher, signalled: bool) -> None:
        """Put changed settings in force; an error in that must not end the process."""
        try:
            changed = watcher.look(signalled)
            if changed is not None:
                self.apply(changed)
        except Exception:
            self._log.exception("settings not put in force")


def run(settings: ProcessSettings, platform: Platform, path: Path) -> int:
    """Run one instance until it is told to stop.

    Parameters
    ----------
    path : pathlib.Path
        The settings file; it is read again on SIGHUP and when it changes.

    Returns
    -------
    int
        The exit code: 1 if requests were broken off at the end.
    """
    logs.configure(settings.logs.format == "json", settings.logs.level, sys.stdout)
    loop = Loop(SystemClock(), logs.get("loop"))
    for writer in logs.writers():
        _write_at_end_of_turns(writer, loop)
    signals = Signals(loop)
    process = Process(settings, platform, loop)
    loop.on_turn = lambda took: process.metrics.observe(
        "loop_turn_seconds", took.total_seconds()
    )
    process.start()
    watcher = SettingsWatcher(path, settings, logs.get("settings"))
    life = Task(loop, process.live(signals, watcher), "life")
    life.result.add_done_callback(lambda _: loop.stop())
    loop.run()
    return 0 if life.result.result() else 1


def _write_at_end_of_turns(writer: logs.LineWriter, loop: Loop) -> None:
    """Have lines written in batches; what a full pipe holds up waits for it."""
    descriptor = sys.stdout.fileno()

    def flush() -> None:
        loop.off_writable(descriptor)
        if not writer.flush():
            loop.on_writable(descriptor, flush)

    writer.on_lines = lambda: loop.call_at_end_of_turn(flush)
    writer.on_lines()
