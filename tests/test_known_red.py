"""The list of tests that are known to fail: each can be run."""

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

    def test_a_line_names_test_command_sight_and_issue(self) -> None:
        name = "tests.test_x.T.test_y"
        command = f"python -m unittest {name}"
        found = self.read(f"{name} | {command} | a lease lapses early | 23\n\n")
        red = KnownRed(name, command, "a lease lapses early", "23")
        self.assertEqual(found, {name: red})

    def test_a_line_that_lacks_a_part_is_refused(self) -> None:
        for text in ("tests.a", "tests.a | run | seen", "tests.a | | seen | 23"):
            with self.subTest(text), self.assertRaises(KnownRedError):
                self.read(text)

    def test_the_list_at_the_root_names_tests_that_exist(self) -> None:
        for name in read():
            with self.subTest(name):
                suite = unittest.defaultTestLoader.loadTestsFromName(name)
                [test] = suite
                self.assertEqual(test.id(), name)


if __name__ == "__main__":
    unittest.main()
