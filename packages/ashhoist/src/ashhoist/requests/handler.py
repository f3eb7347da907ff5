"""Takes requests off callers' connections and answers each."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, CallerGoneError, MalformedRequestError, Request
from ..http.caller import CallerLimits
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..routing import Route, RouteTable, Service
from .call import Call, Sizes
from .choosers import Chooser
from .dialect import Dialect
from .fingerprint import fingerprint
from .keys import Identity, Keys
from .serving import Ending, Serving

ANSWER_TIME = timedelta(seconds=2)
FIRST_TRY_SHARE = 0.9
"""A caller that has less of the route's time has tried before."""
MILLISECOND = timedelta(milliseconds=1)
STATUS_BY_REASON = {Reason.NOT_FOUND: 404, Reason.UNAUTHORIZED: 401}
"""Of requests that are refused by their head; else 503."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """What the head of a request that may be served says.

    Parameters
    ----------
    table : RouteTable
        What was in force when it came.
    """

    table: RouteTable
    route: Route
    identity: Identity


class Handler:
    """The entry of callers' requests.

    Parameters
    ----------
    table : callable
        Returns the routes in force, or None while none are known.
    choosers : dict of str to Chooser
        ``engine`` and ``plain``.
    closing : callable
        Returns whether answers shall close their connections.
    """

    def __init__(
        self,
        dialect: Dialect,
        serving: Serving,
        table: Callable[[], RouteTable | None],
        choosers: dict[str, Chooser],
        keys: Keys,
        closing: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        source: random.Random,
    ) -> None:
        self._dialect = dialect
        self._serving = serving
        self._table = table
        self._choosers = choosers
        self._keys = keys
        self._closing = closing
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._random = source

    def limits(self) -> CallerLimits:
        """Return what a caller may send by the configuration in force."""
        table = self._table()
        if table is None:
            return CallerLimits()
        limits = table.configuration.limits
        return CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_time,
            limits.idle_time,
        )

    def serve(self, caller: CallerConnection) -> Steps[bool]:
        """Answer what has come; return whether the connection is kept."""
        try:
            kept = yield from self._serve_one(caller)
            while kept and caller.has_more:
                kept = yield from self._serve_one(caller)
        except CallerGoneError:
            kept = False
        except Exception:
            self._log.exception("request failed by a defect")
            self._metrics.count("failures", Reason.INVALID)
            caller.abort()
            return False
        if not kept:
            yield from caller.close()
        return kept

    def _serve_one(self, caller: CallerConnection) -> Steps[bool]:
        try:
            limits = self.limits()
            request = yield from caller.read_head(limits)
            caller.keep = caller.keep and not self._closing()
            admitted = self._admit(request)
            if isinstance(admitted, Admitted):
                request = yield from caller.read_body(request, limits)
        except MalformedRequestError as error:
            self._metrics.count("refusals", Reason.BAD_REQUEST)
            self._log.info(
                "request refused", reason=Reason.BAD_REQUEST, detail=error.detail
            )
            caller.keep = False
            yield from self._say(caller, error.status, Reason.BAD_REQUEST, "")
            return False
        if isinstance(admitted, Admitted):
            yield from self._answer(caller, request, admitted)
        else:
            caller.skip_body()
            yield from self._refuse(caller, admitted, request)
        return caller.next()

    def _admit(self, request: Request) -> Admitted | Reason:
        """Return the route of a request and who sent it, or why it is not served.

        Its head says so: a body that nobody is going to read need not be sent.
        """
        table = self._table()
        if table is None:
            return Reason.UNSETTLED
        route = table.find(request.value("host"), request.target)
        if route is None:
            return Reason.NOT_FOUND
        identity = self._keys.identify(table, route, request.headers)
        if isinstance(identity, Reason):
            return identity
        return Admitted(table, route, identity)

    def _answer(
        self, caller: CallerConnection, request: Request, admitted: Admitted
    ) -> Steps[None]:
        call = self._call(admitted, request)
        services = admitted.table.configuration.services
        chooser = self._chooser(services.get(call.service))
        ending = yield from self._serving.run(call, caller, chooser)
        self._note(call, ending)

    def _chooser(self, service: Service | None) -> Chooser:
        engine = service is not None and service.engine is not None
        return self._choosers["engine" if engine else "plain"]

    def _call(self, admitted: Admitted, request: Request) -> Call:
        dialect = self._dialect
        route = admitted.route
        limit = request.received_at + route.timeout
        told = request.value(dialect.deadline_ms.lower())
        if told.isdigit():
            limit = min(limit, request.received_at + int(told) * MILLISECOND)
        service = self._service(route)
        adapter = request.value(dialect.adapter.lower())
        return Call(
            id=request.value(dialect.request_id.lower()),
            request=request,
            route=route,
            service=service,
            limit=limit,
            first_try=limit - request.received_at >= route.timeout * FIRST_TRY_SHARE,
            adapter=Adapter.parse(adapter) if adapter else None,
            sizes=_sizes(request.value(dialect.token_counts.lower())),
            prompt_parts=_parts(request.value(dialect.prompt_parts.lower())),
            identity=admitted.identity,
            fingerprint=fingerprint(request, adapter),
        )

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [part.weight for part in route.services]
        [chosen] = self._random.choices(route.services, weights)
        return chosen.service

    def _refuse(
        self, caller: CallerConnection, reason: Reason, request: Request
    ) -> Steps[None]:
        request_id = request.value(self._dialect.request_id.lower())
        self._metrics.count("refusals", reason)
        self._log.info(
            "request refused",
            request=request_id,
            reason=reason,
            proof_age_ms=self._keys.proof_age_ms,
        )
        status = STATUS_BY_REASON.get(reason, 503)
        yield from self._say(caller, status, reason, request_id)

    def _say(
        self, caller: CallerConnection, status: int, reason: Reason, request_id: str
    ) -> Steps[None]:
        headers = [("Content-Type", "text/plain")]
        if request_id:
            headers.append((self._dialect.request_id, request_id))
        if status == 503:
            headers.append((self._dialect.retry_after, "0.5"))
        until = self._clock.monotonic() + ANSWER_TIME
        yield from caller.respond(status, headers, f"{reason}\n".encode(), until)

    def _note(self, call: Call, ending: Ending) -> None:
        now = self._clock.monotonic()
        took = (now - call.received_at) / MILLISECOND
        self._metrics.observe("request_seconds", took / 1000)
        self._metrics.count("customer_requests", call.customer_name, ending.reason)
        if call.adapter is not None:
            self._metrics.observe("load_stall_seconds", call.waited.total_seconds())
        self._log.info(
            "request ended",
            request=call.id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            customer=call.customer_name,
            adapter=str(call.adapter or ""),
            upstream=call.sent_to,
            status=ending.status,
            reason=ending.reason,
            sends=call.sends,
            waited_ms=round(call.waited / MILLISECOND),
            sent_ms=_since(call.received_at, call.sent_at),
            first_ms=_since(call.received_at, call.first_event_at),
            took_ms=round(took),
            aim_ms=round(call.route.aim / MILLISECOND),
            tokens=call.sizes.tokens_in,
        )


def _since(began: timedelta, at: timedelta | None) -> int | None:
    """Return the milliseconds from one moment to another, if that has come."""
    return None if at is None else round((at - began) / MILLISECOND)


def _sizes(text: str) -> Sizes:
    counts = [part.strip() for part in text.split(",")]
    numbers = [int(part) for part in counts if part.isdigit()]
    if len(numbers) != 2:
        return Sizes()
    return Sizes(*numbers)


def _parts(text: str) -> tuple[str, ...]:
    return tuple(
        part.partition(":")[0].strip() for part in text.split(",") if part.strip()
    )
