"""Stand-in of a model engine: slots, continuous batching, fenced orders.

`EngineModel` has no sockets and no threads: it is moved on by `advance`, so that
benches run it on a virtual clock. `EngineServer` puts HTTP around it.
"""

import json
import threading
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import nullcontext
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Any, Protocol
from uuid import uuid4

from werkzeug.wrappers import Request, Response

from ashhoist.clock import ZERO, Clock, SystemClock
from ashhoist.web import json_response

from ._server import StandInServer, cut
from .weight_store import WeightStoreModel

ENDED_KEPT = 512
HISTORY_KEPT = 256
PREFIXES_CACHED = 64
STREAM_WAIT_SECONDS = 10.0
PREFIX_LETTERS = 256


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """How long a step takes.

    Parameters
    ----------
    step : timedelta
        A step with an empty batch.
    per_request : timedelta
        Added for each request in the batch.
    per_adapter : timedelta
        Added for each different adapter in the batch.
    prefill : timedelta
        Added once for a request whose prefix is not cached.
    """

    step: timedelta = timedelta(milliseconds=20)
    per_request: timedelta = timedelta(microseconds=500)
    per_adapter: timedelta = timedelta(microseconds=300)
    prefill: timedelta = timedelta(milliseconds=10)


@dataclass(slots=True)
class Run:
    """One request that an engine has taken."""

    request_id: str
    attempt: int
    adapter: str
    tokens: int
    priority: int
    prefix: str
    produced: int = 0
    ended: bool = False
    broken: bool = False
    cancelled: bool = False

    @property
    def id(self) -> tuple[str, int]:
        """Return the key of the request's stream."""
        return (self.request_id, self.attempt)

    def token(self, index: int) -> str:
        """Return a token that names whose it is, so that mix-ups show."""
        return f"{self.adapter}#{self.request_id}#{index} "


@dataclass(frozen=True, slots=True)
class Refusal:
    """An express refusal: nothing was run."""

    error: str


@dataclass(slots=True)
class Loading:
    """A load order under way."""

    adapter: str
    finished: Callable[[str], None]
    key: tuple[str, int] = ("", 0)


class Store(Protocol):
    """Where weights come from: a `WeightStoreModel` or a server around one."""

    def begin(self, key: tuple[str, int], ended: Callable[[], None]) -> None:
        """Begin to send an adapter."""

    def stop(self, key: tuple[str, int]) -> None:
        """Give up on a transfer."""


