"""Requests that meet a defect of the instance get a response all the same.

Guards against whole requests whose connection ends without a response.
"""

import unittest
from unittest import mock

from .request_harness import Harness, event
from .request_scripts import RequestTestCase, good, stream


class DefectError(Exception):
    """What a defect raises."""


class UnexpectedErrorTests(RequestTestCase):
    def break_part(self, owner: object, name: str) -> None:
        patch = mock.patch.object(owner, name, side_effect=DefectError)
        patch.start()
        self.addCleanup(patch.stop)

    def check(self, harness: Harness, path: str, status: int) -> None:
        with harness.connect() as caller:
            for _ in range(2):
                answer = caller.ask(path)
                self.assertEqual(answer.status, status)
                self.assertEqual("retry-after" in answer.headers, status == 503)

    def test_in_the_choice_of_a_route(self) -> None:
        harness = self.start(good)
        self.break_part(harness.table, "find")
        self.check(harness, "/unsafe/x", 503)

    def test_while_the_request_is_admitted(self) -> None:
        for name in ("_service", "_chooser"):
            with self.subTest(name):
                harness = self.start(good)
                self.break_part(harness.handler, name)
                self.check(harness, "/unsafe/x", 503)

    def test_in_the_choice_of_an_upstream(self) -> None:
        harness = self.start(good)
        self.break_part(harness.chooser, "choose")
        self.check(harness, "/unsafe/x", 503)
        self.assertEqual(harness.calls(), [])

    def test_after_an_attempt(self) -> None:
        # The request has run: it must not be said that it has not.
        harness = self.start(good)
        self.break_part(harness.chooser, "on_attempt_ended")
        self.check(harness, "/unsafe/x", 502)

    def test_inside_a_stream(self) -> None:
        harness = self.start(stream(1, 2, 3))
        self.break_part(harness.chooser, "on_first_event")
        answer = harness.ask("/stream/x")
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.complete)
        self.assertTrue(answer.body.startswith(event(1)))


if __name__ == "__main__":
    unittest.main()
