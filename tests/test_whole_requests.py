"""Every whole request gets an answer or a refusal, or was never read.

Guards against requests that instances read and drop while configurations, SIGHUP and
planned stops come in series; and against requests without a line in the log.
"""

import sys
import unittest

from .ledger_play import Play, PlayOptions
from .request_ledger import End

LEAST_REQUESTS = 50
"""Of each of answers and refusals, or the play shows nothing."""
SHOWN_FAULTS = 5


class WholeRequestTests(unittest.TestCase):
    def check(self, seed: int) -> None:
        play = Play(seed, PlayOptions())
        play.run()
        ends = play.ledger.ends()
        print(f"seed {seed}: {dict(ends)}", file=sys.stderr)
        self.assertEqual(play.errors, [])
        faults = play.ledger.faults()
        shown = "\n".join(faults[:SHOWN_FAULTS])
        if faults:
            self.fail(f"seed {seed}: {len(faults)} faults:\n{shown}")
        self.assertGreater(ends[End.ANSWER], LEAST_REQUESTS)
        self.assertGreater(ends[End.REFUSAL], LEAST_REQUESTS)

    def test_requests_beside_changes_and_stops_1(self) -> None:
        self.check(1)

    def test_requests_beside_changes_and_stops_2(self) -> None:
        self.check(2)


if __name__ == "__main__":
    unittest.main()
