"""Readiness and metrics over HTTP, by ``werkzeug``."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

from .metrics import Metrics

METRICS_PATH = "/metrics"


class _Quiet(WSGIRequestHandler):
    """Writes no line for each request."""

    protocol_version = "HTTP/1.1"

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing."""


class ProbeServer:
    """Answers whether the instance is ready, and its metrics.

    Parameters
    ----------
    readiness, metrics_address : str
        ``IP:PORT``; the metrics have an address of their own or none.
    ready : callable
        Returns whether callers may be sent here.
    """

    def __init__(
        self,
        readiness: str,
        metrics_address: str | None,
        readiness_path: str,
        ready: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._path = readiness_path
        self._ready = ready
        self._metrics = metrics
        addresses = [readiness] + ([metrics_address] if metrics_address else [])
        self._servers = [self._server(address) for address in addresses]

    def _server(self, address: str) -> BaseWSGIServer:
        host, _, port = address.rpartition(":")
        return make_server(
            host, int(port), self._respond, threaded=True, request_handler=_Quiet
        )

    def start(self, executor: Executor) -> None:
        """Answer on threads of `executor`."""
        for server in self._servers:
            executor.submit(server.serve_forever)

    def _respond(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        request = Request(environ)
        return self._answer(request.path)(environ, start)

    def _answer(self, path: str) -> Response:
        if path == self._path:
            if self._ready():
                return Response("ready\n")
            return Response("not ready\n", status=503)
        if path == METRICS_PATH:
            return Response(self._metrics.render(), content_type="text/plain")
        return Response("not found\n", status=404)

    def close(self) -> None:
        """Stop answering."""
        for server in self._servers:
            server.shutdown()
            server.server_close()
