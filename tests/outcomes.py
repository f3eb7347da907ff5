"""What became of tests, in a form that goes from one process to another."""

import time
import unittest
from dataclasses import dataclass, field

PASSED, FAILED, SKIPPED = "passed", "failed", "skipped"


@dataclass
class Outcome:
    """What became of one test.

    Parameters
    ----------
    test : str
        Its id; subtests have none of their own.
    told : str
        Tracebacks, and what was written while it ran; empty unless it failed.
    took : float
        Elapsed seconds.
    """

    test: str
    end: str = PASSED
    told: str = ""
    took: float = 0.0


@dataclass
class Summary:
    """The outcomes of a whole run."""

    outcomes: list[Outcome] = field(default_factory=list)

    def ended(self, end: str) -> list[Outcome]:
        """Return the tests that ended so."""
        return [outcome for outcome in self.outcomes if outcome.end == end]

    def slowest(self, most: int) -> list[Outcome]:
        """Return the tests that took longest."""
        return sorted(self.outcomes, key=lambda one: one.took, reverse=True)[:most]


def name_of(test: unittest.TestCase) -> str:
    """Return the id of a test; its subtests have none of their own."""
    return str(getattr(test, "test_case", test).id())


class Recorder(unittest.TestResult):
    """Takes in the results of one unit of tests."""

    def __init__(self) -> None:
        super().__init__()
        self.by_test: dict[str, Outcome] = {}
        self._began = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().startTest(test)
        self._began = time.monotonic()
        self.by_test[name_of(test)] = Outcome(name_of(test))

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().stopTest(test)
        self.by_test[name_of(test)].took = time.monotonic() - self._began

    def outcomes(self) -> list[Outcome]:
        """Return what became of each test, and of fixtures that failed."""
        for test, traceback in [*self.failures, *self.errors]:
            self._end(name_of(test), FAILED, traceback)
        for test in self.unexpectedSuccesses:
            self._end(name_of(test), FAILED, "passed, though it was expected to fail\n")
        for test, _ in self.skipped:
            self._end(name_of(test), SKIPPED, "")
        return list(self.by_test.values())

    def _end(self, name: str, end: str, told: str) -> None:
        outcome = self.by_test.setdefault(name, Outcome(name))
        if outcome.end != FAILED:
            outcome.end = end
        outcome.told += told
