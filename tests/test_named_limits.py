"""Upstreams whose answers state how many requests per second they accept."""

import time
import unittest
from collections.abc import Callable

from .platform_process import PlatformProcess
from .platform_stand_ins.worker import ModelWorker, PlainWorker
from .test_upstream_notices import NoticeTestCase

Ask = Callable[[PlatformProcess, str], int]
"""Takes an instance and a request id; sends it and returns the response status."""

LIMIT = "1.2"
REQUESTS = 40
RATE_TOLERANCE = 1.5
EXTRA_REQUESTS = 5
"""At most RATE_TOLERANCE times the limit, plus EXTRA_REQUESTS, may arrive."""


class StatedLimitTests(NoticeTestCase):
    """Two instances; the number of arrived requests is compared to the elapsed time."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = [self.start("node-1"), self.start("node-2")]

    def check_limit(self, limited: ModelWorker | PlainWorker, ask: Ask) -> None:
        """Check that a worker gets at most its limit, and the other one the rest."""
        arrived_before, began = limited.says.arrived, time.monotonic()
        answers = [
            ask(self.processes[number % 2], f"more-{number}")
            for number in range(REQUESTS)
        ]
        took = time.monotonic() - began
        arrived = limited.says.arrived - arrived_before
        self.assertLessEqual(
            arrived, RATE_TOLERANCE * float(LIMIT) * took + EXTRA_REQUESTS
        )
        self.assertEqual(answers, [200] * REQUESTS)

    def test_instances_together_keep_the_limit_of_a_plain_upstream(
        self,
    ) -> None:
        limited = self.plain[0]
        limited.says.limit = LIMIT
        for process in self.processes:
            self._send_until_limit_is_known(process, limited)
        self.check_limit(limited, self.ask_plain)

    def _send_until_limit_is_known(
        self, process: PlatformProcess, limited: PlainWorker
    ) -> None:
        ran = len(limited.ran)
        self.wait(
            lambda: self.ask_plain(process, "one") == 200 and len(limited.ran) > ran
        )

    def test_instances_together_keep_the_limit_of_an_engine(self) -> None:
        self.assertEqual(self.ask_engine(self.processes[0], "one"), 200)
        limited = self.holder()
        limited.says.limit = LIMIT
        for number, process in enumerate(self.processes):
            self.assertEqual(self.ask_engine(process, f"two-{number}"), 200)
        self.check_limit(limited, self.ask_engine)


if __name__ == "__main__":
    unittest.main()
