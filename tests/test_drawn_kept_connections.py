"""Requests in pieces on one kept connection, drawn, in virtual time.

Guards against whole requests that are read and dropped, and against connections that
are closed though it was said that they are kept. Responses come in order, each for its
request. A request gets none only if a close was stated before, or if nothing of it has
been read after a refused body of no stated length that was too long.
"""

import os
import unittest
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from unittest import mock

import h11
from hypothesis import given, seed, settings, strategies as st

from ashhoist.clock import ZERO
from ashhoist.http import Listener, listener as listener_module
from ashhoist.loop import Steps, Task, sleep_until
from ashhoist.routing import Limits

from .request_caller import HEADER_NAMES, HOST, ID, Answer
from .virtual_entry import ADAPTER, VirtualEntry
from .virtual_sockets import VirtualListeningSocket
from .virtual_upstreams import Plan

EXAMPLES = int(os.environ.get("EXAMPLES", "300"))
FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
SETTINGS = settings(max_examples=EXAMPLES, deadline=None, database=None)
RUN_S = 120.0
"""Longer than any drawn course takes."""
DEADLINE_MS = 20_000
MOMENT_S = 0.05
MOST_PIECES = 8
"""Of those with which a stop may begin."""
BODY_LIMIT = 20_000
IDLE_TIMES_S = (0.3, 1.0, 3.0, 15.0)
SAFE, STREAM, UNKNOWN = "/safe/x", "/stream/x", "/elsewhere/x"
TOO_SLOW, TOO_LARGE = 408, 413

pauses = st.sampled_from([0.0, 0.0, 0.0, 0.01, 0.1, 0.25, 0.31, 0.7, 2.0])


def moments(latest: float) -> st.SearchStrategy[float | None]:
    """Return times in seconds; None for what does not happen."""
    times = st.integers(1, int(latest / MOMENT_S)).map(lambda number: number * MOMENT_S)
    return st.one_of(st.none(), times)


SIZES = (0, 1, 200, 8_000, 8_192, 19_999)
TOO_LARGE_SIZES = (20_001, 25_000, 40_000, 130_000)


@dataclass(frozen=True)
class DrawnRequest:
    """One request and how it is sent.

    Parameters
    ----------
    size : int
        Of its body.
    cuts : list of float
        Where it is cut into pieces, as shares of its length.
    pause_s : float
        Before each piece.
    waits : bool
        Whether the caller waits for the response before it sends the next request.
    """

    path: str
    size: int
    chunked: bool
    cuts: list[float]
    pause_s: float
    waits: bool

    @property
    def is_slow(self) -> bool:
        """Return whether it may be refused for the time that it takes."""
        return self.pause_s * (len(self.cuts) + 1) >= min(IDLE_TIMES_S)

    @property
    def is_too_large(self) -> bool:
        """Return whether it is refused for its size, on a route that is in force."""
        return self.size > BODY_LIMIT

    @property
    def may_be_given_up(self) -> bool:
        """Return whether its connection may end though it was said to be kept."""
        return self.chunked and self.is_too_large

    def pieces(self, id: str) -> list[bytes]:
        """Return its bytes in pieces."""
        data = self._bytes(id)
        places = sorted({int(len(data) * cut) for cut in self.cuts} - {0})
        edges = [0, *places, len(data)]
        return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]

    def _bytes(self, id: str) -> bytes:
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ID}: {id}",
            f"{HEADER_NAMES.deadline_ms}: {DEADLINE_MS}",
            f"{HEADER_NAMES.adapter}: {ADAPTER}",
        ]
        body = b"b" * self.size
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
            chunks = f"{len(body):x}\r\n".encode() + body + b"\r\n" if body else b""
            body = chunks + b"0\r\n\r\n"
        else:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


def _requests(
    paths: tuple[str, ...], sizes: tuple[int, ...]
) -> st.SearchStrategy[DrawnRequest]:
    return st.builds(
        DrawnRequest,
        path=st.sampled_from(paths),
        size=st.sampled_from(sizes),
        chunked=st.booleans(),
        cuts=st.lists(st.floats(0.0, 0.99), max_size=3),
        pause_s=pauses,
        waits=st.booleans(),
    )


# One that is served and too large ends the connection, so few of them are.
refused = _requests((UNKNOWN,), SIZES + TOO_LARGE_SIZES)
served = _requests((SAFE, STREAM), SIZES)
requests = st.one_of(
    *(refused, refused, refused, served, served, served, served),
    _requests((SAFE,), TOO_LARGE_SIZES),
)


@dataclass
class SentRequest:
    """What was sent of a request.

    Attributes
    ----------
    start : int
        The number of bytes that were sent before it.
    """

    id: str
    drawn: DrawnRequest
    start: int
    is_whole: bool = False