@dataclass(slots=True)
class EngineModel:
    """The state of one engine.

    Attributes
    ----------
    started : list of tuple
        Request id and attempt of all that was ever taken.
    steps, filled : int
        Steps run so far, and requests summed over them: their quotient over
        `max_batch` is the batch efficiency.
    violations : list of str
        What an engine must never see, such as an unload under a request.
    """

    name: str
    slots: int = 4
    max_batch: int = 16
    checks_fence: bool = True
    timing: EngineTiming = field(default_factory=EngineTiming)
    store: Store = field(default_factory=WeightStoreModel)
    now: timedelta = ZERO
    incarnation: str = ""
    leaving: bool = False
    role: str = "both"
    fail_loads: int = 0
    failing_adapters: set[str] = field(default_factory=set)
    steps: int = 0
    filled: int = 0
    loads: int = 0
    unloads: int = 0
    violations: list[str] = field(default_factory=list)
    runs_by_id: dict[tuple[str, int], Run] = field(default_factory=dict)
    batch: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)
    resident: dict[str, None] = field(default_factory=dict)
    loading: dict[str, Loading] = field(default_factory=dict)
    prefixes: dict[str, None] = field(default_factory=dict)
    started: list[tuple[str, int]] = field(default_factory=list)
    fence: tuple[int, int] = (-1, -1)
    step_ends_at: timedelta | None = None
    events_lag: timedelta = timedelta(milliseconds=500)
    events_gap: int = 10
    cache_events: list[tuple[timedelta, str, bool]] = field(default_factory=list)
    load_history: deque[tuple[timedelta, int, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY_KEPT)
    )
    orders: int = 0
    guard: Any = field(default_factory=nullcontext)
    _restarts: int = 0

    def __post_init__(self) -> None:
        self.incarnation = self.incarnation or f"{self.name}-0"

    # Work

    def submit(self, run: Run) -> Run | Refusal:
        """Take a request, or refuse it expressly."""
        if self.leaving:
            return Refusal("leaving")
        if run.adapter not in self.resident:
            return Refusal("not_loaded")
        if run.id in self.runs_by_id:
            return Refusal("busy")
        self.runs_by_id[run.id] = run
        self.started.append(run.id)
        self.waiting.append(run)
        if self.step_ends_at is None:
            self._begin_step()
        return run

    def cancel(self, run_id: tuple[str, int]) -> None:
        """Stop a request; its place in the batch is free at the next step."""
        run = self.runs_by_id.get(run_id)
        if run is not None and not run.ended:
            run.cancelled = True
            self._end(run)

    def running(self, adapter: str) -> int:
        """Return how many requests an adapter serves."""
        return sum(1 for run in [*self.batch, *self.waiting] if run.adapter == adapter)

    def _begin_step(self) -> None:
        self.waiting.sort(key=lambda run: -run.priority)
        while self.waiting and len(self.batch) < self.max_batch:
            self.batch.append(self.waiting.pop(0))
        if not self.batch:
            self.step_ends_at = None
            return
        timing = self.timing
        adapters = len({run.adapter for run in self.batch})
        took = timing.step + timing.per_request * len(self.batch)
        took += timing.per_adapter * adapters
        for run in self.batch:
            if run.produced == 0 and run.prefix not in self.prefixes:
                took += timing.prefill
                self._cache(run.prefix)
        self.step_ends_at = self.now + took

    def _cache(self, prefix: str) -> None:
        self.prefixes[prefix] = None
        self.cache_events.append((self.now, prefix, True))
        if len(self.prefixes) > PREFIXES_CACHED:
            oldest = next(iter(self.prefixes))
            del self.prefixes[oldest]
            self.cache_events.append((self.now, oldest, False))

    def _end_step(self) -> list[Run]:
        self.steps += 1
        self.filled += len(self.batch)
        self.load_history.append((self.now, len(self.batch), len(self.waiting)))
        produced = list(self.batch)
        for run in produced:
            run.produced += 1
            if run.produced >= run.tokens:
                self._end(run)
        return produced

    def _end(self, run: Run) -> None:
        run.ended = True
        if run in self.batch:
            self.batch.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)
        ended = [key for key, other in self.runs_by_id.items() if other.ended]
        for key in ended[:-ENDED_KEPT]:
            del self.runs_by_id[key]

    # Orders

    def order(self, body: dict[str, Any], finished: Callable[[str], None]) -> None:
        """Take an order; `finished` gets an error, or an empty text when done."""
        error = self._order_error(body)
        if error:
            finished(error)
            return
        if body["kind"] == "role":
            self.role = str(body.get("role", ""))
            finished("")
            return
        adapter = body["adapter"]
        if body["kind"] == "unload":
            self._unload(adapter, body.get("only_if_idle", False), finished)
            return
        if adapter in self.resident:
            finished("")
            return
        if len(self.resident) + len(self.loading) >= self.slots:
            finished("no_slot")
            return
        self.loading[adapter] = Loading(adapter, finished)
        self.orders += 1
        self.loading[adapter].key = (self.name, self.orders)
        self.store.begin(self.loading[adapter].key, partial(self._sent, adapter))

    def _order_error(self, body: dict[str, Any]) -> str:
        if body["incarnation"] != self.incarnation:
            return "wrong_incarnation"
        if not self.checks_fence:
            return ""
        fence = (body["fence"], body["number"])
        if fence <= self.fence:
            return "stale_fence"
        self.fence = fence
        return ""

    def _unload(
        self, adapter: str, only_if_idle: bool, finished: Callable[[str], None]
    ) -> None:
        if self.running(adapter):
            if only_if_idle:
                finished("in_use")
                return
            self.violations.append(f"unload of {adapter} under a request")
        self.resident.pop(adapter, None)
        self.unloads += 1
        finished("")

    def _sent(self, adapter: str) -> None:
        with self.guard:
            if adapter in self.loading:
                self._loaded(adapter)

    def _loaded(self, adapter: str) -> None:
        loading = self.loading.pop(adapter)
        if self.fail_loads > 0 or adapter in self.failing_adapters:
            self.fail_loads = max(0, self.fail_loads - 1)
            loading.finished("load_failed")
            return
        self.resident[adapter] = None
        self.loads += 1
        loading.finished("")

    def read(self, fence: tuple[int, int]) -> dict[str, Any]:
        """Return what the engine holds; the reader's fence shuts out older ones."""
        if self.checks_fence:
            self.fence = max(self.fence, fence)
        return {
            "incarnation": self.incarnation,
            "slots": [
                {"adapter": adapter, "running": self.running(adapter)}
                for adapter in self.resident
            ],
            "loading": list(self.loading),
            "leaving": self.leaving,
        }

    # Time and faults

    def next_at(self) -> timedelta | None:
        """Return when the next step ends."""
        return self.step_ends_at

    def advance(self, now: timedelta) -> list[Run]:
        """Go on to `now`; return the requests that produced a token, in order."""
        produced: list[Run] = []
        while self.step_ends_at is not None and self.step_ends_at <= now:
            self.now = self.step_ends_at
            produced.extend(self._end_step())
            self._begin_step()
        self.now = max(self.now, now)
        return produced

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return cache events after a number: late, and some are missing."""
        shown_before = self.now - self.events_lag
        return [
            {"number": number, "prefix": prefix, "cached": cached}
            for number, (at, prefix, cached) in enumerate(self.cache_events)
            if number > after
            and at <= shown_before
            and (number + 1) % self.events_gap != 0
        ]

    def report(self) -> dict[str, int]:
        """Return the load as it was a while ago."""
        shown = {"running": 0, "waiting": 0}
        for at, running, waiting in self.load_history:
            if at <= self.now - self.events_lag:
                shown = {"running": running, "waiting": waiting}
        return shown

    def restart(self) -> None:
        """Restart empty: everything that ran or was loaded is gone."""
        self._restarts += 1
        self.incarnation = f"{self.name}-{self._restarts}"
        for run in [*self.batch, *self.waiting]:
            run.broken = True
            run.ended = True
        for loading in list(self.loading.values()):
            self.store.stop(loading.key)
            loading.finished("wrong_incarnation")
        self.batch.clear()
        self.waiting.clear()
        self.runs_by_id.clear()
        self.resident.clear()
        self.loading.clear()
        self.prefixes.clear()
        self.fence = (-1, -1)
        self.step_ends_at = None


class EngineServer(StandInServer):
    """HTTP around an `EngineModel`, in real time."""

    def __init__(
        self,
        model: EngineModel,
        address: str = "127.0.0.1:0",
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address)
        self.model = model
        self._clock = clock or SystemClock()
        self._changed = threading.Condition()
        model.guard = self._changed
        self._closing = False
        self._stepper = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to answer and to run steps."""
        super().start()
        self._stepper.start()

    def close(self) -> None:
        """Stop answering."""
        self._closing = True
        with self._changed:
            self._changed.notify_all()
        super().close()

    def restart(self) -> None:
        """Restart empty; open answers are cut."""
        with self._changed:
            self.model.restart()
            self._changed.notify_all()

    def _run(self) -> None:
        while not self._closing:
            with self._changed:
                self._advance()
                due = self.model.next_at()
                wait = None
                if due is not None:
                    wait = (due - self._clock.monotonic()).total_seconds()
                if wait is None or wait > 0:
                    self._changed.wait(wait)

    def _advance(self) -> None:
        if self.model.advance(self._clock.monotonic()):
            self._changed.notify_all()

    # HTTP

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._complete(request)
        if path == "/v1/orders":
            return self._order(request)
        if path == "/v1/state":
            fence = (int(request.args["fence"]), int(request.args["number"]))
            with self._changed:
                return json_response(self.model.read(fence))
        if path.startswith("/v1/streams/"):
            request_id, attempt = path.removeprefix("/v1/streams/").split("/")
            return self._stream_again(request, (request_id, int(attempt)))
        if path == "/v1/events":
            with self._changed:
                after = int(request.args.get("after", -1))
                return json_response({"events": self.model.events(after)})
        if path == "/v1/load":
            with self._changed:
                return json_response(self.model.report())
        if path == "/control/restart":
            self.restart()
            return json_response({})
        if path == "/control/leave":
            with self._changed:
                self.model.leaving = True
            return json_response({})
        return json_response({"error": "not_found", "ran": False}, 404)

    def _complete(self, request: Request) -> Response:
        body = json.loads(request.get_data())
        prompt = str(body.get("prompt") or body.get("messages"))
        run = Run(
            request.headers.get("X-Request-Id", uuid4().hex),
            int(request.headers.get("X-Attempt", 1)),
            body["model"],
            body.get("max_tokens") or 16,
            int(request.headers.get("X-Priority", 1)),
            prompt[:PREFIX_LETTERS],
        )
        with self._changed:
            self._advance()
            taken = self.model.submit(run)
            self._changed.notify_all()
        if isinstance(taken, Refusal):
            return json_response({"error": taken.error, "ran": False}, 409)
        headers = self._headers(run)
        if body.get("stream"):
            return Response(
                self._events(request.environ, run, 0),
                content_type="text/event-stream",
                headers=headers,
            )
        return self._whole(request, run, headers)

    def _order(self, request: Request) -> Response:
        body = json.loads(request.get_data())
        result: Future[str] = Future()
        with self._changed:
            self._advance()
            self.model.order(body, result.set_result)
        error = result.result()
        if error:
            return json_response({"error": error}, 409)
        return json_response({})

    def _headers(self, run: Run) -> dict[str, str]:
        return {
            "X-Request-Id": run.request_id,
            "X-Adapter": run.adapter,
            "X-Engine-Incarnation": self.model.incarnation,
        }

    def _whole(self, request: Request, run: Run, headers: dict[str, str]) -> Response:
        with self._changed:
            while not run.ended and not self._closing:
                self._changed.wait(STREAM_WAIT_SECONDS)
        if run.broken or self._closing:
            cut(request.environ)
            return Response()
        text = "".join(run.token(index) for index in range(run.produced))
        body = {
            "id": run.request_id,
            "model": run.adapter,
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
            "usage": {"completion_tokens": run.produced},
        }
        response = json_response(body)
        response.headers.extend(headers)
        return response

    def _events(self, environ: dict[str, Any], run: Run, first: int) -> Iterator[bytes]:
        index = first
        while True:
            with self._changed:
                while run.produced <= index and not run.ended and not self._closing:
                    self._changed.wait(STREAM_WAIT_SECONDS)
                produced, ended, broken = run.produced, run.ended, run.broken
            if broken or self._closing:
                cut(environ)
                return
            events = [_event(run, number) for number in range(index, produced)]
            index = produced
            if ended:
                events.append(b"data: [DONE]\n\n")
            if events:
                yield b"".join(events)
            if ended:
                return

    def _stream_again(self, request: Request, run_id: tuple[str, int]) -> Response:
        if request.method == "DELETE":
            with self._changed:
                self.model.cancel(run_id)
                self._changed.notify_all()
            return json_response({})
        with self._changed:
            run = self.model.runs_by_id.get(run_id)
        if run is None:
            return json_response({"error": "gone", "ran": True}, 410)
        first = int(request.args.get("from", 0))
        return Response(
            self._events(request.environ, run, first),
            content_type="text/event-stream",
            headers=self._headers(run),
        )


def _event(run: Run, index: int) -> bytes:
    choice = {"index": 0, "text": run.token(index), "delta": {"content": ""}}
    body = {"id": run.request_id, "model": run.adapter, "choices": [choice]}
    return f"id: {index}\ndata: {json.dumps(body)}\n\n".encode()
