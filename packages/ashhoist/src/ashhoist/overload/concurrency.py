"""How many requests an upstream takes at a time, learnt from its answers."""

from datetime import timedelta

from ..clock import ZERO

MIN_LIMIT = 1.0
"""With no request at all, a recovery of the upstream would not be noticed."""
MAX_LIMIT_PER_SLOT = 4.0
"""Bounds the limit where slow answers do not show that it is too high."""
DEFAULT_SERVICE_TIME = timedelta(milliseconds=100)
"""Assumed until an answer shows the service time."""
SMOOTHING = 0.1
"""Weight of a new service time in the moving average."""
BEST_DRIFT = 0.002
"""Share of its difference to the usual service time by which each answer raises the
best one. Without it, a few very fast answers would remain the standard, and the
upstream would look overloaded permanently. It does not apply above the slots: requests
queue there, and the limit would rise with the delay that it causes itself."""
SLOW = 1.6
"""Above the slots, the limit falls while the usual service time is above the best times
this. Up to the slots, requests do not wait for each other: a low limit would only make
the next one look slow."""
GOOD = 1.15
"""Above the slots, the limit rises only while the usual service time is below the best
times this."""
REFUSAL_FACTOR = 0.8
"""Lowers the limit by more than `SLOW_FACTOR`: a refusal shows for certain that the
upstream is full, while service times also vary for other reasons."""
SLOW_FACTOR = 0.95
RAISE_BEYOND_SLOTS = 0.2
"""Factor for raises above the slots, where a limit that is too high makes requests wait
for each other."""


class ConcurrencyLimit:
    """The learnt concurrency limit of one upstream.

    It rises by about one with each service time at the limit, and falls at most once in
    each service time, as the refusals of one moment have one cause.

    Parameters
    ----------
    slots : int
        The slots that the upstream states; the limit starts there.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(float(slots), MIN_LIMIT)
        self.value = self._slots
        self.usual_time: timedelta | None = None
        """Moving average of the service times; None before the first answer."""
        self._best_time = ZERO
        self._lowered_at: timedelta | None = None

    def succeeded(self, took: timedelta, was_full: bool, now: timedelta) -> None:
        """Learn from a good answer.

        Parameters
        ----------
        was_full : bool
            Whether the upstream was at its limit when the request was sent.
        """
        if self.usual_time is None:
            self.usual_time = self._best_time = took
        self.usual_time += (took - self.usual_time) * SMOOTHING
        if self.value <= self._slots:
            self._best_time += (self.usual_time - self._best_time) * BEST_DRIFT
        self._best_time = min(self._best_time, self.usual_time)
        is_above_slots = self.value > self._slots
        if is_above_slots and self.usual_time > self._best_time * SLOW:
            self._lower(max(self.value * SLOW_FACTOR, self._slots), now)
            return
        if not was_full or self._was_lowered(now):
            return
        if not is_above_slots or self.usual_time <= self._best_time * GOOD:
            self._raise()

    def refused(self, in_flight: int, now: timedelta) -> None:
        """Lower the limit after the refusal of one of `in_flight` requests."""
        lowered = min(self.value * REFUSAL_FACTOR, in_flight - 1)
        self._lower(max(lowered, MIN_LIMIT), now)

    def _raise(self) -> None:
        step = 1.0 if self.value < self._slots else RAISE_BEYOND_SLOTS
        max_limit = self._slots * MAX_LIMIT_PER_SLOT
        self.value = min(self.value + step / self.value, max_limit)

    def _lower(self, value: float, now: timedelta) -> None:
        if self._was_lowered(now):
            return
        self._lowered_at = now
        self.value = value

    def _was_lowered(self, now: timedelta) -> bool:
        """Return whether the answers of now are still those to a higher limit."""
        if self._lowered_at is None:
            return False
        return now - self._lowered_at < (self.usual_time or DEFAULT_SERVICE_TIME)
