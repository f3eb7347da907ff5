"""Messages for customer quotas and upstream rate limits."""

from dataclasses import dataclass

from ...codec import message


@message(67)
@dataclass(frozen=True, slots=True)
class DrawTokens:
    """Ask for tokens of a customer's quota.

    Parameters
    ----------
    needed : float
        For the request that waits.
    extra : float
        What the next ones will likely need.
    """

    number: int
    customer: str
    needed: float
    extra: float


@message(68)
@dataclass(frozen=True, slots=True)
class TokensDrawn:
    """Tokens that the receiver may spend.

    Parameters
    ----------
    tokens : float
        0 if the quota does not hold what is needed now.
    wait_ms : int
        When it will; -1 if the sender can't tell, or grants nothing now.
    used, spare : float
        Of the quota's rate, and of its burst; see `customers.granter.Use`.
    """

    number: int
    tokens: float
    wait_ms: int
    used: float
    spare: float


@message(69)
@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Tokens that were not spent: lists of customer and tokens."""

    rows: list


@message(73)
@dataclass(frozen=True, slots=True)
class LimitsNamed:
    """What answers of upstreams have said of their limits.

    Parameters
    ----------
    rows : list
        Lists of an upstream's life, the requests a second that it takes (none if the
        answer named no limit), and how many microseconds ago the request was sent and
        its answer came.
    """

    rows: list


@message(74)
@dataclass(frozen=True, slots=True)
class LeaveShare:
    """The sender leaves its share of all limits to the receiver, which leads.

    Parameters
    ----------
    since : int
        As `AskProof.leaves_since`.
    """

    since: int


@message(75)
@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask for one send to an upstream that has named a limit.

    Parameters
    ----------
    number : int
        Chosen by the asker; it stands in the answer.
    """

    number: int
    upstream: str


@message(76)
@dataclass(frozen=True, slots=True)
class PermitAnswered:
    """Whether the receiver may send.

    Parameters
    ----------
    wait_ms : int
        When to ask again; 0 if it may.
    """

    number: int
    granted: bool
    wait_ms: int
