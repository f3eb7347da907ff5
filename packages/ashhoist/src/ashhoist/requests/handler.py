"""Reads requests from callers' connections and responds to each."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..failures import Reason
from ..http import (
    CallerConnection,
    CallerGoneError,
    MalformedRequestError,
    Request,
    StoppingError,
    parse_number,
)
from ..http.request import CallerLimits
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..routing import Route, RouteTable
from .authentication import Authenticator, Identity
from .call import Call, TokenCounts
from .call_runner import CallRunner
from .choosers import Chooser
from .end_recorder import NO_CONFIGURATION, EndRecorder
from .fingerprint import fingerprint
from .header_names import HeaderNames
from .resumption import named_request, resumed_requests

RESPONSE_WRITE_TIMEOUT = timedelta(seconds=2)
FIRST_TRY_SHARE = 0.9
"""A request with a deadline below this share of the route's timeout is taken to be a
retry by its caller."""
MILLISECOND = timedelta(milliseconds=1)
STATUS_BY_REASON = {Reason.NOT_FOUND: 404, Reason.UNAUTHORIZED: 401}
"""Statuses of requests that are refused by their head; 503 for other reasons."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The result of admitting a request by its head.

    Parameters
    ----------
    table : RouteTable
        The routes that were active when the request arrived.
    """

    table: RouteTable
    route: Route
    identity: Identity


class Handler:
    """Entry point of callers' requests.

    Parameters
    ----------
    table : callable
        Returns the active routes, or None until a configuration is known.
    choosers : dict of str to Chooser
        The choosers for ``engine`` and ``plain`` services.
    closing : callable
        Returns whether connections are closed after responses that begin now.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        call_runner: CallRunner,
        table: Callable[[], RouteTable | None],
        choosers: dict[str, Chooser],
        authenticator: Authenticator,
        closing: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self._header_names = header_names
        self._call_runner = call_runner
        self._table = table
        self._choosers = choosers
        self._authenticator = authenticator
        self._closing = closing
        self._end_recorder = EndRecorder(
            clock, metrics, log, self._configuration_version
        )
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._random = rng

    @property
    def ended_by_stop(self) -> int:
        """Return how many requests were still at work when the instance ended."""
        return self._end_recorder.ended_by_stop

    def limits(self) -> CallerLimits:
        """Return the limits on requests set by the active configuration."""
        table = self._table()
        if table is None:
            return CallerLimits()
        limits = table.configuration.limits
        return CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )

    def serve(self, caller: CallerConnection) -> Steps[bool]:
        """Respond to all received requests; return whether the connection is kept."""
        caller.is_closing = self._closing
        try:
            return (yield from self._serve_all(caller))
        except StoppingError:
            caller.abort()
            return False

    def _serve_all(self, caller: CallerConnection) -> Steps[bool]:
        try:
            kept = yield from self._serve_one(caller)
            while kept and caller.has_more:
                kept = yield from self._serve_one(caller)
        except CallerGoneError:
            kept = False
        if not kept:
            yield from self._close(caller)
        return kept

    def _close(self, caller: CallerConnection) -> Steps[None]:
        yield from caller.close()
        if not caller.discarded_bytes:
            return
        self._metrics.count("connections_discarding")
        self._log.info(
            "bytes discarded",
            bytes=caller.discarded_bytes,
            stated_close=not caller.keep,
            answered=caller.answered,
        )

    def _serve_one(self, caller: CallerConnection) -> Steps[bool]:
        limits = self.limits()
        request: Request | None = None
        try:
            request = yield from caller.read_head(limits)
            yield from self._serve_request(caller, request, limits)
        except MalformedRequestError as error:
            yield from self._refuse_malformed(caller, error, self._id_of(request))
            return False
        except (CallerGoneError, StoppingError):
            raise
        except Exception:
            self._end_by_error(caller, self._id_of(request))
            return False
        return caller.next()

    def _serve_request(
        self, caller: CallerConnection, request: Request, limits: CallerLimits
    ) -> Steps[None]:
        """Serve a request whose head was read."""
        stopping = caller.is_interrupted
        admitted = Reason.STOPPING if stopping else self._admit(request)
        if isinstance(admitted, Admitted):
            try:
                request = yield from caller.read_body(request, limits)
            except StoppingError:
                admitted = Reason.STOPPING
            except CallerGoneError:
                self._record_refusal(Reason.CALLER_LEFT, request)
                raise
        if isinstance(admitted, Admitted):
            yield from self._serve_admitted(caller, request, admitted)
        else:
            yield from self._refuse(caller, admitted, request)

    def _id_of(self, request: Request | None) -> str:
        if request is None:
            return ""
        return request.value(self._header_names.request_id.lower())

    def _refuse_malformed(
        self, caller: CallerConnection, error: MalformedRequestError, request_id: str
    ) -> Steps[None]:
        reason = Reason.BAD_REQUEST
        self._metrics.count("refusals", reason)
        self._log.info(
            "request refused", request=request_id, reason=reason, detail=error.detail
        )
        caller.keep = False
        yield from self._respond_with_reason(caller, error.status, reason, request_id)

    def _end_by_error(self, caller: CallerConnection, request_id: str) -> None:
        self._log.exception(
            "unexpected error while serving a request", request=request_id
        )
        self._metrics.count("failures", Reason.INVALID)
        caller.abort()

    def _admit(self, request: Request) -> Admitted | Reason:
        """Return a request's route and sender, or the reason to refuse it.

        Only the head is examined, so a body that nobody would read need not be sent.
        """
        try:
            return self._look_up(request)
        except Exception:
            self._log.exception("unexpected error while admitting a request")
            return Reason.INVALID

    def _look_up(self, request: Request) -> Admitted | Reason:
        table = self._table()
        if table is None:
            return Reason.UNSETTLED
        route = table.find(request.value("host"), request.target)
        if route is None:
            return Reason.NOT_FOUND
        identity = self._authenticator.identify(table, route, request.headers)
        if isinstance(identity, Reason):
            return identity
        return Admitted(table, route, identity)

    def _serve_admitted(
        self, caller: CallerConnection, request: Request, admitted: Admitted
    ) -> Steps[None]:
        try:
            call = self._call(admitted, request)
            chooser = self._chooser(admitted.table, call.service)
        except Exception:
            self._log.exception("unexpected error while admitting a request")
            yield from self._refuse(caller, Reason.INVALID, request)
            return
        ending = yield from self._call_runner.run(call, caller, chooser)
        self._end_recorder.record(call, ending)

    def _configuration_version(self) -> int:
        table = self._table()
        return NO_CONFIGURATION if table is None else table.configuration.version

    def _chooser(self, table: RouteTable, name: str) -> Chooser:
        service = table.configuration.services.get(name)
        engine = service is not None and service.engine is not None
        return self._choosers["engine" if engine else "plain"]

    def _call(self, admitted: Admitted, request: Request) -> Call:
        header_names = self._header_names
        route = admitted.route
        deadline = request.received_at + route.timeout
        timeout_ms = parse_number(request.value(header_names.deadline_ms.lower()))
        if timeout_ms is not None:
            deadline = min(deadline, request.received_at + timeout_ms * MILLISECOND)
        service = self._service(route)
        runs_elsewhere = request.value(header_names.forwarded.lower())
        adapter = request.value(header_names.adapter.lower())
        resumed = resumed_requests(request, header_names.resumes.lower())
        last_event = request.value(header_names.last_event_id.lower())
        return Call(
            id=request.value(header_names.request_id.lower()),
            request=request,
            route=route,
            service=service,
            deadline=deadline,
            configuration_version=admitted.table.configuration.version,
            first_try=deadline - request.received_at >= route.timeout * FIRST_TRY_SHARE,
            adapter=Adapter.parse(adapter) if adapter else None,
            token_counts=_parse_token_counts(
                request.value(header_names.token_counts.lower())
            ),
            prompt_parts=_parse_prompt_parts(
                request.value(header_names.prompt_parts.lower())
            ),
            identity=admitted.identity,
            fingerprint=fingerprint(request, adapter),
            resumes=named_request(resumed),
            takes_up_stream=route.streams
            and route.resumable
            and bool(resumed or last_event),
            is_forwarded=bool(runs_elsewhere),
            runs=parse_number(runs_elsewhere) or 0,
        )

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [part.weight for part in route.services]
        if not any(weights):
            return self._random.choice(route.services).service
        [chosen] = self._random.choices(route.services, weights)
        return chosen.service

    def _refuse(
        self, caller: CallerConnection, reason: Reason, request: Request
    ) -> Steps[None]:
        self._record_refusal(reason, request)
        status = STATUS_BY_REASON.get(reason, 503)
        request_id = self._id_of(request)
        yield from self._respond_with_reason(caller, status, reason, request_id)

    def _record_refusal(self, reason: Reason, request: Request) -> None:
        self._metrics.count("refusals", reason)
        self._log.info(
            "request refused",
            request=self._id_of(request),
            reason=reason,
            proof_age_ms=self._authenticator.proof_age_ms,
        )

    def _respond_with_reason(
        self, caller: CallerConnection, status: int, reason: Reason, request_id: str
    ) -> Steps[None]:
        headers = [("Content-Type", "text/plain")]
        if request_id:
            headers.append((self._header_names.request_id, request_id))
        if status == 503:
            headers.append((self._header_names.retry_after, "0.5"))
        deadline = self._clock.monotonic() + RESPONSE_WRITE_TIMEOUT
        yield from caller.respond(status, headers, f"{reason}\n".encode(), deadline)


def _parse_token_counts(text: str) -> TokenCounts:
    counts = [part.strip() for part in text.split(",")]
    numbers = [parse_number(part) for part in counts]
    known = [number for number in numbers if number is not None]
    if len(known) != 2:
        return TokenCounts()
    return TokenCounts(*known)


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    return tuple(
        part.partition(":")[0].strip() for part in text.split(",") if part.strip()
    )
