"""Sound upstreams to which no connection comes up for a second, and then does."""

import threading
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from .deaf_server import DeafServer
from .request_harness import Harness
from .request_scripts import RequestTestCase, good

SILENCE_S = 1.2
REQUESTS = 8
TIMEOUT_S = 8.0
SHORT_TIMEOUT_S = 3.0
SHORTEST_TIMEOUT_S = 1.5
"""Two attempts that wait for a connection, and the pause between them, take as long."""


class DeafHarness(Harness):
    def _make_upstream(self, script: object) -> DeafServer:
        return DeafServer(script)


class SilentConnectTests(RequestTestCase):
    """All upstreams are deaf when the requests arrive, and hear `SILENCE_S` later."""

    def deaf(self, upstreams: int) -> DeafHarness:
        harness = DeafHarness(*[good] * upstreams, timeout=TIMEOUT_S, attempts=1)
        self.addCleanup(harness.close)
        for server in harness.upstreams.values():
            server.go_deaf()
        timer = threading.Timer(SILENCE_S, self._hear, [harness])
        timer.start()
        self.addCleanup(timer.join)
        return harness

    def _hear(self, harness: DeafHarness) -> None:
        for server in harness.upstreams.values():
            server.hear()

    def check(self, upstreams: int, path: str) -> None:
        harness = self.deaf(upstreams)
        began = time.monotonic()
        with ThreadPoolExecutor(REQUESTS) as callers:
            ids = [f"id-{number}" for number in range(REQUESTS)]
            answers = list(callers.map(lambda id: harness.ask(path, id=id), ids))
        took_s = time.monotonic() - began
        statuses = Counter(answer.status for answer in answers)
        self.assertEqual(statuses, {200: REQUESTS}, f"after {took_s:.1f} s")
        runs = [call for index in range(upstreams) for call in harness.calls(index)]
        self.assertEqual(len(runs), REQUESTS)

    def test_requests_that_may_run_once_wait_for_the_only_upstream(self) -> None:
        # Guards against a refusal while the deadline is far away.
        self.check(1, "/unsafe/")

    def test_requests_that_may_run_once_wait_for_one_of_two(self) -> None:
        self.check(2, "/unsafe/")

    def test_a_request_is_refused_in_time_if_no_connection_comes_up(self) -> None:
        # Guards against a caller that has no time left for its next try.
        harness = DeafHarness(good, good, timeout=SHORT_TIMEOUT_S, attempts=1)
        self.addCleanup(harness.close)
        for server in harness.upstreams.values():
            server.go_deaf()
        began = time.monotonic()
        self.assertEqual(harness.ask("/unsafe/").status, 503)
        self.assertLess(time.monotonic() - began, SHORT_TIMEOUT_S)

    def test_a_last_attempt_does_not_last_until_the_deadline(self) -> None:
        # Guards against a caller that has no time left for its next try.
        harness = DeafHarness(good, timeout=SHORTEST_TIMEOUT_S, attempts=1)
        self.addCleanup(harness.close)
        harness.upstreams["upstream-0"].go_deaf()
        answer = harness.ask("/unsafe/")
        self.assertEqual(answer.status, 503)
        self.assertLess(answer.took, SHORTEST_TIMEOUT_S)

    def test_a_refused_connection_is_not_waited_for(self) -> None:
        # Guards against requests that wait for an upstream that has ended.
        harness = self.start(good, attempts=1, timeout=TIMEOUT_S)
        harness.upstreams["upstream-0"].close()
        began = time.monotonic()
        self.assertEqual(harness.ask("/unsafe/").status, 503)
        self.assertLess(time.monotonic() - began, SILENCE_S)

    def test_safe_requests_wait(self) -> None:
        self.check(2, "/safe/")


if __name__ == "__main__":
    unittest.main()
