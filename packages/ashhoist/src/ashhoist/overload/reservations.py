"""Times at which rejected requests were promised capacity."""

import heapq
from bisect import bisect_left, bisect_right
from collections import deque
from datetime import timedelta

KEPT_FOR = timedelta(seconds=1)
"""How long after it is due a reservation is kept."""
EARLY = timedelta(milliseconds=50)
"""A caller that comes back earlier than this before its time is treated as new."""


class Reservations:
    """The reservations of one service, by customer and fingerprint."""

    def __init__(self) -> None:
        self._due_by_request: dict[tuple[str, str], deque[timedelta]] = {}
        self._due_by_customer: dict[str, list[timedelta]] = {}
        self._expiring: list[tuple[timedelta, str, str]] = []

    def reserve(
        self,
        customer: str,
        fingerprint: str,
        earliest: timedelta,
        interval: timedelta,
        latest: timedelta,
    ) -> timedelta | None:
        """Reserve the earliest time that is free; return None if it is too late.

        Parameters
        ----------
        interval : timedelta
            Time from one reservation of the customer to the next.
        """
        dues = self._due_by_customer.get(customer)
        due = max(earliest, dues[-1] + interval) if dues else earliest
        if due > latest:
            return None
        self._due_by_customer.setdefault(customer, []).append(due)
        key = (customer, fingerprint)
        self._due_by_request.setdefault(key, deque()).append(due)
        heapq.heappush(self._expiring, (due + KEPT_FOR, customer, fingerprint))
        return due

    def take(self, customer: str, fingerprint: str, now: timedelta) -> bool:
        """Use the reservation of a caller that is back; return whether it had one."""
        dues = self._due_by_request.get((customer, fingerprint))
        if dues is None or not dues[0] - EARLY <= now <= dues[0] + KEPT_FOR:
            return False
        self._remove_first(customer, fingerprint)
        return True

    def remove_expired(self, now: timedelta) -> int:
        """Remove the reservations that were not used; return their number."""
        removed = 0
        while self._expiring:
            expires_at, customer, fingerprint = self._expiring[0]
            dues = self._due_by_request.get((customer, fingerprint))
            is_kept = dues is not None and dues[0] + KEPT_FOR == expires_at
            if is_kept and expires_at > now:
                break
            heapq.heappop(self._expiring)
            if is_kept:
                self._remove_first(customer, fingerprint)
                removed += 1
        return removed

    def due_between(self, customer: str, start: timedelta, end: timedelta) -> int:
        """Return how many reservations of a customer are due in a time."""
        dues = self._due_by_customer.get(customer)
        if dues is None:
            return 0
        return max(bisect_right(dues, end) - bisect_left(dues, start), 0)

    def customers(self) -> set[str]:
        """Return the customers that have reservations."""
        return set(self._due_by_customer)

    @property
    def next_expiry(self) -> timedelta | None:
        """Return when the next reservation may expire."""
        return self._expiring[0][0] if self._expiring else None

    def __len__(self) -> int:
        return sum(map(len, self._due_by_customer.values()))

    def _remove_first(self, customer: str, fingerprint: str) -> None:
        key = (customer, fingerprint)
        due = self._due_by_request[key].popleft()
        if not self._due_by_request[key]:
            del self._due_by_request[key]
        dues = self._due_by_customer[customer]
        del dues[bisect_left(dues, due)]
        if not dues:
            del self._due_by_customer[customer]
