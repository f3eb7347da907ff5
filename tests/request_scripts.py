"""What upstreams do with requests, and a test case that starts an entry before them."""

import unittest

from .platform_stand_ins.server import Call, Handler
from .request_harness import DIALECT, Harness, event, sealed


def good(call: Call) -> None:
    """Answer as an upstream should, with what it got."""
    call.respond(200, b"answer to " + call.body, sealed(call))


def refuse(call: Call) -> None:
    """Refuse expressly."""
    call.respond(503, b"", {DIALECT.not_run: "1"})


def reset(call: Call) -> None:
    """Break the connection with the request in hand."""
    call.reset()


def silent(call: Call) -> None:
    """Say nothing until the other side leaves."""
    call.keep = False
    call.wait_for_close()


def stream(*numbers: int, end: bool = True, cut: bytes = b"") -> Handler:
    """Return a script that streams events, then ends or breaks off."""

    def script(call: Call) -> None:
        call.start_stream(sealed(call))
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
    def start(self, *scripts: Handler, **options: object) -> Harness:
        harness = Harness(*scripts, **options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness


class StayingCaller:
    """A caller that stays."""

    watched = None

    def left(self) -> bool:
        return False
