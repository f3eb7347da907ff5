"""The entry's part of a request: from the caller to a home and back.

It pins the version, chooses the upstream, passes the request to that upstream's
home and hands the answer back in order. What does not fit the call it belongs to
(late, doubled, foreign, out of order) never reaches the caller.
"""

from dataclasses import dataclass, field, replace
from datetime import timedelta

from .admission import RetryBudget
from .clock import Clock
from .failures import Failure, Outcome, Reason, Step, not_run
from .outside import (
    CallerRequest,
    Outside,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
)
from .types import AdapterVersion, Job, Priority

HOME_PATIENCE = timedelta(seconds=8)
WAIT_STEP = timedelta(milliseconds=100)
EXPIRE_GRACE = timedelta(milliseconds=500)
MOST_ATTEMPTS = 6
FREE_RETRIES = frozenset({Reason.HOME_MOVED, Reason.NO_HOME})
SAME_UPSTREAM = frozenset({Reason.HOME_MOVED, Reason.NO_HOME, Reason.HOME_LOST})
"""The upstream is as good as before; only its home has changed."""
RETRIED = frozenset(
    {
        Reason.HOME_MOVED,
        Reason.NO_HOME,
        Reason.NO_ORDERS,
        Reason.UPSTREAM_LEAVING,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_UNREACHABLE,
        Reason.UPSTREAM_RESTARTED,
        Reason.UPSTREAM_ERROR,
        Reason.NOT_RESIDENT,
        Reason.LOAD_FAILED,
        Reason.QUEUE_FULL,
        Reason.OVERLOADED,
        Reason.HOME_LOST,
        Reason.ANSWER_CUT,
        Reason.TIMEOUT,
        Reason.STOPPING,
    }
)


@dataclass(frozen=True, slots=True)
class Target:
    """What a request has been resolved to, pinned at one offset."""

    adapter: AdapterVersion | None
    weights: str
    priority: Priority
    team: str


@dataclass(slots=True)
class Call:
    """One open request of a caller.

    Parameters
    ----------
    home : str
        Where it was sent; empty while it waits for a home.
    started : bool
        True once it may have run.
    index : int
        Number of the next event or byte that the caller shall get.
    resuming : bool
        True if its stream is now read from the engine directly.
    earlier : Outcome
        What is known of the last earlier attempt that may have run.
    """

    request: CallerRequest
    target: Target
    deadline: timedelta
    attempt: int = 0
    upstream: str = ""
    home: str = ""
    started: bool = False
    headed: bool = False
    index: int = 0
    resuming: bool = False
    job: Job | None = None
    tried: set[str] = field(default_factory=set)
    waiting_since: timedelta | None = None
    next_try: timedelta = timedelta()
    paid_retries: int = 0
    earlier: Outcome = Outcome.NOT_RUN
    last: Failure | None = None


class Router:
    """What `Entry` needs to know of the rest; `core.Instance` implements it."""

    def resolve(self, request: CallerRequest) -> Target | Failure:
        """Return what is asked for, pinned to a version."""
        raise NotImplementedError

    def choose(self, call: Call) -> str | Failure:
        """Return the upstream for a call."""
        raise NotImplementedError

    def home_of(self, upstream: str) -> str | None:
        """Return the instance that is an upstream's home, if one is known."""
        raise NotImplementedError

    def open(self, home: str, job: Job) -> bool:
        """Pass a job to its home; return False if there is no link."""
        raise NotImplementedError

    def close(self, home: str, job: Job) -> None:
        """Tell a home that the caller has gone."""
        raise NotImplementedError

    def credit(self, home: str, job: Job, count: int) -> None:
        """Tell a home that the caller has taken so many bytes."""
        raise NotImplementedError

    def address(self, upstream: str) -> str:
        """Return the address of an upstream."""
        raise NotImplementedError


