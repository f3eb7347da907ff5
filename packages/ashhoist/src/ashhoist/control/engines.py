"""Orders and reports on the wire: one exchange at a time with each engine."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from ..http.client import Client
from ..loop import Loop, Steps, Task
from ..orders import EngineReport, Order, OrderAnswer, OrderReply
from ..placement.actions import AskReport

LEAST_PATIENCE = timedelta(milliseconds=80)
MOST_PATIENCE = timedelta(milliseconds=250)
PATIENCE_TIMES = 5
"""An order is taken for lost after so many times what answers usually take."""
MOST_DOUBLINGS = 4
USUAL_AT_FIRST = timedelta(milliseconds=20)
SMOOTHING = 0.2
REPORT_PATIENCE = timedelta(milliseconds=700)
UNSENT_KEPT = timedelta(milliseconds=300)
"""How long the system may try to send an order: a successor orders half a second behind
the last moment in which this instance may, and the system ends such a try late."""


@dataclass(frozen=True, slots=True)
class OrderDone:
    """An order's exchange has ended, which began at `sent_at`."""

    order: Order
    reply: OrderReply
    sent_at: timedelta


@dataclass(frozen=True, slots=True)
class ReportDone:
    """An engine was asked what it holds, at `sent_at`; None if it did not answer."""

    upstream: str
    report: EngineReport | None
    sent_at: timedelta


@dataclass(slots=True)
class _Line:
    """A connection to one engine, and what waits for its turn on it.

    Parameters
    ----------
    usual : timedelta
        How long the engine usually takes to answer an order.
    unanswered : int
        Orders in a row that it left without an answer.
    """

    client: Client
    waiting: deque[Order | AskReport] = field(default_factory=deque)
    busy: bool = False
    forgotten: bool = False
    usual: timedelta = USUAL_AT_FIRST
    unanswered: int = 0

    @property
    def patience(self) -> timedelta:
        """Return how long to wait for the answer to an order.

        An engine that leaves one order unanswered holds up all its others, so
        this is short; each one in a row is given twice the time of that before.
        """
        patience = max(self.usual * PATIENCE_TIMES, LEAST_PATIENCE)
        doublings = min(max(self.unanswered - 1, 0), MOST_DOUBLINGS)
        return min(patience * 2**doublings, MOST_PATIENCE)

    def learn(self, answer: OrderAnswer, took: timedelta) -> None:
        """Take in how long an answer took, or that there was none."""
        if answer is OrderAnswer.NOT_SENT:
            return
        if answer is OrderAnswer.UNKNOWN:
            self.unanswered += 1
            return
        self.unanswered = 0
        self.usual += (took - self.usual) * SMOOTHING


class EngineProtocol(Protocol):
    """How orders and reports are spoken; a platform gives it."""

    def order(
        self,
        client: Client,
        order: Order,
        patience: timedelta,
        may_send: Callable[[], bool],
    ) -> Steps[OrderReply]:
        """Send an order, if it still may leave; return what is known of it."""

    def report(
        self, client: Client, upstream: str, patience: timedelta
    ) -> Steps[EngineReport | None]:
        """Ask an engine what it holds."""


def order_client(address: str, loop: Loop) -> Client:
    """Return a client for orders to one engine.

    What the system still holds of an order when this process ends, or stands still,
    must not arrive behind the first orders of a successor.
    """
    return Client(address, loop, UNSENT_KEPT)


class EngineControl:
    """Talks to engines, one exchange at a time with each.

    Parameters
    ----------
    may_order : callable
        Returns whether the order's fence still holds; asked before a connection is
        opened, and again right before the order leaves.
    send : callable
        Takes the results to the control task.
    """

    def __init__(
        self,
        protocol: EngineProtocol,
        may_order: Callable[[Order], bool],
        send: Callable[[Any], None],
        loop: Loop,
    ) -> None:
        self._protocol = protocol
        self._may_order = may_order
        self._send = send
        self._loop = loop
        self._lines: dict[str, _Line] = {}

    def order(self, order: Order) -> None:
        """Send an order; the result comes as `OrderDone`."""
        self._enqueue(self._line(order.upstream, order.address), order)

    def report(self, request: AskReport) -> None:
        """Ask an engine what it holds; the result comes as `ReportDone`."""
        self._enqueue(self._line(request.upstream, request.address), request)

    def _enqueue(self, line: "_Line", item: Order | AskReport) -> None:
        line.waiting.append(item)
        if not line.busy:
            line.busy = True
            Task(self._loop, self._talk(line), "engine")

    def _talk(self, line: "_Line") -> Steps[None]:
        """Make all exchanges that wait for one engine, in their order."""
        try:
            while line.waiting:
                item = line.waiting.popleft()
                if isinstance(item, Order):
                    yield from self._order(line, item)
                else:
                    yield from self._report(line, item)
        finally:
            line.busy = False
            if line.forgotten:
                line.client.close()

    def _order(self, line: "_Line", order: Order) -> Steps[None]:
        reply = OrderReply(OrderAnswer.NOT_SENT)
        sent_at = self._loop.clock.monotonic()
        if self._may_order(order):
            # While it connects, this instance may stand still and its lease lapse.
            reply = yield from self._protocol.order(
                line.client, order, line.patience, lambda: self._may_order(order)
            )
            line.learn(reply.answer, self._loop.clock.monotonic() - sent_at)
        self._send(OrderDone(order, reply, sent_at))

    def _report(self, line: "_Line", request: AskReport) -> Steps[None]:
        sent_at = self._loop.clock.monotonic()
        report = yield from self._protocol.report(
            line.client, request.upstream, REPORT_PATIENCE
        )
        self._send(ReportDone(request.upstream, report, sent_at))

    def _line(self, upstream: str, address: str) -> "_Line":
        line = self._lines.get(upstream)
        if line is None:
            line = self._lines[upstream] = _Line(order_client(address, self._loop))
        return line

    def forget(self, upstream: str) -> None:
        """Close the connection to an engine that has gone."""
        line = self._lines.pop(upstream, None)
        if line is None:
            return
        line.forgotten = True
        if not line.busy:
            line.client.close()
