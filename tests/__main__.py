"""Runs all tests, or those named, and closes with one line that counts them.

    python -m tests [--processes N] [tests.test_x | tests.test_x.Class ...]

Failures that `KNOWN-RED.txt` lists are passed over and printed.
"""

import argparse
import os
import sys
import unittest
from pathlib import Path

from ashhoist import logs

from . import known_red, workers
from .outcomes import FAILED, SKIPPED, Outcome, Summary

SLOWEST = 10
"""Tests that are named at the end with what they took."""
DOTS_A_LINE = 70
MAX_KNOWN_LINES = 40
"""Lines of the output of a known failure that are printed."""
INTERRUPTED = 130
"""Exit code, as shells have it for ctrl-c."""


def _load(names: list[str]) -> unittest.TestSuite:
    here = Path(__file__).parent
    if names:
        return unittest.defaultTestLoader.loadTestsFromNames(names)
    return unittest.defaultTestLoader.discover(
        str(here), pattern="test_*.py", top_level_dir=str(here.parent)
    )


class _Progress:
    """A sign for each test as it ends."""

    def __init__(self) -> None:
        self._printed = 0

    def told(self, outcome: Outcome) -> None:
        sign = {FAILED: "F", SKIPPED: "s"}.get(outcome.status, ".")
        self._printed += 1
        ends = "\n" if self._printed % DOTS_A_LINE == 0 else ""
        print(sign, end=ends, flush=True)


def _report(summary: Summary) -> int:
    """Print failures, the slowest tests and the count; return the exit code."""
    known = known_red.read()
    failures = summary.with_status(FAILED)
    unknown = [outcome for outcome in failures if outcome.test not in known]
    for outcome in unknown:
        print(f"\n{'=' * DOTS_A_LINE}\nFAIL: {outcome.test}\n{outcome.output}")
    print(f"\nthe slowest {SLOWEST}:")
    for outcome in summary.slowest(SLOWEST):
        print(f"{outcome.took:7.1f} s  {outcome.test}")
    names = {outcome.test for outcome in failures}
    for outcome in sorted(failures, key=lambda one: one.test):
        if outcome.test not in known:
            continue
        red = known[outcome.test]
        print(f"known red: {red.test}: {red.seen} (issue {red.issue}): {red.command}")
        print("\n".join(outcome.output.splitlines()[:MAX_KNOWN_LINES]))
    ran = {outcome.test for outcome in summary.outcomes}
    for name in sorted((set(known) & ran) - names):
        print(f"listed as red, but did not fail: {name}")
    failed = len(unknown)
    skipped = len(summary.with_status(SKIPPED)) + len(failures) - len(unknown)
    passed = len(summary.outcomes) - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if unknown or not summary.outcomes else 0


def main() -> int:
    """Run what the command line asks for; return the exit code."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--processes", type=int, default=os.cpu_count() or 1)
    options.add_argument("names", nargs="*", metavar="NAME")
    chosen = options.parse_args()
    logs.configure(level="error")
    units = workers.units(_load(chosen.names))
    progress = _Progress()
    try:
        outcomes = workers.run(units, chosen.processes, progress.told)
    except KeyboardInterrupt:
        print("\ninterrupted")
        return INTERRUPTED
    return _report(Summary(outcomes))


if __name__ == "__main__":
    sys.exit(main())