class Entry:
    """The open calls of one instance."""

    def __init__(
        self,
        name: str,
        router: Router,
        outside: Outside,
        clock: Clock,
        budget: RetryBudget,
    ) -> None:
        self.name = name
        self.calls: dict[str, Call] = {}
        self._router = router
        self._outside = outside
        self._clock = clock
        self._budget = budget

    def submit(self, request: CallerRequest) -> None:
        """Take in a caller's request."""
        target = self._router.resolve(request)
        if isinstance(target, Failure):
            self._outside.count("refusals", target.reason)
            self._outside.reply(request.request_id, ReplyFailure(target))
            return
        now = self._clock.monotonic()
        call = Call(request, target, now + request.timeout)
        self.calls[request.request_id] = call
        self._budget.requested()
        self._send(call)

    def _send(self, call: Call) -> None:
        now = self._clock.monotonic()
        if call.deadline <= now:
            failure = not_run(Reason.DEADLINE, Step.ROUTE)
            self._fail(call, failure)
            return
        upstream = self._router.choose(call)
        if isinstance(upstream, Failure):
            if upstream.reason is Reason.NO_UPSTREAM and call.last is not None:
                upstream = call.last
            if upstream.reason in FREE_RETRIES:
                self._wait(call, upstream)
            else:
                self._fail(call, upstream)
            return
        home = self._router.home_of(upstream)
        if home is None:
            self._wait(call, not_run(Reason.NO_HOME, Step.ROUTE, upstream))
            return
        self._open(call, upstream, home, now)

    def _open(self, call: Call, upstream: str, home: str, now: timedelta) -> None:
        call.attempt += 1
        call.upstream = upstream
        call.home = home
        call.started = False
        call.job = self._job(call, now)
        if not self._router.open(home, call.job):
            call.home = ""
            self._wait(call, not_run(Reason.NO_HOME, Step.ROUTE, home))

    def _job(self, call: Call, now: timedelta) -> Job:
        request, target = call.request, call.target
        return Job(
            request_id=request.request_id,
            attempt=call.attempt,
            entry=self.name,
            upstream=call.upstream,
            adapter=target.adapter,
            priority=target.priority,
            deadline=call.deadline,
            enqueued_at=now,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            stream=request.stream,
            repeatable=request.repeatable,
            key=request.key,
            tokens=request.tokens,
            team=target.team,
            weights=target.weights,
        )

    def _wait(self, call: Call, failure: Failure) -> None:
        """Keep a call until its upstream has a home again."""
        now = self._clock.monotonic()
        if call.waiting_since is None:
            call.waiting_since = now
        call.home = ""
        call.last = failure
        call.next_try = now + WAIT_STEP
        if now - call.waiting_since >= HOME_PATIENCE:
            self._fail(call, failure)

    def tick(self) -> None:
        """Send again what waits for a home, and end what is past its deadline."""
        now = self._clock.monotonic()
        for call in list(self.calls.values()):
            if not call.home and not call.resuming:
                if call.next_try <= now:
                    self._send(call)
                continue
            if call.deadline + EXPIRE_GRACE > now:
                continue
            self._expire(call)

    def _expire(self, call: Call) -> None:
        assert call.job is not None
        self._router.close(call.home, call.job)
        outcome = Outcome.UNKNOWN
        if call.headed:
            outcome = Outcome.FAILED
        self._fail(call, Failure(Reason.DEADLINE, outcome, Step.ANSWER, call.upstream))

    # What comes back

    def _current(self, job_id: tuple[str, int], source: str) -> Call | None:
        call = self.calls.get(job_id[0])
        if call is None:
            return None
        expected = call.upstream if call.resuming else call.home
        if call.attempt != job_id[1] or source != expected:
            self._outside.count("bad_frames", "foreign")
            return None
        return call

    def started(self, job_id: tuple[str, int], source: str) -> None:
        """Note that the home is about to send the request upstream."""
        call = self._current(job_id, source)
        if call is not None:
            call.started = True
            call.waiting_since = None

    def head(
        self,
        job_id: tuple[str, int],
        source: str,
        status: int,
        headers: dict[str, str],
    ) -> None:
        """Take in the status and headers of the answer."""
        call = self._current(job_id, source)
        if call is None or call.headed:
            return
        call.started = True
        call.headed = True
        self._outside.reply(
            job_id[0], ReplyHead(status, headers, call.upstream, call.target.adapter)
        )

    def data(
        self, job_id: tuple[str, int], source: str, index: int, count: int, data: bytes
    ) -> None:
        """Take in a piece of the answer; only the very next one is passed on."""
        call = self._current(job_id, source)
        if call is None or not call.headed:
            return
        if index < call.index:
            self._outside.count("bad_frames", "doubled")
            return
        if index > call.index:
            self._outside.count("bad_frames", "gap")
            self._broken(call, Reason.ANSWER_CUT)
            return
        call.index += count
        self._outside.reply(job_id[0], ReplyData(data))

    def end(self, job_id: tuple[str, int], source: str, count: int) -> None:
        """Take in the end of the answer; it must have come whole."""
        call = self._current(job_id, source)
        if call is None:
            return
        if not call.headed or count != call.index:
            self._broken(call, Reason.ANSWER_CUT)
            return
        del self.calls[job_id[0]]
        self._outside.count("answers", call.upstream)
        self._outside.reply(job_id[0], ReplyEnd())

    def failed(self, job_id: tuple[str, int], source: str, failure: Failure) -> None:
        """Take in a failure of the current attempt."""
        call = self._current(job_id, source)
        if call is None:
            return
        call.resuming = False
        self._retry_or_fail(call, failure)

    def home_lost(self, home: str) -> None:
        """Note that the link to a home is gone."""
        for call in list(self.calls.values()):
            if call.home == home and not call.resuming:
                self._broken(call, Reason.HOME_LOST)

    def caller_left(self, request_id: str) -> None:
        """Forget a call whose caller has gone."""
        call = self.calls.pop(request_id, None)
        if call is None:
            return
        self._outside.count("refusals", Reason.CALLER_LEFT)
        if call.job is not None and (call.home or call.resuming):
            self._router.close(call.home, call.job)

    def consumed(self, request_id: str, count: int) -> None:
        """Note that the caller has taken so many bytes."""
        call = self.calls.get(request_id)
        if call is not None and call.job is not None:
            self._router.credit(call.home, call.job, count)

    def _broken(self, call: Call, reason: Reason) -> None:
        """Deal with an answer that cannot go on where it was."""
        streams = call.request.stream and call.target.adapter is not None
        if streams and call.headed and not call.resuming:
            call.resuming = True
            assert call.job is not None
            self._outside.count("retries", "resume")
            address = self._router.address(call.upstream)
            self._outside.resume(call.job, address, call.index)
            return
        call.resuming = False
        outcome = Outcome.FAILED if call.headed else Outcome.UNKNOWN
        failure = Failure(reason, outcome, Step.ANSWER, call.home or call.upstream)
        self._retry_or_fail(call, failure)

    def _retry_or_fail(self, call: Call, failure: Failure) -> None:
        if not self._may_retry(call, failure):
            self._fail(call, failure)
            return
        self._outside.count("retries", failure.reason)
        if failure.outcome is not Outcome.NOT_RUN:
            call.earlier = failure.outcome
        call.last = failure
        call.home = ""
        if failure.reason in SAME_UPSTREAM:
            self._wait(call, failure)
            return
        call.tried.add(call.upstream)
        self._send(call)

    def _may_retry(self, call: Call, failure: Failure) -> bool:
        ran = failure.outcome is not Outcome.NOT_RUN
        if ran and not call.request.repeatable:
            return False
        if call.headed or failure.reason not in RETRIED:
            return False
        if failure.reason in FREE_RETRIES:
            return True
        if call.paid_retries >= MOST_ATTEMPTS:
            return False
        call.paid_retries += 1
        return self._budget.allow()

    def _fail(self, call: Call, failure: Failure) -> None:
        del self.calls[call.request.request_id]
        if failure.outcome is Outcome.NOT_RUN:
            # This attempt was not run, but one before it may have been.
            failure = replace(failure, outcome=call.earlier)
        kind = "refusals" if failure.outcome is Outcome.NOT_RUN else "failures"
        self._outside.count(kind, failure.reason)
        self._outside.reply(call.request.request_id, ReplyFailure(failure))
