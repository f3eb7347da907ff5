"""Estimates what a response is worth, by route priority and request size."""

from .call import Call

WORTH_BY_PRIORITY = (4.2, 3.5, 1.8)
"""Worth of a request of mean size, by the route's priority; 0 is the most urgent."""
LATE_WORTH_SHARE = 0.3
"""Share of its worth that a response keeps if it misses its target latency."""
SIZE_INDEPENDENT_SHARE = 0.3
"""Share of the worth that does not depend on the size."""
MAX_SIZE_FACTOR = 4.0
"""Upper bound of the factor by which the size scales the worth."""
SMOOTHING = 0.05
"""Weight of a new request in the moving average of sizes."""


class WorthEstimator:
    """Relates the size of requests to the mean size on their route."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}

    def estimate(self, call: Call) -> float:
        """Return the worth of a response to `call` that is in time."""
        priority = min(max(call.route.priority, 0), len(WORTH_BY_PRIORITY) - 1)
        share = SIZE_INDEPENDENT_SHARE + (
            1 - SIZE_INDEPENDENT_SHARE
        ) * self._relative_size(call)
        return WORTH_BY_PRIORITY[priority] * min(share, MAX_SIZE_FACTOR)

    def _relative_size(self, call: Call) -> float:
        cost = float(call.token_counts.cost)
        if cost <= 0:
            return 1.0
        mean = self._mean_by_route.get(call.route.name, cost)
        mean += (cost - mean) * SMOOTHING
        self._mean_by_route[call.route.name] = mean
        return cost / mean
