"""One instance as a process on a platform: wires everything, decides nothing."""

import random
import sys
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from uuid import uuid4

from . import logs
from .clock import Clock, SystemClock
from .control.core import Core, CoreSettings, Decode
from .control.engines import EngineControl, EngineProtocol
from .control.peers import InstanceRecord
from .control.task import ControlTask, Look, SeedsChanged, StopOnPlan, StoreCalls
from .http import Listener, Pool
from .instances import Links
from .metrics import Metrics
from .placement import Residency
from .probes import ProbeServer
from .process_settings import ProcessSettings
from .requests import Dialect, Handler, RetryBudget
from .requests.attempt import Attempts
from .requests.choosers import Chooser, PlainChooser
from .requests.engine_chooser import EngineChooser
from .requests.serving import Serving
from .routing.in_force import InForce
from .signals import SettingsWatcher, Signals
from .store import Follower, Pace, SharedLog, Topic
from .types import Endpoint
from .upstreams import Balancer, Directory, Health

TASK_THREADS = 12
ENGINE_THREADS = 64
STORE_THREADS = 8
STACK_BYTES = 512 * 1024
LINK_TOKENS = frozenset({"instances"})
NOTICE = timedelta(milliseconds=2600)
"""How long new connections are taken after readiness has gone false."""
LAST_PART = timedelta(milliseconds=700)
"""What is left of the time to stop when requests are broken off."""
ANSWER_WITHIN = timedelta(milliseconds=200)
LOOK_EVERY = timedelta(milliseconds=50)
LOOK_AT_SETTINGS = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Platform:
    """What a platform's adapter gives to the product."""

    dialect: Dialect
    open_log: Callable[[str, Clock], SharedLog]
    decode: Decode
    engines: EngineProtocol
    readiness_path: str = "/readyz"


