"""Messages for claiming zone leases and for forwarding orders to lease holders."""

from dataclasses import dataclass

from ...codec import message


@message(51)
@dataclass(frozen=True, slots=True)
class ReadClaimsFor:
    """Read a zone's newest claims for the sender, whom the log turns away."""

    zone: str
    number: int


@message(52)
@dataclass(frozen=True, slots=True)
class AppendClaimFor:
    """Append a claim for the sender, only where its partition ends at `at`."""

    zone: str
    number: int
    value: bytes
    at: int


@message(53)
@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """The newest claims: lists of offset, key and value.

    Parameters
    ----------
    end : int
        Where the partition ended; -1 if the log did not answer.
    """

    zone: str
    number: int
    end: int
    records: list


@message(54)
@dataclass(frozen=True, slots=True)
class ClaimAppended:
    """How an append ended.

    Parameters
    ----------
    result : str
        ``appended``, ``condition``, ``unavailable`` or ``unknown``.
    value : int
        The offset of the record, or where the partition ended.
    """

    zone: str
    number: int
    result: str
    value: int


@message(57)
@dataclass(frozen=True, slots=True)
class Carry:
    """An order for an engine whose zone's lease the receiver holds.

    Parameters
    ----------
    version : int
        Of the adapter; 0 asks for the newest.
    """

    number: int
    upstream: str
    address: str
    zone: str
    kind: str
    model: str
    name: str
    expected: int
    version: int


@message(58)
@dataclass(frozen=True, slots=True)
class Carried:
    """How an order ended that the receiver had asked for."""

    number: int
    upstream: str
    answer: str
