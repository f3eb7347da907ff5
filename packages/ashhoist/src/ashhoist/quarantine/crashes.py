"""Log records about requests whose upstream broke off."""

from dataclasses import dataclass
from hashlib import blake2b

import cbor2

KEY_BYTES = 12
"""Long enough to make a collision of two keys on a log practically impossible."""
MAX_REQUESTS = 4096
"""Maximum number of requests in one record. This is many times the number that an
upstream runs at once, and takes 100 kB on the log."""


class MalformedRecordError(ValueError):
    """A record has none of the known formats."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The requests of one instance that one incarnation of an upstream broke off.

    Parameters
    ----------
    incarnation : str
        Identifies the incarnation of the upstream; see `Upstream.incarnation`.
    instance : str
        The instance that saw the crash. Each instance writes a record of its own.
    requests : frozenset of str
        Fingerprints of the requests.
    """

    incarnation: str
    instance: str
    requests: frozenset[str]

    @property
    def key(self) -> str:
        """Return the key on the log; a later record of the instance replaces it."""
        return _key("crash", self.incarnation, self.instance)

    def adding(self, requests: frozenset[str]) -> "Crash":
        """Return a copy with additional requests."""
        return Crash(self.incarnation, self.instance, self.requests | requests)

    def encode(self) -> bytes:
        """Return the record's value."""
        requests = sorted(self.requests)[:MAX_REQUESTS]
        return cbor2.dumps(["crash", self.incarnation, self.instance, requests])


@dataclass(frozen=True, slots=True)
class Completion:
    """A request was answered completely, so it did not crash its upstream.

    Parameters
    ----------
    request : str
        Fingerprint of the request.
    """

    request: str

    @property
    def key(self) -> str:
        """Return the key on the log."""
        return _key("whole", self.request)

    def encode(self) -> bytes:
        """Return the record's value."""
        return cbor2.dumps(["whole", self.request])


def _key(*parts: str) -> str:
    text = "\0".join(parts)
    return blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def decode_record(value: bytes) -> Crash | Completion:
    """Decode the value of a record.

    Raises
    ------
    MalformedRecordError
        If the value has none of the known formats.
    """
    try:
        row = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise MalformedRecordError(str(error)) from None
    match row:
        case ["crash", str(incarnation), str(instance), list(requests)]:
            if not all(isinstance(request, str) for request in requests):
                raise MalformedRecordError("a request fingerprint is not a string")
            return Crash(incarnation, instance, frozenset(requests))
        case ["whole", str(request)]:
            return Completion(request)
    raise MalformedRecordError("neither a crash nor a completed request")
