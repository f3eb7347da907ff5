"""An instance that is suspended while an upstream responds.

Regression test: the instance's own timer was due when it went on, and the request was
answered 504 although its response had arrived meanwhile.
"""

import os
import signal
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from .platform_process import ProcessTestCase, with_route_timeout
from .platform_stand_ins.server import Call
from .platform_stand_ins.worker import PlainWorker
from .test_platform import CONFIGURATION, SOON

ROUTE_TIMEOUT_MS = 4_000
"""Ends during the suspension, not before it."""


class HeldWorker(PlainWorker):
    """Responds only once it may."""

    def __init__(self, id: str) -> None:
        self.arrived = threading.Event()
        self.release = threading.Event()
        self.responded = threading.Event()
        super().__init__(id)

    def _handle(self, call: Call) -> None:
        self.arrived.set()
        self.release.wait(SOON)
        super()._handle(call)
        self.responded.set()


class SuspensionTests(ProcessTestCase):
    configuration = with_route_timeout(CONFIGURATION, ROUTE_TIMEOUT_MS)

    def test_a_response_that_arrives_during_a_suspension_is_delivered(self) -> None:
        worker = HeldWorker("i-plain-0")
        self.addCleanup(worker.close)
        entry = worker.record("plain-service", "zone-1")
        self.store.put("keyed.servers", worker.id, entry)
        process = self.start()
        with ThreadPoolExecutor(1) as callers:
            answer = callers.submit(process.ask, "/lobby/x", "one")
            self.assertTrue(worker.arrived.wait(SOON))
            os.kill(process.process.pid, signal.SIGSTOP)
            timeout_at = time.monotonic() + ROUTE_TIMEOUT_MS / 1000
            worker.release.set()
            self.assertTrue(worker.responded.wait(SOON))
            self.wait(lambda: time.monotonic() > timeout_at)
            os.kill(process.process.pid, signal.SIGCONT)
            self.assertEqual(answer.result(SOON)[0], 200)


if __name__ == "__main__":
    unittest.main()
