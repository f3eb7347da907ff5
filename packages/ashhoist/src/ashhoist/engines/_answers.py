"""Sinks that turn an engine's answers into messages to the core."""

import json
from collections.abc import Callable
from typing import Any

from .. import bridge
from ..failures import Failure, Outcome, Reason, Step, not_run
from ..transfers import TransferEnd
from ..types import Job
from ._events import EventSplitter

PASSED_ON = frozenset({200, 400, 413, 422})
REASONS_BY_ERROR = {
    "not_loaded": Reason.NOT_RESIDENT,
    "leaving": Reason.UPSTREAM_LEAVING,
    "busy": Reason.UPSTREAM_REFUSED,
    "stale_fence": Reason.STALE_FENCE,
}
LONGEST_REFUSAL = 65_536
ENGINE_HEADERS = ("content-type",)

SendData = Callable[[int, int, bytes], None]
SendDone = Callable[[int, Failure | None], None]
SendHead = Callable[[int, dict[str, str], str], None]


class AnswerSink:
    """Takes one answer of an engine, whole or streamed.

    Parameters
    ----------
    first : int
        Number of the first event that is asked for.
    """

    def __init__(
        self,
        job: Job,
        first: int,
        send_head: SendHead,
        send_data: SendData,
        send_done: SendDone,
    ) -> None:
        self._job = job
        self._index = first
        self._send_head = send_head
        self._send_data = send_data
        self._send_done = send_done
        self._splitter = EventSplitter()
        self._events: list[bytes] = []
        self._status = 0
        self._streams = False
        self._refusal = b""
        self._wrong = ""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers."""
        self._status = status
        kind = headers.get("content-type", "")
        self._streams = kind.startswith("text/event-stream")
        self._wrong = self._mismatch(headers)
        if status not in PASSED_ON or self._wrong:
            return
        passed = {name: headers[name] for name in ENGINE_HEADERS if name in headers}
        self._send_head(status, passed, headers.get("x-engine-incarnation", ""))

    def _mismatch(self, headers: dict[str, str]) -> str:
        request_id = headers.get("x-request-id", self._job.request_id)
        if request_id != self._job.request_id:
            return "the answer is to another request"
        adapter = headers.get("x-adapter")
        if adapter is not None and adapter != str(self._job.adapter):
            return f"the answer is of adapter {adapter}"
        return ""

    def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._wrong:
            return
        if self._status not in PASSED_ON:
            self._refusal = (self._refusal + data)[:LONGEST_REFUSAL]
            return
        if self._streams:
            self._events.extend(self._splitter.feed(data))
        else:
            self._events.append(data)

    def flush(self) -> None:
        """Pass on what was collected in this round."""
        if not self._events:
            return
        data = b"".join(self._events)
        count = len(self._events) if self._streams else len(data)
        self._events.clear()
        self._send_data(self._index, count, data)
        self._index += count

    def done(self, end: TransferEnd) -> None:
        """Pass on the end."""
        self._send_done(self._index, self._failure(end))

    def _failure(self, end: TransferEnd) -> Failure | None:
        upstream = self._job.upstream
        if self._wrong:
            return Failure(
                Reason.UPSTREAM_ERROR,
                Outcome.FAILED,
                Step.ANSWER,
                upstream,
                self._wrong,
            )
        if not end.sent:
            return not_run(
                Reason.UPSTREAM_UNREACHABLE, Step.DISPATCH, upstream, end.detail
            )
        if end.status and end.status not in PASSED_ON and end.ok:
            return self._refused(end.status)
        if not end.ok:
            return self._cut(end)
        whole = not self._streams or (
            self._splitter.ended and not self._splitter.partial
        )
        if whole:
            return None
        return Failure(
            Reason.ANSWER_CUT,
            Outcome.FAILED,
            Step.ANSWER,
            upstream,
            "the stream ended early",
        )

    def _cut(self, end: TransferEnd) -> Failure:
        outcome = Outcome.FAILED if end.status == 200 else Outcome.UNKNOWN
        return Failure(
            Reason.ANSWER_CUT, outcome, Step.ANSWER, self._job.upstream, end.detail
        )

    def _refused(self, status: int) -> Failure:
        body = _as_object(self._refusal)
        error = str(body.get("error", ""))
        upstream = self._job.upstream
        if body.get("ran") is False:
            reason = REASONS_BY_ERROR.get(error, Reason.UPSTREAM_REFUSED)
            return not_run(reason, Step.DISPATCH, upstream, error)
        return Failure(
            Reason.UPSTREAM_ERROR,
            Outcome.FAILED,
            Step.ANSWER,
            upstream,
            f"status {status}",
        )


def _as_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def core_sink(job: Job, send: Callable[[Any], None]) -> AnswerSink:
    """Return the sink of a job that this instance dispatches as its home."""
    return AnswerSink(
        job,
        0,
        lambda status, headers, incarnation: send(
            bridge.DispatchHead(job.id, status, headers, incarnation)
        ),
        lambda index, count, data: send(
            bridge.DispatchData(job.id, index, count, data)
        ),
        lambda count, failure: send(bridge.DispatchDone(job.id, count, failure)),
    )


def resume_sink(job: Job, index: int, send: Callable[[Any], None]) -> AnswerSink:
    """Return the sink of a stream that this instance resumes as its entry."""
    return AnswerSink(
        job,
        index,
        lambda status, headers, incarnation: None,
        lambda first, count, data: send(bridge.ResumedData(job, first, count, data)),
        lambda count, failure: send(bridge.ResumedDone(job, count, failure)),
    )
