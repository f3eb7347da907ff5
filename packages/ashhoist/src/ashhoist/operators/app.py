"""The HTTP side for operators."""

import json
import queue
import re
from collections.abc import Callable, Iterator
from concurrent.futures import Future, TimeoutError as FutureTimeoutError
from dataclasses import asdict
from typing import Any
from uuid import uuid4

from werkzeug.wrappers import Request, Response

from .. import bridge, web
from ..configuration import (
    MUST_NOT_EXIST,
    Change,
    Decision,
    Event,
    Resource,
    Verdict,
)
from ..core import Instance
from ..failures import Failure, Outcome, Reason, Step, not_run
from ..ini import NAME_PATTERN
from ..resources import models_by_kind, validate
from ..status import status as status_of
from ._openapi import document

PREFIX = "/apis/v1/"
ANSWER_TIMEOUT_SECONDS = 15.0
WATCH_LOOK_SECONDS = 1.0
LONGEST_OPERATION = 128
REASONS_BY_VERDICT = {
    Verdict.CONFLICT: Reason.CONFLICT,
    Verdict.INVALID: Reason.INVALID,
}


class OperatorsApp:
    """Answers operators.

    Parameters
    ----------
    send : callable
        Takes messages to the core task.
    """

    def __init__(
        self,
        tokens: frozenset[str],
        body_limit: int,
        send: Callable[[Any], None],
        count: Callable[..., None],
    ) -> None:
        self._tokens = tokens
        self._body_limit = body_limit
        self._send = send
        self._count = count

    def answers(self, path: str) -> bool:
        """Return whether a path is the operators'."""
        return path.startswith(PREFIX) or path == "/openapi.json"

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        failure = web.check_token(request, self._tokens)
        if failure is not None:
            return self._refuse(failure)
        if request.path == "/openapi.json":
            return web.json_response(document())
        result = self._route(request)
        return self._refuse(result) if isinstance(result, Failure) else result

    def _refuse(self, failure: Failure) -> Response:
        self._count("refusals", failure.reason)
        return web.problem_response(failure)

    def _route(self, request: Request) -> Response | Failure:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if kind == "status" and request.method == "GET":
            found = self._read(status_of)
            return web.json_response(asdict(found))
        if kind == "operations" and request.method == "GET":
            return self._operation(name)
        if kind not in models_by_kind:
            known = ", ".join([*models_by_kind, "status", "operations"])
            return _not_found(f"no kind {kind!r}; known are {known}")
        if name.endswith("/status") and request.method == "GET":
            return self._status_of(kind, name.removesuffix("/status"))
        if not name:
            return self._collection(request, kind)
        return self._one(request, kind, name)

    def _read(self, function: Callable[[Instance], Any]) -> Any:
        read = bridge.Read(function)
        self._send(read)
        return read.result.result(ANSWER_TIMEOUT_SECONDS)

    # Reading

    def _collection(self, request: Request, kind: str) -> Response | Failure:
        if request.method == "GET" and request.args.get("watch") == "true":
            return self._watch(request, kind)
        if request.method == "GET":
            items, offset = self._read(lambda core: _list(core, kind))
            body = {
                "kind": kind,
                "resourceVersion": offset,
                "items": [_shown(item) for item in items],
            }
            return web.json_response(body)
        if request.method == "POST":
            value = web.read_json(request, self._body_limit)
            if isinstance(value, Failure):
                return value
            name = value.get("name") if isinstance(value, dict) else None
            if not isinstance(name, str):
                return _bad("the body needs name and spec")
            return self._put(request, kind, name, value.get("spec"), MUST_NOT_EXIST)
        return _bad(f"{request.method} is not allowed here")

    def _one(self, request: Request, kind: str, name: str) -> Response | Failure:
        current = self._read(lambda core: core.changes.state.get(kind, name))
        if request.method == "GET":
            if current is None:
                return _not_found(f"no {kind} {name!r}")
            return web.json_response(_shown(current), ETag=f'"{current.version}"')
        based_on = _if_match(request)
        if isinstance(based_on, Failure):
            return based_on
        if request.method == "DELETE":
            if current is None and based_on is None:
                return _not_found(f"no {kind} {name!r}")
            return self._change(request, Change("", kind, name, None, based_on))
        if request.method not in ("PUT", "PATCH"):
            return _bad(f"{request.method} is not allowed here")
        value = web.read_json(request, self._body_limit)
        if isinstance(value, Failure):
            return value
        if not isinstance(value, dict) or not isinstance(value.get("spec"), dict):
            return _bad("the body needs spec, an object")
        if request.method == "PUT":
            return self._put(request, kind, name, value["spec"], based_on)
        if current is None:
            return _not_found(f"no {kind} {name!r}")
        if based_on is None:
            based_on = current.version
        spec = _merged(current.spec, value["spec"])
        return self._put(request, kind, name, spec, based_on)

    def _status_of(self, kind: str, name: str) -> Response | Failure:
        found = self._read(lambda core: _status(core, kind, name))
        if found is None:
            return _not_found(f"no {kind} {name!r}")
        return web.json_response(found)

    def _operation(self, operation: str) -> Response | Failure:
        decision = self._read(
            lambda core: core.changes.state.decisions_by_operation.get(operation)
        )
        if decision is None:
            return _not_found(
                f"operation {operation!r} is not known here; if it was unsettled, "
                "it has not come into force yet"
            )
        return web.json_response(_decided(operation, decision))

    # Changing

    def _put(
        self, request: Request, kind: str, name: str, spec: Any, based_on: int | None
    ) -> Response | Failure:
        checked = validate(kind, spec)
        if isinstance(checked, list):
            return Failure(
                Reason.INVALID,
                Outcome.NOT_RUN,
                Step.CONFIGURE,
                "",
                "; ".join(checked),
            )
        problems = validate_name(name)
        if problems:
            return _bad(problems)
        return self._change(request, Change("", kind, name, checked, based_on))

    def _change(self, request: Request, change: Change) -> Response | Failure:
        operation = request.headers.get("X-Operation-Id") or uuid4().hex
        if len(operation) > LONGEST_OPERATION:
            return _bad(f"X-Operation-Id: at most {LONGEST_OPERATION} characters")
        known = self._read(
            lambda core: core.changes.state.decisions_by_operation.get(operation)
        )
        if known is None:
            known = self._decide(
                Change(
                    operation, change.kind, change.name, change.spec, change.based_on
                )
            )
        if isinstance(known, Failure):
            return known
        if known.verdict is not Verdict.ACCEPTED:
            return Failure(
                REASONS_BY_VERDICT[known.verdict],
                Outcome.NOT_RUN,
                Step.CONFIGURE,
                "",
                known.detail,
            )
        body = _decided(operation, known)
        body.update(kind=change.kind, name=change.name)
        return web.json_response(body)

    def _decide(self, change: Change) -> Decision | Failure:
        decided: Future[Decision | Failure] = Future()
        self._send(bridge.ChangeConfiguration(change, decided))
        try:
            return decided.result(ANSWER_TIMEOUT_SECONDS)
        except FutureTimeoutError:
            detail = f"look up operation {change.operation}"
            return Failure(
                Reason.UNSETTLED, Outcome.UNKNOWN, Step.CONFIGURE, "", detail
            )

    # Watching

    def _watch(self, request: Request, kind: str) -> Response | Failure:
        try:
            after = int(request.args["after"]) if "after" in request.args else None
        except ValueError:
            return _bad("after: a resourceVersion, a whole number")
        events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        number: Future[int | None] = Future()
        self._send(bridge.Watch(after, events, number))
        found = number.result(ANSWER_TIMEOUT_SECONDS)
        if found is None:
            response = web.problem_response(
                not_run(
                    Reason.NOT_FOUND,
                    Step.CONFIGURE,
                    "",
                    f"events after {after} are no longer kept; list anew",
                )
            )
            response.status_code = 410
            return response
        stream = self._events(request, kind, events, found)
        web.allow_slow_reader(request.environ)
        return Response(stream, content_type="application/x-ndjson")

    def _events(
        self,
        request: Request,
        kind: str,
        events: "queue.SimpleQueue[Event]",
        number: int,
    ) -> Iterator[bytes]:
        try:
            while True:
                try:
                    event = events.get(timeout=WATCH_LOOK_SECONDS)
                except queue.Empty:
                    if web.has_left(request.environ):
                        return
                    yield b"\n"
                    continue
                if event.kind != kind:
                    continue
                yield json.dumps(_event(event)).encode() + b"\n"
        finally:
            self._send(bridge.Unwatch(number))


