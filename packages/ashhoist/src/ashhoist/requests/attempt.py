"""One attempt: sends a request to one upstream and reads the start of its response."""

from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..forwarding import Connectivity
from ..forwarding.connectivity import SILENCE
from ..http import (
    CallerConnection,
    Head,
    NotSent,
    Pool,
    StoppingError,
    UpstreamConnection,
)
from ..http.upstream import Broken, End, Piece, Waiting, Why
from ..loop import Steps, Wait
from ..placement.messages import Target
from .call import Call
from .header_names import HOP_BY_HOP_HEADERS, HeaderNames
from .notices import UpstreamNotices
from .results import (
    MISDIRECTED_STATUS,
    NOT_RUN_STATUSES,
    PROMISE_STATUSES,
    Answered,
    CallerLeft,
    MayHaveRun,
    NotRun,
    OutOfTime,
    Result,
    Streaming,
)
from .silence_timer import SilenceTimer
from .silent_connects import CONNECT_TIMEOUT, connects_until

MAX_RESPONSE_BYTES = 16_777_216
OK = 200
MAX_RESPONSES_READ = 4
"""Responses read from a connection before the attempt fails: responses that do not
belong to the request are skipped."""
LEAST_URGENT = 9
"""The largest urgency value; 0 is the most urgent."""
CUSTOMER_PRIORITY_STEP = 3
"""Urgency values between two customer priorities, out of ten values in all."""
ROUTE_PRIORITY_STEP = 2
"""Urgency values between two route priorities, where there are no customers."""


