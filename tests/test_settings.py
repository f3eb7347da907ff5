import unittest
from datetime import timedelta
from pathlib import Path

from hypothesis import given, strategies as st

from ashhoist.exceptions import SettingsError
from ashhoist.settings import parse

EXAMPLE = Path(__file__).parent.parent / "examples" / "ashhoistd.ini"


class SettingsTests(unittest.TestCase):
    def test_example_is_valid(self) -> None:
        settings = parse(EXAMPLE.read_text())
        self.assertEqual(settings.timing.heartbeat, timedelta(seconds=1))

    def problems(self, old: str, new: str) -> list[str]:
        with self.assertRaises(SettingsError) as caught:
            parse(EXAMPLE.read_text().replace(old, new))
        self.assertEqual(caught.exception.exit_code, 2)
        return caught.exception.problems

    def test_all_problems_are_told_at_once_with_section_and_key(self) -> None:
        text = EXAMPLE.read_text()
        text = text.replace("heartbeat = 1s", "heartbeat = 1")
        text = text.replace("callers = 127.0.0.1:8000", "callers = localhost:8000")
        with self.assertRaises(SettingsError) as caught:
            parse(text)
        told = "\n".join(caught.exception.problems)
        self.assertIn("[timing] heartbeat = '1'", told)
        self.assertIn("[instance] callers = 'localhost:8000'", told)
        self.assertIn("no host names", told)

    def test_unknown_key_is_told(self) -> None:
        (told,) = self.problems("heartbeat = 1s", "hartbeat = 1s")
        self.assertIn("[timing] hartbeat: unknown", told)

    def test_missing_key_is_told(self) -> None:
        (told,) = self.problems("region = region-1\n", "")
        self.assertIn("[instance] region: missing", told)

    def test_tokens_are_never_shown(self) -> None:
        (told,) = self.problems("operators = change-me-operators", "operators = short")
        self.assertNotIn("short", told)

    @given(st.text(max_size=300))
    def test_text_never_crashes(self, text: str) -> None:
        try:
            parse(text)
        except SettingsError as error:
            self.assertTrue(error.problems)


if __name__ == "__main__":
    unittest.main()
