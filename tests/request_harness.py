"""A request entry on loopback, with scripted upstreams."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any

from ashhoist import logs
from ashhoist.customers import Customer, Proof
from ashhoist.customers.charges import Charge, ChargeResult
from ashhoist.failures import Reason
from ashhoist.forwarding import (
    Connectivity,
    ForwardingInstance,
    ForwardingInstances,
)
from ashhoist.http import CallerConnection, Listener, Pool
from ashhoist.loop import Loop, Steps
from ashhoist.metrics import Metrics
from ashhoist.overload import AttemptOutcome
from ashhoist.placement.messages import Refusal, RequestOutcome, Target
from ashhoist.position import Position
from ashhoist.quarantine import PartHistory, Quarantine
from ashhoist.requests import Handler, RetryBudget
from ashhoist.requests.attempt import Attempts
from ashhoist.requests.authentication import Authenticator
from ashhoist.requests.call import Call
from ashhoist.requests.call_runner import CallRunner
from ashhoist.requests.charging import Charging
from ashhoist.requests.choosers import Chooser
from ashhoist.requests.forwarding_chooser import Forwarding, ForwardingChooser
from ashhoist.requests.notices import UpstreamNotices
from ashhoist.requests.quarantine_gate import QuarantineGate
from ashhoist.requests.results import Choice
from ashhoist.requests.resumption import Resumptions
from ashhoist.requests.send_checks import SendChecks
from ashhoist.requests.send_permits import SendPermits
from ashhoist.routing import (
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServingConfiguration,
    WeightedService,
)
from ashhoist.streams import (
    FoundVersion,
    VersionLookup,
    VersionLookupTimedOut,
    VersionSource,
)
from ashhoist.upstreams import (
    Backoffs,
    Directory,
    Health,
    RateLimits,
    RejectionLimits,
    Upstream,
)

from . import ports
from .loops import ThreadLoop
from .platform_stand_ins.server import Call as UpstreamCall, Handler as Script, Server
from .request_caller import HEADER_NAMES, HOST, ID, TIMEOUT_S, Answer, Caller

NEVER_SILENT = {"target_latency": TIMEOUT_S, "event_gap": TIMEOUT_S}
"""Options of a harness for tests in which an upstream must not look silent, as a sound
one may on a machine that is held up."""
LONG_AGO = timedelta(hours=1)
"""By then, a process has its whole part of the fixed retry allowance."""


class ListChooser:
    """Tries the harness's upstreams in order, each once per call.

    Like a leader of an earlier release, it knows no software versions.

    Attributes
    ----------
    refusal : Refusal or None
        Answers all calls in place of an upstream.
    admits : bool
        Whether retries count as admitted by the leader.
    """

    def __init__(self, harness: "Harness") -> None:
        self._harness = harness
        self.ended_count = 0
        self.refusal: Refusal | None = None
        self.admits = False
        self.outcomes: list[AttemptOutcome | None] = []

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        yield from ()
        if self.refusal is not None:
            return self.refusal
        for name, server in self._harness.upstreams.items():
            if name not in call.tried:
                return Target(name, server.address)
        return Refusal(Reason.NO_UPSTREAM)

    def has_alternative(self, call: Call) -> bool:
        return any(name not in call.tried for name in self._harness.upstreams)

    def on_first_event(self, call: Call, target: Target) -> None:
        pass

    def is_admitted_by_leader(self, call: Call) -> bool:
        return self.admits

    def on_attempt_ended(
        self,
        call: Call,
        target: Target,
        end: RequestOutcome,
        outcome: AttemptOutcome | None,
    ) -> None:
        self.ended_count += 1
        self.outcomes.append(outcome)


class Harness:
    """One request entry and its upstreams.

    Parameters
    ----------
    scripts : callables
        How each upstream handles a request.
    target_latency : float
        Of all routes, in seconds. An upstream that has not answered by then is silent:
        a request that may run again looks for another one.
    """

    def __init__(
        self,
        *scripts: Script,
        timeout: float = TIMEOUT_S,
        attempts: int = 2,
        event_gap: float = 1.0,
        target_latency: float = 1.0,
        limits: Limits = Limits(),  # noqa: B008
        extra: float = 100,
        max_connections: int = 1000,
        customers: tuple[Customer, ...] = (),
        proof: Proof | None = None,
    ) -> None:
        self.proof = proof or Proof()
        self.control_messages: list[Any] = []
        self.found_version: FoundVersion | None = None
        self.charge_result = ChargeResult(True)
        self.loop = self._make_loop()
        self.upstreams = {
            f"upstream-{index}": self._make_upstream(script)
            for index, script in enumerate(scripts)
        }
        route = Route(
            "",
            HOST,
            "/",
            RouteKind.SAFE,
            (WeightedService("service"),),
            timedelta(seconds=timeout),
            timedelta(seconds=target_latency),
            attempts,
            target_event_gap=timedelta(seconds=event_gap),
        )
        routes = (
            replace(route, name="safe", path_prefix="/safe/"),
            replace(
                route, name="unsafe", path_prefix="/unsafe/", kind=RouteKind.UNSAFE
            ),
            replace(
                route,
                name="stream",
                path_prefix="/stream/",
                kind=RouteKind.STREAM,
                resumable=True,
            ),
            replace(route, name="once", path_prefix="/once/", kind=RouteKind.STREAM),
            replace(route, name="public", path_prefix="/public/", public=True),
        )
        services = {"service": Service("service")}
        self.table: RouteTable | None = RouteTable(
            ServingConfiguration(1, routes, services, limits, customers)
        )
        self.metrics = Metrics()
        self.closing = False
        self.chooser = ListChooser(self)
        self.handler = self._make_handler(extra)
        self._listen(max_connections)

    def _make_loop(self) -> Loop:
        self._thread = ThreadLoop()
        return self._thread.loop

    def _make_upstream(self, script: Any) -> Any:
        return Server(script)

    def _make_pool(self) -> Pool:
        return Pool(self.loop)

    def _upstream_chooser(self) -> Chooser:
        """Return what chooses the upstreams, as `chooser` in the simple case."""
        return self.chooser

    def _listen(self, max_connections: int) -> None:
        self.listener = Listener(
            ports.free_address(),
            self.handler.serve,
            lambda: self.handler.limits().idle_time,
            max_connections,
            self.loop,
        )
        self._thread.call(self.listener.start)

    def _make_handler(self, extra: float) -> Handler:
        clock = self.loop.clock
        self.quarantine = Quarantine(clock)
        self.connectivity = Connectivity(clock, self.metrics, logs.get("connectivity"))
        self.connectivity.on_suspicion = self.connectivity.connected
        self.instances: list[ForwardingInstance] = []
        available = ForwardingInstances(
            "zone", lambda: self.instances, clock, Random(1)
        )
        self.forwarding_instances = available
        self.forwarding = Forwarding(self.connectivity, available, self.metrics)
        self._pool = self._make_pool()
        self.directory = Directory()
        self.backoffs = Backoffs(self.directory.incarnation_of, clock)
        self.limits = RateLimits(self.directory.incarnation_of)
        self.rejections = RejectionLimits(clock)
        self.permits = SendPermits(self.limits, self._receive_control_message, clock)
        self.list_upstreams()
        keys = Authenticator(
            HEADER_NAMES.key.lower(),
            lambda: self.table,
            self.proof,
            timedelta(seconds=3),
            clock,
        )
        charging = Charging(
            self._receive_control_message, clock, self.metrics, Random(1)
        )
        self.health = Health(clock)
        self.budget = budget = RetryBudget(
            0.0,
            extra,
            timedelta(seconds=10),
            lambda: 1,
            clock,
            clock.monotonic() - LONG_AGO,
        )
        quarantine_gate = QuarantineGate(
            self.quarantine,
            self.connectivity,
            PartHistory(clock),
            lambda upstream: upstream,
            self._receive_control_message,
        )
        log = logs.get("requests")
        serving = CallRunner(
            HEADER_NAMES,
            Attempts(
                HEADER_NAMES,
                self._pool,
                self._notices(),
                self.connectivity,
                clock,
            ),
            budget,
            self.health,
            charging,
            quarantine_gate,
            SendChecks(
                keys,
                quarantine_gate,
                self.directory,
                self.backoffs,
                self.permits,
                self.forwarding,
                self.metrics,
                log,
            ),
            self.directory,
            self.rejections,
            self.forwarding,
            Resumptions(
                HEADER_NAMES,
                self.directory,
                self._receive_control_message,
                clock,
                self.metrics,
                log,
            ),
            clock,
            self.metrics,
            log,
        )
        chooser = ForwardingChooser(
            self._upstream_chooser(), self.forwarding, self.connectivity
        )
        return Handler(
            HEADER_NAMES,
            serving,
            lambda: self.table,
            {"plain": chooser, "engine": chooser},
            keys,
            lambda: self.closing,
            clock,
            self.metrics,
            logs.get("requests"),
            Random(1),
        )

    def list_upstreams(self, *software_versions: str) -> None:
        """Register the current upstreams, in the directory.

        Parameters
        ----------
        software_versions : str
            The version of each upstream; without any, they tell none.
        """
        versions = software_versions or ("",) * len(self.upstreams)
        listed = zip(self.upstreams.items(), versions, strict=True)
        for (name, server), version in listed:
            offset = Position(self.directory.offset + 1)
            self.directory.put(
                Upstream(
                    name,
                    "service",
                    server.address,
                    "zone",
                    offset=offset,
                    software_version=version,
                )
            )

    def _notices(self) -> UpstreamNotices:
        log = logs.get("requests")
        return UpstreamNotices(
            HEADER_NAMES,
            self.backoffs,
            self.limits,
            self.rejections,
            self._receive_control_message,
            self.loop.clock,
            self.metrics,
            log,
        )

    def _receive_control_message(self, message: Any) -> None:
        """Record a message to the control task; settle charges as the test has set."""
        self.control_messages.append(message)
        if isinstance(message, Charge):
            message.settle(self.charge_result)
        if isinstance(message, VersionLookup) and self.found_version is not None:
            message.settle(self.found_version)
        if isinstance(message, VersionLookupTimedOut):
            for lookup in self.control_messages:
                if isinstance(lookup, VersionLookup):
                    lookup.settle(FoundVersion(VersionSource.UNKNOWN))

    def calls(self, index: int = 0) -> list[UpstreamCall]:
        """Return the requests that an upstream has received."""
        return self.upstreams[f"upstream-{index}"].calls

    def connect(self, source: str = "127.0.0.1") -> "Caller":
        """Return a new caller that connects from `source`."""
        return Caller(self.listener.address, source)

    def ask(self, path: str, source: str = "127.0.0.1", **arguments: object) -> Answer:
        """Send one request on a new connection."""
        with self.connect(source) as caller:
            return caller.ask(path, **arguments)  # type: ignore[arg-type]

    def on_loop(self, function: Callable[[], None]) -> None:
        """Call a function in one turn of the loop, in which nothing else happens."""
        self._thread.call(function)

    def set_limits(self, limits: Limits) -> None:
        """Put other limits on callers in force."""
        assert self.table is not None
        configuration = replace(self.table.configuration, limits=limits)
        self.table = RouteTable(configuration)

    def stop(self) -> None:
        """Begin the last phase of a planned stop, as a process does."""
        self.closing = True
        self._thread.call(self.listener.stop)

    def interrupt(self) -> None:
        """Reach the limit of a planned stop, as a process does."""
        self.on_loop(self.listener.interrupt)

    def abort(self) -> None:
        """Reach the end of a planned stop, as a process does."""
        self.on_loop(self.listener.abort)

    def close(self) -> None:
        self._thread.call(self.listener.stop)
        self._thread.call(self._pool.close)
        for server in self.upstreams.values():
            server.close()
        self._thread.close()


def response_headers(call: UpstreamCall, **more: str) -> dict[str, str]:
    """Return the headers of a proper response to a request."""
    return {ID: call.headers[ID.lower()], "Seal": "seal", **more}


def event(number: int, text: str = "data") -> bytes:
    """Return one event of a stream, as bytes."""
    return f"id: {number}\ndata: {text}.{number}\n\n".encode()
