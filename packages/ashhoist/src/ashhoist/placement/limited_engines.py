"""Engines with a rate limit, and the queued requests that wait for their permits."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from .engine import Engine
from .pending_requests import AdapterDemand, PendingRequest, PendingRequests
from .permits import EnginePermits


class LimitedEngines:
    """The engines that accept a limited number of requests per second.

    Parameters
    ----------
    engines_serving : callable
        Returns the engines that serve the adapter of a request.
    first_token_wait : callable
        Takes an engine and the length of a prompt; returns the expected time to its
        first token, including the wait for a permit, plus the cost to other requests.
    send : callable
        Sends a request to an engine.
    """

    def __init__(
        self,
        permits: EnginePermits,
        pending: PendingRequests,
        engines_serving: Callable[[PendingRequest], list[Engine]],
        first_token_wait: Callable[[Engine, int], timedelta],
        send: Callable[[Engine, PendingRequest], None],
    ) -> None:
        self._permits = permits
        self._pending = pending
        self._engines_serving = engines_serving
        self._first_token_wait = first_token_wait
        self._send = send
        self._limited: list[Engine] = []

    def permit_wait(self, engine: Engine) -> timedelta:
        """Return how long until a permit is free, behind all reserved requests."""
        return self._permits.wait(engine.id, engine.reserved_requests)

    def begin_round(self, engines: Iterable[Engine]) -> None:
        """Send the requests that have a permit, and reserve permits for the others."""
        self._limited = [
            engine for engine in engines if self._permits.is_limited(engine.id)
        ]
        for engine in self._limited:
            self._send_permitted(engine)
        if self._limited:
            self._reserve_permits()

    def _send_permitted(self, engine: Engine) -> None:
        """Send requests to an engine, most valuable first, while it has permits."""
        for request in self._requests_for(engine):
            if self._permits.wait(engine.id):
                return
            self._pending.remove(request.id)
            self._send(engine, request)

    def _requests_for(self, engine: Engine) -> list[PendingRequest]:
        """Return the queued requests that an engine can serve, most valuable first."""
        found: list[PendingRequest] = []
        for adapter in engine.served_adapters():
            for demand in self._pending.demands_for(engine.upstream, adapter):
                for request in demand.by_id.values():
                    is_served = engine.serves(adapter, request.oldest_version)
                    if is_served and request.accepts(engine.upstream):
                        found.append(request)
        return sorted(found, key=lambda request: request.worth, reverse=True)

    def _reserve_permits(self) -> None:
        """Reserve permits for queued requests at the engines that serve their adapter.

        Otherwise the next permit of an engine would be offered to every request, and
        the adapters of the requests that wait would be evicted as unused.
        """
        for demand in self._pending.demands():
            serving = self._serving_if_all_limited(demand)
            if not serving:
                continue
            soonest = min(serving, key=lambda engine: self._first_token_wait(engine, 0))
            soonest.reserve_permits(demand.adapter, len(demand.by_id))

    def _serving_if_all_limited(self, demand: AdapterDemand) -> list[Engine]:
        """Return the engines that serve an adapter; none if one has no rate limit."""
        serving = self._engines_serving(next(iter(demand.by_id.values())))
        if not all(self._permits.is_limited(engine.id) for engine in serving):
            return []
        return serving

    def serve_sooner(self, demand: AdapterDemand, loading: Engine) -> bool:
        """Return whether waiting for a permit beats, or equals, loading elsewhere.

        The times to the first token are compared. False unless engines serve the
        adapter already and all of them have a rate limit.

        Parameters
        ----------
        loading : Engine
            The engine that would have to load the adapter first.
        """
        if not self._limited:
            return False
        serving = self._serving_if_all_limited(demand)
        if not serving:
            return False
        tokens = demand.max_tokens
        wait = min(self._first_token_wait(engine, tokens) for engine in serving)
        load_time = loading.expected_load_time(demand.adapter, demand.oldest_version)
        return wait <= load_time + self._first_token_wait(loading, tokens)

    def wait_if_all_limited(
        self, request: PendingRequest, ahead: int, engines: list[Engine]
    ) -> timedelta | None:
        """Return how long until a request can be sent, if all engines are limited.

        Parameters
        ----------
        ahead : int
            Number of queued requests for the same adapter before it.
        engines : list of Engine
            All engines that it could be sent to.

        Returns
        -------
        timedelta or None
            None if one of the engines has no rate limit, or there are no engines.
        """
        if not engines or not all(
            self._permits.is_limited(candidate.id) for candidate in engines
        ):
            return None
        serving = self._engines_serving(request) or engines
        return min(self._permits.wait(engine.id, ahead) for engine in serving)
