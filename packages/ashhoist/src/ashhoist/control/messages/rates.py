"""Messages for customer quotas and upstream rate limits."""

from dataclasses import dataclass

from ...codec import message


@message(67)
@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request tokens from a customer's quota.

    Parameters
    ----------
    needed : float
        Tokens needed by the request that is waiting.
    extra : float
        Estimate of what the following requests will need.
    """

    number: int
    customer: str
    needed: float
    extra: float


@message(68)
@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Response to `TokenRequest`: tokens that the receiver may spend.

    Parameters
    ----------
    tokens : float
        0 if the quota does not currently hold the tokens needed.
    wait_ms : int
        Milliseconds until it will; -1 if the sender can't tell, or grants nothing now.
    used, spare : float
        Shares of the quota's rate and of its burst; see `customers.granter.QuotaUse`.
    """

    number: int
    tokens: float
    wait_ms: int
    used: float
    spare: float


@message(69)
@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Return unspent tokens, as ``[customer, tokens]`` lists."""

    rows: list


@message(73)
@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Rate limits that upstreams have declared in their responses.

    Parameters
    ----------
    rows : list
        Lists of an upstream's incarnation, the requests per second that it accepts
        (None if the response declared no limit), and how many microseconds ago the
        request was sent and its response arrived.
    """

    rows: list


@message(74)
@dataclass(frozen=True, slots=True)
class ShareDelegation:
    """The sender cedes its share of all limits to the receiver, the leader.

    Parameters
    ----------
    since : int
        Same as `ProofRequest.delegated_since`.
    """

    since: int


@message(75)
@dataclass(frozen=True, slots=True)
class PermitQuery:
    """Request permission for one send to an upstream that has declared a rate limit.

    Parameters
    ----------
    number : int
        Chosen by the sender; repeated in the response.
    """

    number: int
    upstream: str


@message(76)
@dataclass(frozen=True, slots=True)
class PermitResponse:
    """Response to `PermitQuery`.

    Parameters
    ----------
    granted : bool
        Whether the receiver may send.
    wait_ms : int
        Milliseconds after which to ask again; 0 if granted.
    """

    number: int
    granted: bool
    wait_ms: int
