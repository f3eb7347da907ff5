"""The share of every rate limit that this instance may grant from.

Every instance owns an equal share of each rate. It delegates its share to the leader
for a limited time and renews the delegation before it ends; the leader grants from all
shares delegated to it. Each share is granted from by one instance only, so the grants
never exceed the whole rate, whichever instances are partitioned, frozen or restarted,
and however many of them act as the leader at once.

The leader counts the time of a delegation on its own clock, from a time that it has
sent itself (`Heartbeat.sent_at`). The delegating instance counts from when it received
that time, so the leader stops using the share before the instance takes it back.
"""

from datetime import timedelta

SHARE_DELEGATION_TIME = timedelta(milliseconds=1200)
"""How long a share is delegated to the leader. Each heartbeat of the leader renews it;
they are sent every 0.5 s. If none arrives for this long another leader is elected, so
that the new leader finds all shares free."""


class DelegatedShares:
    """The shares that other instances have delegated to this one."""

    def __init__(self) -> None:
        self._delegated_until: dict[str, timedelta] = {}
        self._next_expiry = timedelta.max

    def delegate(self, instance: str, acknowledged_time: timedelta) -> None:
        """Record that an instance delegates its share to this one.

        Parameters
        ----------
        acknowledged_time : timedelta
            The latest time sent by this instance that the other one has received.
        """
        until = acknowledged_time + SHARE_DELEGATION_TIME
        self._delegated_until[instance] = max(
            until, self._delegated_until.get(instance, until)
        )
        self._next_expiry = min(self._next_expiry, until)

    def share(self, instances: int, now: timedelta) -> float:
        """Return the fraction of every rate that this instance may grant from.

        Parameters
        ----------
        instances : int
            The number of instances, including this one.
        """
        if now >= self._next_expiry:
            self._remove_expired(now)
        return min((len(self._delegated_until) + 1) / max(instances, 1), 1.0)

    def _remove_expired(self, now: timedelta) -> None:
        self._delegated_until = {
            instance: until
            for instance, until in self._delegated_until.items()
            if until > now
        }
        self._next_expiry = min(self._delegated_until.values(), default=timedelta.max)

    def is_alone(self, instances: int, now: timedelta) -> bool:
        """Return whether there are other instances but none delegates its share here.

        Then there is nothing to grant: an instance spends its own share without grants.
        """
        return self.share(instances, now) * instances <= 1.0 < instances
