"""Each promise under each failure, and under pairs of failures by seed."""

import itertools
import random
import unittest
from pathlib import Path

from ashhoist_standins.scenario import Scenario

SCENARIOS = Path(__file__).parent / "scenarios"
PROMISES = sorted(path.stem for path in (SCENARIOS / "promises").glob("*.txt"))
FAILURES = sorted(path.stem for path in (SCENARIOS / "failures").glob("*.txt"))
LOSSY = {"loads_fail", "store_slow_and_down", "log_down", "late_orders"}
PAIR_SEED = 20261202
PAIRS = 12


def lines_of(*parts: str) -> list[str]:
    return SCENARIOS.joinpath(*parts).read_text().splitlines()


def compose(promise: str, trouble: list[str]) -> list[str]:
    """Return the lines of a scenario: `work` stands for the promise's lines."""
    lines = lines_of("setup.txt")
    works = itertools.count()
    for line in trouble:
        if line.strip() != "work":
            lines.append(line)
            continue
        number = next(works)
        for work in lines_of("promises", f"{promise}.txt"):
            if work.startswith("first "):
                if number == 0:
                    lines.append(work.removeprefix("first "))
                continue
            lines.append(work.replace("{n}", str(number)))
    return [*lines, "expect open = 0", "expect offsets = 1"]


def trouble_of(failure: str) -> list[str]:
    return lines_of("failures", f"{failure}.txt")


def interleave(one: list[str], other: list[str], seed: int) -> list[str]:
    """Return two troubles merged, each in its own order."""
    source = random.Random(seed)
    queues = [list(one), list(other)]
    merged = []
    while any(queues):
        queue = source.choice([queue for queue in queues if queue])
        merged.append(queue.pop(0))
    return merged


class PromiseTests(unittest.TestCase):
    """One test for each promise and failure; see `load_tests`."""

    def __init__(self, promise: str, name: str, trouble: list[str], seed: int) -> None:
        super().__init__("run_scenario")
        self._name = f"{promise} under {name}"
        self._lines = compose(promise, trouble)
        self._seed = seed

    def __str__(self) -> str:
        return self._name

    def run_scenario(self) -> None:
        scenario = Scenario(self._seed)
        failures = scenario.run("\n".join(self._lines))
        self.assertEqual(failures, [], self._name)


def load_tests(
    loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for promise, failure in itertools.product(PROMISES, FAILURES):
        suite.addTest(PromiseTests(promise, failure, trouble_of(failure), 1))
    source = random.Random(PAIR_SEED)
    pairs = list(itertools.combinations(FAILURES, 2))
    for number, (one, other) in enumerate(source.sample(pairs, PAIRS)):
        promise = PROMISES[number % len(PROMISES)]
        trouble = interleave(trouble_of(one), trouble_of(other), number)
        suite.addTest(PromiseTests(promise, f"{one} and {other}", trouble, number))
    return suite


if __name__ == "__main__":
    unittest.main()
