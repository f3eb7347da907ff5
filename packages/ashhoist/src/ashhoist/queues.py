"""The queue of one home: bounded, by priority with ageing, by adapter.

Ageing lifts a job by one class for each `ageing` it has waited. The order of
two jobs then never changes while they wait, so a heap per adapter keeps it.
"""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from .types import AdapterVersion, Job

Entry = tuple[float, int, Job]


@dataclass(slots=True)
class JobQueue:
    """Jobs that wait, by adapter.

    Parameters
    ----------
    limit : int
        Most jobs that wait at once.
    ageing : timedelta
        Wait that counts as much as one class of priority. Zero ignores
        priorities: first come, first served.
    """

    limit: int
    ageing: timedelta
    heaps: dict[AdapterVersion | None, list[Entry]] = field(default_factory=dict)
    by_id: dict[tuple[str, int], Job] = field(default_factory=dict)
    counter: int = 0

    def __len__(self) -> int:
        return len(self.by_id)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self.by_id.values()))

    def rank(self, job: Job) -> float:
        """Return the sort key of a job; the smallest goes first."""
        lift = self.ageing.total_seconds() * int(job.priority)
        return job.enqueued_at.total_seconds() - lift

    def push(self, job: Job) -> Job | None:
        """Add a job.

        Returns
        -------
        Job or None
            The job that has to go because the queue is full: the one of the
            lowest priority that came last, perhaps the new one itself.
        """
        dropped = None
        if len(self.by_id) >= self.limit:
            lowest = min(
                [*self.by_id.values(), job],
                key=lambda other: (other.priority, -other.enqueued_at),
            )
            if lowest.priority >= job.priority:
                return job
            self.remove(lowest.id)
            dropped = lowest
        self.counter += 1
        heap = self.heaps.setdefault(job.adapter, [])
        heapq.heappush(heap, (self.rank(job), self.counter, job))
        self.by_id[job.id] = job
        return dropped

    def remove(self, job_id: tuple[str, int]) -> Job | None:
        """Take out a job wherever it stands."""
        job = self.by_id.pop(job_id, None)
        if job is not None:
            self._trim(job.adapter)
        return job

    def head(self, adapter: AdapterVersion | None) -> Job | None:
        """Return the next job for an adapter without taking it."""
        heap = self.heaps.get(adapter)
        return heap[0][2] if heap else None

    def pop_first(self, adapters: Iterable[AdapterVersion | None]) -> Job | None:
        """Take the first job among those for the given adapters."""
        best: Entry | None = None
        for adapter in adapters:
            heap = self.heaps.get(adapter)
            if heap and (best is None or heap[0] < best):
                best = heap[0]
        if best is None:
            return None
        return self.remove(best[2].id)

    def adapters(self) -> list[AdapterVersion | None]:
        """Return the adapters that jobs wait for."""
        return list(self.heaps)

    def waiting_for(self, adapter: AdapterVersion | None) -> list[Job]:
        """Return the jobs that wait for an adapter, in no order."""
        return [
            job for _, _, job in self.heaps.get(adapter, ()) if job.id in self.by_id
        ]

    def expired(self, now: timedelta) -> list[Job]:
        """Take out the jobs whose deadline has passed."""
        late = [job for job in self.by_id.values() if job.deadline <= now]
        for job in late:
            self.remove(job.id)
        return late

    def _trim(self, adapter: AdapterVersion | None) -> None:
        heap = self.heaps.get(adapter)
        while heap and heap[0][2].id not in self.by_id:
            heapq.heappop(heap)
        if not heap:
            self.heaps.pop(adapter, None)
