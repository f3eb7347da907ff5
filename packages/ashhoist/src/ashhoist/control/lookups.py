"""Where an adapter is served, asked of a hub by instances that are told nothing.

Knowing needs no authority: a hub answers whether or not there is a leader, so that
requests for adapters that engines hold go on while there is none.
"""

from collections.abc import Callable
from typing import Any

from ..adapter import Adapter
from ..placement import Residency
from ..placement.asks import Lookup
from ..placement.residency import Place
from .hubs import Hubs
from .messages import Locate, Located

MOST_OPEN = 1024
"""Questions that are remembered; the oldest is forgotten first."""


class Lookups:
    """The questions of this instance's requests, and answers to those of others.

    Parameters
    ----------
    own : str
        This instance's name.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        own: str,
        residency: Residency,
        hubs: Hubs,
        tell: Callable[[str, Any], None],
    ) -> None:
        self._own = own
        self._residency = residency
        self._hubs = hubs
        self._tell = tell
        self._numbers = 0
        self._open: dict[int, Lookup] = {}

    def ask(self, lookup: Lookup) -> None:
        """Answer a question of a request here, or ask a hub."""
        hub = None if self._hubs.is_hub(self._own) else self._hubs.nearest()
        if hub is None:
            _answer(lookup, self._places(lookup.adapter))
            return
        self._numbers += 1
        self._open[self._numbers] = lookup
        if len(self._open) > MOST_OPEN:
            _answer(self._open.pop(next(iter(self._open))), ())
        self._tell(
            hub, Locate(self._numbers, lookup.adapter.model, lookup.adapter.name)
        )

    def asked(self, instance: str, locate: Locate) -> None:
        """Answer a question of another instance."""
        places = self._places(Adapter(locate.model, locate.name))
        rows = [[place.upstream, place.version] for place in places]
        self._tell(instance, Located(locate.number, rows))

    def answered(self, located: Located) -> None:
        """Take in a hub's answer."""
        lookup = self._open.pop(located.number, None)
        if lookup is not None:
            _answer(lookup, tuple(Place(*row) for row in located.rows))

    def _places(self, adapter: Adapter) -> tuple[Place, ...]:
        return self._residency.view.get(adapter, ())


def _answer(lookup: Lookup, places: tuple[Place, ...]) -> None:
    if lookup.answer.set_running_or_notify_cancel():
        lookup.answer.set_result(places)
