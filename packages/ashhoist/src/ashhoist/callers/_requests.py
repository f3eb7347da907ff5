"""Callers' requests as validated models, and their headers."""

from datetime import timedelta
from typing import Any
from uuid import uuid4

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from werkzeug.wrappers import Request

from ..failures import Failure, Reason, Step, not_run
from ..ini import parse_duration
from ..outside import CallerRequest
from ..settings import LimitSettings
from ..types import Priority

PRIORITY_HEADER = "X-Ashhoist-Priority"
TIMEOUT_HEADER = "X-Ashhoist-Timeout"
REPEATABLE_HEADER = "X-Ashhoist-Repeatable"
KEY_HEADER = "Idempotency-Key"
LONGEST_KEY = 200
DEFAULT_TOKENS = 64
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
NOT_PASSED_ON = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class _Completion(BaseModel):
    """What is checked of a completion; other fields go to the engine as sent."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(pattern=r"^[a-z0-9._-]{1,63}(@[A-Za-z0-9._-]{1,64})?$")
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")

    role: str


class ChatCompletion(_Completion):
    """Body of ``/v1/chat/completions``."""

    messages: list[_Message] = Field(min_length=1)


class Completion(_Completion):
    """Body of ``/v1/completions``."""

    prompt: str | list[str]


def completion_request(
    request: Request,
    model: type[ChatCompletion | Completion],
    body: bytes,
    value: Any,
    limits: LimitSettings,
) -> CallerRequest | Failure:
    """Return the request for an adapter, or why it cannot be taken."""
    try:
        checked = model.model_validate(value)
    except ValidationError as error:
        return _bad("; ".join(_problem(item) for item in error.errors()[:5]))
    options = _options(request, limits, repeatable=True)
    if isinstance(options, Failure):
        return options
    return CallerRequest(
        request_id=uuid4().hex,
        model=checked.model,
        path=request.path,
        body=body,
        stream=checked.stream,
        tokens=checked.max_tokens or DEFAULT_TOKENS,
        **options,
    )


def service_request(
    request: Request, name: str, path: str, body: bytes, limits: LimitSettings
) -> CallerRequest | Failure:
    """Return the request for a plain service, or why it cannot be taken."""
    options = _options(request, limits, request.method in SAFE_METHODS)
    if isinstance(options, Failure):
        return options
    query = request.query_string.decode("latin-1")
    headers = {
        header: text
        for header, text in request.headers.items()
        if header.lower() not in NOT_PASSED_ON and header != KEY_HEADER
    }
    return CallerRequest(
        request_id=uuid4().hex,
        service=name,
        method=request.method,
        path=f"/{path}" + (f"?{query}" if query else ""),
        headers=headers,
        body=body,
        **options,
    )


def _options(
    request: Request, limits: LimitSettings, repeatable: bool
) -> dict[str, Any] | Failure:
    priority = None
    text = request.headers.get(PRIORITY_HEADER)
    if text is not None:
        priority = Priority.parse(text)
        if priority is None:
            names = ", ".join(member.name.lower() for member in Priority)
            return _bad(f"{PRIORITY_HEADER}: {text!r}; allowed are {names}")
    timeout = _timeout(request, limits)
    if isinstance(timeout, Failure):
        return timeout
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > LONGEST_KEY or not key.isprintable():
        return _bad(f"{KEY_HEADER}: at most {LONGEST_KEY} printable characters")
    marked = request.headers.get(REPEATABLE_HEADER)
    if marked not in (None, "yes", "no"):
        return _bad(f"{REPEATABLE_HEADER}: {marked!r}; allowed are yes and no")
    if marked is not None:
        repeatable = marked == "yes"
    if key and marked == "yes":
        return _bad(f"{KEY_HEADER} goes with requests that are not repeatable")
    return {
        "priority": priority,
        "timeout": timeout,
        "repeatable": repeatable and not key,
        "key": key,
    }


def _timeout(request: Request, limits: LimitSettings) -> timedelta | Failure:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return limits.default_deadline
    try:
        timeout = parse_duration(text)
    except ValueError as error:
        return _bad(f"{TIMEOUT_HEADER}: {text!r}; allowed is {error}")
    if not timedelta() < timeout <= limits.longest_deadline:
        return _bad(f"{TIMEOUT_HEADER}: above 0 and at most {limits.longest_deadline}")
    return timeout


def _bad(detail: str) -> Failure:
    return not_run(Reason.BAD_REQUEST, Step.RECEIVE, "", detail)


def _problem(item: Any) -> str:
    place = ".".join(str(part) for part in item["loc"]) or "body"
    return f"{place}: {item['msg']}"
