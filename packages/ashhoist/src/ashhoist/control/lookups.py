"""Lookups of the engines that serve an adapter.

Only hubs receive residency updates; all other instances ask a hub. A hub answers
whether or not there is a leader, because a lookup needs no authority. Requests for
adapters that are loaded therefore continue while there is no leader.
"""

from collections.abc import Callable
from typing import Any

from ..adapter import Adapter
from ..placement import Residency
from ..placement.messages import Lookup
from ..placement.residency import AdapterLocation
from .hubs import Hubs
from .messages import AdapterLocationRequest, AdapterLocations

MAX_PENDING = 1024
"""Pending lookups; beyond that the oldest is answered as not found."""


class Lookups:
    """Resolves lookups of this instance's requests, and answers those of others.

    Parameters
    ----------
    own : str
        This instance's name.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        own: str,
        residency: Residency,
        hubs: Hubs,
        send: Callable[[str, Any], None],
    ) -> None:
        self._own = own
        self._residency = residency
        self._hubs = hubs
        self._send = send
        self._last_number = 0
        self._pending: dict[int, Lookup] = {}

    def ask(self, lookup: Lookup) -> None:
        """Resolve a lookup of a request here, or forward it to a hub."""
        hub = None if self._hubs.is_hub(self._own) else self._hubs.nearest()
        if hub is None:
            _answer(lookup, self._locations(lookup.adapter))
            return
        self._last_number += 1
        self._pending[self._last_number] = lookup
        if len(self._pending) > MAX_PENDING:
            _answer(self._pending.pop(next(iter(self._pending))), ())
        self._send(
            hub,
            AdapterLocationRequest(
                self._last_number, lookup.adapter.model, lookup.adapter.name
            ),
        )

    def asked(self, instance: str, locate: AdapterLocationRequest) -> None:
        """Answer a lookup of another instance."""
        locations = self._locations(Adapter(locate.model, locate.name))
        rows = [[location.upstream, location.version] for location in locations]
        self._send(instance, AdapterLocations(locate.number, rows))

    def answered(self, located: AdapterLocations) -> None:
        """Handle a hub's answer."""
        lookup = self._pending.pop(located.number, None)
        if lookup is not None:
            _answer(lookup, tuple(AdapterLocation(*row) for row in located.rows))

    def _locations(self, adapter: Adapter) -> tuple[AdapterLocation, ...]:
        return self._residency.view.get(adapter, ())


def _answer(lookup: Lookup, locations: tuple[AdapterLocation, ...]) -> None:
    if lookup.answer.set_running_or_notify_cancel():
        lookup.answer.set_result(locations)
