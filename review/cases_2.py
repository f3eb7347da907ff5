"""The cases of the second review as tests, for the list of known failures.

They stay out of CI and of the default run: each takes half a minute or more.
"""

import subprocess
import unittest
from pathlib import Path

HERE = Path(__file__).resolve().parent
COULD_NOT_RUN = 2


class CaseTests(unittest.TestCase):
    """Each fails while its rule is broken."""

    def _play(self, number: int) -> None:
        command = [str(HERE / str(number) / "run.sh")]
        code = subprocess.run(command, check=False).returncode
        if code == COULD_NOT_RUN:
            self.skipTest("the case couldn't run")
        self.assertEqual(code, 0, "the rule was broken; see record.txt")

    def test_case_4_endless_failures_do_not_fill_the_memory(self) -> None:
        self._play(4)

    def test_case_5_engines_are_not_ordered_beyond_their_memory(self) -> None:
        self._play(5)

    def test_case_6_no_stream_begins_on_old_weights(self) -> None:
        self._play(6)

    def test_case_7_blank_lines_hold_up_no_other_request(self) -> None:
        self._play(7)


if __name__ == "__main__":
    unittest.main()
