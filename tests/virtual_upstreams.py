"""Upstreams in virtual time that pause, break off or refuse as planned."""

import math
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import cast

import h11

from ashhoist.loop import Loop, Steps, Task, sleep_until

from .platform_stand_ins.server import Call
from .request_caller import HEADER_NAMES
from .request_harness import event, response_headers
from .virtual_sockets import VirtualSocket

EVENTS = 6
"""Events of a whole stream; their ids begin at 1."""
GAP_S = 0.1
BYTE_S = 0.3
"""Between two bytes; the event takes several silence limits then."""
FOR_EVER = 1e6
NOT_RUN = 503
BODY = b"whole answer"


@dataclass(frozen=True)
class Plan:
    """How an upstream handles a request.

    Parameters
    ----------
    pauses : mapping of int to float
        Seconds by which an event is late; 0 is the head.
    breaks_before : float
        The event before which the connection is broken off; 0 is the head.
    refusal : int
        The status with which the upstream refuses, 503 or 421; 0 if it does not.
    halves : tuple of int
        Events of which one half is sent, then the rest after a second such pause.
    bytewise : tuple of int
        Events that are sent byte by byte.
    repeats_s : float
        Seconds between two repeats of the last event while it pauses; 0 for none.
    pieces : callable or None
        Returns, for a request, what is sent in place of a response: bytes, and the
        seconds before them. The response has ended behind the last ones.
    """

    pauses: Mapping[int, float] = field(default_factory=dict)
    breaks_before: float = math.inf
    refusal: int = 0
    halves: tuple[int, ...] = ()
    bytewise: tuple[int, ...] = ()
    repeats_s: float = 0.0
    pieces: Callable[[Call], Iterable[tuple[float, bytes]]] | None = None


@dataclass
class Work:
    """One request at an upstream.

    Attributes
    ----------
    end : str
        ``done``, ``broke``, ``refused``, or ``left`` if the connection was closed by
        the other side; empty while the upstream works on it.
    """

    request: str
    upstream: str
    began_s: float
    headers: dict[str, str]
    peer: VirtualSocket = field(repr=False)
    end: str = ""
    ended_s: float = math.inf

    @property
    def is_under_way(self) -> bool:
        """Return whether it has not ended, nor its connection been closed.

        Which of two connections is dispatched first says nothing of their order.
        """
        return not self.end and not self.peer.is_closed_by_peer


class VirtualUpstream:
    """Serves requests by one plan.

    Parameters
    ----------
    works : list of Work
        Of all upstreams, in the order in which they began.
    doubles : list of Work
        Gets requests that another upstream works on at the same time.
    """

    def __init__(
        self,
        name: str,
        plan: Plan,
        works: list[Work],
        doubles: list[Work],
        loop: Loop,
    ) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.plan = plan
        self._works = works
        self._doubles = doubles
        self._loop = loop

    def close(self) -> None:
        """Do nothing: it holds nothing."""

    def accept(self, peer: VirtualSocket) -> None:
        """Serve a new connection."""
        _Connection(self, peer)

    @property
    def now(self) -> float:
        return self._loop.clock.monotonic().total_seconds()

    def _begin(self, call: Call, peer: VirtualSocket) -> Work:
        request = call.headers[HEADER_NAMES.request_id.lower()]
        work = Work(request, self.name, self.now, call.headers, peer)
        if any(one.request == request and one.is_under_way for one in self._works):
            self._doubles.append(work)
        self._works.append(work)
        return work

    def _end(self, work: Work, end: str) -> None:
        if not work.end:
            work.end, work.ended_s = end, self.now

    def _sleep(self, seconds: float) -> Steps[None]:
        yield from sleep_until(
            self._loop.clock.monotonic() + timedelta(seconds=seconds)
        )

    def _answer(self, call: Call, work: Work) -> Steps[None]:
        plan = self.plan
        if plan.pieces is not None:
            yield from self._send_pieces(call, work, plan.pieces(call))
            return
        yield from self._sleep(plan.pauses.get(0, 0.0))
        if plan.refusal:
            headers = {HEADER_NAMES.not_run: "1"} if plan.refusal == NOT_RUN else {}
            self._end(work, "refused")
            call.respond(plan.refusal, b"", headers)
            return
        if plan.breaks_before == 0:
            self._break_off(call, work)
            return
        if not call.target.startswith(("/stream/", "/once/")):
            self._end(work, "done")
            call.respond(200, BODY, response_headers(call))
            return
        call.start_stream(response_headers(call))
        last = int(call.headers.get(HEADER_NAMES.last_event_id.lower(), "0"))
        for number in range(last + 1, EVENTS + 1):
            data = event(number)
            pause = GAP_S + plan.pauses.get(number, 0.0)
            yield from self._pause_before(number, pause, call)
            if plan.breaks_before <= number:
                self._break_off(call, work)
                return
            if number in plan.halves:
                call.chunk(data[: len(data) // 2])
                data = data[len(data) // 2 :]
                yield from self._sleep(pause)
            while number in plan.bytewise and len(data) > 1:
                call.chunk(data[:1])
                data = data[1:]
                yield from self._sleep(BYTE_S)
            call.chunk(data)
        self._end(work, "done")
        call.end_stream()

    def _send_pieces(
        self, call: Call, work: Work, pieces: Iterable[tuple[float, bytes]]
    ) -> Steps[None]:
        for pause, data in pieces:
            yield from self._sleep(pause)
            call.raw(data)
        self._end(work, "done")

    def _pause_before(self, number: int, seconds: float, call: Call) -> Steps[None]:
        """Pause before an event; repeat the one before it meanwhile if so planned."""
        step = self.plan.repeats_s
        while step and number > 1 and seconds > step:
            yield from self._sleep(step)
            call.chunk(event(number - 1))
            seconds -= step
        yield from self._sleep(seconds)

    def _break_off(self, call: Call, work: Work) -> None:
        self._end(work, "broke")
        call.reset()


class _Connection:
    """One connection of an upstream."""

    def __init__(self, upstream: VirtualUpstream, peer: VirtualSocket) -> None:
        self._upstream = upstream
        self._loop = upstream._loop
        self._peer = peer
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self._work: Work | None = None
        self._task: Task | None = None
        self._loop.on_readable(peer.fileno(), self._receive)

    def _receive(self) -> None:
        try:
            data = self._peer.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._left()
            return
        self._http.receive_data(data)
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._begin()
                return

    def _begin(self) -> None:
        assert self._request is not None
        peer = cast(socket.socket, self._peer)
        call = Call(peer, self._request, self._body)
        self._work = self._upstream._begin(call, self._peer)
        self._http = h11.Connection(h11.SERVER)
        steps = self._upstream._answer(call, self._work)
        self._task = Task(self._loop, steps, self._upstream.name)

    def _left(self) -> None:
        if self._work is not None:
            self._upstream._end(self._work, "left")
        if self._task is not None:
            self._task.cancel()
        if self._peer.fileno() >= 0:
            self._loop.forget(self._peer.fileno())
        self._peer.close()
