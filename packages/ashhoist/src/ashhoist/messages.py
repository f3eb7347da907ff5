"""The typed messages between the instances of the daemon; see `codec`."""

from dataclasses import dataclass, fields
from typing import Any

from .codec import (
    MAX_FRAME_BYTES,
    MAX_MESSAGES,
    PROTOCOL,
    FrameError,
    Hello,
    Message,
    decode,
    encode,
    message,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_MESSAGES",
    "PROTOCOL",
    "FrameError",
    "Hello",
    "Message",
    "decode",
    "encode",
    "message",
]


@message(2)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life, with what changed at the sender since its last one.

    Parameters
    ----------
    offset : int
        Configuration offset that the sender has applied.
    keeper : str
        Whom the sender regards as keeper of the load budget.
    loads : list
        One `UpstreamLoad` as a list for each upstream whose load has changed.
    leaving_upstreams : list
        Names of the upstreams that leave, for instances that do not see the
        platform's list.
    """

    leaving: bool
    offset: int
    keeper: str
    loads: list
    leaving_upstreams: list


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """How busy one upstream is, as its home tells the entry instances."""

    upstream: str
    running: int
    waiting: int
    wanted: int
    free_slots: int
    service_ms: int
    load_ms: int

    def to_list(self) -> list[Any]:
        """Return the form that travels on heartbeats."""
        return [getattr(self, field.name) for field in fields(self)]

    @classmethod
    def from_list(cls, values: Any) -> "UpstreamLoad":
        """Return the load in a heartbeat.

        Raises
        ------
        FrameError
            If it is malformed.
        """
        whole = isinstance(values, list) and len(values) == len(fields(cls))
        if not whole or not isinstance(values[0], str):
            raise FrameError("malformed upstream load")
        if not all(isinstance(value, int) for value in values[1:]):
            raise FrameError("malformed upstream load")
        return cls(*values)


@message(3)
@dataclass(frozen=True, slots=True)
class ResidencyDelta:
    """Adapters that an upstream holds now, or (not `full`) what changed."""

    upstream: str
    full: bool
    added: list
    removed: list


@message(4)
@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request for the receiver, which is the upstream's home."""

    request_id: str
    attempt: int
    upstream: str
    adapter: str
    weights: str
    priority: int
    remaining_ms: int
    method: str
    path: str
    headers: dict
    body: bytes
    stream: bool
    repeatable: bool
    key: str
    team: str
    tokens: int


@message(5)
@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The caller has gone."""

    request_id: str
    attempt: int


@message(6)
@dataclass(frozen=True, slots=True)
class Started:
    """The home is about to send the request upstream; it may run from now.

    Parameters
    ----------
    load : list
        The `UpstreamLoad` of the upstream, as a list: whom an instance works
        with it knows best.
    """

    request_id: str
    attempt: int
    load: list


@message(7)
@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the answer."""

    request_id: str
    attempt: int
    status: int
    headers: dict


@message(8)
@dataclass(frozen=True, slots=True)
class Data:
    """A piece of the answer.

    Parameters
    ----------
    index : int
        Number of the first event (streams) or byte (whole answers) in `data`.
    count : int
        How many events or bytes `data` holds.
    """

    request_id: str
    attempt: int
    index: int
    count: int
    data: bytes


@message(9)
@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole; it had `count` events or bytes."""

    request_id: str
    attempt: int
    count: int


@message(10)
@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended in a failure."""

    request_id: str
    attempt: int
    reason: str
    outcome: str
    step: str
    peer: str
    detail: str
    retry_after_ms: int


@message(11)
@dataclass(frozen=True, slots=True)
class Credit:
    """The caller has taken so many bytes; as many more may be sent."""

    request_id: str
    attempt: int
    count: int


@message(12)
@dataclass(frozen=True, slots=True)
class LoadWanted:
    """A home wants a load; the keeper of the budget decides."""

    upstream: str
    adapter: str
    benefit: float


@message(13)
@dataclass(frozen=True, slots=True)
class LoadDropped:
    """A wanted load is not wanted any more."""

    upstream: str
    adapter: str


@message(14)
@dataclass(frozen=True, slots=True)
class LoadGranted:
    """A load may go ahead."""

    upstream: str
    adapter: str
    number: int


@message(15)
@dataclass(frozen=True, slots=True)
class GrantReturned:
    """A granted load has ended, or was not used."""

    number: int
    used: bool


@message(16)
@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Ask for what the sender lacks after its offset."""

    after: int


@message(17)
@dataclass(frozen=True, slots=True)
class ConfigurationRecords:
    """Records of the log: a list of pairs of offset and record."""

    records: list


@message(18)
@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """One chunk of a whole state, for an instance that lacks too much."""

    chunk: dict


@message(19)
@dataclass(frozen=True, slots=True)
class ClaimsState:
    """The claims in force, for an instance that starts while the log is down.

    Parameters
    ----------
    claims : list
        Upstream, holder, token and whether it is released, for each claim.
    """

    offset: int
    claims: list
