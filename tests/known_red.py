"""Tests that fail for a known fault, as `KNOWN-RED.txt` at the root lists them.

One line each, with bars between: the test's id, the command (with its seed, where it
has one), what was seen, and the open issue.
"""

from dataclasses import dataclass, fields
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownRedError(ValueError):
    """The list is malformed."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is known to fail."""

    test: str
    command: str
    seen: str
    issue: str


def read(path: Path = LIST) -> dict[str, KnownRed]:
    """Return the listed tests by id; none where there is no list.

    Raises
    ------
    KnownRedError
        If a line is malformed.
    """
    if not path.exists():
        return {}
    found = {}
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(fields(KnownRed)) or not all(parts):
            raise KnownRedError(f"not a test, command, sight and issue: {line!r}")
        found[parts[0]] = KnownRed(*parts)
    return found
