"""Decides, for the holder of the lease, what is loaded where and what gives way.

No sockets and no threads: requests that wait, uses, answers and reports come in
as calls; orders and answers go out as actions.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from ..orders.order import EngineReport, Order, OrderAnswer, OrderKind
from ..routing import EngineSettings
from ..upstreams import Upstream
from .engine import MOST_COMING, Engine, EngineNews, PlaceState
from .models import ModelLoads
from .popularity import Popularity
from .residency import Residency
from .wants import Want, WantedAdapter, Wants

REST_BEFORE_EVICTION = timedelta(milliseconds=60)
OTHER_ZONE_COST = 0.05
COPY_GAIN = 10.0
HELD_SHARE = 0.42
"""Of its time, that a request is held at most while nothing is on its way to it."""
COME_BACK = timedelta(milliseconds=300)
LEFT_AFTER_LOAD = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class AskReport:
    """Ask an engine what it holds."""

    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class Placed:
    """A request that waited may be sent."""

    want: Want
    upstream: str
    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that waited is given up on."""

    want: Want
    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class Serving:
    """An engine serves other adapters than before."""

    upstream: str
    held: dict[Adapter, int]


SchedulerAction = Order | AskReport | Placed | Refused | Serving


@dataclass(frozen=True, slots=True)
class Room:
    """A place at an engine, free once `after` has been unloaded."""

    after: Adapter | None = None


