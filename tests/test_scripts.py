"""The scripts can be started, and compare played days as they say."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from scripts.check_pages import unknown
from scripts.compare_days import WORTH, rises

from . import ROOT

SITE = "lima"


def entry(name: str, worth: float | None, **prices: float) -> dict[str, Any]:
    """Return an entry of the journal with one day, as far as it is read."""
    rows = [[price, 7.0, value] for price, value in prices.items()]
    return {"site": SITE, "days": [{"name": name, "G": worth, "prices": rows}]}


class ScriptTests(unittest.TestCase):
    def test_each_script_starts(self) -> None:
        # One imported a name that had moved to another module.
        for path in sorted((ROOT / "scripts").glob("*.py")):
            with self.subTest(path.name):
                self.assert_starts(path)

    def assert_starts(self, path: Path) -> None:
        command = [sys.executable, str(path), "--help"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 0, done.stderr)


class PagesTests(unittest.TestCase):
    def test_a_header_that_only_the_pages_have_is_listed_where_it_stands(self) -> None:
        # A limit that the pages told of was missed, as nothing held them against us.
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "page.md"
            page.write_text(
                "With `X-Model` and\n`Server-New`, `servers/ID`, `at-hand`."
            )
            [(name, place)] = unknown([page])
        self.assertEqual(name, "Server-New")
        self.assertTrue(place.startswith("page.md:2: "))


class CompareTests(unittest.TestCase):
    def found(self, before: list[dict], after: list[dict]) -> list[tuple[str, float]]:
        return [
            (change.figure, round(change.rise, 3))
            for change in rises(before, after, 0.01)
        ]

    def test_a_price_that_rose_is_told_and_one_that_hardly_did_is_not(self) -> None:
        before = [entry("scale-1", 0.6, calls=0.021, memory=0.01)]
        after = [entry("scale-1", 0.6, calls=0.123, memory=0.02)]
        self.assertEqual(self.found(before, after), [("calls", 0.102)])

    def test_worth_that_fell_is_told_first_if_it_is_the_most(self) -> None:
        before = [entry("scale-1", 0.678, calls=0.021)]
        after = [entry("scale-1", 0.572, calls=0.05)]
        self.assertEqual(self.found(before, after), [(WORTH, 0.106), ("calls", 0.029)])

    def test_a_price_that_is_new_counts_from_nothing(self) -> None:
        after = [entry("scale-1", 0.6, orders=0.04)]
        self.assertEqual(self.found([entry("scale-1", 0.6)], after), [("orders", 0.04)])

    def test_several_plays_of_a_day_count_by_their_mean(self) -> None:
        before = [entry("scale-1", worth) for worth in (0.5, 0.7)]
        after = [entry("scale-1", worth) for worth in (0.58, 0.61)]
        self.assertEqual(self.found(before, after), [])

    def test_a_day_is_the_same_one_with_another_seed(self) -> None:
        before = [
            entry("scale-1", 0.6),
            entry("days/returns.toml --vary --seed 1", 0.7),
        ]
        after = [
            entry("scale-1 --seed 7", 0.5),
            entry("days/returns.toml --vary --seed 2", 0.7),
        ]
        self.assertEqual(self.found(before, after), [(WORTH, 0.1)])

    def test_other_days_and_days_without_figures_are_left_out(self) -> None:
        before = [entry("scale-1", 0.6), entry("scale-2", None)]
        after = [entry("trouble-1", 0.1), entry("scale-2", 0.1)]
        self.assertEqual(self.found(before, after), [])


if __name__ == "__main__":
    unittest.main()
