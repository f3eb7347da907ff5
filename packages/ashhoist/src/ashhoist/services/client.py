"""Requests to plain services."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from .. import bridge
from ..clock import Clock
from ..failures import Failure, Outcome, Reason, Step, not_run
from ..tasks import Task
from ..transfers import Abort, Transfer, TransferEnd
from ..types import Job

SHORTEST_TIMEOUT = timedelta(milliseconds=50)
NOT_PASSED_ON = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
    }
)


class _ServiceSink:
    """Takes one answer of a service. Any whole HTTP answer is the answer."""

    def __init__(self, job: Job, send: Callable[[Any], None]) -> None:
        self._job = job
        self._send = send
        self._parts: list[bytes] = []
        self._index = 0

    def head(self, status: int, headers: dict[str, str]) -> None:
        passed = {
            name: value for name, value in headers.items() if name not in NOT_PASSED_ON
        }
        self._send(bridge.DispatchHead(self._job.id, status, passed, ""))

    def data(self, data: bytes) -> None:
        self._parts.append(data)

    def flush(self) -> None:
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._send(bridge.DispatchData(self._job.id, self._index, len(data), data))
        self._index += len(data)

    def done(self, end: TransferEnd) -> None:
        failure = self._failure(end)
        self._send(bridge.DispatchDone(self._job.id, self._index, failure))

    def _failure(self, end: TransferEnd) -> Failure | None:
        upstream = self._job.upstream
        if not end.sent:
            return not_run(
                Reason.UPSTREAM_UNREACHABLE, Step.DISPATCH, upstream, end.detail
            )
        if end.ok:
            return None
        outcome = Outcome.FAILED if end.status else Outcome.UNKNOWN
        return Failure(Reason.ANSWER_CUT, outcome, Step.ANSWER, upstream, end.detail)


class ServiceClient:
    """Sends requests to services through the transfer task."""

    def __init__(
        self, transfers: Task, send: Callable[[Any], None], clock: Clock
    ) -> None:
        self._transfers = transfers
        self._send = send
        self._clock = clock

    def dispatch(self, job: Job, address: str) -> None:
        """Send a job to a service."""
        left = job.deadline - self._clock.monotonic()
        headers = {**job.headers, "X-Request-Id": job.request_id}
        if job.key:
            headers["Idempotency-Key"] = job.key
        self._transfers.send(
            Transfer(
                ("job", *job.id),
                job.method,
                f"{address}{job.path}",
                _ServiceSink(job, self._send),
                headers,
                job.body if job.body or job.method in ("POST", "PUT") else None,
                max(SHORTEST_TIMEOUT, left),
                once=not job.repeatable,
            )
        )

    def cancel(self, job: Job) -> None:
        """Give up on a job; the service may have run it."""
        self._transfers.send(Abort(("job", *job.id)))
        failure = Failure(
            Reason.CALLER_LEFT, Outcome.UNKNOWN, Step.ANSWER, job.upstream
        )
        self._send(bridge.DispatchDone(job.id, 0, failure))
