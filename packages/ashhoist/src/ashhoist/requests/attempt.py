"""One attempt: a request is sent to one upstream, and its answer begins.

Every end of an attempt is one of the results below. They say what is sure:
whether the upstream has surely not run the request, may have run it, or has
answered.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, Head, NotSent, Pool, UpstreamConnection
from ..http.upstream import Broken, End, Piece, Waiting, Why
from ..loop import Steps, Wait
from ..placement.asks import Target
from .call import Call
from .dialect import SINGLE_CONNECTION, Dialect
from .notices import Notices

CONNECT_TIME = timedelta(milliseconds=700)
LARGEST_ANSWER = 16_777_216
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
MISDIRECTED = 421
OK = 200
SURPLUS_ALLOWED = 4
LEAST_URGENT = 9
CUSTOMER_STEP = 3
"""Urgencies between two priorities of customers, of ten in all."""
ROUTE_STEP = 2
"""The same between two priorities of routes, where there are no customers."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream has surely not run the request.

    Parameters
    ----------
    arrived : bool
        True if it reached the upstream, which refused it.
    """

    reason: Reason
    arrived: bool
    head: Head | None = None
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was sent, and nothing says that it was not run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer, success or failure."""

    head: Head
    body: bytes


@dataclass(frozen=True, slots=True)
class Streaming:
    """A stream of events has begun; `first` is what came with its head."""

    head: Head
    connection: UpstreamConnection


class CallerLeft:
    """The caller closed its connection; the attempt was broken off."""


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The call's limit was reached before the answer; it may have run."""


Result = NotRun | MayHaveRun | Answered | Streaming | CallerLeft | OutOfTime


