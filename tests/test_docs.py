"""The pages keep up with the code."""

import re
import unittest
from pathlib import Path

from ashhoist.failures import Reason
from ashhoist.metrics import COUNTERS
from ashhoist_standins.scenario import commands_by_name
from tests.test_promises import FAILURES, PROMISES

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PRODUCT = ROOT / "packages" / "ashhoist" / "src" / "ashhoist"
NAMED = re.compile(r"`([a-z_/]+\.py)`(?:\s*\(((?:`[A-Za-z_.]+`(?:, )?)+)\))?")
"""A file, and in brackets the names in it that the text follows."""


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

    def test_the_architecture_names_files_and_functions_that_exist(self) -> None:
        text = (DOCS / "architecture.md").read_text().partition("# The older way")[0]
        found = NAMED.findall(text)
        self.assertGreater(len(found), 30)
        for file, names in found:
            folder = ROOT if file.startswith(("platform/", "tests/")) else PRODUCT
            self.assertTrue((folder / file).is_file(), file)
            source = (folder / file).read_text()
            for part in re.findall(r"[A-Za-z_]+", names):
                defined = re.compile(rf"^ *(class|def) {part}\b", re.MULTILINE)
                self.assertRegex(source, defined, f"{part} in {file}")

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
