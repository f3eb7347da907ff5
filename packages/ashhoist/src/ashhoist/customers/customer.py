"""Customers: their keys, priorities and quotas.

Keys are stored only as digests, so that no log line, metric or memory dump of this
process can reveal one. The digests are keyed with a secret of this process: the time
that a lookup takes reveals nothing about a key, as nobody outside can choose digests.
A lookup costs the same with sixteen customers as with thousands.
"""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

SECRET = secrets.token_bytes(32)
"""Known to this process only, so its digests can't be used in any other process."""
DIGEST_BYTES = 16
SHORT_DIGEST_BYTES = 4
"""Length of the part of a digest that identifies a key in log lines."""


class QuotaUnit(StrEnum):
    """The unit in which a customer's quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much a customer may request, at all instances together.

    Parameters
    ----------
    rate : float
        Units per second.
    burst : float
        Units that may be requested at once, in addition to the rate.
    plain_tokens : float
        Tokens charged for a request that declares no token count.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: float = 1.0

    def charge(self, tokens: int) -> float:
        """Return the charge for a request, in this quota's unit.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt, plus the maximum for the answer; 0 if the request
            declares none.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(tokens) if tokens else self.plain_tokens


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer.

    Parameters
    ----------
    keys : frozenset of bytes
        Digests of its keys; see `digest`.
    priority : int
        0 is the most urgent. It takes precedence over a route's priority.
    quota : Quota or None
        None if requests are not limited.
    """

    name: str
    keys: frozenset[bytes]
    priority: int = 0
    quota: Quota | None = None


class CustomerTable:
    """The customers of one configuration, by name and by key digest.

    Raises
    ------
    ValueError
        If two customers have the same name or share a key.
    """

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        for customer in customers:
            self._add(customer)

    def _add(self, customer: Customer) -> None:
        if customer.name in self.by_name:
            raise ValueError(f"customers: {customer.name!r} is defined twice")
        self.by_name[customer.name] = customer
        for key in customer.keys:
            other = self._by_digest.setdefault(key, customer)
            if other is not customer:
                names = f"{other.name!r} and {customer.name!r}"
                raise ValueError(f"customers: {names} have the same key")

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def find(self, key: bytes) -> Customer | None:
        """Return the customer whose key has the given digest, or None."""
        return self._by_digest.get(key)


def digest(key: str) -> bytes:
    """Return the digest of a key, which is valid in this process only."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, key=SECRET, digest_size=DIGEST_BYTES).digest()


def short_digest(key: bytes) -> str:
    """Return a short text that identifies a key in the logs of one process."""
    return key[:SHORT_DIGEST_BYTES].hex()
