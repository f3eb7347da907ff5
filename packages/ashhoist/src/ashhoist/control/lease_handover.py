"""Releases the order leases during a planned stop."""

from datetime import timedelta

from ..clock import Clock
from .order_leases import OrderLeases
from .order_router import OrderRouter

LAST_ORDERS_TIMEOUT = timedelta(milliseconds=600)
"""How long a planned stop waits for answers to its last orders."""


class LeaseHandover:
    """Releases the leases once no order of this instance is in progress.

    If they were released earlier, the next holder could send orders while an order of
    this instance is still in transit.
    """

    def __init__(
        self, order_router: OrderRouter, leases: OrderLeases, clock: Clock
    ) -> None:
        self._order_router = order_router
        self._leases = leases
        self._clock = clock
        self._deadline: timedelta | None = None

    @property
    def pending(self) -> bool:
        """Return whether the leases are yet to be released."""
        return self._deadline is not None

    def begin(self) -> None:
        """Stop sending orders, and start the wait for the last answers."""
        self._leases.stop_orders()
        self._deadline = self._clock.monotonic() + LAST_ORDERS_TIMEOUT

    def step(self) -> None:
        """Release the leases if no order is in progress, or the wait has timed out."""
        if self._deadline is None:
            return
        if not self._order_router.is_idle and self._clock.monotonic() < self._deadline:
            return
        self._deadline = None
        self._leases.stop()
