"""One open request of a caller, and what is known of its attempts."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..adapter import Adapter
from ..http import Request
from ..routing import Route
from .keys import ANYBODY, Identity


@dataclass(frozen=True, slots=True)
class Sizes:
    """How large a generation is, in tokens."""

    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def weight(self) -> int:
        """Return the work it stands for: a token out costs ten in."""
        return self.tokens_in + 10 * self.tokens_out

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt and, at most, of the answer."""
        return self.tokens_in + self.tokens_out


@dataclass(slots=True)
class Call:
    """One open request.

    Parameters
    ----------
    limit : timedelta
        When it ends: the route's time or the caller's, whichever is first.
    fingerprint : str
        The same for all tries, at whichever instance.
    upstream_life : str
        Names the life of the upstream that the present attempt goes to.
    sent_to : str
        The id of the upstream that the last attempt was sent to.
    use_id : str
        Names the present attempt to the holder of the lease.
    patience : timedelta or None
        How long an upstream may be silent before the request goes elsewhere.
    waited : timedelta
        How long it waited for its adapter, over all attempts.
    sent_at : timedelta or None
        When the last attempt was begun.
    may_have_run : bool
        True once an attempt was sent and not refused expressly.
    unrefused : bool
        True while an attempt was sent of which nothing says that it has not run.
    identity : Identity
        Who sent it.
    charged : float
        To its customer's quota, in the quota's unit.
    """

    id: str
    request: Request
    route: Route
    service: str
    limit: timedelta
    adapter: Adapter | None = None
    sizes: Sizes = Sizes()
    prompt_parts: tuple[str, ...] = ()
    first_try: bool = True
    fingerprint: str = ""
    upstream_life: str = ""
    sent_to: str = ""
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    unrefused: bool = False
    identity: Identity = ANYBODY
    charged: float = 0.0
    tried: set[str] = field(default_factory=set)
    use_id: str = ""
    patience: timedelta | None = None
    waited: timedelta = timedelta()
    sent_at: timedelta | None = None
    first_event_at: timedelta | None = None
    last_event_at: timedelta | None = None
    last_event_id: str = ""

    @property
    def received_at(self) -> timedelta:
        """Return when its first byte was seen."""
        return self.request.received_at

    @property
    def has_run(self) -> bool:
        """Return whether an upstream has, or may have, begun to work on it."""
        return self.may_have_run or self.unrefused or self.runs > 0

    @property
    def customer_name(self) -> str:
        """Return the name of the customer that sent it, or nothing."""
        customer = self.identity.customer
        return "" if customer is None else customer.name

    @property
    def priority(self) -> tuple[int, int]:
        """Return its rank: its customer's goes before its route's; 0 is first."""
        customer = self.identity.customer
        own = 0 if customer is None else customer.priority
        return (own, self.route.priority)

    @property
    def left_at(self) -> timedelta:
        """Return when its caller leaves if no other event comes before."""
        patience = self.route.caller_patience
        if patience is None:
            return self.limit
        silent_since = self.last_event_at or self.received_at
        return min(self.limit, silent_since + patience)
