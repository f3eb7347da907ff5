"""Upstreams that announce in their responses that they leave, or request a back-off.

Regression tests for two faults:

- While the log was unavailable, an engine that was to be removed could not record that
  it was leaving, but announced it in each of its responses. Requests were still sent to
  it 5 and 8 s after an instance had relayed such a response, because instances learned
  about leaving upstreams only from the log.
- Another engine refused requests with status 503 and requested a back-off of 3 s. The
  instance sent it six more requests within that time, and each of them was refused,
  because no code read that header:

    attempt ended  gent-a-1 upstream=i-376d6657d8 send=1 reason=upstream_refused
    attempt ended  gent-a-1 upstream=i-376d6657d8 send=3 reason=upstream_refused
"""

import unittest

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.worker import ModelWorker, PlainWorker
from .test_platform import MODEL

LATER_REQUESTS = 8
"""Number of requests sent after the upstream's announcement."""
IN_FLIGHT = 2
"""How many of these may still reach an upstream that has requested a back-off."""
ADAPTER = f"{MODEL}/a1"
LONG_BACKOFF_S = "60"


class NoticeTestCase(ProcessTestCase):
    """Two plain workers and two engines, all of them recorded as ready in the store."""

    def setUp(self) -> None:
        super().setUp()
        self.engines = [ModelWorker(f"i-engine-{n}", MODEL) for n in range(2)]
        self.plain = [PlainWorker(f"i-plain-{n}") for n in range(2)]
        for worker in (*self.engines, *self.plain):
            self.addCleanup(worker.close)
        for engine in self.engines:
            entry = engine.record("engines", "zone-1")
            self.store.put("keyed.servers", engine.state.id, entry)
        for plain in self.plain:
            entry = plain.record("plain-service", "zone-1")
            self.store.put("keyed.servers", plain.id, entry)

    def ask_plain(self, process: PlatformProcess, id: str) -> int:
        return process.ask("/lobby/x", id)[0]

    def ask_engine(self, process: PlatformProcess, id: str) -> int:
        return process.ask("/review/x", id, ADAPTER)[0]

    def holder(self) -> ModelWorker:
        """Return the engine that holds the adapter asked for."""
        [found] = [engine for engine in self.engines if engine.ran]
        return found


class LeavingTests(NoticeTestCase):
    def test_a_plain_upstream_that_leaves_gets_no_more_requests(self) -> None:
        process = self.start()
        leaving = self.plain[0]
        leaving.says.leaves = True
        self.wait(lambda: self.ask_plain(process, "one") == 200 and leaving.ran)
        arrived = leaving.says.arrived
        answers = [self.ask_plain(process, f"more-{n}") for n in range(LATER_REQUESTS)]
        self.assertEqual(answers, [200] * LATER_REQUESTS)
        self.assertEqual(leaving.says.arrived, arrived)

    def test_an_engine_that_leaves_gets_no_more_requests(self) -> None:
        process = self.start()
        self.assertEqual(self.ask_engine(process, "one"), 200)
        leaving = self.holder()
        leaving.says.leaves = True
        self.assertEqual(self.ask_engine(process, "two"), 200)
        arrived = leaving.says.arrived
        answers = [self.ask_engine(process, f"more-{n}") for n in range(LATER_REQUESTS)]
        self.assertEqual(answers, [200] * LATER_REQUESTS)
        self.assertEqual(leaving.says.arrived, arrived)

    def test_an_engine_that_tells_the_leader_gets_no_request_at_all(self) -> None:
        leaving, other = self.engines
        leaving.says.leaves = True
        process = self.start()
        answers = [self.ask_engine(process, f"one-{n}") for n in range(LATER_REQUESTS)]
        self.assertEqual(answers, [200] * LATER_REQUESTS)
        self.assertEqual(leaving.says.arrived, 0)
        self.assertEqual(len(other.ran), LATER_REQUESTS)

    def test_other_instances_are_notified(self) -> None:
        one, other = self.start("node-1"), self.start("node-2")
        leaving = self.plain[0]
        leaving.says.leaves = True
        self.wait(lambda: self.ask_plain(one, "one") == 200 and leaving.ran)
        # The worker stops announcing it, so the other instance can only know it from
        # the notification.
        leaving.says.leaves = False
        self.wait(lambda: self.sent_by(other, leaving) == 0)

    def sent_by(self, process: PlatformProcess, worker: PlainWorker) -> int:
        """Send some requests to an instance; return how many reach a worker."""
        arrived = worker.says.arrived
        for number in range(LATER_REQUESTS):
            self.assertEqual(self.ask_plain(process, f"more-{number}"), 200)
        return worker.says.arrived - arrived


class BackoffTests(NoticeTestCase):
    def test_upstreams_that_request_a_backoff_get_no_more_requests(self) -> None:
        process = self.start()
        self.assertEqual(self.ask_engine(process, "one"), 200)
        engine, plain = self.holder(), self.plain[0]
        for worker in (engine, plain):
            worker.says.rest = LONG_BACKOFF_S
            worker.says.arrived = 0
        self.wait(lambda: bool(self.ask_plain(process, "one") and plain.says.arrived))
        self.wait(lambda: bool(self.ask_engine(process, "two") and engine.says.arrived))
        answers = []
        for number in range(LATER_REQUESTS):
            answers.append(self.ask_plain(process, f"plain-{number}"))
            answers.append(self.ask_engine(process, f"engine-{number}"))
        self.assertLessEqual(plain.says.arrived, 1 + IN_FLIGHT)
        self.assertLessEqual(engine.says.arrived, 1 + IN_FLIGHT)
        self.assertEqual(answers, [200] * (2 * LATER_REQUESTS))


if __name__ == "__main__":
    unittest.main()