class Process:
    """All parts of one instance."""

    def __init__(self, settings: ProcessSettings, platform: Platform) -> None:
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.life = uuid4().hex[:12]
        self._source = random.Random(self.life)
        self._platform = platform
        self._log = logs.get("process")
        self._tasks = ThreadPoolExecutor(TASK_THREADS, "task")
        self._store_calls = ThreadPoolExecutor(STORE_THREADS, "store")
        self._engine_calls = ThreadPoolExecutor(ENGINE_THREADS, "engine")
        self._callers = ThreadPoolExecutor(settings.limits.threads, "caller")
        self.in_force = InForce()
        self.directory = Directory()
        self.residency = Residency()
        self.health = Health(self.clock)
        self.pool = Pool(self.clock)
        self._closing = False
        self.control = ControlTask(logs.get("control"), self.clock)
        self._connect_control()
        self.handler = self._make_handler()
        self.listener = Listener(
            settings.instance.callers,
            self.handler.serve,
            lambda: self.handler.limits().idle_time,
            self._callers,
            self.clock,
        )
        self.followers = self._make_followers()
        self.probes = ProbeServer(
            settings.instance.readiness,
            settings.instance.metrics,
            platform.readiness_path,
            lambda: self.control.core.ready,
            self.metrics,
        )

    # Wiring

    def _connect_control(self) -> None:
        settings, clock = self.settings.instance, self.clock
        control = self.control
        core_settings = CoreSettings(
            settings.name,
            settings.availability_zone,
            settings.instances,
            self.life,
            settings.seeds,
            capacity=self.settings.limits.capacity,
        )
        core = Core(
            core_settings,
            self._platform.decode,
            self.in_force,
            self.directory,
            self.residency,
            self.health,
            control,
            clock,
            self.metrics,
            logs.get("control"),
        )
        engines = EngineControl(
            self._platform.engines,
            core.desk.may_send,
            control.send,
            self._engine_calls,
            clock,
        )
        own = InstanceRecord(
            settings.name,
            settings.availability_zone,
            settings.instances,
            self.settings.limits.capacity,
        )
        store = StoreCalls(
            own, self._open_log, control.send, self._store_calls, logs.get("store")
        )
        control.connect(
            core, self._make_links(), store, engines, self.pool, self._read_now
        )

    def _read_now(self, topic: Topic) -> None:
        self.followers[topic].poke()

    def _make_links(self) -> Links:
        settings = self.settings.instance
        own = Endpoint(
            settings.name,
            settings.availability_zone,
            settings.region,
            settings.instances,
        )
        self.links = Links(
            logs.get("instances"),
            own,
            self.life,
            LINK_TOKENS,
            self.control.send,
            self.metrics.count,
            self.clock,
            self._tasks,
            self._source,
        )
        return self.links

    def _open_log(self) -> SharedLog:
        return self._platform.open_log(self.settings.store.address, self.clock)

    def _make_handler(self) -> Handler:
        dialect, clock = self._platform.dialect, self.clock
        zone = self.settings.instance.availability_zone
        balancer = Balancer(zone, self.health, self._source)
        retries = self.settings.retries
        self._budget = RetryBudget(
            retries.ratio, retries.extra, retries.window, self._instances, clock
        )
        serving = Serving(
            dialect,
            Attempts(dialect, self.pool, clock),
            self._budget,
            self.health,
            clock,
            self.metrics,
            logs.get("requests"),
        )
        choosers: dict[str, Chooser] = {
            "plain": PlainChooser(self.directory, balancer, self.health),
            "engine": EngineChooser(
                self.directory,
                self.residency,
                self.in_force,
                balancer,
                self.health,
                self.control.send,
                lambda: self.control.core.leader is not None,
                clock,
            ),
        }
        return Handler(
            dialect,
            serving,
            lambda: self.in_force.table,
            choosers,
            lambda: self._closing,
            clock,
            self.metrics,
            logs.get("requests"),
            self._source,
        )

    def _instances(self) -> int:
        return len(self.control.core.peers.by_name) + 1

    def _make_followers(self) -> dict[Topic, Follower]:
        store = self.settings.store
        paces = {
            Topic.CONFIGURATION: Pace(store.configuration_wait, timedelta()),
            Topic.UPSTREAMS: Pace(timedelta(), store.upstreams_pause),
        }
        return {
            topic: Follower(
                topic,
                self._open_log(),
                pace,
                self.control.send,
                lambda: self.control.core.reads_itself,
                self.clock,
                logs.get("store"),
            )
            for topic, pace in paces.items()
        }

    # Life

    def start(self) -> None:
        """Start all tasks."""
        self.links.start(self._tasks)
        self.control.start(self._tasks)
        for follower in self.followers.values():
            self._tasks.submit(follower.run)
        self._tasks.submit(self.listener.run)
        self.probes.start(self._tasks)
        settings = self.settings.instance
        self._log.info(
            "started",
            instance=settings.name,
            zone=settings.availability_zone,
            life=self.life,
            callers=settings.callers,
            instances=settings.instances,
        )

    def stop(self) -> bool:
        """Stop on plan; return whether nothing was broken off."""
        began = self.clock.monotonic()
        limit = began + self.settings.bounds.stop - LAST_PART
        self._log.info("stopping", busy=self.listener.busy)
        self.control.send(StopOnPlan())
        self._pause_until(lambda: False, began + NOTICE)
        self._closing = True
        self.listener.stop()
        clean = self._pause_until(self.idle, limit)
        self.listener.close_resting()
        self._log.info("stopped", clean=clean, busy=self.listener.busy)
        return clean

    def apply(self, settings: ProcessSettings) -> None:
        """Put changed settings in force, as far as a running process can."""
        self.settings = settings
        retries = settings.retries
        self._budget.set(retries.ratio, retries.extra, retries.window)
        self.control.send(SeedsChanged(settings.instance.seeds))

    def idle(self) -> bool:
        """Return whether nothing is in flight and all is handed over."""
        return not self.listener.busy and self._settled()

    def _settled(self) -> bool:
        """Return whether the control task says that all is handed over.

        One that does not answer in time has not: a stop must end by its limit.
        """
        look = Look(lambda core: core.settled, Future())
        self.control.send(look)
        try:
            return bool(look.result.result(ANSWER_WITHIN.total_seconds()))
        except TimeoutError:
            return False

    def _pause_until(self, done: Callable[[], bool], limit: timedelta) -> bool:
        pause = threading.Event()
        while self.clock.monotonic() < limit:
            if done():
                return True
            pause.wait(LOOK_EVERY.total_seconds())
        return False


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
    threading.stack_size(STACK_BYTES)
    logs.configure(settings.logs.format == "json", settings.logs.level, sys.stdout)
    signals = Signals()
    process = Process(settings, platform)
    process.start()
    watcher = SettingsWatcher(path, settings, logs.get("settings"))
    while not signals.stop_asked:
        signals.wait(LOOK_AT_SETTINGS)
        changed = watcher.look(signals.take_reload())
        if changed is not None:
            process.apply(changed)
    return 0 if process.stop() else 1
