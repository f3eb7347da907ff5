"""Scripts for upstreams, and a test case that starts an entry in front of them."""

import unittest

from ashhoist import logs

from .platform_stand_ins.server import Call, Handler
from .request_harness import HEADER_NAMES, Harness, event, response_headers


def good(call: Call) -> None:
    """Respond as an upstream should, echoing the body."""
    call.respond(200, b"answer to " + call.body, response_headers(call))


def refuse(call: Call) -> None:
    """Refuse explicitly: 503 with the not-run header."""
    call.respond(503, b"", {HEADER_NAMES.not_run: "1"})


def reset(call: Call) -> None:
    """Reset the connection while the request is being processed."""
    call.reset()


def silent(call: Call) -> None:
    """Send nothing until the other side disconnects."""
    call.keep = False
    call.wait_for_close()


def stream(*numbers: int, end: bool = True, cut: bytes = b"") -> Handler:
    """Return a script that streams events, then ends or breaks off."""

    def script(call: Call) -> None:
        call.start_stream(response_headers(call))
        for number in numbers:
            call.chunk(event(number))
        if cut:
            call.chunk(cut)
        if end:
            call.end_stream()
            return
        call.close()

    return script


class RequestTestCase(unittest.TestCase):
    def setUp(self) -> None:
        super().setUp()
        # The lines of its requests say why a test failed.
        logs.configure(level="info")
        self.addCleanup(logs.configure, level="error")

    def start(self, *scripts: Handler, **options: object) -> Harness:
        harness = Harness(*scripts, **options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness


class ConnectedCaller:
    """A caller that never disconnects."""

    watched = None

    def left(self) -> bool:
        return False
