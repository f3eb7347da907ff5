"""Hands the leases over in a planned stop."""

from datetime import timedelta

from ..clock import Clock
from .order_desk import OrderDesk
from .order_leases import OrderLeases

LAST_ORDERS = timedelta(milliseconds=600)
"""How long a planned stop waits for answers to its last orders."""


class Release:
    """Keeps the leases until no order of this instance is under way.

    Else a successor might order while an order of this instance is on its way.
    """

    def __init__(self, desk: OrderDesk, leases: OrderLeases, clock: Clock) -> None:
        self._desk = desk
        self._leases = leases
        self._clock = clock
        self._due_at: timedelta | None = None

    @property
    def pending(self) -> bool:
        """Return whether the leases are still kept."""
        return self._due_at is not None

    def begin(self) -> None:
        """Order nothing any more."""
        self._leases.rest()
        self._due_at = self._clock.monotonic() + LAST_ORDERS

    def step(self) -> None:
        """Hand the leases over once this may be."""
        if self._due_at is None:
            return
        if not self._desk.quiet and self._clock.monotonic() < self._due_at:
            return
        self._due_at = None
        self._leases.stop()
