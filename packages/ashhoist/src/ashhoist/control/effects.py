"""The interface through which the control core acts on its environment."""

from collections.abc import Mapping
from typing import Any, Protocol

from ..orders import LeaseAction, Order
from ..placement.actions import FetchReport
from ..store import Topic
from ..types import Endpoint


class Effects(Protocol):
    """Carries out the decisions of `Core`; no method blocks."""

    def send_to(self, peer: str, message: Any) -> bool:
        """Send a message to an instance; False if there is no link."""

    def drop(self, peer: str, reason: str) -> None:
        """Close the link to an instance that is silent or no longer needed."""

    def link(self, endpoints: list[Endpoint], dials_all: bool) -> None:
        """Set which instances to link to, and whether this one dials all of them."""

    def lease_call(self, action: LeaseAction) -> None:
        """Make a store call for a lease of this instance."""

    def lease_call_for(self, peer: str, message: Any) -> None:
        """Make a store call for another instance's lease, and send it the result."""

    def read_now(self, topic: Topic) -> None:
        """Read a topic of the log once, immediately."""

    def register(self) -> None:
        """Register this instance on the log, and read the registered instances."""

    def unregister(self) -> None:
        """Remove this instance's registration from the log."""

    def append_crashes(self, records: Mapping[str, bytes]) -> None:
        """Write crash records by key; an empty value deletes a record."""

    def order(self, order: Order) -> None:
        """Send an order to an engine."""

    def report(self, request: FetchReport) -> None:
        """Request a report from an engine."""

    def forget_upstream(self, upstream: str) -> None:
        """Drop all state kept for an upstream that no longer exists."""
