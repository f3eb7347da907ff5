"""Decides, for the leader, what is loaded where and what gives way.

No sockets and no threads: requests that wait, uses, answers and reports come in
as calls; orders and answers go out as actions.
"""

from collections.abc import Callable
from datetime import timedelta

from ..adapter import Adapter
from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from ..orders.order import EngineReport, OrderAnswer, OrderKind
from ..routing import EngineSettings
from ..upstreams import Health, Upstream
from .actions import (
    Beginning,
    Held,
    Placed,
    Refused,
    SchedulerAction,
    Serving,
)
from .asks import UseEnd
from .engine import Engine, EngineNews, PlaceState
from .engine_orders import EngineOrders
from .holders import Holders
from .limited_engines import LimitedEngines
from .models import ModelLoads
from .permits import EnginePermits
from .popularity import Popularity
from .residency import Residency
from .rounds import Round, room_for
from .wants import Want, WantedAdapter, Wants

MILLISECOND = timedelta(milliseconds=1)
ORDER_LOST_AFTER = timedelta(seconds=1)
SOON_ENOUGH = timedelta(milliseconds=550)
WORTH_A_LOAD = timedelta(milliseconds=250)
"""By so much sooner an engine must begin that loads the adapter for it."""
COME_BACK = timedelta(milliseconds=300)
FAILURE_COST = timedelta(seconds=2)
"""What a failure costs the request it happens to: about the time until it is sent
elsewhere, and often its only chance to be in time."""
UNREACHABLE_COST = timedelta(seconds=5)
"""Goes there last of all, but does go if there is nothing else."""
PLAN_EVERY = timedelta(milliseconds=4)
"""What comes within so short a time is planned for together."""
PLANNING_SHARE = 0.25
"""Of the leader's time, spent on planning at most. Else rounds grow with what waits,
and what waits grows while they keep the leader from hearing that loads have ended."""


