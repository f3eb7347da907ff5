"""Sends orders to engines and requests reports: one exchange at a time per engine."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from ..http.client import Client
from ..loop import Loop, Steps, Task
from ..orders import EngineReport, Order, OrderAnswer, OrderReply
from ..placement.actions import FetchReport

MIN_ORDER_TIMEOUT = timedelta(milliseconds=80)
MAX_ORDER_TIMEOUT = timedelta(milliseconds=250)
ORDER_TIMEOUT_FACTOR = 5
"""Order timeout as a multiple of the engine's usual answer time."""
MAX_DOUBLINGS = 4
"""Maximum number of times that the order timeout is doubled."""
INITIAL_ANSWER_TIME = timedelta(milliseconds=20)
"""Assumed answer time of an engine that has not answered an order yet."""
SMOOTHING = 0.2
"""Weight of a new answer in the moving average of answer times."""
REPORT_TIMEOUT = timedelta(milliseconds=700)
MAX_REPORT_BYTES = 4_194_304
"""A report lists what an engine holds; tens of thousands of names take 1 to 2 MB. All
engines may be asked at once."""
UNSENT_TIMEOUT = timedelta(milliseconds=300)
"""How long the operating system may try to transmit an order. The next lease holder
sends orders from half a second after the last moment at which this instance may, and
the operating system is late in ending such an attempt."""


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The outcome of an order whose exchange began at `sent_at`."""

    order: Order
    reply: OrderReply
    sent_at: timedelta


@dataclass(frozen=True, slots=True)
class ReportDone:
    """An engine's report, requested at `sent_at`; None if it did not answer."""

    upstream: str
    report: EngineReport | None
    sent_at: timedelta


@dataclass(slots=True)
class _Connection:
    """A connection to one engine, and the queue of exchanges on it.

    Parameters
    ----------
    answer_time : timedelta
        Moving average of the time that the engine takes to answer an order.
    unanswered : int
        Number of consecutive orders without an answer.
    """

    client: Client
    waiting: deque[Order | FetchReport] = field(default_factory=deque)
    busy: bool = False
    forgotten: bool = False
    answer_time: timedelta = INITIAL_ANSWER_TIME
    unanswered: int = 0

    @property
    def order_timeout(self) -> timedelta:
        """Return how long to wait for the answer to an order.

        The timeout is short because an unanswered order delays all others for the same
        engine. From the second consecutive unanswered order on, it doubles each time.
        """
        base = max(self.answer_time * ORDER_TIMEOUT_FACTOR, MIN_ORDER_TIMEOUT)
        doublings = min(max(self.unanswered - 1, 0), MAX_DOUBLINGS)
        return min(base * 2**doublings, MAX_ORDER_TIMEOUT)

    def record_outcome(self, answer: OrderAnswer, took: timedelta) -> None:
        """Update the answer time, or count an order without an answer."""
        if answer is OrderAnswer.NOT_SENT:
            return
        if answer is OrderAnswer.UNKNOWN:
            self.unanswered += 1
            return
        self.unanswered = 0
        self.answer_time += (took - self.answer_time) * SMOOTHING


class EngineProtocol(Protocol):
    """The wire protocol for orders and reports; the platform implements it."""

    def order(
        self,
        client: Client,
        order: Order,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> Steps[OrderReply]:
        """Send an order unless `may_send` returns False; return its outcome."""

    def report(
        self, client: Client, upstream: str, timeout: timedelta
    ) -> Steps[EngineReport | None]:
        """Request a report; return None if the engine does not answer."""


def order_client(address: str, loop: Loop) -> Client:
    """Return a client for orders to one engine.

    If this process ends or is suspended, data of an order that the operating system has
    not transmitted yet must not arrive after the first orders of the next lease holder.
    """
    return Client(address, loop, UNSENT_TIMEOUT, MAX_REPORT_BYTES)


class EngineControl:
    """Runs the exchanges with engines, one at a time per engine.

    Parameters
    ----------
    may_order : callable
        Returns whether the order's fence is still valid; called before a connection is
        opened, and again right before the order is sent.
    send : callable
        Passes a result to the control task.
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
        self._connections: dict[str, _Connection] = {}

    def order(self, order: Order) -> None:
        """Send an order; the outcome is passed on as `OrderDone`."""
        self._enqueue(self._connection(order.upstream, order.address), order)

    def report(self, request: FetchReport) -> None:
        """Request a report from an engine; it is passed on as `ReportDone`."""
        self._enqueue(self._connection(request.upstream, request.address), request)

    def _enqueue(self, connection: "_Connection", item: Order | FetchReport) -> None:
        connection.waiting.append(item)
        if not connection.busy:
            connection.busy = True
            Task(self._loop, self._run_queue(connection), "engine")

    def _run_queue(self, connection: "_Connection") -> Steps[None]:
        """Run all queued exchanges with one engine, in order."""
        try:
            while connection.waiting:
                item = connection.waiting.popleft()
                if isinstance(item, Order):
                    yield from self._order(connection, item)
                else:
                    yield from self._report(connection, item)
        finally:
            connection.busy = False
            if connection.forgotten:
                connection.client.close()

    def _order(self, connection: "_Connection", order: Order) -> Steps[None]:
        reply = OrderReply(OrderAnswer.NOT_SENT)
        sent_at = self._loop.clock.monotonic()
        if self._may_order(order):
            # The lease may lapse while the connection is being opened, for example if
            # this process is suspended; it is therefore checked again before sending.
            reply = yield from self._exchange_order(connection, order)
            connection.record_outcome(
                reply.answer, self._loop.clock.monotonic() - sent_at
            )
        self._send(OrderDone(order, reply, sent_at))

    def _exchange_order(
        self, connection: "_Connection", order: Order
    ) -> Steps[OrderReply]:
        """Send an order; return its outcome, also after an error in the protocol.

        No other order goes to the engine before the outcome of this one is known.
        """
        try:
            return (
                yield from self._protocol.order(
                    connection.client,
                    order,
                    connection.order_timeout,
                    lambda: self._may_order(order),
                )
            )
        except Exception:
            self._loop.log.exception("order failed", upstream=order.upstream)
            connection.client.close()
            return OrderReply(OrderAnswer.UNKNOWN)

    def _report(self, connection: "_Connection", request: FetchReport) -> Steps[None]:
        sent_at = self._loop.clock.monotonic()
        report: EngineReport | None = None
        try:
            report = yield from self._protocol.report(
                connection.client, request.upstream, REPORT_TIMEOUT
            )
        except Exception:
            self._loop.log.exception("report failed", upstream=request.upstream)
            connection.client.close()
        self._send(ReportDone(request.upstream, report, sent_at))

    def _connection(self, upstream: str, address: str) -> "_Connection":
        connection = self._connections.get(upstream)
        if connection is None:
            connection = self._connections[upstream] = _Connection(
                order_client(address, self._loop)
            )
        return connection

    def forget(self, upstream: str) -> None:
        """Close the connection to an engine that no longer exists."""
        connection = self._connections.pop(upstream, None)
        if connection is None:
            return
        connection.forgotten = True
        if not connection.busy:
            connection.client.close()
