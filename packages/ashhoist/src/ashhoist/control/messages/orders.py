"""Messages for claiming zone leases and for forwarding orders to lease holders."""

from dataclasses import dataclass

from ...codec import message


@message(51)
@dataclass(frozen=True, slots=True)
class ClaimsReadRequest:
    """Ask to read a zone's newest claims for a sender that the log rejects."""

    zone: str
    number: int


@message(52)
@dataclass(frozen=True, slots=True)
class ClaimAppendRequest:
    """Ask to append a claim if the end of its partition is still at `at`."""

    zone: str
    number: int
    value: bytes
    at: int


@message(53)
@dataclass(frozen=True, slots=True)
class ClaimsReadResponse:
    """Response to `ClaimsReadRequest`.

    Parameters
    ----------
    end : int
        End offset of the partition; -1 if the log did not answer.
    records : list
        The newest claims, each as ``[offset, key, value]``.
    """

    zone: str
    number: int
    end: int
    records: list


@message(54)
@dataclass(frozen=True, slots=True)
class ClaimAppendResponse:
    """Response to `ClaimAppendRequest`.

    Parameters
    ----------
    result : str
        ``appended``, ``condition``, ``unavailable`` or ``unknown``.
    value : int
        The offset of the appended record, or else the end of the partition.
    """

    zone: str
    number: int
    result: str
    value: int


@message(57)
@dataclass(frozen=True, slots=True)
class OrderForward:
    """Forward an order to the holder of the lease for the engine's zone.

    Parameters
    ----------
    number : int
        Chosen by the sender; repeated in the response.
    expected : int
        Order sequence number that the engine must be at for the order to be valid.
    version : int
        Adapter version; 0 means the newest.
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
class OrderForwardResult:
    """Result of an order that the receiver had forwarded to the sender."""

    number: int
    upstream: str
    answer: str