class Attempts:
    """Sends requests to upstreams.

    Parameters
    ----------
    header_names : HeaderNames
        Names of the headers that requests and responses carry.
    pool : Pool
        Open connections to upstreams, kept for reuse.
    notices : UpstreamNotices
        Evaluates what response heads announce about their upstreams.
    connectivity : Connectivity
        Learns whether upstreams are heard of.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        pool: Pool,
        notices: UpstreamNotices,
        connectivity: Connectivity,
        clock: Clock,
    ) -> None:
        self._header_names = header_names
        self._pool = pool
        self._notices = notices
        self._connectivity = connectivity
        self._clock = clock
        self._system_headers = header_names.system_headers()
        self._rewritten_headers = frozenset(
            {header_names.deadline_ms.lower(), "content-length"}
        )
        # The other instance identifies the customer and sets the rest itself.
        self._forwarded_system_headers = self._system_headers - {
            header_names.key.lower()
        }

    # Sending

    def send(
        self, call: Call, target: Target, caller: CallerConnection, stream: bool
    ) -> Steps[Result]:
        """Send `call` to `target`; wait for its response or the start of its stream."""
        connection = yield from self._connect(call, target)
        self._record_connection(target, connection)
        if isinstance(connection, NotSent):
            return NotRun(Reason.UPSTREAM_UNREACHABLE, reached_upstream=False)
        result: Result | None = None
        try:
            result = yield from self._exchange(call, target, caller, connection, stream)
        finally:
            if not isinstance(result, Streaming):
                self._release_connection(target, connection, result)
        return result

    def _connect(
        self, call: Call, target: Target
    ) -> Steps[UpstreamConnection | NotSent]:
        until = connects_until(call, self._clock.monotonic())
        try:
            return (yield from self._pool.take(target.upstream, target.address, until))
        except StoppingError:
            # Nothing has been sent.
            call.attempt_unresolved = False
            raise

    def reach(self, call: Call, target: Target) -> Steps[bool]:
        """Open a connection to `target` that `send` may use; return whether it is."""
        until = min(call.deadline, self._clock.monotonic() + CONNECT_TIMEOUT)
        opened = self._pool.open(target.upstream, target.address, until)
        yield Wait(future=opened)
        self._record_connection(target, opened.result())
        return not isinstance(opened.result(), NotSent)

    def _record_connection(
        self, target: Target, connection: UpstreamConnection | NotSent
    ) -> None:
        if target.is_instance:
            return
        if isinstance(connection, NotSent):
            self._connectivity.connect_failed(target.upstream)
        elif not connection.used:
            self._connectivity.connected()

    def _release_connection(
        self, target: Target, connection: UpstreamConnection, result: Result | None
    ) -> None:
        complete = isinstance(result, Answered)
        refused = isinstance(result, NotRun) and result.head is not None
        if complete or refused:
            self._pool.give_back(target.upstream, connection)
            return
        connection.close()

    def keep_connection(self, target: Target, connection: UpstreamConnection) -> None:
        """Return the connection of a stream that ended cleanly to the pool."""
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
            request.method, request.target, headers, request.body, call.deadline
        )
        if isinstance(failed, NotSent):
            return NotRun(Reason.UPSTREAM_UNREACHABLE, reached_upstream=False)
        if failed is not None and failed.why is Why.TIMEOUT:
            return OutOfTime()
        if failed is not None:
            return MayHaveRun(Reason.ANSWER_CUT)
        return (
            yield from self._read_response(call, target, caller, connection, stream)
        )

    def headers(self, call: Call, target: Target) -> list[tuple[str, str]]:
        """Return the headers for an upstream: the caller's plus the system's own."""
        header_names, request = self._header_names, call.request
        system_headers = self._system_headers
        if target.is_instance:
            system_headers = self._forwarded_system_headers
        dropped = (
            system_headers
            | self._rewritten_headers
            | _connection_options(request.headers)
        )
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in dropped
        ]
        if call.last_event_id:
            name = header_names.last_event_id
            headers = [pair for pair in headers if pair[0].lower() != name.lower()]
            headers.append((name, call.last_event_id))
        left_ms = (call.deadline - self._clock.monotonic()) / timedelta(milliseconds=1)
        headers.append((header_names.deadline_ms, str(max(int(left_ms), 1))))
        if target.is_instance:
            headers.append((header_names.forwarded, str(call.runs)))
            if call.first_event_at is not None and not call.takes_up_stream:
                headers.append((header_names.resumes, call.id))
        else:
            headers += self._upstream_headers(call, target)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        return headers

    def _upstream_headers(self, call: Call, target: Target) -> list[tuple[str, str]]:
        """Return the headers that only upstreams get."""
        header_names = self._header_names
        headers = [(header_names.expect_instance, target.upstream)]
        if target.version is not None:
            headers.append((header_names.expect_version, str(target.version)))
        if call.adapter is not None:
            headers.append((header_names.urgency, str(_urgency(call))))
        if call.identity.customer is not None:
            headers.append((header_names.customer, call.identity.customer.name))
        return headers

    # Receiving

    def _read_response(
        self,
        call: Call,
        target: Target,
        caller: CallerConnection,
        connection: UpstreamConnection,
        stream: bool,
    ) -> Steps[Result]:
        for _ in range(MAX_RESPONSES_READ):
            head = yield from self._await_head(call, caller, connection)
            if not isinstance(head, Head):
                return head
            if not target.is_instance:
                self._notices.process_head(call, target, head)
            answers_call = self._answers_call(call, head)
            if answers_call and stream and head.status == OK and self._is_genuine(head):
                return Streaming(head, connection)
            body = yield from self._await_body(call, caller, connection)
            if not isinstance(body, bytes):
                return body
            if answers_call and target.is_instance:
                return self._classify_forwarded(head, body)
            if answers_call:
                return self._classify(head, body)
            if not connection.expect_another():
                return MayHaveRun(Reason.BAD_FRAME)
        return MayHaveRun(Reason.BAD_FRAME)

    def _answers_call(self, call: Call, head: Head) -> bool:
        echoed = head.value(self._header_names.request_id.lower())
        return echoed == call.id or (not echoed and self._declares_not_run(head))

    def _declares_not_run(self, head: Head) -> bool:
        if head.status == MISDIRECTED_STATUS:
            return True
        marked = self._header_names.not_run.lower() in head.values
        return marked and head.status in NOT_RUN_STATUSES

    def _classify(self, head: Head, body: bytes) -> Result:
        if head.status == MISDIRECTED_STATUS:
            return NotRun(Reason.NOT_RESIDENT, True, head, body)
        if self._declares_not_run(head):
            return NotRun(Reason.UPSTREAM_REFUSED, True, head, body)
        return self._complete_answer(head, body)

    def _complete_answer(self, head: Head, body: bytes) -> Answered | MayHaveRun:
        success = 200 <= head.status < 300
        if success and not self._is_genuine(head):
            return MayHaveRun(Reason.BAD_FRAME)
        return Answered(head, body)

    def _classify_forwarded(self, head: Head, body: bytes) -> Result:
        """Return what the response of another instance shows.

        A refusal of its own, without an upstream's marker, is a promise that it has
        sent the request to no upstream.
        """
        marker = self._header_names.upstream_marker.lower()
        is_marked = bool(marker) and marker in head.values
        is_client_error = 400 <= head.status < 500
        # Without markers, a client error may be an upstream's.
        is_own_error = bool(marker) and not is_marked and is_client_error
        if is_own_error or (head.status in PROMISE_STATUSES and not is_marked):
            return NotRun(Reason.INSTANCE_REFUSED, True, head, body)
        return self._complete_answer(head, body)

    def _is_genuine(self, head: Head) -> bool:
        """Return whether a success comes unmodified from the upstream itself.

        A success without the upstream's marker header, or with a content encoding,
        may have been produced or altered by something in between.
        """
        marker = self._header_names.upstream_marker.lower()
        if marker and marker not in head.values:
            return False
        return "content-encoding" not in head.values

    def _await_head(
        self, call: Call, caller: CallerConnection, connection: UpstreamConnection
    ) -> Steps[Head | MayHaveRun | CallerLeft | OutOfTime]:
        silence = SilenceTimer(call, self._clock)
        event = yield from self._next_event(call, caller, connection, silence)
        if isinstance(event, Head):
            silence.record_progress()
            return event
        if isinstance(event, MayHaveRun | CallerLeft | OutOfTime):
            return event
        return MayHaveRun(_failure_reason(event))

    def _await_body(
        self, call: Call, caller: CallerConnection, connection: UpstreamConnection
    ) -> Steps[bytes | MayHaveRun | CallerLeft | OutOfTime]:
        body = bytearray()
        silence = SilenceTimer(call, self._clock)
        while True:
            event = yield from self._next_event(call, caller, connection, silence)
            if isinstance(event, End):
                silence.record_progress()
                return bytes(body)
            if isinstance(event, MayHaveRun | CallerLeft | OutOfTime):
                return event
            if not isinstance(event, Piece):
                return MayHaveRun(_failure_reason(event))
            body += event.data
            if len(body) > MAX_RESPONSE_BYTES:
                return MayHaveRun(Reason.BODY_TOO_LARGE)
            silence.record_progress()

    def _next_event(
        self,
        call: Call,
        caller: CallerConnection,
        connection: UpstreamConnection,
        silence: SilenceTimer,
    ) -> Steps[Head | Piece | End | Broken | MayHaveRun | CallerLeft | OutOfTime]:
        """Return the next part of a response, or why none will come; may wait."""
        while True:
            event = connection.next_event()
            if not isinstance(event, Waiting):
                return event
            ended = yield from self.wait_for_upstream(call, caller, connection, silence)
            if ended is not None:
                return ended

    def wait_for_upstream(
        self,
        call: Call,
        caller: CallerConnection,
        connection: UpstreamConnection,
        silence: SilenceTimer,
    ) -> Steps[MayHaveRun | CallerLeft | OutOfTime | None]:
        """Wait until data arrives from the upstream; return None once it has.

        Parameters
        ----------
        silence : SilenceTimer
            Of the part of the response that is read. Data does not restart it: that is
            up to the reader.
        """
        overdue_at = self._overdue_at(call)
        descriptor = connection.fileno()
        while True:
            until = min(silence.ends_at, overdue_at)
            ready = yield _response_wait(call, caller, descriptor, until)
            if ready == descriptor:
                return self._receive(call, connection)
            if ready is not None:
                if caller.left():
                    return CallerLeft()
                continue
            now = self._clock.monotonic()
            if now >= call.deadline:
                return OutOfTime()
            if now >= overdue_at:
                self._connectivity.response_overdue()
                overdue_at = self._overdue_at(call)
            if call.place_search is None and now < silence.ends_at:
                continue
            if silence.extend_if_late(now):
                continue
            if self._may_leave(call, now):
                return MayHaveRun(Reason.UPSTREAM_SILENT)
            silence.restart()

    def _receive(self, call: Call, connection: UpstreamConnection) -> MayHaveRun | None:
        """Take in what has come; any byte shows that the upstream is reached."""
        broken = connection.receive()
        if broken is not None:
            return MayHaveRun(_failure_reason(broken))
        if connection.is_closed_by_peer:
            return None
        call.response_began = True
        if not call.forwarded_to:
            self._connectivity.heard()
        return None

    def _may_leave(self, call: Call, now: timedelta) -> bool:
        """Look for the next upstream of a call; return whether it leaves now."""
        limit = call.silence_limit
        assert limit is not None
        if limit.upstream_has_ended():
            return True
        if call.place_search is None:
            call.place_search = limit.begin_search()
        search = call.place_search
        if search is None:
            return False
        search.advance(now)
        if not search.is_over:
            return False
        if search.may_move:
            call.has_moved = True
            return True
        call.withdraw_place_search()
        return False

    def _overdue_at(self, call: Call) -> timedelta:
        """Return when the silence of a call's upstream is to be recorded."""
        if call.forwarded_to:
            return call.deadline
        return self._clock.monotonic() + SILENCE


def _response_wait(
    call: Call, caller: CallerConnection, descriptor: int, until: timedelta
) -> Wait:
    """Return a wait for the upstream, the caller, and the search for another upstream.

    Parameters
    ----------
    descriptor : int
        Of the connection to the upstream.
    """
    readable: tuple[int, ...] = (descriptor,)
    if caller.watched is not None:
        readable = (descriptor, caller.watched)
    waits = Wait(until, readable)
    if call.place_search is None:
        return waits
    return call.place_search.add_to(waits)


def _urgency(call: Call) -> int:
    """Return a call's urgency for engines, from 0 (first) to 9."""
    customer_priority, route_priority = call.priority
    if call.identity.customer is None:
        return min(route_priority * ROUTE_PRIORITY_STEP, LEAST_URGENT)
    offset = min(route_priority, CUSTOMER_PRIORITY_STEP - 1)
    return min(customer_priority * CUSTOMER_PRIORITY_STEP + offset, LEAST_URGENT)


def _connection_options(headers: list[tuple[str, str]]) -> set[str]:
    return {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }


def _failure_reason(event: object) -> Reason:
    if isinstance(event, Broken) and event.why is Why.MALFORMED:
        return Reason.BAD_FRAME
    return Reason.ANSWER_CUT
