"""Limits what is sent without the leader to upstreams that bear few rejections."""

from collections.abc import Callable
from datetime import timedelta

from ..upstreams import Balancer, RejectionLimits, Upstream


class RoomCheck:
    """Whether an upstream has room, from what this instance alone has sent to it.

    The leader knows what all instances have sent. Without it, each instance may use its
    part of the slots of an upstream that crashes if it rejects too many requests.

    Parameters
    ----------
    instances : callable
        Returns the number of instances; 0 if not known.
    """

    def __init__(
        self,
        rejections: RejectionLimits,
        balancer: Balancer,
        instances: Callable[[], int],
    ) -> None:
        self._rejections = rejections
        self._balancer = balancer
        self._instances = instances

    def has_room(self, upstream: Upstream) -> bool:
        """Return whether this instance may send a request without the leader."""
        if not self._rejections.is_limited(upstream.service):
            return True
        instances = self._instances()
        share = upstream.slots // instances if instances else 0
        return self._balancer.in_flight(upstream.id) < share

    def retry_after(self, service: str) -> timedelta | None:
        """Return when a caller may come back that no upstream has room for, or None.

        While upstreams bear few rejections, one that has rejected a request gets
        nothing from any instance for that long.
        """
        return self._rejections.pause_after(service)
