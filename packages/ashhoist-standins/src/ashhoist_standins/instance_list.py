"""Stand-in of the instance list: who is there, shown with a lag."""

import hashlib
import json
import threading
from datetime import timedelta
from typing import Any

from werkzeug.wrappers import Request, Response

from ashhoist.clock import Clock, SystemClock
from ashhoist.types import Endpoint
from ashhoist.web import json_response

from ._server import StandInServer


class InstanceListServer(StandInServer):
    """The list over HTTP.

    Parameters
    ----------
    lag : timedelta
        A change shows so much later.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        lag: timedelta = timedelta(milliseconds=500),
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address)
        self._lag = lag
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._by_name: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[timedelta, list[dict[str, Any]]]] = []

    def put(self, endpoint: Endpoint) -> None:
        """Add or change a member."""
        item = {
            "name": endpoint.name,
            "availability_zone": endpoint.zone,
            "region": endpoint.region,
            "address": endpoint.address,
            "state": "leaving" if endpoint.leaving else "live",
            "kind": endpoint.kind,
        }
        with self._lock:
            self._by_name[endpoint.name] = item
            self._record()

    def leave(self, name: str) -> None:
        """Show a member as leaving."""
        with self._lock:
            self._by_name[name] = {**self._by_name[name], "state": "leaving"}
            self._record()

    def remove(self, name: str) -> None:
        """Take a member out."""
        with self._lock:
            self._by_name.pop(name, None)
            self._record()

    def _record(self) -> None:
        shown_at = self._clock.monotonic() + self._lag
        self._history.append((shown_at, list(self._by_name.values())))

    def _shown(self) -> list[dict[str, Any]]:
        now = self._clock.monotonic()
        with self._lock:
            while len(self._history) > 1 and self._history[1][0] <= now:
                self._history.pop(0)
            if not self._history or self._history[0][0] > now:
                return []
            return self._history[0][1]

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/control/put":
            body = json.loads(request.get_data())
            self.put(Endpoint(**body))
            return json_response({})
        if request.path == "/control/leave":
            self.leave(request.args["name"])
            return json_response({})
        body = {"instances": self._shown()}
        etag = hashlib.sha256(json.dumps(body).encode()).hexdigest()[:16]
        if request.headers.get("If-None-Match") == etag:
            return Response(status=304)
        return json_response(body, ETag=etag)
