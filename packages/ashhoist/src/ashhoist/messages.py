"""The typed messages between instances, and their CBOR form.

A frame is a CBOR array of messages; a message is an array of its code and its
fields in order. Every field is checked against its type; anything that does not
fit makes `decode` raise `FrameError`, and the link that brought it is closed.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from typing import Any, TypeVar, get_type_hints

import cbor2

PROTOCOL = 1
MAX_FRAME_BYTES = 4_194_304
MAX_MESSAGES = 4096
ARRAY = 0x80
"""The major type of a CBOR array, in the first byte."""
LONGEST_IN_HEAD = 24
TWO_BYTES_FOLLOW = 25

types_by_code: dict[int, type] = {}
codes_by_type: dict[type, int] = {}
_checks_by_type: dict[type, tuple[tuple[type, ...], ...]] = {}
T = TypeVar("T", bound=type)


class FrameError(ValueError):
    """A frame that is not what the protocol allows."""


def message(code: int) -> Callable[[T], T]:
    """Register a data class as the message of that code."""

    def decorate(kind: T) -> T:
        types_by_code[code] = kind
        codes_by_type[kind] = code
        hints = get_type_hints(kind)
        _checks_by_type[kind] = tuple(
            _accepted(hints[field.name]) for field in fields(kind)
        )
        return kind

    return decorate


def _accepted(hint: Any) -> tuple[type, ...]:
    plain = getattr(hint, "__origin__", hint)
    return (float, int) if plain is float else (plain,)


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from both sides."""

    protocol: int
    name: str
    incarnation: str


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


Message = Any


def encode(messages: Sequence[Message]) -> bytes:
    """Return the frame of some messages."""
    return join([encode_one(item) for item in messages])


def encode_one(item: Message) -> bytes:
    """Return one message as it stands in a frame; see `join`."""
    fields_in_order = [getattr(item, name) for name in item.__slots__]
    return cbor2.dumps([codes_by_type[type(item)], *fields_in_order])


def join(encoded: Sequence[bytes]) -> bytes:
    """Return the frame of messages that were encoded one by one."""
    return _array_head(len(encoded)) + b"".join(encoded)


def _array_head(length: int) -> bytes:
    """Return the head of a CBOR array, as RFC 8949 (section 3) has it."""
    if length < LONGEST_IN_HEAD:
        return bytes([ARRAY | length])
    return bytes([ARRAY | TWO_BYTES_FOLLOW]) + length.to_bytes(2, "big")


def decode(frame: bytes) -> list[Message]:
    """Return the messages in a frame.

    Raises
    ------
    FrameError
        If the frame is too large or malformed, or a message has an unknown
        code, or a field of the wrong type.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError("frame too large")
    try:
        items = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError) as error:
        raise FrameError(f"not CBOR: {error}") from None
    if not isinstance(items, list) or len(items) > MAX_MESSAGES:
        raise FrameError("not a list of messages")
    return [_decode_one(item) for item in items]


def _decode_one(item: Any) -> Message:
    if not isinstance(item, list) or not item or not isinstance(item[0], int):
        raise FrameError("not a message")
    kind = types_by_code.get(item[0])
    if kind is None:
        raise FrameError(f"unknown message code {item[0]}")
    checks = _checks_by_type[kind]
    if len(item) != len(checks) + 1:
        raise FrameError(f"{kind.__name__} has {len(checks)} fields")
    for value, accepted in zip(item[1:], checks, strict=True):
        if not isinstance(value, accepted):
            raise FrameError(f"{kind.__name__} has a field of the wrong type")
        if isinstance(value, bool) and bool not in accepted:
            raise FrameError(f"{kind.__name__} has a field of the wrong type")
    return kind(*item[1:])
