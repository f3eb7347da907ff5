"""Orders and questions to engines: sent one at a time, looked after until they end."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..orders.order import Order, OrderKind
from .actions import AskReport, SchedulerAction, Serving
from .engine import Engine, EnginePlace, PlaceState


class EngineOrders:
    """Sends the orders that the scheduler decides on.

    Parameters
    ----------
    act : callable
        Carries out an action.
    """

    def __init__(self, act: Callable[[SchedulerAction], None], clock: Clock) -> None:
        self._act = act
        self._clock = clock
        self._sent = 0

    def look_after(self, engine: Engine, open_zones: set[str], now: timedelta) -> None:
        """Ask what has to be asked: lost orders, reports, loads that should end.

        Parameters
        ----------
        open_zones : set of str
            The zones whose engines orders reach now.
        """
        if engine.report_due(now):
            engine.reporting = True
            self._act(AskReport(engine.id, engine.upstream.address))
            return
        if engine.sending is not None or now < engine.paused_until:
            return
        if engine.upstream.zone not in open_zones:
            return
        if engine.lost is not None:
            self._send(engine, engine.lost)
        elif engine.model_coming is not None:
            self._look_at_model(engine, engine.model_coming, now)
        elif engine.can_order(now):
            self._look_at_places(engine, now)

    def _look_at_model(
        self, engine: Engine, model: EnginePlace, now: timedelta
    ) -> None:
        if model.look_at <= now:
            self.load(engine, model.adapter, 0)

    def _look_at_places(self, engine: Engine, now: timedelta) -> None:
        """Repeat the first order that should have ended: its answer tells."""
        for place in engine.places.values():
            if place.look_at > now:
                continue
            if place.state is PlaceState.COMING:
                self.load(engine, place.adapter, place.version)
                return
            if place.state is PlaceState.GOING:
                self.unload(engine, place.adapter)
                return

    def load(self, engine: Engine, adapter: Adapter, version: int) -> None:
        """Order a load; version 0 is the newest."""
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
        """Order that a place is emptied."""
        assert engine.order_count is not None
        if engine.leave(adapter):
            self._act(Serving(engine.id, engine.serving()))
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
        self._sent += 1
        order = replace(order, number=self._sent)
        engine.begin(order, self._clock.monotonic())
        self._act(order)