class Connection:
    """A caller's side of one connection.

    Attributes
    ----------
    answers : list of Answer
        Complete ones, in the order in which they came.
    has_ended : bool
        Whether the caller has seen the end of the connection.
    kept_until : timedelta
        Until when it is kept, by the last response.
    ended_early : bool
        Whether it ended before that.
    after_piece : dict of int to callable
        What happens right after a piece was sent, by its number.
    """

    def __init__(self, entry: "ListeningEntry") -> None:
        self.answers: list[Answer] = []
        self.sent: list[SentRequest] = []
        self.has_ended = False
        self.kept_until = ZERO
        self.ended_early = False
        self.after_piece: dict[int, Callable[[], None]] = {}
        self._sent_bytes = 0
        self._sent_pieces = 0
        self._entry = entry
        self._loop = entry.loop
        self._kept_in_stop: list[Answer] = []
        self._peer = entry.listening.connect()
        self._http = h11.Connection(h11.CLIENT)
        self._answer = Answer()
        self._loop.on_readable(self._peer.fileno(), self._receive)

    @property
    def was_told_to_close(self) -> bool:
        """Return whether a response has stated that the connection is closed."""
        return any(_closes(one) for one in self.answers)

    @property
    def read_bytes(self) -> int:
        """Return how many of the bytes that were sent the instance has read."""
        return self._sent_bytes - self._peer.unread_by_peer

    def run(self, drawn: Iterable[DrawnRequest]) -> Steps[None]:
        """Send requests until the connection is closed."""
        for number, request in enumerate(drawn):
            sent = SentRequest(f"id-{number}", request, self._sent_bytes)
            for piece in request.pieces(sent.id):
                yield from self._sleep(request.pause_s)
                if self.has_ended or self.was_told_to_close:
                    return
                if sent not in self.sent:
                    self.sent.append(sent)
                self._send(piece)
            sent.is_whole = not self.has_ended
            while request.waits and not self._is_answered(number):
                yield from self._sleep(0.01)
                if self.has_ended:
                    return

    @property
    def _now(self) -> timedelta:
        return self._loop.clock.monotonic()

    def _is_answered(self, number: int) -> bool:
        return len(self.answers) > number

    def _sleep(self, seconds: float) -> Steps[None]:
        yield from sleep_until(self._now + timedelta(seconds=seconds))

    def _send(self, piece: bytes) -> None:
        try:
            self._peer.send(piece)
        except OSError:
            self._end()
            return
        self._sent_bytes += len(piece)
        self._sent_pieces += 1
        self.after_piece.get(self._sent_pieces, lambda: None)()

    def _receive(self) -> None:
        try:
            data = self._peer.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._end()
            return
        self._http.receive_data(data)
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            if event is h11.PAUSED:
                break
            self._take(event)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._answer.status = event.status_code
            self._answer.headers = {
                name.decode().lower(): value.decode("latin-1")
                for name, value in event.headers
            }
            if self._entry.is_stopped_before(self._now) and not _closes(self._answer):
                self._kept_in_stop.append(self._answer)
        elif isinstance(event, h11.EndOfMessage):
            self.answers.append(self._answer)
            self.kept_until = self._now + _stated_time(self._answer)
            self._answer = Answer()
            left_over = self._http.trailing_data[0]
            self._http = h11.Connection(h11.CLIENT)
            if left_over:
                self._http.receive_data(left_over)

    def _end(self) -> None:
        if not self.has_ended:
            self.ended_early = self._now < self.kept_until
        self.has_ended = True
        self._loop.off_readable(self._peer.fileno())

    def faults(self) -> list[str]:
        """Return what must not be."""
        found = []
        sent_drawn = [one.drawn for one in self.sent]
        may_be_unread = any(one.may_be_given_up for one in sent_drawn)
        if len(self.answers) > len(self.sent):
            found.append("more responses than requests")
        for answer, sent in zip(self.answers, self.sent, strict=False):
            found += _mismatch(answer, sent)
        for answer in self.answers[:-1]:
            if _closes(answer):
                found.append(f"a response follows the stated close: {self.answers}")
        found += [f"kept in a stop: {answer}" for answer in self._kept_in_stop]
        if self._answer.status:
            found.append(f"without its end: {self._answer}")
        if self.was_told_to_close:
            return found
        for sent in self.sent[len(self.answers) :]:
            is_unread = self.read_bytes <= sent.start
            if sent.is_whole and not (is_unread and may_be_unread):
                found.append(f"read {self.read_bytes}, not answered: {sent}")
        return found


def _closes(answer: Answer) -> bool:
    """Return whether a response states that its connection is closed."""
    return answer.headers.get("connection") == "close"


def _stated_time(answer: Answer) -> timedelta:
    """Return for how long a connection is kept after a response."""
    stated = answer.headers.get("keep-alive", "").removeprefix("timeout=")
    return timedelta(seconds=int(stated or 0))


def _mismatch(answer: Answer, sent: SentRequest) -> list[str]:
    """Return what shows that a response is not the one to a request."""
    if answer.status == TOO_SLOW:
        is_own = sent.drawn.is_slow
    elif answer.status == TOO_LARGE:
        is_own = sent.drawn.is_too_large
    else:
        is_own = answer.headers.get(ID.lower()) == sent.id
    return [] if is_own else [f"{answer} for {sent}"]


