"""Proof that the known configuration is recent enough to accept keys.

A key may be revoked while this instance is partitioned or frozen, or while the log
responds to some instances only. Knowledge of the configuration is therefore treated
like a lease: keys are accepted only while there is proof that the known configuration
was the newest one less than a bound ago.

All times are on this instance's monotonic clock, and from before the request was sent
whose response is the proof: a response that lay in a buffer while the process was
frozen is as old as its request.
"""

from datetime import timedelta

SEND_MARGIN = timedelta(milliseconds=200)
"""Time allowed from the check of a key until its request reaches the upstream: one turn
of the event loop, and a slow connection to the upstream."""


class Proof:
    """The latest time at which the known configuration was proved to be the newest.

    Parameters
    ----------
    bound : timedelta or None
        How long a revoked key may still be accepted. None if there is no such bound:
        then the newest configuration known here is used without proof.
    """

    def __init__(self, bound: timedelta | None = None) -> None:
        self.bound = bound
        self.proved_at: timedelta | None = None

    @property
    def needed(self) -> bool:
        """Return whether keys are accepted only with recent proof."""
        return self.bound is not None

    def prove(self, at: timedelta) -> None:
        """Record that the known configuration was the newest at the given time."""
        if self.proved_at is None or at > self.proved_at:
            self.proved_at = at

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the latest proof, or None if there never was any."""
        return None if self.proved_at is None else now - self.proved_at

    def is_recent(self, now: timedelta) -> bool:
        """Return whether keys may be accepted now."""
        if self.bound is None:
            return True
        age = self.age(now)
        return age is not None and age < self.bound - SEND_MARGIN

    def shows_absence(self, now: timedelta, known_within: timedelta) -> bool:
        """Return whether a key that is not known here is valid at no instance.

        Parameters
        ----------
        known_within : timedelta
            The time within which every instance has to accept a new key.
        """
        if self.bound is None:
            return True
        age = self.age(now)
        return age is not None and age < known_within
