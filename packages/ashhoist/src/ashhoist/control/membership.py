"""Instance discovery, and the choice of which instances to link to.

All instances are registered on the log. An instance that can't read the register
connects to its seeds, and linked instances send their list to one that knows fewer.
"""

from datetime import timedelta

from ..clock import ZERO, Clock
from ..types import Endpoint
from . import messages
from .effects import Effects
from .hubs import Hubs, Identity
from .peers import InstanceRecord, Peers

REGISTER_INTERVAL = timedelta(seconds=2)
"""Interval at which an instance registers again until the log has answered."""

LIST_INTERVAL = timedelta(seconds=5)
"""Between two requests of an instance list, where instances are many."""

RECENT_REGISTRATION = timedelta(seconds=30)
"""A registration this recent may be missing from the copy that a restore used."""


class Membership:
    """The instances known to this one, and its links to them.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to connect to while no instance is linked.
    """

    def __init__(
        self,
        own: Identity,
        seeds: tuple[str, ...],
        peers: Peers,
        hubs: Hubs,
        effects: Effects,
        clock: Clock,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._peers = peers
        self._hubs = hubs
        self._effects = effects
        self._clock = clock
        self._next_registration_at = ZERO
        self._registered_at = ZERO
        self._next_list_at = ZERO
        self._requested_links: tuple[tuple[str, ...], bool] = ((), False)
        self.knows_others = False

    # The register

    def register_if_due(self) -> None:
        """Register, unless the log has already confirmed the registration."""
        now = self._clock.monotonic()
        if self.knows_others or now < self._next_registration_at:
            return
        self._next_registration_at = now + REGISTER_INTERVAL
        self._effects.register()

    def registered(self, records: list[InstanceRecord]) -> None:
        """Process the list of registered instances, now that this one is registered."""
        if not self.knows_others:
            self._registered_at = self._clock.monotonic()
        self.knows_others = True
        for record in records:
            self._peers.add_registered(record)
        self.relink()

    def log_restored(self) -> None:
        """Register again if the restored log may lack this instance's registration."""
        if not self.knows_others:
            return
        if self._clock.monotonic() - self._registered_at < RECENT_REGISTRATION:
            self._effects.register()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses to connect to while no instance is linked."""
        self._seeds = seeds
        self.relink()

    # Links

    def relink(self) -> None:
        """Request the links that there should be, if these have changed."""
        endpoints = self._hubs.desired_links()
        if not self._peers.linked():
            endpoints += self._unknown_seeds(endpoints)
        addresses = tuple(sorted(endpoint.address for endpoint in endpoints))
        dials_all = not self._hubs.is_hub(self._own.name)
        if (addresses, dials_all) == self._requested_links:
            return
        self._requested_links = (addresses, dials_all)
        self._effects.link(endpoints, dials_all)

    def _unknown_seeds(self, known: list[Endpoint]) -> list[Endpoint]:
        addresses = {endpoint.address for endpoint in known} | {self._own.address}
        return [
            Endpoint("", "", "", address)
            for address in self._seeds
            if address not in addresses
        ]

    # Messages between instances

    def introduce(self, peer: str) -> None:
        """Introduce this instance to one that was just linked."""
        own = self._own
        introduce = messages.Introduction(
            own.name, own.zone, own.address, own.capacity, self.knows_others
        )
        self._effects.send_to(peer, introduce)

    def handle_introduction(self, peer: str, message: messages.Introduction) -> None:
        """Process the introduction of a linked instance."""
        record = InstanceRecord(
            message.name, message.zone, message.address, message.capacity
        )
        self._peers.update_introduced(record, self._clock.monotonic())
        if not message.knows_others:
            self.send_instance_list(peer)

    def send_instance_list(self, peer: str) -> None:
        """Send an instance the list of instances known here."""
        self._effects.send_to(peer, messages.InstanceList(self._peers.rows()))

    def handle_instance_list(self, message: messages.InstanceList) -> None:
        """Process another instance's list; entries of the register take precedence."""
        for row in message.rows:
            record = InstanceRecord(*row)
            if self.knows_others and record.name in self._peers.by_name:
                continue
            self._peers.add_registered(record)
        self.relink()

    def compare(self, peer: str, known_there: int) -> None:
        """Request a peer's instance list if it is longer.

        An instance that started early has read of few others. Without the list it would
        keep links to all of these even when there are many instances by now, and would
        not find those that are hubs next. Where there are many, those that are not hubs
        ask within their zone, and not often.
        """
        if known_there <= len(self._peers.by_name):
            return
        now = self._clock.monotonic()
        if not self._hubs.all_linked:
            if now < self._next_list_at or not self._hubs.is_preferred_source(peer):
                return
            self._next_list_at = now + LIST_INTERVAL
        self._effects.send_to(peer, messages.InstanceListRequest())
