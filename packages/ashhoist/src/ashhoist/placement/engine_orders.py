"""Orders and report requests to engines, sent one at a time and polled until done."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..orders.order import Order, OrderKind
from .actions import FetchReport, SchedulerAction, ServedAdaptersChanged
from .engine import AdapterSlot, Engine, SlotState


class EngineOrders:
    """Sends the orders that the scheduler decides on.

    Parameters
    ----------
    execute : callable
        Carries out an action.
    """

    def __init__(
        self, execute: Callable[[SchedulerAction], None], clock: Clock
    ) -> None:
        self._execute = execute
        self._clock = clock
        self._last_number = 0

    def follow_up(self, engine: Engine, open_zones: set[str], now: timedelta) -> None:
        """Fetch a due report, repeat an unresolved order, or poll a load or unload.

        Parameters
        ----------
        open_zones : set of str
            The availability zones to whose engines orders may be sent now.
        """
        if engine.is_report_due(now):
            engine.report_in_flight = True
            self._execute(FetchReport(engine.id, engine.upstream.address))
            return
        if engine.order_in_flight is not None or now < engine.paused_until:
            return
        if engine.upstream.zone not in open_zones:
            return
        if engine.unresolved_order is not None:
            self._send(engine, engine.unresolved_order)
        elif engine.loading_model is not None:
            if engine.state_known:
                self._poll_model(engine, engine.loading_model, now)
        elif engine.can_order(now):
            self._poll_slots(engine, now)

    def _poll_model(self, engine: Engine, model: AdapterSlot, now: timedelta) -> None:
        if model.poll_at <= now:
            self.load(engine, model.adapter, 0)

    def _poll_slots(self, engine: Engine, now: timedelta) -> None:
        """Repeat the first order that should have ended: the answer gives its state."""
        for slot in engine.adapter_slots.values():
            if slot.poll_at > now:
                continue
            if slot.state is SlotState.LOADING:
                self.load(engine, slot.adapter, slot.version)
                return
            if slot.state is SlotState.UNLOADING:
                self.unload(engine, slot.adapter)
                return

    def load(self, engine: Engine, adapter: Adapter, version: int) -> None:
        """Order an engine to load an adapter; version 0 is the newest."""
        assert engine.order_count is not None
        order = Order(
            engine.id,
            engine.upstream.address,
            OrderKind.LOAD,
            adapter,
            engine.order_count,
            version or None,
            engine.upstream.zone,
        )
        self._send(engine, order)

    def unload(self, engine: Engine, adapter: Adapter) -> None:
        """Order an engine to unload an adapter."""
        assert engine.order_count is not None
        if engine.begin_unload(adapter):
            self._execute(ServedAdaptersChanged(engine.id, engine.served_adapters()))
        order = Order(
            engine.id,
            engine.upstream.address,
            OrderKind.UNLOAD,
            adapter,
            engine.order_count,
            zone=engine.upstream.zone,
        )
        self._send(engine, order)

    def _send(self, engine: Engine, order: Order) -> None:
        self._last_number += 1
        order = replace(order, number=self._last_number)
        engine.begin_order(order, self._clock.monotonic())
        self._execute(order)
