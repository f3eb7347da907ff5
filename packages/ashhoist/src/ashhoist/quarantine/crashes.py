"""What instances write on the log of upstreams that broke off under requests."""

from dataclasses import dataclass
from hashlib import blake2b

import cbor2

KEY_BYTES = 12
"""Long enough that no two keys on a log are alike by chance."""
MOST_REQUESTS = 4096
"""In one record: many times what an upstream runs at once, 100 kB on the log."""


class MalformedRecordError(ValueError):
    """A record is none of those that instances write."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The requests of one instance that one life of an upstream broke off.

    Parameters
    ----------
    life : str
        Names the upstream and its start.
    instance : str
        Who saw it: each writes a record of its own.
    requests : frozenset of str
        Their fingerprints.
    """

    life: str
    instance: str
    requests: frozenset[str]

    @property
    def key(self) -> str:
        """Return its key on the log; what an instance sees later replaces it."""
        return _key("crash", self.life, self.instance)

    def adding(self, requests: frozenset[str]) -> "Crash":
        """Return it with further requests."""
        return Crash(self.life, self.instance, self.requests | requests)

    def encode(self) -> bytes:
        """Return the record's value."""
        requests = sorted(self.requests)[:MOST_REQUESTS]
        return cbor2.dumps(["crash", self.life, self.instance, requests])


@dataclass(frozen=True, slots=True)
class Whole:
    """A request was answered whole: it does not crash whoever runs it.

    Parameters
    ----------
    request : str
        Its fingerprint.
    """

    request: str

    @property
    def key(self) -> str:
        """Return its key on the log."""
        return _key("whole", self.request)

    def encode(self) -> bytes:
        """Return the record's value."""
        return cbor2.dumps(["whole", self.request])


def _key(*parts: str) -> str:
    text = "\0".join(parts)
    return blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def decode_record(value: bytes) -> Crash | Whole:
    """Return what a record says.

    Raises
    ------
    MalformedRecordError
        If it is none of ours.
    """
    try:
        row = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise MalformedRecordError(str(error)) from None
    match row:
        case ["crash", str(life), str(instance), list(requests)]:
            if not all(isinstance(request, str) for request in requests):
                raise MalformedRecordError("a request is no text")
            return Crash(life, instance, frozenset(requests))
        case ["whole", str(request)]:
            return Whole(request)
    raise MalformedRecordError("neither a crash nor a whole answer")
