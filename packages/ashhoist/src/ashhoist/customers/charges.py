"""What requests and the control task tell each other of customers' quotas."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Charged:
    """How a charge ended.

    Parameters
    ----------
    spent : bool
        Whether the request may run.
    over_quota : bool
        Whether it may not because the quota is used up; else it is not known whether.
    wait : timedelta or None
        When it is worth coming back.
    """

    spent: bool
    over_quota: bool = False
    wait: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Charge:
    """Charge a request to a customer's quota.

    Parameters
    ----------
    tokens : float
        In the quota's unit.
    """

    customer: str
    tokens: float
    answer: "Future[Charged]" = field(default_factory=Future)

    @property
    def settled(self) -> bool:
        """Return whether it has ended."""
        return self.answer.done()

    def settle(self, charged: Charged) -> None:
        """End it, unless it has ended before."""
        if not self.answer.done():
            self.answer.set_result(charged)


@dataclass(frozen=True, slots=True)
class ChargeUnanswered:
    """A charge can wait no longer for whoever grants tokens."""

    charge: Charge


@dataclass(frozen=True, slots=True)
class TokensUnused:
    """A request that was charged has not run."""

    customer: str
    tokens: float
