"""Positions of records on the log: an era and an offset.

Restoring the log from a copy starts a new era, in which offsets are reused. A position
packs both into one integer, with the era in the high bits. Positions therefore compare
across eras, and are passed like offsets to other instances and, as fencing tokens, to
engines.
"""

from typing import NewType

Position = NewType("Position", int)
"""An era and an offset in one integer; negative if there is no position."""
NO_POSITION = Position(-1)
OFFSET_BITS = 40
"""Enough for 50 years at 700 records a second.

Positions of eras up to 8,191 are represented exactly as JSON numbers.
"""
MOST_ERAS = 1 << 23
"""Exclusive upper bound on eras; keeps positions within 63 bits."""
MOST_OFFSETS = 1 << OFFSET_BITS
"""Exclusive upper bound on offsets."""
_OFFSET_MASK = MOST_OFFSETS - 1


def position(era: int, offset: int) -> Position:
    """Return the position of an offset in an era."""
    return Position((era << OFFSET_BITS) | offset)


def era_of(at: int) -> int:
    """Return the era of a position; negative if there is no position."""
    return at >> OFFSET_BITS


def offset_of(at: int) -> int:
    """Return the offset of a position in its era."""
    return at & _OFFSET_MASK


def supersedes(at: int, other: int) -> bool:
    """Return whether a record is certainly newer than another one of the same key.

    A restored log starts with copies of earlier records at their original offsets. In a
    later era, a record at a higher offset is therefore newer, while one at a lower
    offset may be a copy of an older record.
    """
    if era_of(at) <= era_of(other):
        return at > other
    return other < 0 or offset_of(at) > offset_of(other)


def join(one: Position, other: Position) -> Position:
    """Return the lowest position whose successors supersede both positions."""
    if min(one, other) < 0:
        return max(one, other)
    return position(
        max(era_of(one), era_of(other)), max(offset_of(one), offset_of(other))
    )
