"""One round of planning: what is loaded next, where, and what gives way for it."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter
from ..orders.order import OrderKind
from .engine import COLD_LOAD, MOST_COMING, WARM_LOAD, Engine, PlaceState
from .popularity import Popularity
from .wants import WantedAdapter

REST_BEFORE_EVICTION = timedelta(milliseconds=60)
OTHER_ZONE_COST = 0.02
COPY_COST = 0.004
FULL_COST = 0.1
COLD_COST = 0.9
"""What a load from the weight store costs, told as seconds of waiting."""
LOAD_PRICE = 0.74
"""Of a load from the weight store, in what answers are worth."""
FIRST_TOKEN = timedelta(milliseconds=350)


@dataclass(frozen=True, slots=True)
class Room:
    """A place at an engine, free once `after` has been unloaded."""

    after: Adapter | None = None


def room_for(
    engine: Engine, adapter: Adapter, popularity: Popularity, now: timedelta
) -> Room | None:
    """Return the room that an engine has for an adapter, or None."""
    held = engine.places.get(adapter)
    if held is not None:
        unused = held.state is PlaceState.SERVING and not engine.work.uses(adapter)
        return Room(adapter) if unused else None
    return spare_room(engine, popularity, now)


def spare_room(engine: Engine, popularity: Popularity, now: timedelta) -> Room | None:
    """Return the room that an engine has for what it does not hold yet, or None."""
    if engine.free > 0:
        return Room()
    idle = [
        place
        for place in engine.places.values()
        if place.state is PlaceState.SERVING
        and not engine.work.uses(place.adapter)
        and now - place.used_at >= REST_BEFORE_EVICTION
    ]
    if not idle:
        return None
    rarest = min(idle, key=lambda place: popularity.rate(place.adapter))
    return Room(rarest.adapter)


class Round:
    """What holds for all requests that wait while one round is planned.

    Parameters
    ----------
    engines : iterable of Engine
        All engines.
    open_zones : set of str
        The zones whose engines orders reach now.
    waiting : iterable of WantedAdapter
        All adapters that requests wait for.
    wait_at : callable
        Takes an engine and the tokens of a prompt; returns the wait for its first
        token.
    """

    def __init__(
        self,
        engines: Iterable[Engine],
        open_zones: set[str],
        popularity: Popularity,
        waiting: Iterable[WantedAdapter],
        wait_at: Callable[[Engine, int], timedelta],
        now: timedelta,
    ) -> None:
        self._engines = list(engines)
        self._popularity = popularity
        self._wait_at = wait_at
        self._now = now
        self._open_zones = open_zones
        self._able = [engine for engine in self._engines if self._is_able(engine)]
        self._spare: dict[str, Room | None] = {}
        self._by_adapter = self._index()
        self._note_promised(waiting)

    def _is_able(self, engine: Engine) -> bool:
        """Return whether an engine takes another load, now or soon."""
        if engine.upstream.zone not in self._open_zones:
            return False
        return engine.orderly(self._now) and engine.coming < MOST_COMING

    def _index(self) -> dict[Adapter, list[Engine]]:
        """Return the engines that hold, load or were ordered to load each adapter."""
        found: dict[Adapter, list[Engine]] = {}
        for engine in self._engines:
            for adapter in engine.places:
                found.setdefault(adapter, []).append(engine)
            order = engine.sending
            if order is None or order.kind is not OrderKind.LOAD:
                continue
            if order.adapter not in engine.places:
                found.setdefault(order.adapter, []).append(engine)
        return found

    def _note_promised(self, waiting: Iterable[WantedAdapter]) -> None:
        """Count what will be read at each engine once its loads have ended.

        Else all that wait at one moment would be sent to the engine that is idle.
        """
        for wanted in waiting:
            for engine in self._bringing(wanted):
                engine.promised += wanted.all_tokens

    def on_its_way(self, wanted: WantedAdapter) -> bool:
        """Return whether some engine is loading a wanted adapter."""
        return any(True for _ in self._bringing(wanted))

    def _bringing(self, wanted: WantedAdapter) -> Iterator[Engine]:
        for engine in self._by_adapter.get(wanted.adapter, ()):
            if engine.id in wanted.tried or engine.upstream.service != wanted.service:
                continue
            if engine.brings(wanted.adapter, wanted.oldest_version, self._now):
                yield engine

    def gain(self, wanted: WantedAdapter) -> float:
        """Return what a wanted adapter earns for each second until it answers."""
        cold = self._is_cold(wanted)
        until_answered = (COLD_LOAD if cold else WARM_LOAD) + FIRST_TOKEN
        worth = wanted.worth(self._now, until_answered) - (LOAD_PRICE if cold else 0.0)
        return worth / until_answered.total_seconds()

    def _is_cold(self, wanted: WantedAdapter) -> bool:
        """Return whether no engine has a copy; looked up once while it waits."""
        if wanted.cold is None:
            adapter, version = wanted.adapter, wanted.oldest_version
            wanted.cold = not any(
                engine.has_copy(adapter, version) for engine in self._engines
            )
        return wanted.cold

    def best_engine(self, wanted: WantedAdapter) -> Engine | None:
        """Return where a wanted adapter is loaded at the least cost, or None."""
        best: Engine | None = None
        least = 0.0
        tokens = wanted.most_tokens
        zones = wanted.zones
        for engine in self._able:
            if engine.upstream.service != wanted.service or engine.id in wanted.tried:
                continue
            if wanted.adapter.model not in engine.models:
                continue
            if engine.serves(wanted.adapter, wanted.oldest_version):
                continue
            if self.room(engine, wanted.adapter) is None:
                continue
            cost = self._cost(engine, wanted, tokens, zones)
            if best is None or cost < least:
                best, least = engine, cost
        return best

    def room(self, engine: Engine, adapter: Adapter) -> Room | None:
        """Return the room that an engine has for an adapter, or None."""
        if adapter in engine.places:
            return room_for(engine, adapter, self._popularity, self._now)
        if engine.id not in self._spare:
            self._spare[engine.id] = spare_room(engine, self._popularity, self._now)
        return self._spare[engine.id]

    def ordered(self, engine: Engine, wanted: WantedAdapter) -> None:
        """Note that an engine was sent an order: its room is another one now."""
        engine.promised += wanted.all_tokens
        self._spare.pop(engine.id, None)
        if not self._is_able(engine) and engine in self._able:
            self._able.remove(engine)

    def _cost(
        self, engine: Engine, wanted: WantedAdapter, tokens: int, zones: set[str]
    ) -> float:
        """Return what it costs to bring an adapter to an engine, in seconds."""
        cost = self._wait_at(engine, tokens).total_seconds()
        cost += len(engine.copies) * COPY_COST
        cost += (engine.capacity - engine.free) / engine.capacity * FULL_COST
        if not engine.has_copy(wanted.adapter, wanted.oldest_version):
            cost += COLD_COST
        if engine.upstream.zone not in zones:
            cost += OTHER_ZONE_COST
        return cost
