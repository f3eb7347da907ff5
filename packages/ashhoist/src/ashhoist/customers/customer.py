"""Customers: who may call, with which keys, how urgently and how much.

Keys are kept as digests only, so that no log line, metric or dump of this process can
show one. They are looked up by a digest under a secret of this process: what a lookup
takes says nothing of a key, as nobody outside can choose digests, and it costs the same
with sixteen customers as with thousands.
"""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

SECRET = secrets.token_bytes(32)
"""Known to this process only; a digest means nothing elsewhere."""
DIGEST_BYTES = 16
SHOWN_BYTES = 4
"""Of a digest, in log lines that must tell keys apart."""


class QuotaUnit(StrEnum):
    """What a customer's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much a customer may ask for, over all instances together.

    Parameters
    ----------
    rate : float
        Units a second.
    burst : float
        Units that may be asked for at once, above the rate.
    plain_tokens : float
        What a request counts that names no tokens.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: float = 1.0

    def charge(self, tokens: int) -> float:
        """Return what a request counts, in this quota's unit.

        Parameters
        ----------
        tokens : int
            Of its prompt and most of its answer; 0 if it names none.
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
        0 is the most urgent. It goes before a route's.
    quota : Quota or None
        None if it may ask for any amount.
    """

    name: str
    keys: frozenset[bytes]
    priority: int = 0
    quota: Quota | None = None


class CustomerTable:
    """The customers of one configuration, made for looking up.

    Raises
    ------
    ValueError
        If two have the same name, or the same key.
    """

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        for customer in customers:
            self._add(customer)

    def _add(self, customer: Customer) -> None:
        if customer.name in self.by_name:
            raise ValueError(f"customers: {customer.name!r} stands twice")
        self.by_name[customer.name] = customer
        for key in customer.keys:
            other = self._by_digest.setdefault(key, customer)
            if other is not customer:
                names = f"{other.name!r} and {customer.name!r}"
                raise ValueError(f"customers: {names} have the same key")

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def find(self, key: bytes) -> Customer | None:
        """Return the customer whose key has a digest, or None."""
        return self._by_digest.get(key)


def digest(key: str) -> bytes:
    """Return what stands for a key in this process."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, key=SECRET, digest_size=DIGEST_BYTES).digest()


def shown(key: bytes) -> str:
    """Return a short text that tells keys apart in the logs of one process."""
    return key[:SHOWN_BYTES].hex()
