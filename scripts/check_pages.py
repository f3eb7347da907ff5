"""Which headers the platform's pages name that nothing here knows of.

    python scripts/check_pages.py PAGE.md ...

Run by hand beside the pages, which are no part of the repository. A header counts as
known if it stands in docs/peers.md or in the platform's dialect. Those that are not are
printed with the first line that names them; the exit code is 1 then.
"""

import argparse
import re
import sys
from collections.abc import Iterable
from dataclasses import fields
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [
    str(ROOT / "platform"),
    str(ROOT / "packages" / "ashhoist" / "src"),
]

from ashhoist_platform.dialect import HEADER_NAMES  # noqa: E402

QUOTED = re.compile(r"`([^`]+)`")
HEADER = re.compile(r"[A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)+")


def named(text: str) -> Iterable[str]:
    """Yield the headers that stand in quotes in a text."""
    for quoted in QUOTED.findall(text):
        if HEADER.fullmatch(quoted):
            yield quoted


def known() -> set[str]:
    """Return, in lower case, the headers that the code or its page of peers has."""
    found = {name.lower() for name in named((ROOT / "docs" / "peers.md").read_text())}
    for field in fields(HEADER_NAMES):
        value = getattr(HEADER_NAMES, field.name)
        names = [value] if isinstance(value, str) else value
        found |= {name.lower() for name in names}
    return found


def unknown(pages: Iterable[Path]) -> list[tuple[str, str]]:
    """Return each header that is not known, and where it is named first."""
    have = known()
    found: dict[str, str] = {}
    for page in pages:
        for number, line in enumerate(page.read_text().splitlines(), 1):
            for name in named(line):
                if name.lower() not in have:
                    found.setdefault(name, f"{page.name}:{number}: {line.strip()}")
    return list(found.items())


def main() -> int:
    """Print what is not known; return whether there is any."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("pages", nargs="+", type=Path)
    missing = unknown(options.parse_args().pages)
    for name, place in missing:
        print(f"{name}: {place}")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
