"""The log's record of the software versions of a service that have served lately.

It outlasts a restart of all instances, which would otherwise know nothing of versions
that served before it.
"""

from dataclasses import dataclass

import cbor2

VERSIONS_KEY_PREFIX = "versions/"


class MalformedVersionsError(ValueError):
    """A record does not have the format of `ServedVersions`."""


@dataclass(frozen=True, slots=True)
class ServedVersions:
    """The versions of one service that have served since a stream could have begun."""

    service: str
    versions: frozenset[str]

    @property
    def key(self) -> str:
        """Return the key on the log; a later record of the service replaces it."""
        return VERSIONS_KEY_PREFIX + self.service

    def encode(self) -> bytes:
        """Return the record's value."""
        return cbor2.dumps([self.service, sorted(self.versions)])

    @classmethod
    def decode(cls, value: bytes) -> "ServedVersions":
        """Decode the value of a record.

        Raises
        ------
        MalformedVersionsError
            If the value has another format.
        """
        try:
            row = cbor2.loads(value)
        except (cbor2.CBORDecodeError, ValueError) as error:
            raise MalformedVersionsError(str(error)) from None
        match row:
            case [str(service), list(versions)]:
                if all(isinstance(version, str) for version in versions):
                    return cls(service, frozenset(versions))
        raise MalformedVersionsError("not a service and its versions")
