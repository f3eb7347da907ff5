"""Upstreams that say in their answers that they leave, or that they want rest.

While the log was away, an engine that was to be taken away could write that nowhere,
but said so in each of its answers. Requests were still sent there 5 and 8 s after an
instance had passed on such an answer, as instances knew of leaving from the log only.
Another engine turned requests away with 503 and asked for 3 s of rest; the instance
sent it six more within that time, each of them refused, as nothing read that header:

    attempt ended  gent-a-1 upstream=i-376d6657d8 send=1 reason=upstream_refused
    attempt ended  gent-a-1 upstream=i-376d6657d8 send=3 reason=upstream_refused
"""

import unittest

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.worker import ModelWorker, PlainWorker
from .test_platform import MODEL

MORE = 8
"""Requests sent once the upstream has spoken."""
UNDER_WAY = 2
"""Of those, what may reach an upstream that wants rest."""
ADAPTER = f"{MODEL}/a1"
LONG_REST = "60"


class NoticeTestCase(ProcessTestCase):
    """Two plain workers and two engines; all of them are ready by the store."""

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
    def test_a_plain_upstream_that_says_it_leaves_gets_no_more(self) -> None:
        process = self.start()
        leaving = self.plain[0]
        leaving.says.leaves = True
        self.wait(lambda: self.ask_plain(process, "one") == 200 and leaving.ran)
        arrived = leaving.says.arrived
        answers = [self.ask_plain(process, f"more-{n}") for n in range(MORE)]
        self.assertEqual(answers, [200] * MORE)
        self.assertEqual(leaving.says.arrived, arrived)

    def test_an_engine_that_says_it_leaves_gets_no_more(self) -> None:
        process = self.start()
        self.assertEqual(self.ask_engine(process, "one"), 200)
        leaving = self.holder()
        leaving.says.leaves = True
        self.assertEqual(self.ask_engine(process, "two"), 200)
        arrived = leaving.says.arrived
        answers = [self.ask_engine(process, f"more-{n}") for n in range(MORE)]
        self.assertEqual(answers, [200] * MORE)
        self.assertEqual(leaving.says.arrived, arrived)

    def test_an_engine_that_says_so_to_the_leader_gets_no_request_at_all(self) -> None:
        leaving, other = self.engines
        leaving.says.leaves = True
        process = self.start()
        answers = [self.ask_engine(process, f"one-{n}") for n in range(MORE)]
        self.assertEqual(answers, [200] * MORE)
        self.assertEqual(leaving.says.arrived, 0)
        self.assertEqual(len(other.ran), MORE)

    def test_another_instance_is_told(self) -> None:
        one, other = self.start("node-1"), self.start("node-2")
        leaving = self.plain[0]
        leaving.says.leaves = True
        self.wait(lambda: self.ask_plain(one, "one") == 200 and leaving.ran)
        # From here on only who has been told can know.
        leaving.says.leaves = False
        self.wait(lambda: self.sent_by(other, leaving) == 0)

    def sent_by(self, process: PlatformProcess, worker: PlainWorker) -> int:
        """Return how many of a few requests at an instance reach a worker."""
        arrived = worker.says.arrived
        for number in range(MORE):
            self.assertEqual(self.ask_plain(process, f"more-{number}"), 200)
        return worker.says.arrived - arrived


class RestTests(NoticeTestCase):
    def test_upstreams_that_ask_for_rest_are_left_alone(self) -> None:
        process = self.start()
        self.assertEqual(self.ask_engine(process, "one"), 200)
        engine, plain = self.holder(), self.plain[0]
        for worker in (engine, plain):
            worker.says.rest = LONG_REST
            worker.says.arrived = 0
        self.wait(lambda: bool(self.ask_plain(process, "one") and plain.says.arrived))
        self.wait(lambda: bool(self.ask_engine(process, "two") and engine.says.arrived))
        answers = []
        for number in range(MORE):
            answers.append(self.ask_plain(process, f"plain-{number}"))
            answers.append(self.ask_engine(process, f"engine-{number}"))
        self.assertLessEqual(plain.says.arrived, 1 + UNDER_WAY)
        self.assertLessEqual(engine.says.arrived, 1 + UNDER_WAY)
        self.assertEqual(answers, [200] * (2 * MORE))


if __name__ == "__main__":
    unittest.main()
