"""Requests that crash every upstream that begins to run them.

One request crashed an upstream some fifty milliseconds after it had begun. Its caller
sent it again, at another instance each time, and we sent it to a second upstream
ourselves. Every instance judged each attempt alone and forgot it; nobody counted, so
15 upstreams ended within thirteen seconds, and with each of them up to 24 requests of
others were cut:

    attempt ended  aalst-1 upstream=i-7eb9b32e0b send=1 reason=answer_cut
    attempt ended  aalst-1 upstream=i-0a3ba62db3 send=2 reason=answer_cut
    attempt ended  gent-b-2 upstream=i-4a71d8b224 send=2 reason=answer_cut

A caller's tries have different ids, but path, address and body in common.
"""

import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from .platform_stand_ins.fleet import CrashingFleet
from .platform_stand_ins.store import StoreServer
from .test_platform import CONFIGURATION, SOON
from .test_platform_process import PlatformProcess

CRASHES = 3
"""So many upstreams may end under a request before it counts as one that crashes."""
FURTHER = 3
"""So many may be on their way, or meet an instance that has not been told yet."""
PATH = "/lobby/crash"


class TwoInstancesTests(unittest.TestCase):
    """Real processes, a store, and plain workers that start again."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = StoreServer()
        self.addCleanup(self.store.close)
        self.store.put("keyed.op", "config", CONFIGURATION)
        self.fleet = CrashingFleet(self.store, "plain-service", 4, "crash")
        self.addCleanup(self.fleet.close)

    def start(self, name: str) -> PlatformProcess:
        process = PlatformProcess(self.folder, self.store.address, name)
        self.addCleanup(process.end)
        self.wait(lambda: process.get(process.readiness, "/api/ready")[0] == 200)
        return process

    def wait(self, true: Callable[[], bool]) -> None:
        limit = time.monotonic() + SOON
        while not true():
            self.assertLess(time.monotonic(), limit, "did not come true in time")
            time.sleep(0.02)

    def refused(self, process: PlatformProcess) -> bool:
        """Return whether the request is refused for what it does to upstreams."""
        answer = process.ask(PATH, f"try-{time.monotonic_ns()}")
        return answer == (503, b"crashes_upstreams\n")

    def test_it_is_kept_from_upstreams_at_every_instance(self) -> None:
        one, other = self.start("node-1"), self.start("node-2")
        self.wait(
            lambda: (
                len(self.fleet.crashed) > CRASHES + FURTHER
                or (self.refused(one) and self.refused(other))
            )
        )
        self.assertLessEqual(len(self.fleet.crashed), CRASHES + FURTHER)
        crashed = len(self.fleet.crashed)
        for _ in range(5):
            self.assertTrue(self.refused(one) and self.refused(other))
        self.assertEqual(len(self.fleet.crashed), crashed)
        for process in (one, other):
            self.wait(
                lambda process=process: process.ask("/lobby/well", "well")[0] == 200
            )


if __name__ == "__main__":
    unittest.main()
