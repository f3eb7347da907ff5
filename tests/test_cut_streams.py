"""What logs and metrics tell of streams that move or are cut."""

import time
import unittest

from ashhoist.failures import Reason

from .request_harness import NEVER_SILENT
from .request_scripts import RequestTestCase, good, stream

SOON_S = 10


class CutStreamTests(RequestTestCase):
    def counts(self, harness: object, name: str) -> dict[str, float]:
        """Return a counter's values by its first label."""
        metrics = harness.metrics  # type: ignore[attr-defined]
        found: dict[str, float] = {}
        for family in metrics.collect():
            if family.name != f"ashhoist_{name}":
                continue
            for sample in family.samples:
                label = next(iter(sample.labels.values()), "")
                found[label] = sample.value
        return found

    def wait_for(self, harness: object, name: str, expected: dict[str, float]) -> None:
        """Return once a counter has these values."""
        until = time.monotonic() + SOON_S
        while time.monotonic() < until and self.counts(harness, name) != expected:
            time.sleep(0.01)
        self.assertEqual(self.counts(harness, name), expected)

    def test_a_cut_stream_is_counted_by_reason(self) -> None:
        # Guards against a cut that looks like an answered error in the metrics.
        harness = self.start(stream(1, 2, end=False), attempts=1)
        answer = harness.ask("/stream/")
        self.assertFalse(answer.complete)
        # The caller may see the cut before its end is recorded.
        self.wait_for(harness, "streams_cut", {str(Reason.ANSWER_CUT): 1})
        self.assertEqual(self.counts(harness, "streams_begun"), {"": 1})

    def test_a_stream_that_goes_on_elsewhere_is_counted_as_moved(self) -> None:
        # Guards against moves that nobody sees as long as they succeed.
        harness = self.start(stream(1, 2, end=False), stream(3), **NEVER_SILENT)
        answer = harness.ask("/stream/")
        self.assertTrue(answer.complete)
        self.assertEqual(
            self.counts(harness, "stream_moves"), {str(Reason.ANSWER_CUT): 1}
        )
        self.assertEqual(self.counts(harness, "streams_cut"), {})

    def test_an_error_before_the_first_event_is_no_cut(self) -> None:
        # Guards against counting what callers are told by a status.
        harness = self.start(stream(end=False))
        self.assertEqual(harness.ask("/stream/").status, 502)
        self.assertEqual(self.counts(harness, "streams_cut"), {})

    def test_a_whole_answer_is_no_cut(self) -> None:
        harness = self.start(good)
        harness.ask("/safe/")
        self.assertEqual(self.counts(harness, "streams_begun"), {})


if __name__ == "__main__":
    unittest.main()
