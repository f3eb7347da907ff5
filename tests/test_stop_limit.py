"""Requests that are still at work when a planned stop has used up its time.

Guards against requests that end then without a trace in the log and the counters.
"""

import json
import signal
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .platform_process import PlatformProcess
from .test_open_streams import STREAMS, OpenStreamTestCase
from .test_platform import SOON

STOP_S = 4.0
"""How long a planned stop may take; most of it is for new connections."""


class ProcessStopTests(OpenStreamTestCase):
    """A process whose engines go on for longer than its stop may take."""

    bounds = f"stop = {STOP_S}s"

    def stop(self) -> None:
        self.process.process.send_signal(signal.SIGTERM)
        self.process.process.wait(STOP_S + SOON)

    def lines(self, process: PlatformProcess, event: str) -> list[dict[str, Any]]:
        """Return the lines of an event in the log of a process that has ended."""
        if not hasattr(self, "_log"):
            self._log = process.end().splitlines()
        found = [json.loads(line) for line in self._log if line.startswith("{")]
        return [line for line in found if line["event"] == event]

    def test_streams_at_the_limit_are_logged_and_counted(self) -> None:
        with ThreadPoolExecutor(STREAMS) as callers:
            answers = self.open_streams(callers)
            self.stop()
            for engine in self.engines:
                engine.may_end.set()
            for answer in answers:
                status, _ = answer.result(SOON)
                self.assertEqual(status, 200)
        ended = self.lines(self.process, "requests: request ended")
        self.assertEqual(len(ended), STREAMS)
        for line in ended:
            self.assertEqual(line["reason"], "stopping")
            self.assertEqual(line["status"], 502)
            self.assertTrue(line["cut"])
        [stopped] = self.lines(self.process, "process: stopped")
        self.assertFalse(stopped["clean"])
        self.assertEqual(stopped["busy"], STREAMS)
        self.assertEqual(stopped["ended"], STREAMS)
        self.assertEqual(self.process.process.returncode, 1)


if __name__ == "__main__":
    import unittest

    unittest.main()
