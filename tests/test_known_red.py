"""The list of tests that are known to fail: short, and each with cause and issue."""

import tempfile
import unittest
from pathlib import Path

from .known_red import KnownRed, KnownRedError, read


class KnownRedTests(unittest.TestCase):
    def read(self, text: str) -> dict[str, KnownRed]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text(text)
            return read(path)

    def test_no_list_is_an_empty_one(self) -> None:
        self.assertEqual(read(Path("no") / "such" / "list"), {})

    def test_a_line_names_test_cause_and_issue(self) -> None:
        found = self.read("tests.test_x.T.test_y | a lease lapses early | 23\n\n")
        name = "tests.test_x.T.test_y"
        self.assertEqual(found, {name: KnownRed(name, "a lease lapses early", "23")})

    def test_a_line_without_a_cause_is_refused(self) -> None:
        for text in ("tests.a", "tests.a | cause", "tests.a | | 23"):
            with self.subTest(text), self.assertRaises(KnownRedError):
                self.read(text)

    def test_more_than_three_are_refused(self) -> None:
        with self.assertRaises(KnownRedError):
            self.read("\n".join(f"tests.{n} | cause | 1" for n in range(4)))

    def test_the_list_at_the_root_is_well_formed(self) -> None:
        self.assertLessEqual(len(read()), 3)


if __name__ == "__main__":
    unittest.main()
