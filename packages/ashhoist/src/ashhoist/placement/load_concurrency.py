"""How many loads from the weight store run at full speed, learnt from load times."""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from .engine import Engine, EngineUpdate, SlotState

SLOW_FACTOR = 1.5
"""Polling and differences between engines make a load up to a third longer."""
RECENT_LOADS = 8
"""The median of these is compared to the fastest: one slow engine changes nothing."""
FASTEST_WINDOW = timedelta(seconds=30)
"""The fastest load of this window and of the one before counts."""
MIN_LIMIT = 4
LIMIT_LIFETIME = timedelta(seconds=60)
"""A limit that has held back no load for this long is discarded."""


class LoadConcurrency:
    """The learnt limit of concurrent cold loads, and the loads that it holds back.

    Attributes
    ----------
    limit : float or None
        The number of cold loads that run at full speed; None while none was slow.
    in_progress : int
        The number of cold loads in this round; counted only while there is a limit.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.in_progress = 0
        self._recent: deque[timedelta] = deque(maxlen=RECENT_LOADS)
        self._fastest = timedelta.max
        self._fastest_before = timedelta.max
        self._window_began = timedelta()
        self._lowered_at = timedelta()
        self._reached_at = timedelta()
        self._highest_value = -math.inf

    @property
    def fastest(self) -> timedelta:
        """Return the shortest cold load time seen lately."""
        return min(self._fastest, self._fastest_before)

    # Learning

    def record(
        self, update: EngineUpdate, engines: Iterable[Engine], now: timedelta
    ) -> bool:
        """Record the end of a load; return whether the limit was lowered.

        Parameters
        ----------
        engines : iterable of Engine
            All engines; only visited if loads have slowed down.
        """
        if update.loaded is None or not update.cold or not update.loaded.name:
            return False
        if not update.timed:
            return False
        self._record_fastest(update.duration, now)
        self._recent.append(update.min_duration)
        if len(self._recent) < RECENT_LOADS:
            return False
        typical = statistics.median_low(self._recent)
        if typical > self.fastest * SLOW_FACTOR:
            return self._lower(typical, engines, now)
        self._raise(now)
        return False

    def _record_fastest(self, duration: timedelta, now: timedelta) -> None:
        if now - self._window_began >= FASTEST_WINDOW:
            self._window_began = now
            self._fastest_before, self._fastest = self._fastest, timedelta.max
        self._fastest = min(self._fastest, duration)

    def _lower(
        self, typical: timedelta, engines: Iterable[Engine], now: timedelta
    ) -> bool:
        """Lower the limit; not again until loads that began since then have ended."""
        if self.limit is not None and now - self._lowered_at < typical * 2:
            return False
        concurrent = count_cold_loads(engines) + 1
        # The store's speed is shared by the loads: with half of them, each takes half
        # the time.
        full_speed = max(concurrent * (self.fastest / typical), MIN_LIMIT)
        if self.limit is not None and full_speed >= self.limit:
            return False
        self.limit = full_speed
        self._lowered_at = self._reached_at = now
        self._recent.clear()
        return True

    def _raise(self, now: timedelta) -> None:
        """Raise the limit by one for as many normal loads, while it is reached."""
        if self.limit is not None and now - self._reached_at <= self.fastest * 2:
            self.limit += 1 / self.limit

    # Decisions of one round

    def begin_round(self, engines: Iterable[Engine], now: timedelta) -> None:
        """Count the cold loads in progress, if there is a limit."""
        self._highest_value = -math.inf
        if self.limit is None:
            return
        if now - self._reached_at > LIMIT_LIFETIME:
            self.limit = None
            return
        self.in_progress = count_cold_loads(engines)

    @property
    def is_reached(self) -> bool:
        """Return whether a further cold load would slow down the others."""
        return self.limit is not None and self.in_progress + 1 > self.limit

    def record_value(self, value: float) -> None:
        """Record the value of a cold load that is in progress."""
        self._highest_value = max(self._highest_value, value)

    def holds_back(self, value: float, now: timedelta) -> bool:
        """Return whether a cold load is not started now.

        Once the limit is reached, only a load of a higher value than those in progress
        is started.
        """
        if not self.is_reached:
            return False
        self._reached_at = now
        return value <= self._highest_value

    def record_start(self, value: float) -> None:
        """Record that a cold load is started in this round."""
        self.in_progress += 1
        self.record_value(value)


def count_cold_loads(engines: Iterable[Engine]) -> int:
    """Return the number of loads from the weight store that are in progress."""
    count = 0
    for engine in engines:
        for slot in engine.adapter_slots.values():
            if slot.state is SlotState.LOADING and slot.cold:
                count += 1
    return count
