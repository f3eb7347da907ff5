"""What the choice of an upstream has obtained for a call."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class CallPlacement:
    """What has been obtained for a call so that it can be sent.

    Parameters
    ----------
    use_id : str
        Identifies the current attempt to the leader.
    is_taken_over : bool
        Whether this instance has counted the request for the retry budget.
    is_charged : bool
        Whether it has charged the request, if its customer has a quota.
    charged_tokens : float
        Amount charged to the customer's quota, in the quota's unit.
    sent_undecided : bool
        Whether the last attempt was sent because the leader did not decide in time.
    placement_wait : timedelta
        How long the request waited for its adapter, over all attempts.
    admission_wait : timedelta
        How long it waited for admission to a contended service, over all attempts.
    """

    use_id: str = ""
    is_taken_over: bool = False
    is_charged: bool = False
    charged_tokens: float = 0.0
    sent_undecided: bool = False
    placement_wait: timedelta = timedelta()
    admission_wait: timedelta = timedelta()
