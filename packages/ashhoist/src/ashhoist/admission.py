"""What admission knows: how long requests run and loads take here."""

from dataclasses import dataclass
from datetime import timedelta

SMOOTHING = 0.1
RETRY_BURST = 10.0


@dataclass(slots=True)
class ServiceTimes:
    """Smoothed times of one upstream.

    Parameters
    ----------
    service : timedelta
        How long a request runs.
    load : timedelta
        How long it takes from the wish for a load to residency.
    """

    service: timedelta = timedelta(seconds=1)
    load: timedelta = timedelta(seconds=1)

    def ran(self, took: timedelta) -> None:
        """Take in how long a request ran."""
        self.service += (took - self.service) * SMOOTHING

    def loaded(self, took: timedelta) -> None:
        """Take in how long a load took."""
        self.load += (took - self.load) * SMOOTHING


@dataclass(slots=True)
class RetryBudget:
    """Retries as a share of requests, so that retries never multiply load.

    Parameters
    ----------
    share : float
        Retries allowed for each request, on average.
    """

    share: float
    tokens: float = RETRY_BURST

    def requested(self) -> None:
        """Count a request."""
        self.tokens = min(RETRY_BURST, self.tokens + self.share)

    def allow(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