class Scheduler:
    """The state of all engines, and the requests that wait for adapters.

    Parameters
    ----------
    may_order : callable
        Takes a zone; returns whether orders reach its engines now.
    act : callable
        Carries out an action.
    permits : EnginePermits
        How many more requests engines take that have named a limit.
    residency : Residency
        What the last leader has told of places and copies.
    """

    def __init__(
        self,
        may_order: Callable[[str], bool],
        act: Callable[[SchedulerAction], None],
        permits: EnginePermits,
        residency: Residency,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._may_order = may_order
        self._act = act
        self._permits = permits
        self._residency = residency
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._settings: dict[str, EngineSettings] = {}
        self._models = ModelLoads(clock)
        self._health = Health(clock)
        self._orders = EngineOrders(act, clock)
        self._plan_from = -PLAN_EVERY
        self._has_news = True
        self._holders = Holders()
        self.engines: dict[str, Engine] = {}
        self.wants = Wants()
        self._limited = LimitedEngines(
            permits, self.wants, self._serving, self._wait_at, self._send_there
        )
        self.popularity = Popularity(clock)

    @property
    def busy(self) -> bool:
        """Return whether loads are under way or requests wait."""
        if len(self.wants):
            return True
        return any(engine.changing for engine in self.engines.values())

    @property
    def ordering(self) -> bool:
        """Return whether an order is under way."""
        return any(engine.sending is not None for engine in self.engines.values())

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
        self._has_news = True
        life_by_id = {upstream.id: upstream.life for upstream in found}
        for engine in list(self.engines.values()):
            if engine.upstream.life == life_by_id.get(engine.id):
                continue
            del self.engines[engine.id]
            self._holders.forget(engine)
            self._health.forget(engine.id)
            if engine.id in life_by_id:
                # Its new life holds nothing until it reports.
                self._residency.forget(engine.id)
                self._act(Serving(engine.id, {}))
        for upstream in found:
            known = self.engines.get(upstream.id)
            if known is not None:
                known.upstream = upstream
            else:
                places = settings[upstream.service].adapter_places
                copies = self._residency.copies(upstream.id)
                engine = Engine(upstream, places, copies, self._holders)
                held = self._residency.of(upstream.id)
                engine.expect(held, self._clock.monotonic())
                self.engines[upstream.id] = engine

    def want(self, want: Want) -> None:
        """Take in a request that needs an adapter."""
        self.popularity.asked(want.adapter)
        engine = self._soonest(want)
        if engine is None:
            self.wants.add(want)
            self._has_news = True
            self._act(Held(want))
            return
        self._send_there(engine, want)

    def withdraw(self, want_id: str) -> None:
        """Forget a request that no longer waits."""
        self.wants.remove(want_id)

    def began(self, use_id: str, instance: str, use: Beginning) -> None:
        """Take in a request that an instance has sent by itself."""
        engine = self.engines.get(use.upstream)
        self.popularity.asked(use.adapter)
        if engine is None:
            return
        now = self._clock.monotonic()
        engine.work.begin(use_id, instance, use.adapter, use.tokens, now)
        engine.touch(use.adapter, now)

    def started(self, upstream: str, use_id: str) -> None:
        """Take in that a request has its first token."""
        engine = self.engines.get(upstream)
        if engine is not None:
            engine.work.started(use_id, self._clock.monotonic())

    def ended(self, upstream: str, use_id: str, end: UseEnd) -> None:
        """Take in that a request has ended at an engine, and how."""
        engine = self.engines.get(upstream)
        if engine is None:
            return
        if end is UseEnd.WELL:
            self._health.answered(upstream)
        elif end is not UseEnd.UNKNOWN:
            self._health.failed(upstream, end is UseEnd.UNREACHABLE)
        adapter = engine.work.end(use_id)
        if adapter is not None:
            engine.touch(adapter, self._clock.monotonic())

    def instance_gone(self, instance: str) -> None:
        """Forget what waits and runs for an instance that can't be reached."""
        for want in self.wants.of_instance(instance):
            self.withdraw(want.id)
        for engine in self.engines.values():
            engine.work.end_all_of(instance)

    def answered(self, upstream: str, number: int, answer: OrderAnswer) -> None:
        """Take in how an order ended."""
        engine = self.engines.get(upstream)
        order = engine.sending if engine is not None else None
        if engine is None or order is None or order.number != number:
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
        self._has_news = True
        if news.serving_changed:
            self._act(Serving(engine.id, engine.serving()))
        if news.loaded is not None:
            # What waits for it begins now; the next round counts the rest anew.
            engine.forget_promises()
            self._metrics.count("loads", "cold" if news.cold else "warm")
        self._serve_waiting(engine, news)

    def _serve_waiting(self, engine: Engine, news: EngineNews) -> None:
        """Send what waits for an adapter that the engine serves now."""
        load_began = self._clock.monotonic() - news.took
        for adapter in engine.serving():
            wanted = self.wants.of(engine.upstream.service, adapter)
            if wanted is None:
                continue
            for want in list(wanted.by_id.values()):
                # A request waits for one load: it was paid for, and the next one
                # would end later still.
                loaded_for_it = adapter == news.loaded and want.asked_at <= load_began
                chosen = self._best_serving(want)
                if not loaded_for_it:
                    chosen = self._soonest(want)
                if chosen is not None:
                    self.wants.remove(want.id)
                    self._send_there(chosen, want)

    def _send_there(self, engine: Engine, want: Want) -> None:
        now = self._clock.monotonic()
        permitted = self._permits.limited(engine.id) and self._permits.take(engine.id)
        version = engine.serving()[want.adapter]
        expected = engine.work.first_after(want.tokens, now)
        engine.work.begin(want.id, want.instance, want.adapter, want.tokens, now)
        engine.touch(want.adapter, now)
        batch = self._settings[engine.upstream.service].batch
        self._metrics.observe("batch_fill", len(engine.work) / max(batch, 1))
        self._act(Placed(want, engine.id, version, expected, permitted))

    def _soonest(self, want: Want) -> Engine | None:
        """Return the engine to send a request to now; None if it should wait.

        It waits where none serves its adapter, and where another engine would
        have loaded it and be at its prompt much sooner.
        """
        best = self._best_serving(want)
        if best is None:
            return None
        first = self._wait_at(best, want.tokens)
        if first <= SOON_ENOUGH:
            return best
        elsewhere = self._first_elsewhere(want)
        if elsewhere is not None and elsewhere + WORTH_A_LOAD < first:
            return None
        return best

    def _best_serving(self, want: Want) -> Engine | None:
        """Return the engine that serves a request's adapter and begins soonest.

        One that must not be sent anything just now does not count.
        """
        permitted = [
            engine
            for engine in self._serving(want)
            if not self._permits.wait(engine.id)
        ]
        return min(
            permitted,
            key=lambda engine: self._wait_at(engine, want.tokens),
            default=None,
        )

    def _serving(self, want: Want) -> list[Engine]:
        """Return the engines that serve a request's adapter."""
        holding = self._holders.of(want.adapter) if want.adapter.name else self.engines
        return [
            engine
            for engine in holding.values()
            if engine.upstream.service == want.service
            and engine.id not in want.tried
            and engine.serves(want.adapter, want.oldest_version)
        ]

    def _wait_at(self, engine: Engine, tokens: int) -> timedelta:
        """Return the wait for a first token, with what a failing engine costs."""
        now = self._clock.monotonic()
        wait = engine.work.first_after(tokens + engine.promised, now)
        wait += self._limited.wait(engine)
        wait += FAILURE_COST * self._health.share_failing(engine.id)
        if not self._health.usable(engine.id):
            wait += UNREACHABLE_COST
        return wait

    def _engines_for(self, want: Want) -> list[Engine]:
        return [
            engine
            for engine in self.engines.values()
            if engine.upstream.service == want.service and engine.id not in want.tried
        ]

    def _first_elsewhere(self, want: Want) -> timedelta | None:
        """Return how soon an engine that does not serve the adapter could begin."""
        now = self._clock.monotonic()
        soonest: timedelta | None = None
        for engine in self._engines_for(want):
            if engine.serves(want.adapter, want.oldest_version):
                continue
            place = engine.places.get(want.adapter)
            if place is not None and place.state is PlaceState.COMING:
                load = max(place.look_at - now, timedelta())
            elif self._could_load(engine, want.adapter, now):
                load = engine.load_time(want.adapter, want.oldest_version)
            else:
                continue
            first = load + self._wait_at(engine, want.tokens)
            if soonest is None or first < soonest:
                soonest = first
        return soonest

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
                used=sum(engine.work.uses(place.adapter) > 0 for place in places),
                running=len(engine.work),
                permit_ms=round(self._permits.wait(engine.id) / MILLISECOND),
                pace=round(engine.work.pace, 2),
                copies=len(engine.copies),
            )
        self._log.info(
            "requests wait",
            requests=len(self.wants),
            adapters=len(list(self.wants.adapters())),
        )

    # What goes out

    def plan(self, by_time: bool = False) -> None:
        """Send the orders that are due, most worth first.

        Parameters
        ----------
        by_time : bool
            True if something may be due because time has passed; else a round is
            planned only where a request waits anew or an engine has said something.
        """
        now = self._clock.monotonic()
        if not (by_time or self._has_news) or now < self._plan_from:
            return
        self._has_news = False
        self._plan_round(now)
        took = self._clock.monotonic() - now
        self._plan_from = now + max(PLAN_EVERY, took / PLANNING_SHARE)

    def _plan_round(self, now: timedelta) -> None:
        open_zones = self._find_open_zones()
        for engine in self.engines.values():
            engine.forget_promises()
            self._give_up_order(engine, now)
            self._orders.look_after(engine, open_zones, now)
        self._bring_models(open_zones)
        if not len(self.wants):
            return
        self._limited.begin_round(self.engines.values())
        round_ = Round(
            self.engines.values(),
            self._holders,
            open_zones,
            self.popularity,
            self.wants.adapters(),
            self._wait_at,
            self._limited.wait,
            now,
        )
        self._give_up(round_, now)
        waiting = [wanted for wanted in self.wants.adapters() if wanted.adapter.name]
        for wanted in sorted(waiting, key=round_.gain, reverse=True):
            self._bring(round_, wanted, now)

    def _find_open_zones(self) -> set[str]:
        zones = {engine.upstream.zone for engine in self.engines.values()}
        return {zone for zone in zones if self._may_order(zone)}

    def _give_up(self, round_: Round, now: timedelta) -> None:
        for want in self.wants.ended(now):
            self._act(Refused(want, Reason.NO_PLACE, COME_BACK))
        for wanted in self.wants.adapters():
            if round_.on_its_way(wanted):
                continue
            for want in list(wanted.by_id.values()):
                if now < want.give_up_at:
                    continue
                self.wants.remove(want.id)
                self._act(Refused(want, Reason.NO_PLACE, COME_BACK))

    def _give_up_order(self, engine: Engine, now: timedelta) -> None:
        """Take an order for lost whose answer does not come."""
        order = engine.sending
        if order is not None and now - engine.sent_at > ORDER_LOST_AFTER:
            self.answered(engine.id, order.number, OrderAnswer.UNKNOWN)

    def _bring_models(self, open_zones: set[str]) -> None:
        """Load a base model on engines that hold none."""
        reached = {
            engine.id: engine
            for engine in self.engines.values()
            if engine.upstream.zone in open_zones
        }
        for choice in self._models.due(reached, self._settings, self.popularity):
            engine = self.engines[choice.upstream]
            self._orders.load(engine, Adapter(choice.model), 0)

    def _bring(self, round_: Round, wanted: WantedAdapter, now: timedelta) -> None:
        """Load a wanted adapter, or make room for it."""
        if round_.on_its_way(wanted):
            return
        engine = round_.best_engine(wanted)
        if engine is None or self._limited.serve_sooner(wanted, engine):
            self._settle_for_what_serves(wanted, now)
            return
        if not engine.can_order(now):
            return
        room = round_.room(engine, wanted.adapter)
        assert room is not None
        if room.after is not None:
            self._orders.unload(engine, room.after)
        else:
            self._orders.load(engine, wanted.adapter, wanted.oldest_version)
        round_.ordered(engine, wanted)

    def _could_load(self, engine: Engine, adapter: Adapter, now: timedelta) -> bool:
        if not engine.orderly(now) or not self._may_order(engine.upstream.zone):
            return False
        return room_for(engine, adapter, self.popularity, now) is not None

    def _settle_for_what_serves(self, wanted: WantedAdapter, now: timedelta) -> None:
        """Send what waits for one more engine to those that serve already."""
        for ahead, want in enumerate(list(wanted.by_id.values())):
            best = self._best_serving(want)
            if best is not None:
                self.wants.remove(want.id)
                self._send_there(best, want)
                continue
            engines = self._engines_for(want)
            wait = self._limited.wait_if_all(want, ahead, engines)
            if wait is not None and now + wait > want.give_up_at:
                self.wants.remove(want.id)
                self._act(Refused(want, Reason.UPSTREAMS_LIMITED, wait))
