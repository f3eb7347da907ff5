"""Prompt parts under which upstreams crash, and those that are known to be sound.

Requests share the parts of their prompts, so a part may crash upstreams with each new
request that has it. A crash does not show which part caused it. But nothing with the
part at fault is ever answered, while sound parts are, again and again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b
from typing import TypeVar

from ..clock import Clock

T = TypeVar("T")

PREFIX = "part:"
"""Begins the names of parts; fingerprints of requests are hexadecimal."""
MAX_ID_LENGTH = 32
"""Longer ids of parts are replaced by their hash."""
HASH_BYTES = 12
MAX_PARTS = 8
"""Parts of a prompt that are considered, and logged, from its beginning."""
SOUND_FOR = timedelta(seconds=3)
"""How long a part that was answered here is sent on, whatever is known of crashes."""
SOUND_BEFORE_CRASH = timedelta(seconds=10)
"""A part that was answered here so recently is not suspected of a first crash."""
MAX_KNOWN_PARTS = 8192
"""Parts remembered; beyond that the one that was seen least recently is forgotten."""


def part_names(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names of the parts of a prompt that other requests may share.

    Parameters
    ----------
    parts : tuple of str
        The ids of all parts, in order. The last one is the request's own.
    """
    return tuple(map(_name, parts[:-1][:MAX_PARTS]))


def is_part(name: str) -> bool:
    """Return whether a name stands for a part, and not for a request."""
    return name.startswith(PREFIX)


def _name(part: str) -> str:
    if len(part) <= MAX_ID_LENGTH:
        return PREFIX + part
    return PREFIX + blake2b(part.encode(), digest_size=HASH_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class _Cut:
    """The last crash that broke off a request with a part.

    Parameters
    ----------
    is_suspect : bool
        Whether the part may have caused it.
    """

    incarnation: str
    at: timedelta
    is_suspect: bool


class PartHistory:
    """When requests of this instance with a part were answered, or broken off."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at: OrderedDict[str, timedelta] = OrderedDict()
        self._cut_by_name: OrderedDict[str, _Cut] = OrderedDict()

    def answered(self, names: Iterable[str]) -> None:
        """Record that an upstream has written an answer to a request with parts."""
        for name in names:
            _put(self._answered_at, name, self._clock.monotonic())

    def is_sound(self, name: str) -> bool:
        """Return whether a part was answered here a moment ago."""
        at = self._answered_at.get(name)
        return at is not None and self._clock.monotonic() - at < SOUND_FOR

    def cut(self, names: Iterable[str], incarnation: str) -> tuple[str, ...]:
        """Record that an upstream broke off as it began to answer parts.

        Parameters
        ----------
        incarnation : str
            The incarnation of the upstream; it breaks off several requests at once.

        Returns
        -------
        tuple of str
            The parts that may have crashed it: those that were not answered here
            lately, nor since they were last broken off.
        """
        return tuple(name for name in names if self._note_cut(name, incarnation))

    def _note_cut(self, name: str, incarnation: str) -> bool:
        """Record a crash with a part; return whether the part is suspected of it."""
        now = self._clock.monotonic()
        last = self._cut_by_name.get(name)
        if last is not None and last.incarnation == incarnation:
            return last.is_suspect
        cut = _Cut(incarnation, now, self._is_suspect(name, last))
        _put(self._cut_by_name, name, cut)
        return cut.is_suspect

    def _is_suspect(self, name: str, last: _Cut | None) -> bool:
        answered_at = self._answered_at.get(name)
        if answered_at is None:
            return True
        if last is not None and last.at >= answered_at:
            return True
        return self._clock.monotonic() - answered_at >= SOUND_BEFORE_CRASH


def _put(entries: OrderedDict[str, T], name: str, entry: T) -> None:
    entries[name] = entry
    entries.move_to_end(name)
    if len(entries) > MAX_KNOWN_PARTS:
        entries.popitem(last=False)
