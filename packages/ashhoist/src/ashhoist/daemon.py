"""``ashhoistd``: one instance as a process."""

import random
import signal
import sys
import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

import cappa
from werkzeug.wrappers import Request, Response

from . import bridge, logs, web
from .callers import CallersApp
from .clock import Clock, SystemClock
from .core import CoreSettings, Instance
from .core_task import CoreTask
from .engines import EngineClient
from .exceptions import AshhoistError
from .homes import HomesTiming
from .instance_list import InstanceListTask
from .instances import Links
from .log_service import LogTask
from .metrics import Metrics
from .operators import OperatorsApp
from .services import ServiceClient
from .settings import Settings, load
from .tasks import Stop
from .transfers import TransferTask
from .types import Endpoint

NOTICE = timedelta(seconds=2)
"""Callers are still served so long after readiness has gone false."""
LOOK_EVERY_SECONDS = 0.05
TASK_THREADS = 16
READ_TIMEOUT_SECONDS = 10.0


class _Answering:
    """Counts the HTTP requests that are being answered."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.number = 0

    def begin(self) -> None:
        """Count one more."""
        with self._lock:
            self.number += 1

    def end(self) -> None:
        """Count one less."""
        with self._lock:
            self.number -= 1


class Daemon:
    """All tasks of one instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    clock : Clock
        Source of the time.

    Raises
    ------
    AddressInUseError
        If an address to listen on is taken.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics(threading.Lock())
        self.incarnation = uuid4().hex[:12]
        instance = settings.instance
        self._own = Endpoint(
            instance.name,
            instance.availability_zone,
            instance.region,
            instance.instances,
        )
        self._executor = ThreadPoolExecutor(TASK_THREADS, instance.name)
        self._log = logs.get("daemon", instance=instance.name)
        self._answering = _Answering()
        self._make_tasks()
        self._http = self._make_http()

    def _make_tasks(self) -> None:
        settings, clock = self.settings, self.clock
        name, core_settings = self._own.name, self._core_settings()
        self.transfers = TransferTask(
            logs.get("transfers", instance=name), self.metrics.count
        )
        self.core = CoreTask(
            logs.get("core", instance=name), core_settings, clock, self.metrics
        )
        source = random.Random(self.incarnation)
        self.links = Links(
            logs.get("instances", instance=name),
            self._own,
            self.incarnation,
            settings.tokens.of("instances"),
            self.core.send,
            self.metrics.count,
            clock,
            self._executor,
            source,
        )
        self.log_task = LogTask(
            logs.get("log-service", instance=name),
            settings.platform.log_service,
            self.transfers,
            self.core.send,
            clock,
            source,
        )
        self.instance_list = InstanceListTask(
            logs.get("instance-list", instance=name),
            settings.platform.instance_list,
            self.transfers,
            self.core.send,
            clock,
        )
        engines = EngineClient(
            self.transfers,
            self.core.send,
            clock,
            settings.timing.send_bound,
            settings.timing.load_timeout,
        )
        services = ServiceClient(self.transfers, self.core.send, clock)
        self.core.connect(self.links, self.log_task, engines, services)

    def _core_settings(self) -> CoreSettings:
        settings = self.settings
        timing = settings.timing
        return CoreSettings(
            own=self._own,
            incarnation=self.incarnation,
            timing=HomesTiming(
                timing.lease,
                timing.send_bound,
                timing.clock_rate_margin,
                settings.platform.log_retention,
            ),
            heartbeat=timing.heartbeat,
            suspect_after=timing.suspect_after,
            zones=settings.platform.availability_zones,
            loads_per_second=settings.weight_store.loads_per_second,
            loads_at_once=settings.weight_store.loads_at_full_speed,
            load_timeout=timing.load_timeout,
            appends_per_second=settings.platform.log_appends_per_second,
            log_retention=settings.platform.log_retention,
            retry_share=settings.limits.retry_share,
            window_bytes=settings.limits.stream_window_bytes,
            queue_length=settings.limits.queue_length,
        )

    def _make_http(self) -> web.HttpServer:
        settings = self.settings
        self._callers = CallersApp(
            settings.tokens.of("callers"),
            settings.limits,
            self.core.send,
            lambda: self.read(
                lambda core: list(core.changes.state.of_kind("adapters"))
            ),
            self.metrics.count,
        )
        self._operators = OperatorsApp(
            settings.tokens.of("operators"),
            settings.limits.body_bytes,
            self.core.send,
            self.metrics.count,
        )
        return web.HttpServer(
            settings.instance.callers,
            self._application,
            settings.limits.connections,
            settings.limits.sender_timeout,
            settings.instance.certificate,
            settings.instance.private_key,
        )

    # HTTP

    def _application(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        self._answering.begin()
        response = self._respond(Request(environ))
        response.call_on_close(self._answering.end)
        self.metrics.count("http_requests", response.status_code)
        return response(environ, start)

    def _respond(self, request: Request) -> Response:
        path = request.path
        try:
            if path == "/healthz":
                return Response("ok\n")
            if path == "/readyz":
                return self._readiness()
            if path == "/metrics":
                return Response(self.metrics.render(), content_type="text/plain")
            if self._operators.answers(path):
                return self._operators.respond(request)
            if self._callers.answers(path):
                return self._callers.respond(request)
        except Exception:
            self._log.exception("request failed", path=path)
            return Response("internal error\n", status=500)
        return Response("not found\n", status=404)

    def _readiness(self) -> Response:
        if self.read(lambda core: core.ready):
            return Response("ready\n")
        return Response("not ready\n", status=503)

    def read(self, function: Any) -> Any:
        """Return the result of a read-only function on the core's state."""
        read = bridge.Read(function)
        self.core.send(read)
        return read.result.result(READ_TIMEOUT_SECONDS)

    # Life

    @property
    def callers_address(self) -> str:
        """Return where callers and operators are answered."""
        return self._http.address

    @property
    def instances_address(self) -> str:
        """Return where other instances are answered."""
        return self.links.address

    def start(self) -> None:
        """Start all tasks."""
        for task in (
            self.transfers,
            self.core,
            self.links,
            self.log_task,
            self.instance_list,
        ):
            task.start(self._executor)
        self._executor.submit(self._http.serve_forever)
        self._log.info(
            "started", callers=self.callers_address, instances=self.instances_address
        )

    def stop(self) -> bool:
        """Stop on plan: hand over, let everything finish, end.

        Returns
        -------
        bool
            True if nothing was cut off.
        """
        self.core.send(bridge.StopOnPlan())
        started = self.clock.monotonic()
        limit = started + self.settings.timing.drain
        time.sleep(min(NOTICE, self.settings.timing.drain).total_seconds())
        clean = False
        while self.clock.monotonic() < limit:
            if self.read(_is_idle) and not self._answering.number:
                clean = True
                break
            time.sleep(LOOK_EVERY_SECONDS)
        self._log.info("planned stop ends", clean=clean)
        self.close()
        return clean

    def abort(self) -> None:
        """End as a failure would: all connections break, nothing is handed over."""
        self.links.abort()
        self._http.abort()
        self.close()

    def close(self) -> None:
        """End all tasks at once; nothing is handed over."""
        self._http.shutdown()
        self._http.server_close()
        for task in (
            self.instance_list,
            self.log_task,
            self.links,
            self.core,
            self.transfers,
        ):
            task.send(Stop())
        self._executor.shutdown(wait=False)


def _is_idle(core: Instance) -> bool:
    return core.idle


@dataclass
class Ashhoistd:
    """Run one ashhoist instance."""

    settings: Annotated[
        Path, cappa.Arg(long="--settings", short="-s", help="settings file, INI")
    ]
    check_settings: Annotated[
        bool, cappa.Arg(long="--check-settings", help="check the settings and end")
    ] = False

    def __call__(self) -> None:
        """Run the instance until it is told to stop."""
        settings = load(self.settings)
        if self.check_settings:
            print(f"{self.settings}: settings are valid")
            return
        logs.configure(settings.logs.format == "json", settings.logs.level)
        daemon = Daemon(settings)
        asked = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: asked.set())
        daemon.start()
        asked.wait()
        if not daemon.stop():
            raise cappa.Exit("requests were cut off after the drain time", code=1)


def main() -> None:
    """Run ``ashhoistd``."""
    try:
        cappa.invoke(Ashhoistd)
    except AshhoistError as error:
        error.show()
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
