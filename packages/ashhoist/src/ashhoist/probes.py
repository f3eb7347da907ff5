"""Readiness and metrics over HTTP, on the loop."""

from collections.abc import Callable
from datetime import timedelta

from .exceptions import AddressInUseError
from .http import CallerConnection, CallerGoneError, Listener, MalformedRequestError
from .http.request import CallerLimits
from .loop import Loop, Steps
from .metrics import Metrics

METRICS_PATH = "/metrics"
TEXT = ("Content-Type", "text/plain; charset=utf-8")
ANSWER_TIME = timedelta(seconds=2)
IDLE_TIME = timedelta(seconds=15)
MOST_CONNECTIONS = 64


class ProbeServer:
    """Answers whether the instance is ready, and its metrics.

    Parameters
    ----------
    readiness, metrics_address : str
        ``IP:PORT``; the metrics have an address of their own or none.
    ready : callable
        Returns whether callers may be sent here.

    Raises
    ------
    AddressInUseError
        If an address is taken.
    """

    def __init__(
        self,
        readiness: str,
        metrics_address: str | None,
        readiness_path: str,
        ready: Callable[[], bool],
        metrics: Metrics,
        loop: Loop,
    ) -> None:
        self._path = readiness_path
        self._ready = ready
        self._metrics = metrics
        self._loop = loop
        addresses = [readiness] + ([metrics_address] if metrics_address else [])
        self._listeners = [self._listener(address) for address in addresses]

    def _listener(self, address: str) -> Listener:
        try:
            return Listener(
                address, self._serve, lambda: IDLE_TIME, MOST_CONNECTIONS, self._loop
            )
        except OSError as error:
            why = f"cannot listen on {address}: {error}"
            raise AddressInUseError(why) from None

    def start(self) -> None:
        """Begin to answer."""
        for listener in self._listeners:
            listener.start()

    def _serve(self, caller: CallerConnection) -> Steps[bool]:
        try:
            kept = yield from self._serve_one(caller)
            while kept and caller.has_more:
                kept = yield from self._serve_one(caller)
        except (CallerGoneError, MalformedRequestError):
            return False
        return kept

    def _serve_one(self, caller: CallerConnection) -> Steps[bool]:
        request = yield from caller.read_request(CallerLimits())
        status, body = self._answer(request.target.partition("?")[0])
        until = self._loop.clock.monotonic() + ANSWER_TIME
        yield from caller.respond(status, [TEXT], body, until)
        return caller.next()

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self._path:
            return (200, b"ready\n") if self._ready() else (503, b"not ready\n")
        if path == METRICS_PATH:
            return 200, self._metrics.render()
        return 404, b"not found\n"

    def close(self) -> None:
        """Stop answering."""
        for listener in self._listeners:
            listener.stop()
