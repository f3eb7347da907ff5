"""What the control core asks of its surroundings."""

from collections.abc import Mapping
from typing import Any, Protocol

from ..orders import LeaseAction, Order
from ..placement.actions import AskReport
from ..store import Topic
from ..types import Endpoint


class Outside(Protocol):
    """Carries out what `Core` decides; nothing here waits."""

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; False if there is no link."""

    def drop(self, peer: str, reason: str) -> None:
        """Break the link to an instance that is silent, or not needed any more."""

    def link(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Say which instances there should be links to, and who dials."""

    def lease_call(self, action: LeaseAction) -> None:
        """Make a store call for the lease."""

    def lease_call_for(self, peer: str, message: Any) -> None:
        """Make a store call of another instance's lease, and tell it the answer."""

    def read_now(self, topic: Topic) -> None:
        """Read a topic of the log once, and now."""

    def register(self) -> None:
        """Register this instance on the log, and read who else is there."""

    def unregister(self) -> None:
        """Remove this instance from the log."""

    def append_crashes(self, records: Mapping[str, bytes]) -> None:
        """Write a record of requests that were cut off; without a value, drop one."""

    def order(self, order: Order) -> None:
        """Send an order to an engine."""

    def report(self, request: AskReport) -> None:
        """Ask an engine what it holds."""

    def forget_upstream(self, upstream: str) -> None:
        """Drop what is kept for an upstream that has gone."""
