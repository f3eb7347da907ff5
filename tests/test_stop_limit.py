"""Requests that are still at work when a planned stop has used up its time.

Guards against requests that end then without a trace in the log and the counters, and
against callers that can't tell whether theirs has run.
"""

import json
import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .platform_process import PlatformProcess
from .platform_stand_ins.server import Call
from .platform_stand_ins.worker import ID, PlainWorker, sealed
from .request_caller import Answer, Caller
from .test_open_streams import STREAMS, OpenStreamTestCase
from .test_platform import HOST, SOON

STOP_S = 4.0
"""How long a planned stop may take; most of it is for new connections."""
LONG = 16_000_000
"""More bytes than a slow caller and the sockets take until the process ends."""
SLOW_READ = 65_536
SLOW_INTERVAL_S = 0.2
"""A caller that takes nothing at all is given up sooner."""
HEADERS = (f"Host: {HOST}", "X-Credential: key-1", "Content-Length: 2")


class HeldWorker(PlainWorker):
    """A plain worker that sends a long answer, or none."""

    def _run(self, call: Call) -> None:
        self.ran.append(call)
        if call.target.endswith("long"):
            call.respond(200, b"x" * LONG, sealed(call, self.id))
            return
        call.keep = False
        call.wait_for_close()


class ProcessStopTests(OpenStreamTestCase):
    """A process whose engines go on for longer than its stop may take."""

    bounds = f"stop = {STOP_S}s"

    def start_instance(self) -> PlatformProcess:
        self.plain = HeldWorker("i-plain")
        self.addCleanup(self.plain.close)
        record = self.plain.record("plain-service", "zone-1")
        self.store.put("keyed.servers", "i-plain", record)
        return self.start()

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

    def open(self, path: str, body: bytes = b"ab") -> Caller:
        """Return a caller that has sent a request, and reads nothing yet."""
        caller = Caller(self.process.callers)
        self.addCleanup(caller.close)
        head = "\r\n".join(
            (f"POST /lobby/{path} HTTP/1.1", *HEADERS, f"{ID}: {path}", "", "")
        )
        caller.socket.sendall(head.encode() + body)
        return caller

    def read_slowly(self, caller: Caller) -> bytes:
        data = b""
        try:
            while part := caller.socket.recv(SLOW_READ):
                data += part
                if self.process.process.poll() is None:
                    time.sleep(SLOW_INTERVAL_S)
        except ConnectionResetError:
            pass
        return data

    def test_each_caller_learns_whether_its_request_may_have_run(self) -> None:
        with ThreadPoolExecutor(STREAMS + 1) as callers:
            answers = self.open_streams(callers)
            held = self.open("held")
            slow = callers.submit(self.read_slowly, self.open("long"))
            unfinished = self.open("late", b"a")
            self.wait(lambda: len(self.plain.ran) == 2)
            self.stop()
            for engine in self.engines:
                engine.may_end.set()
            for answer in answers:
                status, body = answer.result(SOON)
                self.assertEqual(status, 200)
                self.check_events(body)
        self.check(held.receive_raw(), 502)
        self.check(unfinished.receive_raw(), 503)
        self.assertIn(f"Content-Length: {LONG}\r\n".encode(), slow.result())
        self.assertLess(len(slow.result()), LONG)
        ended = self.lines(self.process, "requests: request ended")
        self.assertEqual(len(ended), STREAMS + 2)
        self.assertEqual({line["reason"] for line in ended}, {"stopping"})
        [refused] = self.lines(self.process, "requests: request refused")
        self.assertEqual(refused["reason"], "stopping")
        [stopped] = self.lines(self.process, "process: stopped")
        self.assertEqual(stopped["busy"], STREAMS + 3)
        self.assertEqual(stopped["ended"], STREAMS + 2)

    def check(self, answer: Answer, status: int) -> None:
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.body, b"stopping\n")
        self.assertTrue(answer.complete)
        self.assertEqual("retry-after" in answer.headers, status == 503)

    def check_events(self, body: bytes) -> None:
        """Check that a chunked stream was cut behind a whole event."""
        self.assertFalse(body.endswith(b"0\r\n\r\n"), "it looks whole")
        self.assertTrue(body.endswith(b"\n\n\r\n"), body[-50:])
        found = re.findall(rb"\nid: (\d+)\r?\n", b"\n" + body)
        numbers = [int(one) for one in found]
        self.assertGreater(len(numbers), 0)
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))


if __name__ == "__main__":
    import unittest

    unittest.main()
