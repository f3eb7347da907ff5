"""What the stand-ins' HTTP servers share: routes, faults and lost answers."""

import json
import socket
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from werkzeug.wrappers import Request, Response

from ashhoist.web import HttpServer, json_response

CONNECTIONS = 512
POLL_SECONDS = 0.1
IDLE_TIMEOUT = timedelta(seconds=120)


class Faults:
    """Faults that are set by call or through ``POST /control/faults``.

    A fault has a name and a count: so many times it strikes, -1 for always.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def set(self, name: str, count: int = 1) -> None:
        """Let a fault strike `count` times from now on."""
        with self._lock:
            self._counts[name] = count

    def strikes(self, name: str) -> bool:
        """Return whether a fault strikes now, and count it."""
        with self._lock:
            count = self._counts[name]
            if count > 0:
                self._counts[name] = count - 1
            return count != 0


class StandInServer:
    """An HTTP server around a model.

    Subclasses answer in `respond`. Two faults work everywhere:
    ``unreachable`` (the connection is cut before anything is done) and
    ``answer_lost`` (it is cut after the request took effect).
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.faults = Faults()
        self._http = HttpServer(address, self._application, CONNECTIONS, IDLE_TIMEOUT)
        self._thread = threading.Thread(
            target=self._http.serve_forever, args=(POLL_SECONDS,), daemon=True
        )

    @property
    def address(self) -> str:
        """Return the IP number and port."""
        return self._http.address

    @property
    def url(self) -> str:
        """Return the URL."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def close(self) -> None:
        """Stop answering."""
        self._http.shutdown()
        self._http.server_close()

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        raise NotImplementedError

    def _application(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = Request(environ)
        if request.path == "/control/faults":
            for name, count in json.loads(request.get_data()).items():
                self.faults.set(name, count)
            return json_response({})(environ, start)
        if self.faults.strikes("unreachable"):
            cut(environ)
            return Response()(environ, start)
        response = self.respond(request)
        lost = request.method in ("POST", "PUT") and self.faults.strikes("answer_lost")
        if lost:
            cut(environ)
        return response(environ, start)


def cut(environ: dict[str, Any]) -> None:
    """Cut the connection of a request."""
    try:
        environ["werkzeug.socket"].shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
