"""Frames between instances: typed messages and their CBOR form.

A frame is a CBOR array of messages; a message is an array of its code and its
fields in order. Every field is checked against its type; anything that does not
fit makes `decode` raise `FrameError`, and the link that brought it is closed.

Fields with a default were added in the second revision, or in the one that `added_in`
states. A frame may lack them, and they are left out of frames for instances of an
earlier revision, which accept the fields that they know only.
"""

from collections.abc import Callable, Sequence
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar, get_type_hints

import cbor2

PROTOCOL = 1
FIRST_REVISION = 1
REVISION = 6
"""Revision of the messages and their fields; both sides of a link agree on the lower
one. Raised when a message is added."""
DEFAULTS_REVISION = 2
"""The revision that added the fields with a default which state no other one."""
ADDED_IN = "added_in"
MAX_FRAME_BYTES = 4_194_304
MAX_MESSAGES = 4096
ARRAY = 0x80
"""The major type of a CBOR array, in the first byte."""
LONGEST_IN_HEAD = 24
TWO_BYTES_FOLLOW = 25

types_by_code: dict[int, type] = {}
codes_by_type: dict[type, int] = {}
revisions_by_type: dict[type, int] = {}
_checks_by_type: dict[type, tuple[tuple[type, ...], ...]] = {}
_required_by_type: dict[type, int] = {}
_field_revisions_by_type: dict[type, tuple[int, ...]] = {}
T = TypeVar("T", bound=type)


class FrameError(ValueError):
    """A frame that is not what the protocol allows."""


def message(code: int, revision: int = FIRST_REVISION) -> Callable[[T], T]:
    """Register a data class as the message of that code.

    Parameters
    ----------
    revision : int
        The first revision that has it; peers of an earlier one close the link if they
        receive it.
    """

    def decorate(kind: T) -> T:
        types_by_code[code] = kind
        codes_by_type[kind] = code
        revisions_by_type[kind] = revision
        hints = get_type_hints(kind)
        _checks_by_type[kind] = tuple(
            _accepted(hints[field.name]) for field in fields(kind)
        )
        _required_by_type[kind] = sum(_is_required(one) for one in fields(kind))
        _field_revisions_by_type[kind] = tuple(map(_field_revision, fields(kind)))
        return kind

    return decorate


def added_in(revision: int, default: Any) -> Any:
    """Return the definition of a message's field that a later revision has added.

    Fields that are added later stand behind those of earlier revisions.
    """
    return field(default=default, metadata={ADDED_IN: revision})


def _is_required(one: Field[Any]) -> bool:
    return one.default is MISSING and one.default_factory is MISSING


def _field_revision(one: Field[Any]) -> int:
    """Return the first revision that has a field."""
    if _is_required(one):
        return FIRST_REVISION
    return int(one.metadata.get(ADDED_IN, DEFAULTS_REVISION))


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


Message = Any


def encode(messages: Sequence[Message]) -> bytes:
    """Return the frame of some messages."""
    return join([encode_one(item) for item in messages])


def encode_one(item: Message, revision: int = REVISION) -> bytes:
    """Return one message as it stands in a frame; see `join`.

    Parameters
    ----------
    revision : int
        The revision that the receiver knows. Fields that were added later are left out.
    """
    names = item.__slots__
    if revision < REVISION:
        added = _field_revisions_by_type[type(item)]
        names = [
            name for name, since in zip(names, added, strict=True) if since <= revision
        ]
    fields_in_order = [getattr(item, name) for name in names]
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
    if not _required_by_type[kind] <= len(item) - 1 <= len(checks):
        raise FrameError(f"{kind.__name__} has {len(checks)} fields")
    for value, accepted in zip(item[1:], checks, strict=False):
        if not isinstance(value, accepted):
            raise FrameError(f"{kind.__name__} has a field of the wrong type")
        if isinstance(value, bool) and bool not in accepted:
            raise FrameError(f"{kind.__name__} has a field of the wrong type")
    return kind(*item[1:])
