"""Who dials whom, and when again: the same for all ways to link instances.

Of each pair the instance with the smaller name dials, so both sides agree on
whether there is a link. The other side dials too once it has waited for a while:
the first may not know of it.
"""

import random
from collections.abc import Container
from datetime import timedelta

from ..types import Endpoint

RETRY_FIRST = timedelta(milliseconds=200)
RETRY_LONGEST = timedelta(seconds=3)
MOST_DOUBLINGS = 6
SHORT_LIVED = timedelta(seconds=1)
"""A link that ends sooner counts as a dial that has failed."""
OTHERS_TURN = timedelta(seconds=1.5)
"""How long the side that need not dial waits for the other side to do so."""


class Dialling:
    """The addresses that there should be links to, and what became of dials there.

    Parameters
    ----------
    own : str
        This instance's name.
    """

    def __init__(self, own: str, random_source: random.Random) -> None:
        self._own = own
        self._random = random_source
        self._by_address: dict[str, Endpoint] = {}
        self._dials_all = False
        self._name_by_address: dict[str, str] = {}
        self._unlinked_since: dict[str, timedelta] = {}
        self._under_way: set[str] = set()
        self._retry_at: dict[str, timedelta] = {}
        self._failures: dict[str, int] = {}

    def set_peers(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Take in which instances there should be links to.

        An endpoint without a name is an address to ask, of an instance not known.

        Parameters
        ----------
        dials_all : bool
            Whether this side dials whatever the names: the others do not look
            for it.
        """
        self._by_address = {endpoint.address: endpoint for endpoint in endpoints}
        self._dials_all = dials_all

    def begin(self, linked: Container[str], now: timedelta) -> list[Endpoint]:
        """Return the endpoints to dial now; they count as under way.

        Parameters
        ----------
        linked : container of str
            Names of the instances that there are links to.
        """
        found = [
            endpoint
            for address, endpoint in self._by_address.items()
            if self._is_due(address, endpoint, linked, now)
        ]
        self._under_way.update(endpoint.address for endpoint in found)
        return found

    def _is_due(
        self, address: str, endpoint: Endpoint, linked: Container[str], now: timedelta
    ) -> bool:
        if self._is_linked(address, endpoint, linked):
            self._unlinked_since.pop(address, None)
            return False
        self._unlinked_since.setdefault(address, now)
        return address not in self._under_way and self._due_at(address, now) <= now

    def _is_linked(
        self, address: str, endpoint: Endpoint, linked: Container[str]
    ) -> bool:
        name = self._name(address, endpoint)
        return name in linked or name == self._own

    def _name(self, address: str, endpoint: Endpoint) -> str:
        return endpoint.name or self._name_by_address.get(address, "")

    def _due_at(self, address: str, now: timedelta) -> timedelta:
        """Return when an address that is not linked is dialled."""
        name = self._name(address, self._by_address[address])
        retry_at = self._retry_at.get(address, now)
        if self._dials_all or not name or name > self._own:
            return retry_at
        return max(retry_at, self._unlinked_since.get(address, now) + OTHERS_TURN)

    def next_at(self, linked: Container[str], now: timedelta) -> timedelta | None:
        """Return when the next dial is due; None while all are linked or dialled."""
        return min(
            (
                self._due_at(address, now)
                for address, endpoint in self._by_address.items()
                if address not in self._under_way
                and not self._is_linked(address, endpoint, linked)
            ),
            default=None,
        )

    def succeeded(self, address: str, name: str) -> None:
        """Take in who answered a dial."""
        self._under_way.discard(address)
        self._name_by_address[address] = name

    def closed(self, name: str, lasted: timedelta, now: timedelta) -> None:
        """Take in that a link has closed; one that never lasts is dialled more seldom.

        Parameters
        ----------
        lasted : timedelta
            How long the link was open.
        """
        for address, endpoint in self._by_address.items():
            if self._name(address, endpoint) != name:
                continue
            if lasted < SHORT_LIVED:
                self.failed(address, now)
            else:
                self._failures.pop(address, None)

    def failed(self, address: str, now: timedelta) -> None:
        """Take in that a dial has failed; the next one waits longer."""
        self._under_way.discard(address)
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        wait = min(RETRY_FIRST * 2 ** min(failures, MOST_DOUBLINGS), RETRY_LONGEST)
        self._retry_at[address] = now + wait * self._random.uniform(0.5, 1.0)