class Attempts:
    """Sends requests to upstreams.

    Parameters
    ----------
    dialect : Dialect
        Header names.
    pool : Pool
        Kept connections.
    notices : Notices
        Takes in what answers say of their upstreams.
    """

    def __init__(
        self, dialect: Dialect, pool: Pool, notices: Notices, clock: Clock
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._notices = notices
        self._clock = clock
        self._own = dialect.own_headers()
        self._replaced = frozenset({dialect.deadline_ms.lower(), "content-length"})

    # Sending

    def send(
        self, call: Call, target: Target, caller: CallerConnection, stream: bool
    ) -> Steps[Result]:
        """Send `call` to `target` and wait for its answer or stream to begin."""
        now = self._clock.monotonic()
        connection = yield from self._pool.take(
            target.upstream, target.address, min(call.limit, now + CONNECT_TIME)
        )
        if isinstance(connection, NotSent):
            return NotRun(Reason.UPSTREAM_UNREACHABLE, arrived=False)
        result: Result | None = None
        try:
            result = yield from self._exchange(call, target, caller, connection, stream)
        finally:
            if not isinstance(result, Streaming):
                self._settle(target, connection, result)
        return result

    def _settle(
        self, target: Target, connection: UpstreamConnection, result: Result | None
    ) -> None:
        whole = isinstance(result, Answered)
        refused = isinstance(result, NotRun) and result.head is not None
        if whole or refused:
            self._pool.give_back(target.upstream, connection)
            return
        connection.close()

    def give_back(self, target: Target, connection: UpstreamConnection) -> None:
        """Keep the connection of a stream that ended whole."""
        self._pool.give_back(target.upstream, connection)

    def _exchange(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        connection: UpstreamConnection,
        stream: bool,
    ) -> Steps[Result]:
        request = call.request
        headers = self.headers(call, target)
        failed = yield from connection.send(
            request.method, request.target, headers, request.body, call.limit
        )
        if isinstance(failed, NotSent):
            return NotRun(Reason.UPSTREAM_UNREACHABLE, arrived=False)
        if failed is not None and failed.why is Why.TIMEOUT:
            return OutOfTime()
        if failed is not None:
            return MayHaveRun(Reason.ANSWER_CUT)
        return (yield from self._answer(call, target, caller, connection, stream))

    def headers(self, call: Call, target: Target) -> list[tuple[str, str]]:
        """Return the headers for an upstream: the caller's, and our own."""
        dialect, request = self._dialect, call.request
        dropped = self._own | self._replaced | _named_by_connection(request.headers)
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in SINGLE_CONNECTION and name.lower() not in dropped
        ]
        if call.last_event_id:
            name = dialect.last_event_id
            headers = [pair for pair in headers if pair[0].lower() != name.lower()]
            headers.append((name, call.last_event_id))
        left = (call.limit - self._clock.monotonic()) / timedelta(milliseconds=1)
        headers.append((dialect.deadline_ms, str(max(int(left), 1))))
        headers.append((dialect.expect_instance, target.upstream))
        if target.version is not None:
            headers.append((dialect.expect_version, str(target.version)))
        if call.adapter is not None:
            headers.append((dialect.urgency, str(_urgency(call))))
        if call.identity.customer is not None:
            headers.append((dialect.customer, call.identity.customer.name))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        return headers

    # Receiving

    def _answer(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        connection: UpstreamConnection,
        stream: bool,
    ) -> Steps[Result]:
        for _ in range(SURPLUS_ALLOWED):
            head = yield from self._await_head(call, caller, connection)
            if not isinstance(head, Head):
                return head
            self._notices.heard(call, target, head)
            mine = self._is_mine(call, head)
            if mine and stream and head.status == OK and self._acceptable(head):
                return Streaming(head, connection)
            body = yield from self._await_body(call, caller, connection)
            if not isinstance(body, bytes):
                return body
            if mine:
                return self._judge(head, body)
            if not connection.expect_another():
                return MayHaveRun(Reason.BAD_FRAME)
        return MayHaveRun(Reason.BAD_FRAME)

    def _is_mine(self, call: Call, head: Head) -> bool:
        echoed = head.value(self._dialect.request_id.lower())
        return echoed == call.id or (not echoed and self._says_not_run(head))

    def _says_not_run(self, head: Head) -> bool:
        if head.status == MISDIRECTED:
            return True
        marked = self._dialect.not_run.lower() in head.values
        return marked and head.status in NOT_RUN_STATUSES

    def _judge(self, head: Head, body: bytes) -> Result:
        if head.status == MISDIRECTED:
            return NotRun(Reason.NOT_RESIDENT, True, head, body)
        if self._says_not_run(head):
            return NotRun(Reason.UPSTREAM_REFUSED, True, head, body)
        success = 200 <= head.status < 300
        if success and not self._acceptable(head):
            return MayHaveRun(Reason.BAD_FRAME)
        return Answered(head, body)

    def _acceptable(self, head: Head) -> bool:
        """Return whether a success is the upstream's own, as it made it."""
        seal = self._dialect.seal.lower()
        if seal and seal not in head.values:
            return False
        return "content-encoding" not in head.values

    def _await_head(
        self, call: Call, caller: CallerConnection, connection: UpstreamConnection
    ) -> Steps[Head | MayHaveRun | CallerLeft | OutOfTime]:
        while True:
            event = connection.next_event()
            if isinstance(event, Head):
                return event
            if isinstance(event, Waiting):
                ended = yield from self.wait(call, caller, connection)
                if ended is not None:
                    return ended
                continue
            return MayHaveRun(_reason(event))

    def _await_body(
        self, call: Call, caller: CallerConnection, connection: UpstreamConnection
    ) -> Steps[bytes | MayHaveRun | CallerLeft | OutOfTime]:
        parts: list[bytes] = []
        size = 0
        while True:
            event = connection.next_event()
            if isinstance(event, Piece):
                parts.append(event.data)
                size += len(event.data)
                if size > LARGEST_ANSWER:
                    return MayHaveRun(Reason.BODY_TOO_LARGE)
                continue
            if isinstance(event, End):
                return b"".join(parts)
            if isinstance(event, Waiting):
                ended = yield from self.wait(call, caller, connection)
                if ended is not None:
                    return ended
                continue
            return MayHaveRun(_reason(event))

    def wait(
        self, call: Call, caller: CallerConnection, connection: UpstreamConnection
    ) -> Steps[MayHaveRun | CallerLeft | OutOfTime | None]:
        """Wait for the upstream; None means that something has come."""
        until = call.limit
        if call.patience is not None:
            until = min(until, self._clock.monotonic() + call.patience)
        while True:
            descriptor = connection.fileno()
            watched = caller.watched
            readable = (descriptor,) if watched is None else (descriptor, watched)
            ready = yield Wait(until, readable)
            if ready is None:
                silent = until < call.limit
                return MayHaveRun(Reason.UPSTREAM_SILENT) if silent else OutOfTime()
            if ready != descriptor:
                if caller.left():
                    return CallerLeft()
                continue
            broken = connection.receive()
            return None if broken is None else MayHaveRun(_reason(broken))


def _urgency(call: Call) -> int:
    """Return a call's urgency for engines, 0 to 9; 0 is first."""
    of_customer, of_route = call.priority
    if call.identity.customer is None:
        return min(of_route * ROUTE_STEP, LEAST_URGENT)
    within = min(of_route, CUSTOMER_STEP - 1)
    return min(of_customer * CUSTOMER_STEP + within, LEAST_URGENT)


def _named_by_connection(headers: list[tuple[str, str]]) -> set[str]:
    return {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }


def _reason(event: object) -> Reason:
    if isinstance(event, Broken) and event.why is Why.MALFORMED:
        return Reason.BAD_FRAME
    return Reason.ANSWER_CUT
