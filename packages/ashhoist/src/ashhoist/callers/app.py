"""The HTTP side for callers."""

import json
import queue
from collections.abc import Callable, Iterator
from typing import Any

from werkzeug.wrappers import Request, Response

from .. import bridge, web
from ..failures import Failure, Outcome, Reason, Step, not_run
from ..outside import (
    CallerRequest,
    Reply,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
)
from ..settings import LimitSettings
from ._requests import (
    ChatCompletion,
    Completion,
    completion_request,
    service_request,
)

LOOK_EVERY_SECONDS = 0.5
MODELS_BY_PATH: dict[str, type[ChatCompletion | Completion]] = {
    "/v1/chat/completions": ChatCompletion,
    "/v1/completions": Completion,
}
SERVICES = "/services/"


class CallersApp:
    """Answers callers.

    Parameters
    ----------
    send : callable
        Takes messages to the core task.
    models : callable
        Returns the names of the adapters in force.
    """

    def __init__(
        self,
        tokens: frozenset[str],
        limits: LimitSettings,
        send: Callable[[Any], None],
        models: Callable[[], list[str]],
        count: Callable[..., None],
    ) -> None:
        self._tokens = tokens
        self._limits = limits
        self._send = send
        self._models = models
        self._count = count

    def answers(self, path: str) -> bool:
        """Return whether a path is the callers'."""
        return path.startswith(("/v1/", SERVICES))

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        failure = web.check_token(request, self._tokens)
        if failure is not None:
            return self._refuse(failure)
        if request.path == "/v1/models" and request.method == "GET":
            return self._list_models()
        parsed = self._parse(request)
        if isinstance(parsed, Failure):
            return self._refuse(parsed)
        web.allow_slow_reader(request.environ)
        return self._run(request, parsed)

    def _refuse(self, failure: Failure) -> Response:
        self._count("refusals", failure.reason)
        return web.problem_response(failure)

    def _list_models(self) -> Response:
        data = [
            {"id": name, "object": "model", "owned_by": "ashhoist"}
            for name in self._models()
        ]
        return web.json_response({"object": "list", "data": data})

    def _parse(self, request: Request) -> CallerRequest | Failure:
        if request.path.startswith(SERVICES):
            name, _, path = request.path.removeprefix(SERVICES).partition("/")
            body = web.read_body(request, self._limits.body_bytes)
            if isinstance(body, Failure):
                return body
            return service_request(request, name, path, body, self._limits)
        model = MODELS_BY_PATH.get(request.path)
        if model is None or request.method != "POST":
            detail = "POST to /v1/chat/completions or /v1/completions"
            return not_run(Reason.NOT_FOUND, Step.RECEIVE, "", detail)
        body = web.read_body(request, self._limits.body_bytes)
        if isinstance(body, Failure):
            return body
        try:
            value = json.loads(body)
        except (ValueError, RecursionError) as error:
            return not_run(Reason.BAD_REQUEST, Step.RECEIVE, "", f"not JSON: {error}")
        return completion_request(request, model, body, value, self._limits)

    def _run(self, request: Request, parsed: CallerRequest) -> Response:
        exchange = _Exchange(self._send, parsed, request.environ)
        first = exchange.next()
        if isinstance(first, ReplyFailure):
            return self._failed(first.failure, parsed)
        assert isinstance(first, ReplyHead)
        if parsed.stream and first.status == 200:
            response = Response(exchange.stream(), status=first.status)
        else:
            whole = exchange.whole()
            if isinstance(whole, Failure):
                return self._failed(whole, parsed)
            response = Response(whole, status=first.status)
        for name, text in first.headers.items():
            response.headers[name] = text
        response.headers["X-Ashhoist-Request-Id"] = parsed.request_id
        response.headers["X-Ashhoist-Upstream"] = first.upstream
        if first.adapter is not None:
            response.headers["X-Ashhoist-Adapter"] = str(first.adapter)
        return response

    def _failed(self, failure: Failure, parsed: CallerRequest) -> Response:
        response = web.problem_response(failure)
        response.headers["X-Ashhoist-Request-Id"] = parsed.request_id
        return response


class _Exchange:
    """One request's replies, from the core task to the caller's connection."""

    def __init__(
        self,
        send: Callable[[Any], None],
        request: CallerRequest,
        environ: dict[str, Any],
    ) -> None:
        self._send = send
        self._request = request
        self._environ = environ
        self._replies: queue.SimpleQueue[Reply] = queue.SimpleQueue()
        self._ended = False
        send(bridge.Submit(request, self._replies))

    def next(self) -> Reply:
        """Return the next reply; a caller that leaves ends the request."""
        while True:
            try:
                reply = self._replies.get(timeout=LOOK_EVERY_SECONDS)
            except queue.Empty:
                if not web.has_left(self._environ):
                    continue
                self.leave()
                return ReplyFailure(
                    Failure(Reason.CALLER_LEFT, Outcome.UNKNOWN, Step.ANSWER)
                )
            self._ended = isinstance(reply, ReplyEnd | ReplyFailure)
            return reply

    def leave(self) -> None:
        """Tell the core that the caller has gone, unless all has ended."""
        if not self._ended:
            self._ended = True
            self._send(bridge.CallerLeft(self._request.request_id))

    def whole(self) -> bytes | Failure:
        """Return the whole answer, or why there is none."""
        parts = []
        while True:
            reply = self.next()
            if isinstance(reply, ReplyData):
                parts.append(reply.data)
                self._consumed(reply.data)
            elif isinstance(reply, ReplyFailure):
                return reply.failure
            else:
                return b"".join(parts)

    def stream(self) -> Iterator[bytes]:
        """Yield the pieces of a streamed answer as they come."""
        try:
            while True:
                reply = self.next()
                if isinstance(reply, ReplyEnd):
                    return
                if isinstance(reply, ReplyFailure):
                    body = json.dumps(web.problem_body(reply.failure))
                    yield f"event: error\ndata: {body}\n\n".encode()
                    return
                assert isinstance(reply, ReplyData)
                yield reply.data
                self._consumed(reply.data)
        finally:
            self.leave()

    def _consumed(self, data: bytes) -> None:
        self._send(bridge.Consumed(self._request.request_id, len(data)))