class ListeningEntry(VirtualEntry):
    """A request entry that takes virtual connections."""

    def _listen(self, max_connections: int) -> None:
        self.stopped_at: timedelta | None = None
        self.listening = VirtualListeningSocket(self._net)
        with mock.patch.object(
            listener_module, "listening_socket", lambda *_: self.listening
        ):
            self.listener = Listener(
                "virtual:1",
                self.handler.serve,
                lambda: self.handler.limits().idle_time,
                max_connections,
                self.loop,
            )
        self.listener.start()

    def is_stopped_before(self, now: timedelta) -> bool:
        """Return whether a stop began, other than in this moment."""
        return self.stopped_at is not None and self.stopped_at < now

    def set_idle_time(self, seconds: float) -> None:
        """Put another idle time in force."""
        self.set_limits(_limits(seconds))

    def stop(self) -> None:
        """Begin the last phase of a planned stop, as a process does."""
        self.stopped_at = self.clock.monotonic()
        self.closing = True
        self.listener.stop()


def _limits(idle_s: float) -> Limits:
    return Limits(body_bytes=BODY_LIMIT, idle_timeout=timedelta(seconds=idle_s))


@dataclass(frozen=True)
class Course:
    """A drawn course of one connection.

    Parameters
    ----------
    pause_s : float
        How long the upstream takes.
    idle_s : float
        How long connections rest; `later_idle_s` from `changes_s` on.
    stops : float or int or None
        When a planned stop begins, in seconds; or the number of the piece with which it
        does: the piece has arrived, and the instance has not read it.
    """

    requests: list[DrawnRequest]
    pause_s: float
    idle_s: float
    changes_s: float | None
    later_idle_s: float
    stops: float | int | None

    @property
    def may_end_early(self) -> bool:
        """Return whether its connection may end before the time that was stated."""
        return self.stops is not None or any(
            one.may_be_given_up for one in self.requests
        )

    def play(self) -> Connection:
        """Play it to its end."""
        entry = ListeningEntry(
            Plan(pauses={0: self.pause_s}), limits=_limits(self.idle_s)
        )
        try:
            connection = Connection(entry)
            if isinstance(self.stops, int):
                connection.after_piece[self.stops] = entry.stop
            elif self.stops is not None:
                entry.after(self.stops, entry.stop)
            if self.changes_s is not None:
                entry.after(
                    self.changes_s, lambda: entry.set_idle_time(self.later_idle_s)
                )
            Task(entry.loop, connection.run(self.requests), "caller")
            entry.run(RUN_S)
            return connection
        finally:
            entry.close()


UPSTREAM_PAUSES_S = (0.0, 0.05, 0.5, 2.0)
courses = st.builds(
    Course,
    requests=st.lists(requests, min_size=1, max_size=8),
    pause_s=st.sampled_from(UPSTREAM_PAUSES_S),
    idle_s=st.sampled_from(IDLE_TIMES_S),
    changes_s=moments(2.0),
    later_idle_s=st.sampled_from(IDLE_TIMES_S),
    stops=st.one_of(st.none(), moments(4.0), st.integers(1, MOST_PIECES)),
)
idle_time_changes = st.builds(
    Course,
    requests=st.lists(served, min_size=1, max_size=3),
    pause_s=st.sampled_from(UPSTREAM_PAUSES_S),
    idle_s=st.sampled_from(IDLE_TIMES_S),
    changes_s=moments(2.0),
    later_idle_s=st.sampled_from(IDLE_TIMES_S),
    stops=st.none(),
)
stops_in_streams = st.builds(
    Course,
    requests=st.lists(
        st.builds(
            DrawnRequest,
            path=st.just(STREAM),
            size=st.just(1),
            chunked=st.booleans(),
            cuts=st.just([]),
            pause_s=st.sampled_from([0.0, 0.1, 0.25]),
            waits=st.just(False),
        ),
        min_size=2,
        max_size=3,
    ),
    pause_s=st.sampled_from([0.0, 0.5]),
    idle_s=st.just(max(IDLE_TIMES_S)),
    changes_s=st.none(),
    later_idle_s=st.just(max(IDLE_TIMES_S)),
    stops=st.one_of(moments(2.0), st.integers(1, 3)),
)


class DrawnKeptConnectionTests(unittest.TestCase):
    def check(self, course: Course) -> None:
        connection = course.play()
        self.assertEqual(connection.faults(), [])
        if not course.may_end_early:
            self.assertFalse(connection.ended_early, "closed within the stated time")

    @seed(FIRST_SEED)
    @SETTINGS
    @given(courses)
    def test_requests_are_answered_in_order(self, course: Course) -> None:
        self.check(course)

    @seed(FIRST_SEED)
    @SETTINGS
    @given(idle_time_changes)
    def test_requests_while_the_idle_time_changes(self, course: Course) -> None:
        self.check(course)

    @seed(FIRST_SEED)
    @SETTINGS
    @given(stops_in_streams)
    def test_requests_behind_streams_while_a_stop_begins(self, course: Course) -> None:
        self.check(course)


if __name__ == "__main__":
    unittest.main()
