"""One open request of a caller and the state of its attempts."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta

from ..adapter import Adapter
from ..http import Request
from ..routing import Route
from .authentication import ANONYMOUS, Identity
from .call_placement import CallPlacement
from .event_pause import EventPause
from .place_search import PlaceSearch
from .silence import SilenceLimit


@dataclass(frozen=True, slots=True)
class TokenCounts:
    """The size of a generation request, in tokens."""

    prompt_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def cost(self) -> int:
        """Return the relative cost: an output token counts as ten prompt tokens."""
        return self.prompt_tokens + 10 * self.max_output_tokens

    @property
    def total(self) -> int:
        """Return the prompt tokens plus the maximum number of output tokens."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True)
class Call:
    """One open request.

    Parameters
    ----------
    deadline : timedelta
        When the request ends: by the route's timeout or the caller's own, whichever
        comes first.
    takes_up_stream : bool
        Whether the caller has got events of the response from an earlier request.
    configuration_version : int
        The version of the configuration in force when the request arrived.
    first_try : bool
        False if the caller has probably sent the request before.
    fingerprint : str
        Equal for all tries of the same request, at any instance.
    prompt_parts : tuple of str
        The ids of the parts of its prompt; the last one is its own.
    attempt_events : int
        Events that the upstream of the current attempt has sent.
    upstream_incarnation : str
        Names the incarnation of the upstream that the current attempt goes to.
    retry_reason : str
        Why the request left the upstream of its last attempt; empty before a retry.
    last_upstream : str
        The id of the upstream that the last attempt was sent to.
    last_software_version : str
        The software version of that upstream; empty if not known.
    software_version : str
        The software version at which its stream began, the only one at which it may go
        on; empty if any will do.
    resumes : str
        Names the request that brought the first event of the stream that the caller
        takes up; empty if it names none.
    sends : int
        Attempts that were started.
    runs : int
        Attempts that ran at an upstream, or may have.
    is_forwarded : bool
        Whether another instance has forwarded the request to this one.
    forwarded_to : str
        The instance that the current attempt goes to; empty if it goes to an upstream.
    response_began : bool
        Whether the upstream of the current attempt has sent anything.
    pauses : int
        How often it has waited after a refusal to ask again.
    has_moved : bool
        Whether the request has left an upstream that may have gone on with it.
    retry_reserved : bool
        Whether the next attempt is a retry that the budget has reserved.
    placement_numbers : iterator of int
        Numbers the upstreams that are asked for, also by copies of the call.
    place_search : PlaceSearch or None
        The search for the next upstream, while the present one is silent or right after
        it has ended.
    is_searching : bool
        Whether it is a copy, for which another upstream is looked for while the present
        one may go on.
    tried : set of str
        Ids of the upstreams that were already tried.
    retryable_upstreams : set of str
        Ids of those among them that may be asked again: they refused it as not run, or
        it left them as they were silent.
    silence_limit : SilenceLimit or None
        How long the upstream may make no progress before another one is looked for;
        None if no further attempt is possible.
    placement : CallPlacement
        What the choice of an upstream has obtained for it.
    grant_number : int
        Identifies the leader's grant for the current attempt; 0 if there is none.
    sent_at : timedelta or None
        When the last attempt began.
    longest_pause : EventPause or None
        The longest pause between two events of a stream, over all attempts; None before
        the second event.
    may_have_run : bool
        True once an attempt ended with neither a valid response nor an express
        refusal.
    attempt_unresolved : bool
        True from the start of an attempt until the upstream is known not to have run
        it.
    identity : Identity
        Who sent the request.
    """

    id: str
    request: Request
    route: Route
    service: str
    deadline: timedelta
    adapter: Adapter | None = None
    token_counts: TokenCounts = TokenCounts()
    prompt_parts: tuple[str, ...] = ()
    attempt_events: int = 0
    configuration_version: int = -1
    first_try: bool = True
    fingerprint: str = ""
    upstream_incarnation: str = ""
    retry_reason: str = ""
    last_upstream: str = ""
    last_software_version: str = ""
    software_version: str = ""
    resumes: str = ""
    takes_up_stream: bool = False
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    attempt_unresolved: bool = False
    identity: Identity = ANONYMOUS
    is_forwarded: bool = False
    forwarded_to: str = ""
    response_began: bool = False
    has_moved: bool = False
    pauses: int = 0
    is_searching: bool = False
    retry_reserved: bool = False
    tried: set[str] = field(default_factory=set)
    retryable_upstreams: set[str] = field(default_factory=set)
    placement_numbers: Iterator[int] = field(default_factory=itertools.count)
    place_search: PlaceSearch | None = None
    silence_limit: SilenceLimit | None = None
    placement: CallPlacement = field(default_factory=CallPlacement)
    grant_number: int = 0
    sent_at: timedelta | None = None
    first_event_at: timedelta | None = None
    last_event_at: timedelta | None = None
    longest_pause: EventPause | None = None
    last_event_id: str = ""

    def forget_retryable_upstreams(self) -> None:
        """Allow attempts at the upstreams that may be asked again."""
        self.tried -= self.retryable_upstreams
        self.retryable_upstreams.clear()

    def copy_for_search(self) -> "Call":
        """Return a copy of a call that is still at an upstream, to look for another.

        Nothing has been sent for the copy, and its present upstream counts as tried.
        """
        return replace(
            self,
            tried=set(self.tried),
            placement=replace(self.placement),
            grant_number=0,
            place_search=None,
            is_searching=True,
            attempt_unresolved=False,
            may_have_run=False,
            runs=0,
        )

    def adopt(self, copy: "Call") -> None:
        """Take over what a search has obtained for a copy of the call.

        The copy is not used afterwards, as the two share it.
        """
        self.service = copy.service
        self.software_version = copy.software_version
        self.grant_number = copy.grant_number
        self.placement = copy.placement

    def withdraw_place_search(self) -> None:
        """End the search for the next upstream, if there is one."""
        search, self.place_search = self.place_search, None
        if search is not None:
            search.withdraw()

    @property
    def received_at(self) -> timedelta:
        """Return when the first byte of the request was received."""
        return self.request.received_at

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brought the first event of the stream.

        Empty if the caller takes up a stream without saying which.
        """
        return self.resumes if self.takes_up_stream else self.id

    @property
    def has_begun_stream(self) -> bool:
        """Return whether the caller has got an event of the stream."""
        return self.takes_up_stream or self.has_forwarded_event

    @property
    def has_forwarded_event(self) -> bool:
        """Return whether this instance has forwarded an event to the caller."""
        return self.first_event_at is not None

    @property
    def holds_out(self) -> bool:
        """Return whether the call is refused as late as its deadline allows.

        Its caller has got events, which are lost with it, or would have got its answer
        if the call had not moved.
        """
        return self.has_forwarded_event or self.has_moved

    @property
    def has_run(self) -> bool:
        """Return whether an upstream has started on the request, or may have."""
        return self.may_have_run or self.attempt_unresolved or self.runs > 0

    @property
    def placement_wait(self) -> timedelta:
        """Return how long it waited for its adapter, over all attempts."""
        return self.placement.placement_wait

    @property
    def admission_wait(self) -> timedelta:
        """Return how long it waited for admission, over all attempts."""
        return self.placement.admission_wait

    @property
    def customer_name(self) -> str:
        """Return the name of the customer that sent it, or an empty string."""
        customer = self.identity.customer
        return "" if customer is None else customer.name

    @property
    def priority(self) -> tuple[int, int]:
        """Return the customer's priority, then the route's; 0 is the most urgent."""
        customer = self.identity.customer
        customer_priority = 0 if customer is None else customer.priority
        return (customer_priority, self.route.priority)

    @property
    def caller_gives_up_at(self) -> timedelta:
        """Return when the caller disconnects if it receives no further event."""
        patience = self.route.caller_event_timeout
        if patience is None:
            return self.deadline
        last_activity = self.last_event_at or self.received_at
        return min(self.deadline, last_activity + patience)