class Scheduler:
    """The state of all engines of one lease, and the requests that wait.

    Parameters
    ----------
    holder : str
        Named in orders.
    fence : callable
        Returns the fencing token while orders may be sent, else None.
    act : callable
        Carries out an action.
    residency : Residency
        What the last holder has told of copies.
    """

    def __init__(
        self,
        holder: str,
        fence: Callable[[], int | None],
        act: Callable[[SchedulerAction], None],
        residency: Residency,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._holder = holder
        self._fence = fence
        self._act = act
        self._residency = residency
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._settings: dict[str, EngineSettings] = {}
        self._models = ModelLoads(clock)
        self.engines: dict[str, Engine] = {}
        self.wants = Wants()
        self.popularity = Popularity(clock)

    @property
    def busy(self) -> bool:
        """Return whether loads are under way or requests wait."""
        if len(self.wants):
            return True
        return any(engine.changing for engine in self.engines.values())

    # What comes in

    def set_upstreams(
        self, settings: dict[str, EngineSettings], found: list[Upstream]
    ) -> None:
        """Take in the engines that take work now.

        Parameters
        ----------
        settings : dict
            Of the engines, by service.
        """
        self._settings = settings
        present = {upstream.id for upstream in found}
        for gone in set(self.engines) - present:
            del self.engines[gone]
        for upstream in found:
            engine = self.engines.get(upstream.id)
            if engine is None:
                places = settings[upstream.service].adapter_places
                copies = self._residency.copies(upstream.id)
                engine = Engine(upstream, places, copies)
                self.engines[upstream.id] = engine
            engine.upstream = upstream

    def want(self, want: Want) -> None:
        """Take in a request that waits for its adapter."""
        self.popularity.asked(want.adapter)
        engine = self._serving_engine(want)
        if engine is None:
            self.wants.add(want)
            return
        self._send_there(engine, want, engine.serving()[want.adapter])

    def withdraw(self, want_id: str) -> None:
        """Forget a request that no longer waits."""
        self.wants.remove(want_id)

    def used(self, upstream: str, adapter: Adapter, began: int, ended: int) -> None:
        """Take in that requests have begun and ended at an engine."""
        engine = self.engines.get(upstream)
        place = engine.places.get(adapter) if engine is not None else None
        for _ in range(began):
            self.popularity.asked(adapter)
        if place is None:
            return
        place.users = max(place.users + began - ended, 0)
        place.used_at = self._clock.monotonic()

    def answered(self, upstream: str, order: Order, answer: OrderAnswer) -> None:
        """Take in how an order ended."""
        engine = self.engines.get(upstream)
        if engine is None or engine.sending is not order:
            return
        now = self._clock.monotonic()
        news = engine.answered(answer, now)
        if answer is not OrderAnswer.ACCEPTED or order.kind is OrderKind.UNLOAD:
            self._log.info(
                "order ended",
                upstream=upstream,
                kind=order.kind,
                adapter=str(order.adapter),
                version=order.version,
                expected=order.expected,
                fence=order.fence,
                answer=answer,
                took_ms=round(news.took / timedelta(milliseconds=1)),
                cold=news.cold,
            )
        self._metrics.count("orders", order.kind, answer)
        self._take(engine, news)

    def reported(self, upstream: str, report: EngineReport | None) -> None:
        """Take in what an engine says it holds."""
        engine = self.engines.get(upstream)
        if engine is None:
            return
        news = engine.reported(report, self._clock.monotonic())
        self._log.info(
            "engine reported",
            upstream=upstream,
            answered=report is not None,
            order_count=engine.order_count,
            held=len(engine.places),
        )
        self._take(engine, news)

    def _take(self, engine: Engine, news: EngineNews) -> None:
        if news.serving_changed:
            self._act(Serving(engine.id, engine.serving()))
        if news.loaded is not None:
            self._metrics.count("loads", "cold" if news.cold else "warm")
        self._serve_waiting(engine)

    def _serve_waiting(self, engine: Engine) -> None:
        for adapter, version in engine.serving().items():
            wanted = self.wants.of(engine.upstream.service, adapter)
            if wanted is None:
                continue
            for want in list(wanted.by_id.values()):
                if version < want.oldest_version or engine.id in want.tried:
                    continue
                self.wants.remove(want.id)
                self._send_there(engine, want, version)

    def _send_there(self, engine: Engine, want: Want, version: int) -> None:
        place = engine.places.get(want.adapter)
        if place is not None:
            place.used_at = self._clock.monotonic()
            place.users += 1
        self._act(Placed(want, engine.id, version))

    def _serving_engine(self, want: Want) -> Engine | None:
        for engine in self.engines.values():
            if engine.upstream.service != want.service or engine.id in want.tried:
                continue
            version = engine.serving().get(want.adapter, -1)
            if version >= want.oldest_version:
                return engine
        return None

    def tell(self) -> None:
        """Log how the engines and the requests that wait stand."""
        for engine in self.engines.values():
            places = engine.places.values()
            self._log.info(
                "engine state",
                upstream=engine.id,
                known=engine.known,
                sending=engine.sending is not None,
                free=engine.free,
                coming=engine.coming,
                going=sum(place.state is PlaceState.GOING for place in places),
                used=sum(place.users > 0 for place in places),
                users=sum(place.users for place in places),
                copies=len(engine.copies),
            )
        self._log.info(
            "requests wait",
            requests=len(self.wants),
            adapters=len(list(self.wants.adapters())),
        )

    # What goes out

    def plan(self) -> None:
        """Send the orders that are due, most worth first."""
        now = self._clock.monotonic()
        self._give_up(now)
        fence = self._fence()
        if fence is None:
            return
        for engine in self.engines.values():
            self._maintain(engine, fence, now)
        self._bring_models(fence)
        waiting = sorted(
            (wanted for wanted in self.wants.adapters() if wanted.adapter.name),
            key=lambda wanted: wanted.worth(now, timedelta(milliseconds=300)),
            reverse=True,
        )
        for wanted in waiting:
            self._bring(wanted, fence, now)

    def _give_up(self, now: timedelta) -> None:
        for want in self.wants.ended(now):
            self._act(Refused(want, Reason.NO_PLACE, timedelta(milliseconds=500)))
        for wanted in self.wants.adapters():
            if self._on_its_way(wanted, wanted.oldest_version):
                continue
            for want in list(wanted.by_id.values()):
                if now < want.asked_at + (want.limit - want.asked_at) * HELD_SHARE:
                    continue
                self.wants.remove(want.id)
                self._act(Refused(want, Reason.NO_PLACE, COME_BACK))

    def _maintain(self, engine: Engine, fence: int, now: timedelta) -> None:
        """Ask what has to be asked: lost orders, reports, loads that should end."""
        if engine.report_due(now):
            engine.reporting = True
            self._act(AskReport(engine.id, engine.upstream.address))
            return
        if engine.sending is not None or now < engine.paused_until:
            return
        model = engine.model_coming
        if engine.lost is None and model is not None:
            if model.look_at <= now:
                self._load(engine, model.adapter, 0, fence)
            return
        if engine.lost is not None:
            self._send(engine, replace(engine.lost.order, fence=fence))
            return
        if not engine.can_order(now):
            return
        for place in engine.places.values():
            if place.look_at > now:
                continue
            if place.state is PlaceState.COMING:
                self._load(engine, place.adapter, place.version, fence)
                return
            if place.state is PlaceState.GOING:
                self._unload(engine, place.adapter, fence)
                return

    def _bring_models(self, fence: int) -> None:
        """Load a base model on engines that hold none."""
        for choice in self._models.due(self.engines, self._settings, self.popularity):
            engine = self.engines[choice.upstream]
            self._load(engine, Adapter(choice.model), 0, fence)

    def _bring(self, wanted: WantedAdapter, fence: int, now: timedelta) -> None:
        """Load a wanted adapter, or make room for it."""
        version = wanted.oldest_version
        if self._on_its_way(wanted, version):
            return
        choices = [
            engine
            for engine in self.engines.values()
            if engine.can_order(now)
            and engine.upstream.service == wanted.service
            and wanted.adapter.model in engine.models
            and engine.id not in wanted.tried
            and engine.coming < MOST_COMING
        ]
        choices = [
            engine for engine in choices if self._room(engine, wanted, now) is not None
        ]
        if not choices:
            return
        engine = min(choices, key=lambda engine: self._cost(engine, wanted, version))
        room = self._room(engine, wanted, now)
        assert room is not None
        if room.after is not None:
            self._unload(engine, room.after, fence)
            return
        self._load(engine, wanted.adapter, version, fence)

    def _on_its_way(self, wanted: WantedAdapter, version: int) -> bool:
        for engine in self.engines.values():
            if engine.id in wanted.tried or engine.upstream.service != wanted.service:
                continue
            order = engine.sending
            sending = order is not None and order.kind is OrderKind.LOAD
            if sending and order is not None and order.adapter == wanted.adapter:
                return True
            place = engine.places.get(wanted.adapter)
            if place is None or place.version < version:
                continue
            if place.state is PlaceState.COMING:
                return True
        return False

    def _room(
        self, engine: Engine, wanted: WantedAdapter, now: timedelta
    ) -> Room | None:
        """Return the room for an adapter, or None if there is none."""
        held = engine.places.get(wanted.adapter)
        if held is not None:
            if held.users == 0 and held.state is PlaceState.SERVING:
                return Room(wanted.adapter)
            return None
        if engine.free > 0:
            return Room()
        idle = [
            place
            for place in engine.places.values()
            if place.state is PlaceState.SERVING
            and place.users == 0
            and now - place.used_at >= REST_BEFORE_EVICTION
        ]
        if not idle:
            return None
        rarest = min(idle, key=lambda place: self.popularity.rate(place.adapter))
        return Room(rarest.adapter)

    def _cost(self, engine: Engine, wanted: WantedAdapter, version: int) -> float:
        cost = len(engine.copies) / 100 + engine.running / 100
        cost += (engine.capacity - engine.free) / engine.capacity
        if engine.has_copy(wanted.adapter, version):
            cost -= COPY_GAIN
        zones = {want.zone for want in wanted.by_id.values()}
        if engine.upstream.zone not in zones:
            cost += OTHER_ZONE_COST
        return cost

    def _load(self, engine: Engine, adapter: Adapter, version: int, fence: int) -> None:
        assert engine.order_count is not None
        order = Order(
            engine.id,
            engine.upstream.address,
            OrderKind.LOAD,
            adapter,
            engine.order_count,
            self._holder,
            fence,
            version or None,
        )
        self._send(engine, order)

    def _unload(self, engine: Engine, adapter: Adapter, fence: int) -> None:
        assert engine.order_count is not None
        if engine.leave(adapter):
            self._act(Serving(engine.id, engine.serving()))
        order = Order(
            engine.id,
            engine.upstream.address,
            OrderKind.UNLOAD,
            adapter,
            engine.order_count,
            self._holder,
            fence,
        )
        self._send(engine, order)

    def _send(self, engine: Engine, order: Order) -> None:
        engine.begin(order)
        self._act(order)
