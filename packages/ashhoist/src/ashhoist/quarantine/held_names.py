"""Which requests and prompt parts are held back, decided from their crashes.

A crash breaks off all requests of an upstream, so those beside the one at fault are
suspected with it. Where a part stands in all crashes of another name, and in more
besides, it explains them, and the other name goes free. A request that stands in all
crashes of a part explains these.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from .parts import is_part

CRASH_THRESHOLD = 3
"""Number of upstream incarnations that break off under a request until it is held back.
With two, an innocent request that was cut off together with the one at fault, and then
retried with it at the same upstream, would be held back as well. Each additional crash
cuts off up to a whole batch of other requests."""
PART_CRASH_THRESHOLD = 4
"""The same for a part of prompts: one more, so that a single request that crashes
upstreams is held back before its parts, which sound requests share."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A name with enough crashes to be held back.

    Parameters
    ----------
    incarnations : frozenset of str
        The incarnations of upstreams that crashed.
    since : timedelta
        When this instance learned of the crash that was one too many.
    """

    name: str
    incarnations: frozenset[str]
    since: timedelta


class HeldNames:
    """The requests and parts that are held back."""

    def __init__(self) -> None:
        self._candidate_by_name: dict[str, _Candidate] = {}
        self._since_by_name: dict[str, timedelta] = {}
        self._is_current = True

    def set_crashes(self, name: str, incarnations: Mapping[str, timedelta]) -> None:
        """Set the crashes that count against a name.

        Parameters
        ----------
        incarnations : mapping of str to timedelta
            When this instance first learned of the crash, by upstream incarnation.
        """
        threshold = PART_CRASH_THRESHOLD if is_part(name) else CRASH_THRESHOLD
        if len(incarnations) < threshold:
            if self._candidate_by_name.pop(name, None) is not None:
                self._is_current = False
            return
        # The name is released once so many crashes have expired that too few are left.
        learned = sorted(incarnations.values(), reverse=True)
        self._candidate_by_name[name] = _Candidate(
            name, frozenset(incarnations), learned[threshold - 1]
        )
        self._is_current = False

    def since(self, name: str) -> timedelta | None:
        """Return since when a name is held back; None if it is not."""
        if not self._candidate_by_name:
            return None
        return self._held().get(name)

    def names(self) -> frozenset[str]:
        """Return the names that are held back."""
        return frozenset(self._held())

    def _held(self) -> dict[str, timedelta]:
        if not self._is_current:
            self._since_by_name = {one.name: one.since for one in self._unexplained()}
            self._is_current = True
        return self._since_by_name

    def _unexplained(self) -> list[_Candidate]:
        """Return the candidates whose crashes no other one explains."""
        candidates = self._candidate_by_name.values()
        requests = [one for one in candidates if not is_part(one.name)]
        crashes_of_requests = {one.incarnations for one in requests}
        parts = [
            one
            for one in candidates
            if is_part(one.name) and one.incarnations not in crashes_of_requests
        ]
        return [one for one in (*parts, *requests) if not _is_explained(one, parts)]


def _is_explained(candidate: _Candidate, parts: list[_Candidate]) -> bool:
    """Return whether a part stands in all crashes of a candidate, and in others."""
    return any(candidate.incarnations < part.incarnations for part in parts)
