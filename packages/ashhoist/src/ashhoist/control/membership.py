"""Which other instances there are, and with which of them there should be links.

The register on the log names all. One that can't read it asks its seeds, and
whoever is linked tells one that knows fewer.
"""

from datetime import timedelta

from ..clock import ZERO, Clock
from ..types import Endpoint
from . import messages
from .hubs import Hubs, Identity
from .outside import Outside
from .peers import InstanceRecord, Peers

REGISTER_AGAIN = timedelta(seconds=2)
"""After so long without an answer of the log an instance registers once more."""

RECENT_REGISTRATION = timedelta(seconds=30)
"""Registrations within this time before a restore may be missing from the copy."""


class Membership:
    """The instances that this one knows of.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to ask while no instance is linked.
    """

    def __init__(
        self,
        own: Identity,
        seeds: tuple[str, ...],
        peers: Peers,
        hubs: Hubs,
        outside: Outside,
        clock: Clock,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._peers = peers
        self._hubs = hubs
        self._outside = outside
        self._clock = clock
        self._register_at = ZERO
        self._registered_at = ZERO
        self._links: tuple[tuple[str, ...], bool] = ((), False)
        self.knows_others = False

    # The register

    def register_if_due(self) -> None:
        """Register, unless the register has been read."""
        now = self._clock.monotonic()
        if self.knows_others or now < self._register_at:
            return
        self._register_at = now + REGISTER_AGAIN
        self._outside.register()

    def registered(self, records: list[InstanceRecord]) -> None:
        """Take in that this instance is registered, and which others are."""
        if not self.knows_others:
            self._registered_at = self._clock.monotonic()
        self.knows_others = True
        for record in records:
            self._peers.registered(record)
        self.relink()

    def log_restored(self) -> None:
        """Register again if the restored log may lack this instance's registration."""
        if not self.knows_others:
            return
        if self._clock.monotonic() - self._registered_at < RECENT_REGISTRATION:
            self._outside.register()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take in which instances to ask while none is linked."""
        self._seeds = seeds
        self.relink()

    # Links

    def relink(self) -> None:
        """Say which links there should be, if that has changed."""
        endpoints = self._hubs.to_link()
        if not self._peers.linked():
            endpoints += self._unknown_seeds(endpoints)
        addresses = tuple(sorted(endpoint.address for endpoint in endpoints))
        dials_all = not self._hubs.is_hub(self._own.name)
        if (addresses, dials_all) == self._links:
            return
        self._links = (addresses, dials_all)
        self._outside.link(endpoints, dials_all)

    def _unknown_seeds(self, known: list[Endpoint]) -> list[Endpoint]:
        addresses = {endpoint.address for endpoint in known} | {self._own.address}
        return [
            Endpoint("", "", "", address)
            for address in self._seeds
            if address not in addresses
        ]

    # What instances tell each other

    def introduce(self, peer: str) -> None:
        """Tell an instance that was just linked who is here."""
        own = self._own
        introduce = messages.Introduce(
            own.name, own.zone, own.address, own.capacity, self.knows_others
        )
        self._outside.send_to(peer, introduce)

    def introduced(self, peer: str, message: messages.Introduce) -> None:
        """Take in who is at the other end of a link."""
        record = InstanceRecord(
            message.name, message.zone, message.address, message.capacity
        )
        self._peers.introduced(record, self._clock.monotonic())
        if not message.knows_others:
            self.asked(peer)

    def asked(self, peer: str) -> None:
        """Tell an instance which ones are known here."""
        self._outside.send_to(peer, messages.Instances(self._peers.rows()))

    def told(self, message: messages.Instances) -> None:
        """Take in who is there from an instance that knows; the register knows best."""
        for row in message.rows:
            record = InstanceRecord(*row)
            if self.knows_others and record.name in self._peers.by_name:
                continue
            self._peers.registered(record)
        self.relink()

    def compare(self, peer: str, known_there: int) -> None:
        """Ask a peer that knows more instances, while each should link to each.

        Who started early has read of few. Where there are many by now, it would
        go on with links to all of those few.
        """
        if self._hubs.all_linked and known_there > len(self._peers.by_name):
            self._outside.send_to(peer, messages.AskInstances())
