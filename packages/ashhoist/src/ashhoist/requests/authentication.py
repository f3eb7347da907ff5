"""Authenticates requests by API key, on arrival and again before each send."""

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
        None on public routes, or if there are no customers.
    key : bytes or None
        The digest of the request's key; None if the key is not checked.
    """

    customer: Customer | None = None
    key: bytes | None = None


ANONYMOUS = Identity()
MILLISECOND = timedelta(milliseconds=1)


class Authenticator:
    """Authenticates callers by key.

    Keys are checked against the active configuration, and accepted only while that is
    known to be current.

    Parameters
    ----------
    header : str
        The header that holds the key, in lower case.
    propagation_time : timedelta
        Time within which a new key must be accepted by all instances.
    """

    def __init__(
        self,
        header: str,
        table: Callable[[], RouteTable | None],
        proof: Proof,
        propagation_time: timedelta,
        clock: Clock,
    ) -> None:
        self._header = header
        self._table = table
        self._proof = proof
        self._propagation_time = propagation_time
        self._clock = clock

    @property
    def proof_age_ms(self) -> int | None:
        """Return how long ago the configuration was shown to be current, for logs."""
        age = self._proof.age(self._clock.monotonic())
        return None if age is None else round(age / MILLISECOND)

    def identify(
        self, table: RouteTable, route: Route, headers: Headers
    ) -> Identity | Reason:
        """Return who sent a request, or the reason to refuse it."""
        if not table.customers:
            return ANONYMOUS
        keys = [value for name, value in headers if name.lower() == self._header]
        key = digest(keys[0].strip()) if len(keys) == 1 else None
        customer = None if key is None else table.customers.find(key)
        now = self._clock.monotonic()
        if route.public:
            # Access does not depend on the customer here. The name is only passed on,
            # and only while the keys are known to be current.
            is_current = customer is not None and self._proof.is_recent(now)
            return Identity(customer) if is_current else ANONYMOUS
        if customer is None:
            return self._unknown_key_reason(bool(keys), now)
        if not self._proof.is_recent(now):
            return Reason.KEYS_NOT_CURRENT
        return Identity(customer, key)

    def _unknown_key_reason(self, has_key: bool, now: timedelta) -> Reason:
        """Return the reason to refuse a key that this instance does not know.

        The key may have been added too recently for this instance to know of it.
        """
        if has_key and not self._proof.shows_absence(now, self._propagation_time):
            return Reason.KEYS_NOT_CURRENT
        return Reason.UNAUTHORIZED

    def refusal_reason(self, identity: Identity) -> Reason | None:
        """Return None if a request may be sent now, else why it must not be."""
        if identity.key is None:
            return None
        table = self._table()
        if table is None or table.customers.find(identity.key) is None:
            return Reason.KEY_REMOVED
        if not self._proof.is_recent(self._clock.monotonic()):
            return Reason.KEYS_NOT_CURRENT
        return None
