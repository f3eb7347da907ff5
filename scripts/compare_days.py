"""What rose between two sets of played days: prices, and worth that was lost.

    python scripts/compare_days.py --before journal/A.json --after journal/B.json C.json

Compares days of the same site and name, whatever their seeds; where a set has several
of one, their mean. A price that rose, or worth that fell, by more than `--most` is
printed; the exit code is 1 then. Days that a hunt has drawn meet none of another.
"""

import argparse
import json
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

MOST = 0.01
"""Of worth: a third of what two plays of one day may differ by, 0.03."""
WORTH = "worth lost"

Day = tuple[str, str]
"""Site and name."""


@dataclass(frozen=True, slots=True)
class Change:
    """One figure of a day in both sets, in worth."""

    site: str
    day: str
    figure: str
    before: float
    after: float

    @property
    def rise(self) -> float:
        """Return by how much it rose."""
        return self.after - self.before

    def __str__(self) -> str:
        return (
            f"{self.site} {self.day}: {self.figure} {self.before:.3f} -> "
            f"{self.after:.3f} ({self.rise:+.3f})"
        )


def figures_by_day(entries: Iterable[dict]) -> dict[Day, dict[str, float]]:
    """Return all figures of each day, larger being worse; means over its plays."""
    plays: dict[Day, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for entry in entries:
        for day in entry["days"]:
            if day.get("G") is None:
                # Given up or failed: it has no figures.
                continue
            found = plays[entry["site"], _without_options(day["name"])]
            found[WORTH].append(1.0 - day["G"])
            for name, _count, price in day.get("prices") or ():
                found[name].append(price)
    return {
        day: {name: fmean(values) for name, values in figures.items()}
        for day, figures in plays.items()
    }


def _without_options(name: str) -> str:
    """Return a day's name without how it was varied: ``scale-1 --seed 7``."""
    return name.partition(" --")[0]


def rises(before: Iterable[dict], after: Iterable[dict], most: float) -> list[Change]:
    """Return what rose by more than `most`, the largest first."""
    old, new = figures_by_day(before), figures_by_day(after)
    found = []
    for day in old.keys() & new.keys():
        for name, value in new[day].items():
            change = Change(*day, name, old[day].get(name, 0.0), value)
            if change.rise > most:
                found.append(change)
    return sorted(found, key=lambda change: -change.rise)


def read(paths: Iterable[Path]) -> list[dict]:
    """Return the entries in files of the journal."""
    return [json.loads(path.read_text()) for path in paths]


def main() -> int:
    """Compare and print; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, nargs="+", required=True)
    parser.add_argument("--after", type=Path, nargs="+", required=True)
    parser.add_argument("--most", type=float, default=MOST)
    arguments = parser.parse_args()
    before, after = read(arguments.before), read(arguments.after)
    both = figures_by_day(before).keys() & figures_by_day(after).keys()
    found = rises(before, after, arguments.most)
    for change in found:
        print(change)
    print(
        f"{len(both)} days in both; {len(found)} figures rose by over {arguments.most}"
    )
    return 1 if found or not both else 0


if __name__ == "__main__":
    sys.exit(main())
