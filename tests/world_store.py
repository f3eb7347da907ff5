"""The store of a test world: leases, the register, and how it fails."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Any

from ashhoist.control.core import Core
from ashhoist.control.lease_calls import append_answer, read_answer
from ashhoist.control.messages import ClaimsReadRequest
from ashhoist.control.peers import InstanceRecord
from ashhoist.orders import AppendClaim, LeaseAction, ReadClaims
from ashhoist.store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Record,
    Topic,
    Unavailable,
    Unknown,
    offset_of,
    position,
)

from .platform_stand_ins.log_state import LogState
from .world_links import WorldLinks
from .world_machine import Machine, Machines
from .world_time import Timeline

STORE_S = 0.004
PATIENCE_S = 0.4


class WorldStore:
    """What machines ask of the store.

    Attributes
    ----------
    is_down : bool
        Every call goes unanswered.
    lose_appends, late_appends : int
        So many claims are appended without an answer, or two seconds late.
    deaf : bool
        Reads show nothing new, but say that the log has grown.
    bytes_per_s : float
        How fast what a read has found comes to its reader.
    """

    def __init__(
        self, machines: Machines, links: WorldLinks, timeline: Timeline
    ) -> None:
        self._machines = machines
        self._links = links
        self._timeline = timeline
        self.clock = timeline.clock
        self.after = timeline.after
        self.log = LogState()
        self.is_down = False
        self.lose_appends = 0
        self.late_appends = 0
        self.deaf = False
        self.reads = 0
        self.reads_by_topic: Counter[Topic] = Counter()
        self.bytes_per_s = math.inf
        self.lease_calls = 0
        self.crash_writes = 0
        self.registered: set[str] = set(machines)
        self.patience_s = PATIENCE_S

    def reaches(self, machine: Machine) -> bool:
        """Return whether a machine's calls are answered now."""
        cut = machine.store_cut or machine.zone in self._links.cut_zones
        return not self.is_down and not cut

    def answers_reads(self, machine: Machine, topic: Topic) -> bool:
        """Return whether a machine's reads of a topic are answered now."""
        return self.reaches(machine) and topic not in machine.unread

    def register(self, machine: Machine) -> None:
        """Register a machine and tell it who is there."""
        core = machine.core

        def step() -> None:
            assert core is not None
            if not self.reaches(machine):
                return
            self.registered.add(machine.name)
            core.instances(
                [
                    InstanceRecord(name, machine.zone, name, machine.capacity)
                    for name, machine in self._machines.items()
                    if name in self.registered
                ]
            )

        if core is not None:
            self._timeline.after(STORE_S, lambda: machine.do(core, step))
            return
        self._timeline.after(STORE_S, lambda: self._register_started(machine))

    def _register_started(self, machine: Machine) -> None:
        if machine.core is not None:
            self.register(machine)

    def append_crashes(self, machine: Machine, records: Mapping[str, bytes]) -> None:
        """Write records of requests that were cut off, with one call."""
        self.crash_writes += 1
        core = machine.core
        assert core is not None

        def answer(result: AppendResult) -> None:
            core.crashes.appended(result)

        if not self.reaches(machine):
            step = lambda: answer(Unavailable("cut"))  # noqa: E731
            self._timeline.after(PATIENCE_S, lambda: machine.do(core, step))
            return
        for key, value in records.items():
            offset = self.log.append(Topic.CRASHES, key, value or None)
            assert offset is not None
        appended = Appended(position(self.log.era, offset))
        self._timeline.after(
            STORE_S, lambda: machine.do(core, lambda: answer(appended))
        )

    def lease_call(self, machine: Machine, action: LeaseAction) -> None:
        """Read or append a claim."""
        self.lease_calls += 1
        core = machine.core
        assert core is not None
        if not self.reaches(machine):
            self._answer_lease(machine, core, action, Unavailable("cut"), PATIENCE_S)
            return
        if isinstance(action, ReadClaims):
            found = self._newest_claims(action.key)
            self._answer_lease(machine, core, action, found, STORE_S)
            return
        self._append_claim(machine, core, action)

    def lease_call_for(self, machine: Machine, peer: str, message: Any) -> None:
        """Make a machine's call for another one's lease."""
        told: Any
        if isinstance(message, ClaimsReadRequest):
            found: Any = Unavailable("cut")
            if self.reaches(machine):
                found = self._newest_claims(message.zone)
            told = read_answer(message, found)
        else:
            result: Any = Unavailable("cut")
            if self.reaches(machine):
                result = self._append(message.zone, message.value, message.at)
            told = append_answer(message, result)
        self._timeline.after(STORE_S, lambda: self._tell_if_alive(machine, peer, told))

    def _tell_if_alive(self, machine: Machine, peer: str, message: Any) -> None:
        if machine.core is not None and not machine.frozen:
            self._links.send(machine, peer, message)

    def _newest_claims(self, zone: str) -> Newest:
        found = self.log.topics[_leases_of(zone)]
        era = self.log.era
        records = tuple(
            Record(position(era, offset), key, value)
            for key, (offset, value) in found.newest.items()
        )
        return Newest(records, position(era, found.end))

    def _append_claim(self, machine: Machine, core: Core, action: AppendClaim) -> None:
        if self.late_appends:
            self.late_appends -= 1
            self._timeline.after(2.0, lambda: self._append_action(action))
            self._answer_lease(machine, core, action, Unknown("lost"), self.patience_s)
            return
        result = self._append_action(action)
        if machine.loses_appends or self.lose_appends:
            self.lose_appends = max(self.lose_appends - 1, 0)
            self._answer_lease(machine, core, action, Unknown("lost"), self.patience_s)
            return
        self._answer_lease(machine, core, action, result, STORE_S)

    def _append_action(self, action: AppendClaim) -> Appended | ConditionFailed:
        return self._append(action.claim.key, action.claim.encode(), action.at)

    def _append(self, key: str, value: bytes, at: int) -> Appended | ConditionFailed:
        topic = _leases_of(key)
        era = self.log.era
        offset = self.log.append(topic, key, value, offset_of(at))
        if offset is None:
            return ConditionFailed(position(era, self.log.topics[topic].end))
        return Appended(position(era, offset))

    def _answer_lease(
        self, machine: Machine, core: Core, action: LeaseAction, result: Any, s: float
    ) -> None:
        def step() -> None:
            if isinstance(action, ReadClaims):
                core.lease_read(action.key, result)
            else:
                core.lease_appended(action, result)

        self._timeline.after(s, lambda: machine.do(core, step))


def _leases_of(zone: str) -> str:
    return f"leases/{zone}"
