"""Upstreams that name in their answers how many requests a second they take."""

import time
import unittest
from collections.abc import Callable

from .platform_process import PlatformProcess
from .platform_stand_ins.worker import ModelWorker, PlainWorker
from .test_upstream_notices import NoticeTestCase

Ask = Callable[[PlatformProcess, str], int]
"""Sends a request to an instance; returns the status of the answer."""

LIMIT = "1.2"
REQUESTS = 40
OVER_RATE = 1.5
"""Times the limit that may arrive."""
OVER = 5
"""Requests above that."""


class NamedLimitTests(NoticeTestCase):
    """Two instances. What arrives is held against the time that it took."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = [self.start("node-1"), self.start("node-2")]

    def check(self, limited: ModelWorker | PlainWorker, ask: Ask) -> None:
        """Check that a worker gets no more than it takes, and the other the rest."""
        before, began = limited.says.arrived, time.monotonic()
        answers = [
            ask(self.processes[number % 2], f"more-{number}")
            for number in range(REQUESTS)
        ]
        took = time.monotonic() - began
        arrived = limited.says.arrived - before
        self.assertLessEqual(arrived, OVER_RATE * float(LIMIT) * took + OVER)
        self.assertEqual(answers, [200] * REQUESTS)

    def test_a_plain_upstream_gets_no_more_than_it_takes_from_all_together(
        self,
    ) -> None:
        limited = self.plain[0]
        limited.says.limit = LIMIT
        for process in self.processes:
            self._let_it_name_its_limit(process, limited)
        self.check(limited, self.ask_plain)

    def _let_it_name_its_limit(
        self, process: PlatformProcess, limited: PlainWorker
    ) -> None:
        ran = len(limited.ran)
        self.wait(
            lambda: self.ask_plain(process, "one") == 200 and len(limited.ran) > ran
        )

    def test_an_engine_gets_no_more_than_it_takes_from_all_together(self) -> None:
        self.assertEqual(self.ask_engine(self.processes[0], "one"), 200)
        limited = self.holder()
        limited.says.limit = LIMIT
        for number, process in enumerate(self.processes):
            self.assertEqual(self.ask_engine(process, f"two-{number}"), 200)
        self.check(limited, self.ask_engine)


if __name__ == "__main__":
    unittest.main()
