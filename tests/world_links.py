"""Simulates the links between machines, and network partitions between zones."""

from collections import Counter
from typing import Any

from ashhoist import codec

from .world_machine import Machine, Machines
from .world_time import Timeline

LINK_S = 0.0015
RESEND_INTERVAL_S = 0.2
"""Interval at which a connection resends data while the link is interrupted."""


class WorldLinks:
    """Tracks which machines are linked, and delivers their messages.

    Attributes
    ----------
    cut_zones : set of str
        Zones that are partitioned from all other zones.
    delivers_after_interruption : bool
        Whether a message that is sent during an interruption arrives after its end if
        the link still exists, as on a TCP connection. Otherwise such messages are lost
        although the link survives, which is worse than a real connection.
    sent, cross_zone_bytes : Counter
        Number of messages, and bytes of those that cross zones, by message type. Only
        counted if `counts_bytes` is set.
    """

    def __init__(self, machines: Machines, timeline: Timeline) -> None:
        self._machines = machines
        self._timeline = timeline
        self._linked: set[tuple[str, str]] = set()
        self.cut_zones: set[str] = set()
        self.delivers_after_interruption = False
        self.counts_bytes = False
        self.sent: Counter[str] = Counter()
        self.cross_zone_bytes: Counter[str] = Counter()

    def connected(self, one: str, other: str) -> bool:
        """Return whether two zones can reach each other."""
        return one == other or not self.cut_zones & {one, other}

    def open_links(self, machine: Machine) -> None:
        """Open the missing links to the endpoints that a machine's process has set."""
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
            self._notify_up(machine, other.name)
            self._notify_up(other, machine.name)

    def _notify_up(self, machine: Machine, peer: str) -> None:
        self._timeline.after(LINK_S, machine.bind_step(lambda core: core.peer_up(peer)))

    def unlink(self, one: str, other: str) -> None:
        """Close a link, and notify both sides."""
        if _pair(one, other) not in self._linked:
            return
        self._linked.discard(_pair(one, other))
        for name, peer in ((one, other), (other, one)):
            self._notify_down(self._machines[name], peer)

    def _notify_down(self, machine: Machine, peer: str) -> None:
        if machine.core is None:
            return
        self._timeline.after(
            LINK_S, machine.bind_step(lambda core: core.peer_down(peer))
        )

    def send(self, machine: Machine, peer: str, message: Any) -> bool:
        """Deliver a message over a link.

        While the link is interrupted, the message is lost, or delayed if
        `delivers_after_interruption` is set.
        """
        other = self._machines.get(peer)
        if other is None or _pair(machine.name, peer) not in self._linked:
            return False
        revision = min(machine.revision, other.revision)
        if revision < codec.revisions_by_type[type(message)]:
            return False
        if other.core is None:
            return True
        if self._is_interrupted(machine, other):
            if self.delivers_after_interruption:
                resend = machine.bind_step(lambda _: self.send(machine, peer, message))
                self._timeline.after(RESEND_INTERVAL_S, resend)
            return True
        self._count(machine, other, message)
        if revision < codec.REVISION:
            message = _as_received(message, revision)
        name = machine.name
        step = other.bind_step(lambda core: core.handle_message(name, message))
        self._timeline.after(LINK_S, step)
        return True

    def _is_interrupted(self, one: Machine, other: Machine) -> bool:
        if one.links_cut or other.links_cut:
            return True
        return not self.connected(one.zone, other.zone)

    def _count(self, machine: Machine, other: Machine, message: Any) -> None:
        if not self.counts_bytes:
            return
        kind = type(message).__name__
        self.sent[kind] += 1
        if machine.zone != other.zone:
            self.cross_zone_bytes[kind] += len(codec.encode_one(message))


def _as_received(message: Any, revision: int) -> Any:
    """Return a message without the fields that a revision does not have."""
    [received] = codec.decode(codec.join([codec.encode_one(message, revision)]))
    return received


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)
