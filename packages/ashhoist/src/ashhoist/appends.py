"""The budget of appends to the log: one place that everything goes through.

The log takes about a hundred appends a second from all instances together. Each
instance stays within an equal share; what matters most goes first.
"""

import heapq
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from typing import Any

from .clock import ZERO

BURST = 5.0
LOWEST_RATE = 1.0


class AppendPriority(IntEnum):
    """What goes first when the budget is short."""

    CLAIM = 0
    CONFIGURATION = 1
    KEY = 2
    SNAPSHOT = 3


@dataclass(frozen=True, slots=True)
class Append:
    """A record that waits for the budget."""

    stream: str
    operation: str
    record: dict[str, Any]


@dataclass(slots=True)
class AppendBudget:
    """Appends in the order of their priority, at a bounded rate.

    Parameters
    ----------
    total_rate : float
        Appends a second that the log takes from all instances.
    """

    total_rate: float
    instances: int = 1
    tokens: float = BURST
    filled_at: timedelta = ZERO
    counter: int = 0
    waiting: list[tuple[int, int, Append]] = field(default_factory=list)

    @property
    def rate(self) -> float:
        """Return the share of this instance, in appends a second."""
        return max(LOWEST_RATE, self.total_rate / max(1, self.instances))

    def add(self, priority: AppendPriority, append: Append) -> None:
        """Queue an append."""
        self.counter += 1
        heapq.heappush(self.waiting, (priority, self.counter, append))

    def due(self, now: timedelta) -> list[Append]:
        """Return the appends that may be sent now."""
        passed = (now - self.filled_at).total_seconds()
        self.filled_at = now
        self.tokens = min(BURST, self.tokens + passed * self.rate)
        found = []
        while self.waiting and self.tokens >= 1.0:
            self.tokens -= 1.0
            found.append(heapq.heappop(self.waiting)[2])
        return found
