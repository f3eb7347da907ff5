"""The links between the machines of a test world, and the cuts between zones."""

from collections import Counter
from typing import Any

from ashhoist import codec

from .world_machine import Machine, Machines
from .world_time import Timeline

LINK_S = 0.0015
SENT_AGAIN_S = 0.2
"""After so long a connection sends again what a cut has held up."""


class WorldLinks:
    """Which machines are linked; carries their messages.

    Attributes
    ----------
    cut_zones : set of str
        Zones that nothing enters or leaves.
    holds_up : bool
        What is sent into a cut arrives once it ends, if the link has lasted, as on a
        connection; else it is lost, which is more than can happen there.
    sent, far_bytes : Counter
        Messages, and their bytes where they cross zones, by kind; only where
        `counts_bytes` is set.
    """

    def __init__(self, machines: Machines, timeline: Timeline) -> None:
        self._machines = machines
        self._timeline = timeline
        self._linked: set[tuple[str, str]] = set()
        self.cut_zones: set[str] = set()
        self.holds_up = False
        self.counts_bytes = False
        self.sent: Counter[str] = Counter()
        self.far_bytes: Counter[str] = Counter()

    def connected(self, one: str, other: str) -> bool:
        """Return whether two zones reach each other."""
        return one == other or not self.cut_zones & {one, other}

    def relink(self, machine: Machine) -> None:
        """Make the links that a machine's process wants."""
        for endpoint in machine.endpoints:
            other = self._machines.get(endpoint.name or endpoint.address)
            if other is None or other.core is None or other is machine:
                continue
            pair = _pair(machine.name, other.name)
            if pair in self._linked or machine.links_cut or other.links_cut:
                continue
            if not self.connected(machine.zone, other.zone):
                continue
            self._linked.add(pair)
            self._up(machine, other.name)
            self._up(other, machine.name)

    def _up(self, machine: Machine, peer: str) -> None:
        self._timeline.after(LINK_S, machine.then(lambda core: core.peer_up(peer)))

    def unlink(self, one: str, other: str) -> None:
        """Break a link; both sides are told."""
        if _pair(one, other) not in self._linked:
            return
        self._linked.discard(_pair(one, other))
        for name, peer in ((one, other), (other, one)):
            self._down(self._machines[name], peer)

    def _down(self, machine: Machine, peer: str) -> None:
        if machine.core is None:
            return
        self._timeline.after(LINK_S, machine.then(lambda core: core.peer_down(peer)))

    def send(self, machine: Machine, peer: str, message: Any) -> bool:
        """Carry a message over a link; a cut swallows it, or holds it up."""
        other = self._machines.get(peer)
        if other is None or _pair(machine.name, peer) not in self._linked:
            return False
        if other.core is None:
            return True
        if self._is_cut(machine, other):
            if self.holds_up:
                again = machine.then(lambda _: self.send(machine, peer, message))
                self._timeline.after(SENT_AGAIN_S, again)
            return True
        self._count(machine, other, message)
        name = machine.name
        step = other.then(lambda core: core.handle_message(name, message))
        self._timeline.after(LINK_S, step)
        return True

    def _is_cut(self, one: Machine, other: Machine) -> bool:
        if one.links_cut or other.links_cut:
            return True
        return not self.connected(one.zone, other.zone)

    def _count(self, machine: Machine, other: Machine, message: Any) -> None:
        if not self.counts_bytes:
            return
        kind = type(message).__name__
        self.sent[kind] += 1
        if machine.zone != other.zone:
            self.far_bytes[kind] += len(codec.encode_one(message))


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)
