"""Orders and reports on the wire: one thread's worth of talk to each engine."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from ..clock import Clock
from ..http.client import Client
from ..orders import EngineReport, Order, OrderAnswer
from ..placement.actions import AskReport

ORDER_PATIENCE = timedelta(milliseconds=250)
REPORT_PATIENCE = timedelta(milliseconds=700)


@dataclass(frozen=True, slots=True)
class OrderDone:
    """An order's exchange has ended."""

    order: Order
    answer: OrderAnswer


@dataclass(frozen=True, slots=True)
class ReportDone:
    """An engine was asked what it holds; None if it did not answer."""

    upstream: str
    report: EngineReport | None


@dataclass(frozen=True, slots=True)
class _Line:
    """A connection to one engine, and whose turn it is on it."""

    client: Client
    turn: threading.Lock


class EngineProtocol(Protocol):
    """How orders and reports are spoken; a platform gives it."""

    def order(self, client: Client, order: Order, patience: timedelta) -> OrderAnswer:
        """Send an order and return what is known of it."""

    def report(
        self, client: Client, upstream: str, patience: timedelta
    ) -> EngineReport | None:
        """Ask an engine what it holds."""


class EngineControl:
    """Talks to engines, one exchange at a time with each.

    Parameters
    ----------
    may_order : callable
        Returns whether the order's fence still holds; asked right before an
        order leaves.
    send : callable
        Takes the results to the control task.
    """

    def __init__(
        self,
        protocol: EngineProtocol,
        may_order: Callable[[Order], bool],
        send: Callable[[Any], None],
        executor: Executor,
        clock: Clock,
    ) -> None:
        self._protocol = protocol
        self._may_order = may_order
        self._send = send
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._lines: dict[str, _Line] = {}

    def order(self, order: Order) -> None:
        """Send an order; the result comes as `OrderDone`."""
        self._executor.submit(self._order, order)

    def _order(self, order: Order) -> None:
        answer = OrderAnswer.NOT_SENT
        line = self._line(order.upstream, order.address)
        with line.turn:
            if self._may_order(order):
                answer = self._protocol.order(line.client, order, ORDER_PATIENCE)
        self._send(OrderDone(order, answer))

    def report(self, request: AskReport) -> None:
        """Ask an engine what it holds; the result comes as `ReportDone`."""
        self._executor.submit(self._report, request)

    def _report(self, request: AskReport) -> None:
        line = self._line(request.upstream, request.address)
        with line.turn:
            report = self._protocol.report(
                line.client, request.upstream, REPORT_PATIENCE
            )
        self._send(ReportDone(request.upstream, report))

    def _line(self, upstream: str, address: str) -> "_Line":
        with self._lock:
            line = self._lines.get(upstream)
            if line is None:
                line = _Line(Client(address, self._clock), threading.Lock())
                self._lines[upstream] = line
            return line

    def forget(self, upstream: str) -> None:
        """Close the connection to an engine that has gone."""
        with self._lock:
            line = self._lines.pop(upstream, None)
        if line is not None:
            line.client.close()
