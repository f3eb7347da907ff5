"""Requests with the method HEAD, whose responses have no body."""

import unittest

from .platform_stand_ins.server import Call
from .request_caller import Caller
from .request_harness import response_headers
from .request_scripts import RequestTestCase, good, refuse

BODY_LENGTH = "10"


def head_of_body(call: Call) -> None:
    """Respond with the length of a body that is left out."""
    headers = {**response_headers(call), "Content-Length": BODY_LENGTH}
    call.respond(200, b"", headers, length=False)


class HeadRequestTests(RequestTestCase):
    # Guards against a whole request whose connection ends without a response.

    def check(self, caller: Caller, path: str, status: int) -> None:
        """Check that a request and the next one on its connection are answered."""
        answer = caller.ask(path, method="HEAD", body=b"")
        self.assertEqual((answer.status, answer.complete), (status, True))
        self.assertEqual(answer.body, b"")
        self.assertEqual(caller.ask("/safe/x").status, 200)

    def test_a_request_that_is_refused_by_its_head(self) -> None:
        harness = self.start(good)
        with harness.connect() as caller:
            self.check(caller, "/none", 404)

    def test_a_request_that_upstreams_refuse(self) -> None:
        script = [refuse]

        def refuse_once(call: Call) -> None:
            script.pop()(call) if script else good(call)

        harness = self.start(refuse_once, attempts=1)
        with harness.connect() as caller:
            self.check(caller, "/safe/x", 503)

    def test_a_request_that_an_upstream_answers(self) -> None:
        def respond(call: Call) -> None:
            head_of_body(call) if call.method == "HEAD" else good(call)

        harness = self.start(respond)
        with harness.connect() as caller:
            self.check(caller, "/safe/x", 200)


if __name__ == "__main__":
    unittest.main()
