"""Who calls: checks the key of a request, and again before each time it is sent."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..customers import Customer, Proof, digest
from ..failures import Reason
from ..http import Headers
from ..routing import Route, RouteTable


@dataclass(frozen=True, slots=True)
class Identity:
    """Who sent a request.

    Parameters
    ----------
    customer : Customer or None
        None where a route is public, or there are no customers.
    key : bytes or None
        The digest of the key that it came with, where that decides.
    """

    customer: Customer | None = None
    key: bytes | None = None


ANYBODY = Identity()
MILLISECOND = timedelta(milliseconds=1)


class Keys:
    """Decides by key, with what is in force and for how long that is sure.

    Parameters
    ----------
    header : str
        The header that holds the key, in lower case.
    known_within : timedelta
        Within so long a new key has to be accepted everywhere.
    """

    def __init__(
        self,
        header: str,
        table: Callable[[], RouteTable | None],
        proof: Proof,
        known_within: timedelta,
        clock: Clock,
    ) -> None:
        self._header = header
        self._table = table
        self._proof = proof
        self._known_within = known_within
        self._clock = clock

    @property
    def proof_age_ms(self) -> int | None:
        """Return the age of what keys are decided by, for the logs."""
        age = self._proof.age(self._clock.monotonic())
        return None if age is None else round(age / MILLISECOND)

    def identify(
        self, table: RouteTable, route: Route, headers: Headers
    ) -> Identity | Reason:
        """Return who sent a request, or why it is not served."""
        if not table.customers:
            return ANYBODY
        keys = [value for name, value in headers if name.lower() == self._header]
        key = digest(keys[0].strip()) if len(keys) == 1 else None
        customer = None if key is None else table.customers.find(key)
        now = self._clock.monotonic()
        if route.public:
            # The name is told only where it is sure; nothing depends on it here.
            sure = customer is not None and self._proof.holds(now)
            return Identity(customer) if sure else ANYBODY
        if customer is None:
            return self._unknown(bool(keys), now)
        if not self._proof.holds(now):
            return Reason.KEYS_NOT_CURRENT
        return Identity(customer, key)

    def _unknown(self, has_key: bool, now: timedelta) -> Reason:
        """Return the reason for a key that is not known here.

        It may be one that was added a moment ago, of which this instance can't know.
        """
        if has_key and not self._proof.shows_absence(now, self._known_within):
            return Reason.KEYS_NOT_CURRENT
        return Reason.UNAUTHORIZED

    def still_valid(self, identity: Identity) -> Reason | None:
        """Return None if a request may be sent now, or why not any more."""
        if identity.key is None:
            return None
        table = self._table()
        if table is None or table.customers.find(identity.key) is None:
            return Reason.KEY_REMOVED
        if not self._proof.holds(self._clock.monotonic()):
            return Reason.KEYS_NOT_CURRENT
        return None
