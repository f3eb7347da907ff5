"""Tests that calls to the log are counted by topic, operation and result."""

import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

from ashhoist.clock import ManualClock
from ashhoist.loop import Steps
from ashhoist.metrics import Metrics
from ashhoist.store import (
    Appended,
    CallCounts,
    CountedLog,
    Newest,
    Records,
    Topic,
    Unavailable,
)

from .loops import finish

SECOND = timedelta(seconds=1)


class _Log:
    """A log that returns a preset result."""

    result: Any = None

    def read(self, *_: object) -> Steps[Any]:
        yield from ()
        return self.result

    newest = append = read


class LogCallTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(20 * SECOND)
        self.metrics = Metrics()
        self.logger = mock.Mock()
        self.counts = CallCounts(self.metrics, self.clock, self.logger)
        self.inner = _Log()
        self.log = CountedLog(self.inner, self.counts)  # type: ignore[arg-type]

    def make_calls(self) -> None:
        """Make one call of each kind, and a read that fails."""
        self.inner.result = Records((), 0)
        finish(self.log.read(Topic.UPSTREAMS, 0, SECOND))
        self.inner.result = Newest((), 0)
        finish(self.log.newest(Topic.LEASES))
        self.inner.result = Appended(3)
        finish(self.log.append(Topic.CRASHES, "key", b"value", None))
        self.inner.result = Unavailable("status 503")
        finish(self.log.read(Topic.UPSTREAMS, 0, SECOND))

    def test_each_call_is_counted_with_its_result(self) -> None:
        self.make_calls()
        text = self.metrics.render().decode()
        for topic, call, result in (
            ("upstreams", "read", "Records"),
            ("upstreams", "read", "Unavailable"),
            ("leases", "newest", "Newest"),
            ("crashes", "append", "Appended"),
        ):
            labels = f'call="{call}",result="{result}",topic="{topic}"'
            self.assertIn(f"ashhoist_log_calls_total{{{labels}}} 1.0", text)

    def test_calls_are_logged_every_ten_seconds(self) -> None:
        self.make_calls()
        self.counts.log_if_due()
        self.counts.log_if_due()
        self.logger.info.assert_called_once()
        self.assertEqual(
            self.logger.info.call_args.kwargs["upstreams read Unavailable"], 1
        )
        self.clock.advance(10 * SECOND)
        self.make_calls()
        self.counts.log_if_due()
        self.assertEqual(self.logger.info.call_count, 2)


if __name__ == "__main__":
    unittest.main()
