"""Forwards an event stream to its caller and resumes it at another upstream if allowed.

Only complete events are forwarded, with increasing ids. If the upstream breaks off and
the route allows it, another upstream continues the response after the last event that
was forwarded. The old connection is closed first, so that the request stops running
there.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import (
    CallerConnection,
    CallerGoneError,
    Head,
    UpstreamConnection,
    parse_number,
)
from ..http.upstream import Broken, End, Piece
from ..loop import Steps
from .attempt import Attempts
from .call import Call
from .event_pause import EventPause
from .events import EventSplitter, StreamEvent
from .results import CallerLeft, MayHaveRun, OutOfTime, Streaming
from .silence import stall_timeout
from .silence_timer import SilenceTimer
from .stream_progress import StreamProgress

MAX_EVENT_ID_DIGITS = 18
"""Longer ids, and those with other characters, are passed on but not compared."""


@dataclass(frozen=True, slots=True)
class CompletedStream:
    """The upstream ended its stream properly.

    Parameters
    ----------
    status : int
        The status that the caller received.
    """

    status: int


SegmentEnd = CompletedStream | MayHaveRun | CallerLeft | OutOfTime
"""How the part of a stream that one upstream sent has ended."""


def _ignore() -> None:
    """Do nothing: no upstream sends events yet."""


class StreamRelay:
    """One streamed response, whose events may come from several upstreams in turn."""

    def __init__(
        self,
        call: Call,
        caller: CallerConnection,
        attempts: Attempts,
        clock: Clock,
    ) -> None:
        self._call = call
        self._caller = caller
        self._attempts = attempts
        self._clock = clock
        self._last_event_number: int | None = None
        self._events_sent = 0
        self._before_forwarding: Callable[[], None] | None = None
        self._on_event: Callable[[], None] = _ignore
        self.started = False
        self.events_relayed = 0

    def run(
        self,
        stream: Streaming,
        head: Head,
        before_forwarding: Callable[[], None],
        on_first_event: Callable[[], None],
        on_event: Callable[[], None],
    ) -> Steps[SegmentEnd]:
        """Forward the events of one upstream until its part of the stream ends.

        Parameters
        ----------
        head : Head
            The head for the caller; sent before the first event only.
        before_forwarding : callable
            Called once, before anything of this upstream is sent to the caller.
        on_first_event : callable
            Called once this upstream's first new event with a numeric id has been
            forwarded.
        on_event : callable
            Called for each new event of this upstream with a numeric id.
        """
        self._on_event = on_event
        self._before_forwarding = before_forwarding
        splitter = EventSplitter()
        progress = StreamProgress(self._call, self._clock)
        events_before: int | None = self.events_relayed
        while True:
            event = stream.connection.next_event()
            if isinstance(event, Piece):
                ended = yield from self._forward(splitter, event.data, head, progress)
                if ended is not None:
                    return ended
                if events_before is not None and self.events_relayed > events_before:
                    events_before = None
                    on_first_event()
                    self._set_stall_timeout()
                continue
            if isinstance(event, End):
                if not splitter.at_event_boundary:
                    return MayHaveRun(Reason.ANSWER_CUT)
                progress.record_end()
                return (yield from self._finish(head))
            if isinstance(event, Broken):
                return MayHaveRun(Reason.ANSWER_CUT)
            waited = yield from self._wait(stream.connection, progress.silence)
            if waited is not None:
                return waited

    def _set_stall_timeout(self) -> None:
        call = self._call
        if call.silence_limit is not None:
            call.silence_limit = replace(
                call.silence_limit, timeout=stall_timeout(call.route)
            )

    def _wait(
        self, connection: UpstreamConnection, silence: SilenceTimer
    ) -> Steps[MayHaveRun | CallerLeft | OutOfTime | None]:
        return self._attempts.wait_for_upstream(
            self._call, self._caller, connection, silence
        )

    def _forward(
        self,
        splitter: EventSplitter,
        data: bytes,
        head: Head,
        progress: StreamProgress,
    ) -> Steps[MayHaveRun | CallerLeft | None]:
        new_events: list[StreamEvent] = []
        has_new_event = False
        for event in splitter.feed(data):
            is_new = self._is_new(event)
            if is_new is None:
                return MayHaveRun(Reason.BAD_FRAME)
            if is_new:
                new_events.append(event)
                has_new_event = has_new_event or not event.is_empty
        if splitter.oversized:
            return MayHaveRun(Reason.BAD_FRAME)
        progress.record(has_new_event, splitter.pending_size)
        if not new_events:
            return None
        began = self._clock.monotonic()
        left = yield from self._send(new_events, head)
        progress.exclude(self._clock.monotonic() - began)
        return left

    def _is_new(self, event: StreamEvent) -> bool | None:
        """Return whether an event is new; None if its id leaves a gap."""
        if not event.id:
            return True
        number = parse_number(event.id, MAX_EVENT_ID_DIGITS)
        if number is None:
            self._call.last_event_id = event.id
            return True
        last = self._last_event_number
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            return None
        self._last_event_number = number
        self._call.last_event_id = event.id
        self.events_relayed += 1
        self._on_event()
        return True

    def _send(self, events: list[StreamEvent], head: Head) -> Steps[CallerLeft | None]:
        data = b"".join(event.data for event in events)
        if self._before_forwarding is not None:
            self._before_forwarding()
            self._before_forwarding = None
        try:
            if not self.started:
                yield from self._start(head)
            began = self._clock.monotonic()
            yield from self._caller.send(data, self._write_deadline())
        except CallerGoneError:
            return CallerLeft()
        self._record_sent(events, began)
        return None

    def _record_sent(self, events: list[StreamEvent], began: timedelta) -> None:
        """Record that events were sent, and the pause before the first of them.

        Parameters
        ----------
        began : timedelta
            When their sending began.
        """
        call = self._call
        now = self._clock.monotonic()
        previous, longest = call.last_event_at, call.longest_pause
        if previous is not None and (
            longest is None or now - previous > longest.length
        ):
            event = events[0].id or str(self._events_sent + 1)
            call.longest_pause = EventPause(now - previous, event, now - began)
        call.last_event_at = now
        self._events_sent += len(events)

    def _start(self, head: Head) -> Steps[None]:
        self.started = True
        self._call.first_event_at = self._clock.monotonic()
        yield from self._caller.start(head.status, head.headers, self._write_deadline())

    def _finish(self, head: Head) -> Steps[CompletedStream | CallerLeft]:
        try:
            if not self.started:
                yield from self._start(head)
            yield from self._caller.finish(self._write_deadline())
        except CallerGoneError:
            return CallerLeft()
        return CompletedStream(head.status)

    def _write_deadline(self) -> timedelta:
        return max(self._call.deadline, self._clock.monotonic())
