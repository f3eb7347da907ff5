"""The small data types that every part shares."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from typing import Any


class Priority(IntEnum):
    """Priority of a request. Higher runs first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    URGENT = 3

    @classmethod
    def parse(cls, text: str) -> "Priority | None":
        """Return the priority of that name, or None."""
        return cls.__members__.get(text.upper())


@dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """One version of one adapter, the unit that is loaded and asked for."""

    name: str
    version: str

    def __str__(self) -> str:
        return f"{self.name}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> "AdapterVersion":
        """Return the adapter version of the form ``name@version``.

        Raises
        ------
        ValueError
            If there is no version in `text`.
        """
        name, separator, version = text.rpartition("@")
        if not separator:
            raise ValueError(f"{text!r} names no version")
        return cls(name, version)


@dataclass(slots=True)
class Job:
    """One request on its way to one upstream.

    Parameters
    ----------
    request_id : str
        Unique for the life of the request.
    attempt : int
        Counts the tries for this request, from 1.
    entry : str
        The instance that holds the caller's connection.
    upstream : str
        Where it shall run.
    adapter : AdapterVersion or None
        None for a plain service.
    deadline : timedelta
        On the local monotonic clock.
    repeatable : bool
        False means that it runs at most once.
    key : str
        The caller's key of a request that is not repeatable.
    """

    request_id: str
    attempt: int
    entry: str
    upstream: str
    adapter: AdapterVersion | None
    priority: Priority
    deadline: timedelta
    enqueued_at: timedelta
    method: str = "POST"
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: bool = False
    repeatable: bool = True
    key: str = ""
    tokens: int = 64
    team: str = ""
    weights: str = ""
    fence: int = 0
    stalled: timedelta = timedelta()

    @property
    def id(self) -> tuple[str, int]:
        """Return the key that no other dispatch shares."""
        return (self.request_id, self.attempt)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a peer can be reached, as the platform's instance list says."""

    name: str
    zone: str
    region: str
    address: str
    leaving: bool = False
    kind: str = "entry"


JSON = Any
