"""The home's side of answers: from the upstream to the request's entry."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from . import messages
from .failures import Failure, Reason, Step, not_run
from .outside import JobId
from .types import Job

if TYPE_CHECKING:
    from .core import Instance


@dataclass(slots=True)
class Flow:
    """Bytes of one answer that its entry has not yet taken."""

    open_bytes: int = 0
    paused: bool = False


class Answers:
    """The jobs of the homes here, and what goes back to their entries."""

    def __init__(self, core: "Instance") -> None:
        self._core = core
        self.jobs: dict[JobId, Job] = {}
        self.flows: dict[JobId, Flow] = defaultdict(Flow)

    def submit(self, job: Job) -> None:
        """Take in a job for a home here."""
        self.jobs[job.id] = job
        if not self._core.homes.submit(job):
            self.tell_failed(
                job,
                not_run(Reason.HOME_MOVED, Step.ADMIT, self._core.name, job.upstream),
            )

    def tell_failed(self, job: Job, failure: Failure) -> None:
        """Tell a job's entry that it failed."""
        self.jobs.pop(job.id, None)
        self.flows.pop(job.id, None)
        if job.entry == self._core.name:
            self._core.entry.failed(job.id, self._core.name, failure)
            return
        retry_after = -1
        if failure.retry_after is not None:
            retry_after = failure.retry_after // timedelta(milliseconds=1)
        self._core.outside.send_to(
            job.entry,
            messages.Failed(
                job.request_id,
                job.attempt,
                failure.reason.value,
                failure.outcome.value,
                failure.step.value,
                failure.peer,
                failure.detail,
                retry_after,
            ),
        )

    def tell_started(self, job: Job) -> None:
        """Tell a job's entry that it is about to be sent."""
        if job.entry == self._core.name:
            self._core.entry.started(job.id, self._core.name)
        else:
            load = self._core.homes.load_list(job.upstream)
            started = messages.Started(job.request_id, job.attempt, load)
            self._core.outside.send_to(job.entry, started)

    def dispatch_head(
        self, job_id: JobId, status: int, headers: dict[str, str], incarnation: str
    ) -> None:
        """Take in the head of an upstream's answer."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        self._core.homes.saw_incarnation(job.upstream, incarnation)
        if job.entry == self._core.name:
            self._core.entry.head(job_id, self._core.name, status, headers)
            return
        head = messages.Head(job_id[0], job_id[1], status, headers)
        self._core.outside.send_to(job.entry, head)

    def dispatch_data(self, job_id: JobId, index: int, count: int, data: bytes) -> None:
        """Take in a piece of an upstream's answer."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        flow = self.flows[job_id]
        flow.open_bytes += len(data)
        if flow.open_bytes > self._core.settings.window_bytes and not flow.paused:
            flow.paused = True
            self._core.outside.pause(job_id, True)
        if job.entry == self._core.name:
            self._core.entry.data(job_id, self._core.name, index, count, data)
            return
        item = messages.Data(job_id[0], job_id[1], index, count, data)
        self._core.outside.send_to(job.entry, item)

    def dispatch_done(self, job_id: JobId, count: int, failure: Failure | None) -> None:
        """Take in the end of an upstream's answer.

        Parameters
        ----------
        count : int
            How many events or bytes the whole answer had.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        if failure is None:
            self.jobs.pop(job_id, None)
            self.flows.pop(job_id, None)
            if job.entry == self._core.name:
                self._core.entry.end(job_id, self._core.name, count)
            else:
                end = messages.End(job_id[0], job_id[1], count)
                self._core.outside.send_to(job.entry, end)
        self._core.homes.dispatch_done(job, failure)

    def credited(self, job_id: JobId, count: int) -> None:
        """Note that the entry has taken so many bytes."""
        flow = self.flows.get(job_id)
        if flow is None:
            return
        flow.open_bytes -= count
        if flow.paused and flow.open_bytes <= self._core.settings.window_bytes // 2:
            flow.paused = False
            self._core.outside.pause(job_id, False)

    def resumed_data(self, job: Job, index: int, count: int, data: bytes) -> None:
        """Take in a piece of a resumed stream."""
        self._core.entry.data(job.id, job.upstream, index, count, data)

    def resumed_done(self, job: Job, count: int, failure: Failure | None) -> None:
        """Take in the end of a resumed stream."""
        if failure is None:
            self._core.entry.end(job.id, job.upstream, count)
        else:
            self._core.entry.failed(job.id, job.upstream, failure)
