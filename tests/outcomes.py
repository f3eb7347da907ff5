"""Test outcomes in a form that can be sent between processes."""

import time
import unittest
from dataclasses import dataclass, field

PASSED, FAILED, SKIPPED = "passed", "failed", "skipped"


@dataclass
class Outcome:
    """The outcome of one test.

    Parameters
    ----------
    test : str
        The test's id; subtests have none of their own.
    output : str
        Tracebacks, and output written while the test ran; empty unless it failed.
    took : float
        Elapsed seconds.
    """

    test: str
    status: str = PASSED
    output: str = ""
    took: float = 0.0


@dataclass
class Summary:
    """The outcomes of a complete run."""

    outcomes: list[Outcome] = field(default_factory=list)

    def with_status(self, status: str) -> list[Outcome]:
        """Return the outcomes with this status."""
        return [outcome for outcome in self.outcomes if outcome.status == status]

    def slowest(self, count: int) -> list[Outcome]:
        """Return the outcomes of the tests that took longest."""
        return sorted(self.outcomes, key=lambda one: one.took, reverse=True)[:count]


def name_of(test: unittest.TestCase) -> str:
    """Return the id of a test; subtests have the id of their test."""
    return str(getattr(test, "test_case", test).id())


class Recorder(unittest.TestResult):
    """Collects the results of one unit of tests."""

    def __init__(self) -> None:
        super().__init__()
        self.by_test: dict[str, Outcome] = {}
        self._started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().startTest(test)
        self._started_at = time.monotonic()
        self.by_test[name_of(test)] = Outcome(name_of(test))

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().stopTest(test)
        self.by_test[name_of(test)].took = time.monotonic() - self._started_at

    def outcomes(self) -> list[Outcome]:
        """Return the outcome of each test, and of fixtures that failed."""
        for test, traceback in [*self.failures, *self.errors]:
            self._record(name_of(test), FAILED, traceback)
        for test in self.unexpectedSuccesses:
            self._record(
                name_of(test), FAILED, "passed, though it was expected to fail\n"
            )
        for test, _ in self.skipped:
            self._record(name_of(test), SKIPPED, "")
        return list(self.by_test.values())

    def _record(self, name: str, status: str, output: str) -> None:
        outcome = self.by_test.setdefault(name, Outcome(name))
        if outcome.status != FAILED:
            outcome.status = status
        outcome.output += output
