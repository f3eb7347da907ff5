"""Notices between instances about which of them reach upstreams."""

from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..forwarding import ForwardingInstance
from ..logs import Logger
from . import messages
from .forwarding_candidates import AssignedCandidates, CandidateQueries, choose
from .hubs import Hubs, Identity
from .peers import Peers


class ForwardingNotices:
    """Tells the linked instances whether this one reaches upstreams, and hears of them.

    Where instances are many, one that reaches no upstream asks those that are linked to
    others; see `forwarding_candidates`.

    Parameters
    ----------
    callers : str
        ``IP:PORT`` at which this instance takes requests.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        own: Identity,
        callers: str,
        peers: Peers,
        hubs: Hubs,
        send: Callable[[str, Any], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._own = own
        self._callers = callers
        self._peers = peers
        self._hubs = hubs
        self._send = send
        self._clock = clock
        self._log = log
        self._callers_by_peer: dict[str, str] = {}
        self._queries = CandidateQueries(peers, hubs, clock)
        self._assigned = AssignedCandidates(clock)

    @property
    def is_cut_off(self) -> bool:
        """Return whether this instance reaches no upstream."""
        return self._hubs.is_cut_off

    def greet(self, peer: str) -> None:
        """Send the state of this instance to a newly linked one."""
        self._send(peer, self._notice())

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this instance reaches no upstream, and notify the others."""
        if is_cut_off == self.is_cut_off:
            return
        self._hubs.set_cut_off(is_cut_off)
        notice = self._notice()
        for peer in self._peers.linked():
            self._send(peer, notice)

    def _notice(self) -> messages.ForwardingNotice:
        return messages.ForwardingNotice(self._callers, self.is_cut_off)

    def handle_notice(self, peer: str, notice: messages.ForwardingNotice) -> bool:
        """Record the state of another instance; return whether it has changed."""
        self._callers_by_peer[peer] = notice.callers
        if not self._peers.set_cut_off(peer, notice.is_cut_off):
            return False
        self._log.info(
            "instance connectivity changed", peer=peer, is_cut_off=notice.is_cut_off
        )
        return True

    def forget(self, peer: str) -> None:
        """Forget the state of an instance that is no longer linked."""
        self._callers_by_peer.pop(peer, None)

    def available(self) -> list[ForwardingInstance]:
        """Return the instances that requests can be forwarded to."""
        return self._assigned.current() or self._linked()

    def _linked(self) -> list[ForwardingInstance]:
        """Return the linked instances that reach upstreams."""
        return [
            ForwardingInstance(peer.name, peer.zone, callers, peer.capacity)
            for peer in self._peers.fresh(self._clock.monotonic())
            if not peer.stops
            and not peer.is_cut_off
            and (callers := self._callers_by_peer.get(peer.name))
        ]

    # Candidates, where instances are many

    def upstreams_unreachable(self) -> None:
        """Ask who takes this instance's requests, if that is due."""
        if not self._queries.is_due(bool(self._assigned.current())):
            return
        asked = self._queries.asked()
        for peer in asked:
            self._send(peer, messages.ForwardingQuery())
        if not asked:
            self._assigned.set(self._choose(self._own.name, self._own.zone))

    def handle_query(self, peer: str) -> None:
        """Tell an instance that reaches no upstream who takes its requests."""
        asking = self._peers.by_name[peer]
        found = self._choose(asking.name, asking.zone)
        rows = [[one.name, one.zone, one.address, one.capacity] for one in found]
        self._send(peer, messages.ForwardingCandidates(rows))

    def _choose(self, asking: str, zone: str) -> list[ForwardingInstance]:
        return choose(asking, zone, self._peers, self._linked())

    def handle_candidates(
        self, peer: str, message: messages.ForwardingCandidates
    ) -> None:
        """Record the instances that take this one's requests."""
        candidates = [
            ForwardingInstance(name, zone, address, capacity, is_assigned=True)
            for name, zone, address, capacity in message.rows
        ]
        if self._assigned.set(candidates):
            names = sorted(one.name for one in self._assigned.current())
            self._log.info("requests can be forwarded", teller=peer, instances=names)
