"""What the HTTP sides for callers and operators share: server, problems, bodies."""

import json
import select
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from typing import Any

from werkzeug.exceptions import ClientDisconnected, RequestEntityTooLarge
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

from .exceptions import AddressInUseError
from .failures import Failure, Reason, Step, not_run

PROBLEM = "application/problem+json"
JSON_TYPE = "application/json"
WRITE_TIMEOUT = timedelta(minutes=2)
BUSY = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


def json_response(value: Any, status: int = 200, **headers: str) -> Response:
    """Return a JSON answer."""
    response = Response(json.dumps(value), status=status, content_type=JSON_TYPE)
    for name, text in headers.items():
        response.headers[name.replace("_", "-")] = text
    return response


def problem_body(failure: Failure) -> dict[str, Any]:
    """Return a failure as the fields of problem+json."""
    body: dict[str, Any] = {
        "type": f"urn:ashhoist:{failure.reason.value}",
        "title": failure.reason.value.replace("_", " "),
        "status": failure.status,
        "reason": failure.reason.value,
        "outcome": failure.outcome.value,
        "step": failure.step.value,
        "peer": failure.peer,
        "detail": failure.detail,
    }
    if failure.retry_after is not None:
        body["retry_after_ms"] = failure.retry_after // timedelta(milliseconds=1)
    return body


def problem_response(failure: Failure) -> Response:
    """Return a failure as an answer."""
    response = Response(
        json.dumps(problem_body(failure)), status=failure.status, content_type=PROBLEM
    )
    if failure.retry_after is not None:
        seconds = -(-failure.retry_after // timedelta(seconds=1))
        response.headers["Retry-After"] = str(max(1, seconds))
    if failure.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def check_token(request: Request, tokens: frozenset[str]) -> Failure | None:
    """Return a failure unless the request shows one of the tokens."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme == "Bearer" and token in tokens:
        return None
    detail = "send the header 'Authorization: Bearer TOKEN' with a valid token"
    return not_run(Reason.UNAUTHORIZED, Step.AUTHENTICATE, "", detail)


def read_body(request: Request, limit: int) -> bytes | Failure:
    """Return the body, unless it is too large or comes too slowly."""
    if request.content_length is not None and request.content_length > limit:
        return _too_large(limit)
    request.max_content_length = limit
    try:
        body = request.get_data(cache=False)
    except RequestEntityTooLarge:
        return _too_large(limit)
    except (TimeoutError, ClientDisconnected, OSError):
        return not_run(Reason.SLOW_SENDER, Step.RECEIVE, "", "the body did not come")
    return _too_large(limit) if len(body) > limit else body


def read_json(request: Request, limit: int) -> Any:
    """Return the JSON body as a value, or a `Failure`."""
    body = read_body(request, limit)
    if isinstance(body, Failure):
        return body
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        return not_run(Reason.BAD_REQUEST, Step.RECEIVE, "", f"not JSON: {error}")


def _too_large(limit: int) -> Failure:
    detail = f"at most {limit} bytes are taken"
    return not_run(Reason.BODY_TOO_LARGE, Step.RECEIVE, "", detail)


def has_left(environ: dict[str, Any]) -> bool:
    """Return whether the other side has closed the connection."""
    connection = environ.get("werkzeug.socket")
    if connection is None or isinstance(connection, ssl.SSLSocket):
        return False
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    try:
        # A socket with a timeout waits even with MSG_DONTWAIT, so ask first.
        return bool(poll.poll(0)) and connection.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def allow_slow_reader(environ: dict[str, Any]) -> None:
    """Let the other side take its time to read the answer."""
    connection = environ.get("werkzeug.socket")
    if connection is not None:
        connection.settimeout(WRITE_TIMEOUT.total_seconds())


Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class HttpServer(BaseWSGIServer):
    """An HTTP server with a bounded pool of threads.

    Parameters
    ----------
    address : str
        IP number and port.
    connections : int
        Most connections at once; one more is answered 503 and closed.
    sender_timeout : timedelta
        How long the other side may keep still while it sends.
    """

    multithread = True
    request_queue_size = 256

    def __init__(
        self,
        address: str,
        application: Application,
        connections: int,
        sender_timeout: timedelta,
        certificate: Path | None = None,
        private_key: Path | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        context = None
        if certificate is not None:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(certificate, private_key)
        handler = type("Handler", (_Handler,), {"timeout": sender_timeout.seconds or 1})
        try:
            # werkzeug ends the process itself when the port is taken, so the
            # socket is bound here first.
            listener = _bind(host.strip("[]"), int(port))
        except OSError as error:
            raise AddressInUseError(f"cannot listen on {address}: {error}") from None
        super().__init__(
            host.strip("[]"),
            int(port),
            application,
            handler,
            ssl_context=context,
            fd=listener.fileno(),
        )
        listener.close()
        self._pool = ThreadPoolExecutor(connections, thread_name_prefix="http")
        self._places = threading.BoundedSemaphore(connections)
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """Return the address that is listened on."""
        host, port = self.socket.getsockname()[:2]
        return f"{host}:{port}"

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread of the pool."""
        if not self._places.acquire(blocking=False):
            try:
                request.sendall(BUSY)
            except OSError:
                pass
            self.shutdown_request(request)
            return
        self._pool.submit(self._serve, request, client_address)

    def abort(self) -> None:
        """Break all connections at once, as the end of the process would."""
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _serve(self, request: Any, client_address: Any) -> None:
        self._open.add(request)
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            self._open.discard(request)
            self._places.release()
            self.shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that broke; the application has logged defects."""

    def log(self, type: str, message: str, *args: Any) -> None:
        """Keep werkzeug's own log lines out of ours."""


class _Handler(WSGIRequestHandler):
    """Serves one connection; several requests may follow on it."""

    disable_nagle_algorithm = True

    def log(self, type: str, message: str, *args: Any) -> None:
        """Keep werkzeug's own log lines out of ours."""


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(HttpServer.request_queue_size)
    except OSError:
        listener.close()
        raise
    return listener
