"""Passes a stream of events on, event by event, and goes on elsewhere if it may.

Only whole events leave; their ids rise. When the upstream breaks off and the
route allows it, the same answer goes on from another upstream behind the last
event that was passed on. The old connection is closed first, so that the run
there ends.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection, CallerGoneError, Head, UpstreamConnection
from ..http.upstream import Broken, End, Piece
from ..loop import Steps
from .attempt import Attempts, CallerLeft, MayHaveRun, OutOfTime, Streaming
from .call import Call
from .events import EventSplitter, StreamEvent

PAUSES_ALLOWED = 3
"""Of the longest pause that is in time; a stream that rests longer has stalled."""
LEAST_PATIENCE = timedelta(milliseconds=800)


@dataclass(frozen=True, slots=True)
class WholeStream:
    """The upstream ended its stream whole.

    Parameters
    ----------
    status : int
        What the caller was told.
    """

    status: int


Leg = WholeStream | MayHaveRun | CallerLeft | OutOfTime
"""How the part of a stream from one upstream ended."""


class Relay:
    """One answer that is a stream; may take its events from several upstreams."""

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
        self._last_number: int | None = None
        self.begun = False
        self.events = 0

    def run(
        self, stream: Streaming, head: Head, first_event: Callable[[], None]
    ) -> Steps[Leg]:
        """Pass on the events of one upstream until its part ends.

        Parameters
        ----------
        head : Head
            The head for the caller; used by the first event only.
        first_event : callable
            Called when the first event of this upstream is there.
        """
        splitter = EventSplitter()
        seen: int | None = self.events
        while True:
            event = stream.connection.next_event()
            if isinstance(event, Piece):
                ended = yield from self._pass_on(splitter, event.data, head)
                if ended is not None:
                    return ended
                if seen is not None and self.events > seen:
                    seen = None
                    first_event()
                    self._be_patient_midway()
                continue
            if isinstance(event, End):
                if not splitter.clean:
                    return MayHaveRun(Reason.ANSWER_CUT)
                return (yield from self._finish(head))
            if isinstance(event, Broken):
                return MayHaveRun(Reason.ANSWER_CUT)
            waited = yield from self._wait(stream.connection)
            if waited is not None:
                return waited

    def _be_patient_midway(self) -> None:
        call = self._call
        if call.patience is not None:
            pause = call.route.longest_pause * PAUSES_ALLOWED
            call.patience = max(pause, LEAST_PATIENCE)

    def _wait(
        self, connection: UpstreamConnection
    ) -> Steps[MayHaveRun | CallerLeft | OutOfTime | None]:
        return self._attempts.wait(self._call, self._caller, connection)

    def _pass_on(
        self, splitter: EventSplitter, data: bytes, head: Head
    ) -> Steps[MayHaveRun | CallerLeft | None]:
        fresh: list[bytes] = []
        for event in splitter.feed(data):
            place = self._place(event)
            if place is None:
                return MayHaveRun(Reason.BAD_FRAME)
            if place:
                fresh.append(event.data)
        if splitter.overfull:
            return MayHaveRun(Reason.BAD_FRAME)
        if not fresh:
            return None
        return (yield from self._send(b"".join(fresh), head))

    def _place(self, event: StreamEvent) -> bool | None:
        """Return whether an event is new; None if it can't belong here."""
        if not event.id:
            return True
        if not event.id.isdigit():
            self._call.last_event_id = event.id
            return True
        number = int(event.id)
        last = self._last_number
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            return None
        self._last_number = number
        self._call.last_event_id = event.id
        self.events += 1
        return True

    def _send(self, data: bytes, head: Head) -> Steps[CallerLeft | None]:
        try:
            if not self.begun:
                yield from self._begin(head)
            yield from self._caller.send(data, self._limit())
            self._call.last_event_at = self._clock.monotonic()
        except CallerGoneError:
            return CallerLeft()
        return None

    def _begin(self, head: Head) -> Steps[None]:
        self.begun = True
        self._call.first_event_at = self._clock.monotonic()
        yield from self._caller.start(head.status, head.headers, self._limit())

    def _finish(self, head: Head) -> Steps[WholeStream | CallerLeft]:
        try:
            if not self.begun:
                yield from self._begin(head)
            yield from self._caller.finish(self._limit())
        except CallerGoneError:
            return CallerLeft()
        return WholeStream(head.status)

    def _limit(self) -> timedelta:
        return max(self._call.limit, self._clock.monotonic())
