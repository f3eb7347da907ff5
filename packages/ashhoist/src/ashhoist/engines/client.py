"""Requests to model engines: work, orders and read-backs."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from .. import bridge
from ..actions import Order, OrderResult
from ..claims import Authority
from ..clock import ZERO, Clock
from ..failures import Failure, Outcome, Reason, Step
from ..home import EngineState
from ..tasks import Task
from ..transfers import Abort, Pause, Transfer, TransferEnd, WholeSink
from ..types import AdapterVersion, Job
from ._answers import core_sink, resume_sink

READ_TIMEOUT = timedelta(seconds=3)
CANCEL_TIMEOUT = timedelta(seconds=3)
SHORTEST_TIMEOUT = timedelta(milliseconds=50)
RESULTS_BY_ERROR = {
    "load_failed": OrderResult.FAILED,
    "stale_fence": OrderResult.STALE_FENCE,
    "wrong_incarnation": OrderResult.WRONG_INCARNATION,
    "in_use": OrderResult.IN_USE,
    "no_slot": OrderResult.NO_SLOT,
}


class EngineClient:
    """Sends requests to engines through the transfer task.

    Parameters
    ----------
    send : callable
        Takes the messages to the core task.
    send_bound : timedelta
        An order that has not left within this time is not sent.
    load_timeout : timedelta
        How long an engine may take over an order.
    """

    def __init__(
        self,
        transfers: Task,
        send: Callable[[Any], None],
        clock: Clock,
        send_bound: timedelta,
        load_timeout: timedelta,
    ) -> None:
        self._transfers = transfers
        self._send = send
        self._clock = clock
        self._send_bound = send_bound
        self._load_timeout = load_timeout

    def dispatch(self, job: Job, address: str) -> None:
        """Send a job to an engine."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": job.request_id,
            "X-Attempt": str(job.attempt),
            "X-Priority": str(int(job.priority)),
            "X-Fence": str(job.fence),
        }
        self._transfers.send(
            Transfer(
                ("job", *job.id),
                "POST",
                f"{address}{job.path}",
                core_sink(job, self._send),
                headers,
                _engine_body(job),
                self._time_left(job),
                once=not job.repeatable,
            )
        )

    def resume(self, job: Job, address: str, index: int) -> None:
        """Go on with a stream from an event number."""
        self._transfers.send(
            Transfer(
                ("resume", *job.id),
                "GET",
                f"{address}/v1/streams/{job.request_id}/{job.attempt}?from={index}",
                resume_sink(job, index, self._send),
                timeout=self._time_left(job),
            )
        )

    def cancel(self, job: Job, address: str) -> None:
        """Cancel a job; the engine frees its place in the batch."""
        self._transfers.send(Abort(("job", *job.id)))
        self._transfers.send(Abort(("resume", *job.id)))
        self._transfers.send(
            Transfer(
                ("cancel", *job.id),
                "DELETE",
                f"{address}/v1/streams/{job.request_id}/{job.attempt}",
                WholeSink(lambda end, headers, body: self._cancelled(job)),
                timeout=CANCEL_TIMEOUT,
            )
        )

    def _cancelled(self, job: Job) -> None:
        """Tell the home, which holds the slot until the engine has let go."""
        failure = Failure(
            Reason.CALLER_LEFT, Outcome.UNKNOWN, Step.ANSWER, job.upstream
        )
        self._send(bridge.DispatchDone(job.id, 0, failure))

    def pause(self, job_id: tuple[str, int], paused: bool) -> None:
        """Stop or go on reading a job's answer."""
        self._transfers.send(Pause(("job", *job_id), paused))

    def send_order(self, order: Order, address: str, authority: Authority) -> None:
        """Send an order; it leaves only while the authority for it holds."""
        self._transfers.send(
            Transfer(
                ("order", order.upstream, order.token, order.number),
                "POST",
                f"{address}/v1/orders",
                WholeSink(lambda end, headers, data: self._ordered(order, end, data)),
                {"Content-Type": "application/json"},
                json.dumps(order_body(order)).encode(),
                self._load_timeout,
                once=True,
                may_start=lambda: authority.may_order(
                    self._clock.monotonic(), self._send_bound
                ),
            )
        )

    def _ordered(self, order: Order, end: TransferEnd, data: bytes) -> None:
        self._send(bridge.OrderDone(order, _order_result(end, data)))

    def read(self, upstream: str, address: str, token: int, number: int) -> None:
        """Read back what an engine holds; raises its fence to the reader's."""
        self._transfers.send(
            Transfer(
                ("read", upstream),
                "GET",
                f"{address}/v1/state?fence={token}&number={number}",
                WholeSink(
                    lambda end, headers, data: self._send(
                        bridge.EngineRead(upstream, _engine_state(end, data))
                    )
                ),
                timeout=READ_TIMEOUT,
            )
        )

    def _time_left(self, job: Job) -> timedelta:
        left = job.deadline - self._clock.monotonic()
        return max(SHORTEST_TIMEOUT, left) if left > ZERO else SHORTEST_TIMEOUT


def _engine_body(job: Job) -> bytes:
    body = json.loads(job.body)
    body["model"] = str(job.adapter)
    return json.dumps(body).encode()


def _order_result(end: TransferEnd, data: bytes) -> OrderResult:
    if not end.sent:
        return OrderResult.NOT_SENT
    if not end.ok:
        return OrderResult.UNKNOWN
    if end.status == 200:
        return OrderResult.DONE
    try:
        error = json.loads(data).get("error")
    except (ValueError, AttributeError):
        return OrderResult.UNKNOWN
    return RESULTS_BY_ERROR.get(error, OrderResult.UNKNOWN)


def _engine_state(end: TransferEnd, data: bytes) -> EngineState | None:
    if not end.ok or end.status != 200:
        return None
    try:
        return parse_state(json.loads(data))
    except (ValueError, KeyError, TypeError):
        return None


def order_body(order: Order) -> dict[str, Any]:
    """Return an order as the value that is sent to the engine."""
    return {
        "kind": order.kind.value,
        "adapter": str(order.adapter),
        "weights": order.weights,
        "fence": order.token,
        "number": order.number,
        "incarnation": order.incarnation,
        "only_if_idle": True,
    }


def parse_state(state: Any) -> EngineState:
    """Return an engine's state from the value that it answers.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the value is malformed.
    """
    return EngineState(
        str(state["incarnation"]),
        {
            AdapterVersion.parse(slot["adapter"]): int(slot["running"])
            for slot in state["slots"]
        },
        frozenset(AdapterVersion.parse(text) for text in state["loading"]),
        bool(state.get("leaving", False)),
    )
