"""Engines that have named a limit: what waits for a permit to be sent there."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from .engine import Engine
from .permits import EnginePermits
from .wants import Want, WantedAdapter, Wants


class LimitedEngines:
    """The engines that take only so many requests a second.

    Parameters
    ----------
    serving : callable
        Returns the engines that serve a request's adapter.
    wait_at : callable
        Takes an engine and the tokens of a prompt; returns the wait for its first
        token, that for a permit included.
    send : callable
        Sends a request to an engine.
    """

    def __init__(
        self,
        permits: EnginePermits,
        wants: Wants,
        serving: Callable[[Want], list[Engine]],
        wait_at: Callable[[Engine, int], timedelta],
        send: Callable[[Engine, Want], None],
    ) -> None:
        self._permits = permits
        self._wants = wants
        self._serving = serving
        self._wait_at = wait_at
        self._send = send
        self._found: list[Engine] = []

    def wait(self, engine: Engine) -> timedelta:
        """Return when an engine can be sent one more, behind all that wait for it."""
        return self._permits.wait(engine.id, engine.promised_requests)

    def begin_round(self, engines: Iterable[Engine]) -> None:
        """Send what can be sent now, and count what has to wait for a permit."""
        self._found = [engine for engine in engines if self._permits.limited(engine.id)]
        for engine in self._found:
            self._send_permitted(engine)
        if self._found:
            self._count_waiting()

    def _send_permitted(self, engine: Engine) -> None:
        """Send what waits for an engine, most worth first; the rest gives way."""
        for want in self._waiting_for(engine):
            if self._permits.wait(engine.id):
                return
            self._wants.remove(want.id)
            self._send(engine, want)

    def _waiting_for(self, engine: Engine) -> list[Want]:
        """Return the requests that wait for what an engine serves, most worth first."""
        found: list[Want] = []
        for adapter in engine.serving():
            wanted = self._wants.of(engine.upstream.service, adapter)
            if wanted is None:
                continue
            for want in wanted.by_id.values():
                fits = engine.serves(adapter, want.oldest_version)
                if fits and engine.id not in want.tried:
                    found.append(want)
        return sorted(found, key=lambda want: want.worth, reverse=True)

    def _count_waiting(self) -> None:
        """Count what waits for permits at the engines that serve its adapter.

        Else each of them would look as if its next permit were for one more, and what
        they serve to those that wait would be unloaded as unused.
        """
        for wanted in self._wants.adapters():
            serving = self._serving_alone(wanted)
            if not serving:
                continue
            soonest = min(serving, key=lambda engine: self._wait_at(engine, 0))
            soonest.await_permits(wanted.adapter, len(wanted.by_id))

    def _serving_alone(self, wanted: WantedAdapter) -> list[Engine]:
        """Return the engines that serve an adapter; none if one is not limited."""
        serving = self._serving(next(iter(wanted.by_id.values())))
        if not all(self._permits.limited(engine.id) for engine in serving):
            return []
        return serving

    def serve_sooner(self, wanted: WantedAdapter, loading: Engine) -> bool:
        """Return whether all that wait are sent before a load elsewhere would end."""
        if not self._found:
            return False
        serving = self._serving_alone(wanted)
        if not serving:
            return False
        tokens = wanted.most_tokens
        wait = min(self._wait_at(engine, tokens) for engine in serving)
        load = loading.load_time(wanted.adapter, wanted.oldest_version)
        return wait <= load + self._wait_at(loading, tokens)

    def wait_if_all(
        self, want: Want, ahead: int, engines: list[Engine]
    ) -> timedelta | None:
        """Return when a request can be sent if no engine takes whatever comes.

        Parameters
        ----------
        ahead : int
            Requests that wait for the same adapter before it.
        engines : list of Engine
            All that it could be sent to.

        Returns
        -------
        timedelta or None
            None if one of the engines is not limited, or there is none.
        """
        if not engines or not all(self._permits.limited(one.id) for one in engines):
            return None
        serving = self._serving(want) or engines
        return min(self._permits.wait(engine.id, ahead) for engine in serving)