def validate_name(name: str) -> str:
    """Return what is wrong with a resource's name, or an empty text."""
    if re.match(NAME_PATTERN, name):
        return ""
    return "name: lower-case letters, digits, '.', '_' and '-', at most 63"


def _list(core: Instance, kind: str) -> tuple[list[Resource], int]:
    state = core.changes.state
    return list(state.of_kind(kind).values()), state.offset


def _status(core: Instance, kind: str, name: str) -> dict[str, Any] | None:
    resource = core.changes.state.get(kind, name)
    if resource is None:
        return None
    status = status_of(core)
    behind = [
        other
        for other, known in status.instances.items()
        if known["offset"] < resource.version
    ]
    found: dict[str, Any] = {
        "kind": kind,
        "name": name,
        "resourceVersion": resource.version,
        "instances": len(status.instances),
        "in_force_on": len(status.instances) - len(behind),
        "behind": sorted(behind),
    }
    if kind == "adapters":
        found["resident"] = {
            adapter: sorted(
                upstream
                for upstream, known in status.upstreams.items()
                if adapter in known["adapters"]
            )
            for adapter in (
                f"{name}@{version}" for version in resource.spec["versions"]
            )
        }
    if kind == "upstreams":
        found["upstream"] = status.upstreams.get(name)
    return found


def _shown(resource: Resource) -> dict[str, Any]:
    return {
        "kind": resource.kind,
        "name": resource.name,
        "resourceVersion": resource.version,
        "spec": resource.spec,
    }


def _event(event: Event) -> dict[str, Any]:
    shown = {"type": "deleted", "resourceVersion": event.offset, "name": event.name}
    if event.resource is not None:
        shown.update(type="changed", resource=_shown(event.resource))
    return shown


def _decided(operation: str, decision: Decision) -> dict[str, Any]:
    return {
        "operation": operation,
        "verdict": decision.verdict.value,
        "resourceVersion": decision.offset,
        "detail": decision.detail,
    }


def _if_match(request: Request) -> int | None | Failure:
    if request.headers.get("If-None-Match") == "*":
        return MUST_NOT_EXIST
    text = request.headers.get("If-Match")
    if text is None or text == "*":
        return None
    try:
        return int(text.strip('"'))
    except ValueError:
        return _bad("If-Match: a resourceVersion, a whole number")


def _merged(spec: Any, patch: Any) -> Any:
    """Return a JSON merge patch applied to a spec (RFC 7396)."""
    if not isinstance(patch, dict):
        return patch
    result = dict(spec) if isinstance(spec, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = _merged(result.get(key), value)
    return result


def _bad(detail: str) -> Failure:
    return not_run(Reason.BAD_REQUEST, Step.RECEIVE, "", detail)


def _not_found(detail: str) -> Failure:
    return not_run(Reason.NOT_FOUND, Step.CONFIGURE, "", detail)
