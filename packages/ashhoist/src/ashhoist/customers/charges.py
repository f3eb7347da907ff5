"""Messages between request tasks and the control task about customers' quotas."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ChargeResult:
    """The result of a charge.

    Parameters
    ----------
    spent : bool
        Whether the tokens were spent, so that the request may run.
    over_quota : bool
        Whether the request is refused because the quota is used up. If both are false
        it is not known whether it is.
    wait : timedelta or None
        After what time to retry; None if not known.
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
        The amount to charge, in the quota's unit.
    future : Future
        Receives the result.
    """

    customer: str
    tokens: float
    future: "Future[ChargeResult]" = field(default_factory=Future)

    @property
    def settled(self) -> bool:
        """Return whether the charge has a result."""
        return self.future.done()

    def settle(self, charged: ChargeResult) -> None:
        """Set the result, unless there already is one."""
        if not self.future.done():
            self.future.set_result(charged)


@dataclass(frozen=True, slots=True)
class ChargeTimedOut:
    """The request of a charge can't wait any longer for the leader's grant."""

    charge: Charge


@dataclass(frozen=True, slots=True)
class TokenRefund:
    """A charged request did not run; its tokens are refunded."""

    customer: str
    tokens: float
