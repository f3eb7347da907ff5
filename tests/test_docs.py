"""The pages keep up with the code."""

import unittest
from pathlib import Path

from ashhoist.failures import Reason
from ashhoist.metrics import COUNTERS
from ashhoist_standins.scenario import commands_by_name
from tests.test_promises import FAILURES, PROMISES

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"


class DocsTests(unittest.TestCase):
    def test_every_promise_and_failure_has_its_cell(self) -> None:
        text = (DOCS / "promises.md").read_text()
        for failure in FAILURES:
            for promise in PROMISES:
                self.assertIn(f" {promise} under {failure} ", text)

    def test_every_command_is_described(self) -> None:
        text = (DOCS / "scenarios.md").read_text()
        for name in commands_by_name:
            self.assertIn(f"`{name}", text.replace(", `", ", `"), name)

    def test_reasons_are_lower_case_words(self) -> None:
        for reason in Reason:
            self.assertRegex(reason.value, r"^[a-z_]+$")

    def test_counters_exist_for_each_refusal_and_retry_reason(self) -> None:
        for name in ("refusals", "retries", "failures"):
            self.assertEqual(COUNTERS[name][1], ("reason",))

    def test_no_path_or_registry_of_a_machine_is_in_the_tree(self) -> None:
        banned = ("file:" + "///", "/" + "work/", "index" + "-url", "/" + "simple/")
        for path in ROOT.rglob("*"):
            parts = set(path.relative_to(ROOT).parts)
            if parts & {".git", ".venv", ".venv-ci", "out", ".hypothesis"}:
                continue
            if path.suffix not in {".py", ".md", ".txt", ".toml", ".ini", ".sh"}:
                continue
            text = path.read_text()
            for word in banned:
                self.assertNotIn(word, text, str(path))


if __name__ == "__main__":
    unittest.main()
