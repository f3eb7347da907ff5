"""How long this instance may act on the keys that it knows.

A key may be taken away while this instance is cut off, frozen, or served by a log that
answers only some. So knowing the configuration is a lease: keys are accepted while it
can be shown that what is known here was the newest less than a bound ago.

All times are moments of this instance's steady clock, counted from before the question
whose answer shows it: an answer that lay in a buffer while the process was frozen is as
old as its question.
"""

from datetime import timedelta

SEND_MARGIN = timedelta(milliseconds=200)
"""From the check of a key until its request is with the upstream: a turn of the event
loop, and a connection to an upstream that takes its time."""


class Proof:
    """Since when it is not known whether the configuration is the newest.

    Parameters
    ----------
    bound : timedelta or None
        A key that was taken away may be accepted for so long; None if there is no
        such promise, so that the newest configuration known here always does.
    """

    def __init__(self, bound: timedelta | None = None) -> None:
        self.bound = bound
        self.proved_at: timedelta | None = None

    @property
    def needed(self) -> bool:
        """Return whether keys are accepted only while there is proof."""
        return self.bound is not None

    def prove(self, at: timedelta) -> None:
        """Take in that the configuration known here was the newest at a moment."""
        if self.proved_at is None or at > self.proved_at:
            self.proved_at = at

    def age(self, now: timedelta) -> timedelta | None:
        """Return how old the newest proof is, or None if there never was one."""
        return None if self.proved_at is None else now - self.proved_at

    def holds(self, now: timedelta) -> bool:
        """Return whether keys may be accepted now."""
        if self.bound is None:
            return True
        age = self.age(now)
        return age is not None and age < self.bound - SEND_MARGIN

    def shows_absence(self, now: timedelta, known_within: timedelta) -> bool:
        """Return whether a key that is not known here is in force nowhere.

        Parameters
        ----------
        known_within : timedelta
            Within so long a new key has to be accepted everywhere.
        """
        if self.bound is None:
            return True
        age = self.age(now)
        return age is not None and age < known_within
