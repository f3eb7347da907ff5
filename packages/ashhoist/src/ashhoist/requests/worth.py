"""What an answer is worth: by the route's priority and the size of the request."""

from .call import Call

BY_PRIORITY = (4.2, 3.5, 1.8)
"""Of a request of mean size, by the route's priority; 0 is the most urgent."""
LATE_SHARE = 0.3
"""What is left of the worth of an answer that comes late."""
FIXED_SHARE = 0.3
MOST_TIMES = 4.0
SMOOTHING = 0.05


class Worth:
    """Weighs requests against the mean size on their route."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}

    def of(self, call: Call) -> float:
        """Return what an answer in time to `call` is worth."""
        place = min(max(call.route.priority, 0), len(BY_PRIORITY) - 1)
        share = FIXED_SHARE + (1 - FIXED_SHARE) * self._relative_size(call)
        return BY_PRIORITY[place] * min(share, MOST_TIMES)

    def _relative_size(self, call: Call) -> float:
        weight = float(call.sizes.weight)
        if weight <= 0:
            return 1.0
        mean = self._mean_by_route.get(call.route.name, weight)
        mean += (weight - mean) * SMOOTHING
        self._mean_by_route[call.route.name] = mean
        return weight / mean
