"""Which share of every rate is granted from here.

Every instance owns an equal share of each rate. It leaves that to the instance that
leads, for a while, and anew before that ends; the leader grants from all shares that it
has been left. So whatever is cut off, frozen or restarted, and however many lead at
once, what is granted never adds up to more than the whole: a share is granted from by
one instance only.

For how long a share is left counts on the leader's clock, from a moment that the leader
itself has told (`Beat.sent_at`). The instance that leaves it counts from when it heard
of that moment, so it takes its share back later than the leader lets go.
"""

from datetime import timedelta

LEFT_FOR = timedelta(milliseconds=1200)
"""For how long a share is left to the leader: it is left anew at each of the leader's
beats, which come each 0.5 s, and after this time without one another leader is chosen.
So whoever follows finds all shares free."""


class Shares:
    """The shares that were left here."""

    def __init__(self) -> None:
        self._left_until: dict[str, timedelta] = {}
        self._look_at = timedelta.max

    def left(self, instance: str, told_at: timedelta) -> None:
        """Take in that an instance leaves its share here.

        Parameters
        ----------
        told_at : timedelta
            The newest moment of this instance that it has heard of.
        """
        until = told_at + LEFT_FOR
        self._left_until[instance] = max(until, self._left_until.get(instance, until))
        self._look_at = min(self._look_at, until)

    def share(self, instances: int, now: timedelta) -> float:
        """Return which share of every rate is granted from here.

        Parameters
        ----------
        instances : int
            How many instances there are, this one included.
        """
        if now >= self._look_at:
            self._forget_ended(now)
        return min((len(self._left_until) + 1) / max(instances, 1), 1.0)

    def _forget_ended(self, now: timedelta) -> None:
        self._left_until = {
            instance: until
            for instance, until in self._left_until.items()
            if until > now
        }
        self._look_at = min(self._left_until.values(), default=timedelta.max)

    def is_alone(self, instances: int, now: timedelta) -> bool:
        """Return whether no other instance leaves its share here, though there are any.

        What it would grant is its own share, which an instance spends without granting.
        """
        return self.share(instances, now) * instances <= 1.0 < instances
