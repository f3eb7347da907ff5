"""Simulates the store: leases, registration of instances, crash records and faults."""

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
CALL_TIMEOUT_S = 0.4


class WorldStore:
    """Answers machines' calls to the store.

    Attributes
    ----------
    is_down : bool
        Whether no call is answered.
    lost_append_answers, delayed_appends : int
        Number of the next claims that are appended without an answer, or appended two
        seconds late.
    hides_new_records : bool
        Whether reads return no records, although they report the end of the log.
    bytes_per_s : float
        Transfer rate of the records that a read returns.
    call_timeout_s : float
        Time after which a call that appends a claim, and whose answer is lost, fails.
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
        self.lost_append_answers = 0
        self.delayed_appends = 0
        self.hides_new_records = False
        self.reads = 0
        self.reads_by_topic: Counter[Topic] = Counter()
        self.bytes_per_s = math.inf
        self.lease_calls = 0
        self.crash_writes = 0
        self.appended: list[tuple[str, bytes]] = []
        self.registered: set[str] = set(machines)
        self.call_timeout_s = CALL_TIMEOUT_S

    def answers_calls(self, machine: Machine) -> bool:
        """Return whether the store answers a machine's calls now."""
        is_cut = machine.store_cut or machine.zone in self._links.cut_zones
        return not self.is_down and not is_cut

    def answers_reads(self, machine: Machine, topic: Topic) -> bool:
        """Return whether the store answers a machine's reads of a topic now."""
        return self.answers_calls(machine) and topic not in machine.unanswered_topics

    def register(self, machine: Machine) -> None:
        """Register a machine, and send it the registered instances."""
        core = machine.core

        def step() -> None:
            assert core is not None
            if not self.answers_calls(machine):
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
            self._timeline.after(STORE_S, lambda: machine.run_step(core, step))
            return
        self._timeline.after(STORE_S, lambda: self._register_if_started(machine))

    def _register_if_started(self, machine: Machine) -> None:
        if machine.core is not None:
            self.register(machine)

    def append_crashes(self, machine: Machine, records: Mapping[str, bytes]) -> None:
        """Append records of requests that upstreams crashed under, in one call."""
        self.crash_writes += 1
        core = machine.core
        assert core is not None

        def answer(result: AppendResult) -> None:
            core.crashes.appended(result)

        if not self.answers_calls(machine):
            step = lambda: answer(Unavailable("cut"))  # noqa: E731
            self._timeline.after(CALL_TIMEOUT_S, lambda: machine.run_step(core, step))
            return
        for key, value in records.items():
            self.appended.append((key, value))
            offset = self.log.append(Topic.CRASHES, key, value or None)
            assert offset is not None
        appended = Appended(position(self.log.era, offset))
        self._timeline.after(
            STORE_S, lambda: machine.run_step(core, lambda: answer(appended))
        )

    def lease_call(self, machine: Machine, action: LeaseAction) -> None:
        """Read the claims to a lease, or append one."""
        self.lease_calls += 1
        core = machine.core
        assert core is not None
        if not self.answers_calls(machine):
            self._answer_lease(
                machine, core, action, Unavailable("cut"), CALL_TIMEOUT_S
            )
            return
        if isinstance(action, ReadClaims):
            found = self._newest_claims(action.key)
            self._answer_lease(machine, core, action, found, STORE_S)
            return
        self._append_claim(machine, core, action)

    def lease_call_for(self, machine: Machine, peer: str, message: Any) -> None:
        """Make a lease call on behalf of a peer, and send it the answer."""
        reply: Any
        if isinstance(message, ClaimsReadRequest):
            found: Any = Unavailable("cut")
            if self.answers_calls(machine):
                found = self._newest_claims(message.zone)
            reply = read_answer(message, found)
        else:
            result: Any = Unavailable("cut")
            if self.answers_calls(machine):
                result = self._append(message.zone, message.value, message.at)
            reply = append_answer(message, result)
        self._timeline.after(STORE_S, lambda: self._send_if_alive(machine, peer, reply))

    def _send_if_alive(self, machine: Machine, peer: str, message: Any) -> None:
        if machine.core is not None and not machine.frozen:
            self._links.send(machine, peer, message)

    def _newest_claims(self, zone: str) -> Newest:
        found = self.log.topics[_lease_topic(zone)]
        era = self.log.era
        records = tuple(
            Record(position(era, offset), key, value)
            for key, (offset, value) in found.newest.items()
        )
        return Newest(records, position(era, found.end))

    def _append_claim(self, machine: Machine, core: Core, action: AppendClaim) -> None:
        if self.delayed_appends:
            self.delayed_appends -= 1
            self._timeline.after(2.0, lambda: self._append_now(action))
            self._answer_lease(
                machine, core, action, Unknown("lost"), self.call_timeout_s
            )
            return
        result = self._append_now(action)
        if machine.loses_append_answers or self.lost_append_answers:
            self.lost_append_answers = max(self.lost_append_answers - 1, 0)
            self._answer_lease(
                machine, core, action, Unknown("lost"), self.call_timeout_s
            )
            return
        self._answer_lease(machine, core, action, result, STORE_S)

    def _append_now(self, action: AppendClaim) -> Appended | ConditionFailed:
        return self._append(action.claim.key, action.claim.encode(), action.at)

    def _append(self, key: str, value: bytes, at: int) -> Appended | ConditionFailed:
        topic = _lease_topic(key)
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

        self._timeline.after(s, lambda: machine.run_step(core, step))


def _lease_topic(zone: str) -> str:
    return f"leases/{zone}"
