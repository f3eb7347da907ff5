"""Simulated instances that send requests to a contended plain service."""

from datetime import timedelta

from ashhoist.control.core import Core
from ashhoist.overload import AttemptOutcome
from ashhoist.overload.sends import (
    SendAnswer,
    SendCancelled,
    SendEnded,
    SendGranted,
    SendQuery,
    ServiceOverloaded,
)

from .control_world import World
from .world_writes import PLAIN_SERVICE

STEP_S = 0.001
"""The event loop calls the leader's decision code when it is due; here it is polled."""
PROPAGATION_S = 0.05
"""Time for a message and its answer to be delivered, and for the turn's batch."""


class AdmissionInstances(World):
    """A world whose only upstreams are plain ones with few slots.

    Parameters
    ----------
    slots : int
        Slots of each upstream.
    """

    def __init__(
        self, machines: int = 3, upstreams: int = 1, slots: int = 2, zones: int = 1
    ) -> None:
        super().__init__(machines, 0, zones=zones)
        self._last_number = 0
        for index in range(upstreams):
            zone = f"zone-{index % zones}"
            self.write_plain_upstream(f"plain-{index}", zone, slots)
        self.start()
        self.run(10.0, lambda: len(self.leaders()) == 1)
        self.run(3.0)
        self._poll()

    def _poll(self) -> None:
        now = self.clock.monotonic()
        for machine in self.machines.values():
            core = machine.core
            if core is None or machine.frozen:
                continue
            at = core.admissions.next_step_at()
            if at is not None and at <= now + timedelta(seconds=STEP_S):
                core.admissions.step()
        self.after(STEP_S, self._poll)

    def core(self, name: str) -> Core:
        """Return the core of a machine that runs."""
        core = self.machines[name].core
        assert core is not None
        return core

    @property
    def leader(self) -> str:
        """Return the only leader."""
        [leader] = self.leaders()
        return leader

    @property
    def followers(self) -> list[str]:
        """Return the running machines that do not lead."""
        leader = self.leader
        return [
            name
            for name, machine in self.machines.items()
            if machine.core is not None and name != leader
        ]

    def overload(self, name: str) -> None:
        """Let a full upstream refuse a request of an instance."""
        report = ServiceOverloaded(PLAIN_SERVICE)
        self.core(name).admission_client.report_overload(report)
        self.run(PROPAGATION_S)

    def contended_at(self) -> list[str]:
        """Return the machines that ask a leader before they send."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.core is not None
            and machine.core.admission_client.is_contended(PLAIN_SERVICE)
        ]

    def query(
        self,
        name: str,
        customer: str = "",
        target_s: float = 1.0,
        deadline_s: float = 3.0,
        excluded: frozenset[str] = frozenset(),
        fingerprint: str = "",
    ) -> SendQuery:
        """Ask for the admission of a new request of an instance."""
        self._last_number += 1
        now = self.clock.monotonic()
        query = SendQuery(
            self._last_number,
            PLAIN_SERVICE,
            fingerprint or f"fingerprint-{self._last_number}",
            customer,
            0,
            now + timedelta(seconds=target_s),
            now + timedelta(seconds=deadline_s),
            excluded,
        )
        self.core(name).admission_client.ask(query)
        return query

    def answer(self, query: SendQuery) -> SendAnswer | str:
        """Return the answer to a query, or "waiting"."""
        return query.answer.result() if query.answer.done() else "waiting"

    def is_granted(self, query: SendQuery) -> bool:
        """Return whether a query has been granted."""
        return isinstance(self.answer(query), SendGranted)

    def fill(self, name: str, requests: int, deadline_s: float = 30.0) -> list[int]:
        """Occupy the service with requests of an instance; return their numbers."""
        queries = [self.query(name, deadline_s=deadline_s) for _ in range(requests)]
        self.run(PROPAGATION_S)
        assert all(self.is_granted(query) for query in queries)
        return [query.number for query in queries]

    def end(
        self,
        name: str,
        number: int,
        outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
        took: timedelta = timedelta(milliseconds=60),  # noqa: B008
    ) -> None:
        """Report the end of a granted request."""
        core = self.core(name)
        core.admission_client.record_end(SendEnded(number, outcome, took))
        core.settle()

    def cancel(self, name: str, query: SendQuery) -> None:
        """Withdraw a query as a request does that is sent without an answer."""
        query.answer.cancel()
        self.core(name).admission_client.cancel(SendCancelled(query.number))
