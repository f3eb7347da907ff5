"""Stand-in of a plain service that counts how often each key has run."""

import threading
import time
from collections import Counter

from werkzeug.wrappers import Request, Response

from ashhoist.web import json_response

from ._server import StandInServer


class PlainServiceServer(StandInServer):
    """Runs whatever it is sent, and counts.

    Attributes
    ----------
    runs_by_key : Counter
        How often each ``Idempotency-Key`` (or else request id) has run.
    """

    def __init__(self, address: str = "127.0.0.1:0", seconds: float = 0.0) -> None:
        super().__init__(address)
        self.seconds = seconds
        self.runs_by_key: Counter[str] = Counter()
        self._lock = threading.Lock()

    def respond(self, request: Request) -> Response:
        """Run one request."""
        body = request.get_data()
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key", request_id)
        with self._lock:
            self.runs_by_key[key] += 1
        time.sleep(self.seconds)
        return json_response(
            {
                "method": request.method,
                "path": request.full_path.rstrip("?"),
                "key": key,
                "bytes": len(body),
            }
        )
