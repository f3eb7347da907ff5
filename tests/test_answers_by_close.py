"""Answers with neither a length nor chunks, which end with their connection."""

import unittest

from .platform_stand_ins.server import Call, Handler
from .request_harness import NEVER_SILENT, event, response_headers
from .request_scripts import RequestTestCase, stream

BODY = b"answer without a length"


def ends_with_connection(*pieces: bytes, content_type: str = "text/plain") -> Handler:
    """Return a script that sends a head, pieces of the body, and closes."""

    def script(call: Call) -> None:
        lines = ["HTTP/1.1 200 OK", f"Content-Type: {content_type}"]
        lines += [f"{name}: {value}" for name, value in response_headers(call).items()]
        call.raw("\r\n".join(lines).encode() + b"\r\n\r\n")
        for piece in pieces:
            call.raw(piece)
        call.close()

    return script


def streams(*pieces: bytes) -> Handler:
    return ends_with_connection(*pieces, content_type="text/event-stream")


class AnswersByCloseTests(RequestTestCase):
    def test_an_answer_is_whole(self) -> None:
        harness = self.start(ends_with_connection(BODY[:7], BODY[7:]))
        answer = harness.ask("/unsafe/x")
        self.assertEqual((answer.status, answer.body), (200, BODY))
        self.assertEqual(len(harness.calls()), 1)

    def test_a_stream_that_ends_behind_an_event_is_whole(self) -> None:
        script = streams(event(1), event(2), event(3))
        harness = self.start(script, stream(4), **NEVER_SILENT)
        answer = harness.ask("/stream/x")
        self.assertEqual(answer.body, event(1) + event(2) + event(3))
        self.assertTrue(answer.complete)
        self.assertEqual(harness.calls(1), [])

    def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(self) -> None:
        # Guards against a stream that was broken off and passes for whole.
        for whole in (0, 1, 3):
            with self.subTest(whole=whole):
                first = [event(number) for number in range(1, whole + 1)]
                rest = range(whole + 1, 6)
                cut = event(whole + 1)[:-3]
                script = streams(*first, cut)
                harness = self.start(script, stream(*rest), **NEVER_SILENT)
                answer = harness.ask("/stream/x")
                expected = b"".join(event(number) for number in range(1, 6))
                self.assertEqual(answer.body, expected)
                self.assertTrue(answer.complete)

    def test_a_stream_that_is_cut_and_goes_on_nowhere_is_not_whole(self) -> None:
        harness = self.start(streams(event(1), event(2)[:-3]), attempts=1)
        answer = harness.ask("/stream/x")
        self.assertEqual(answer.body, event(1))
        self.assertFalse(answer.complete)


if __name__ == "__main__":
    unittest.main()
