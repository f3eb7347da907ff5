"""Messages about requests waiting for adapters and their use of engines."""

from dataclasses import dataclass

from ...codec import message


@message(46)
@dataclass(frozen=True, slots=True)
class Ask:
    """A request of the sender waits for an adapter.

    Parameters
    ----------
    oldest_version : int
        Of the adapter; an older one does not do.
    worth, late_worth : float
        What an answer in time, or a late one, is worth.
    tried : list
        Upstreams that have refused or failed the request.
    """

    id: str
    service: str
    model: str
    name: str
    oldest_version: int
    tokens: int
    worth: float
    late_worth: float
    aim_left_ms: int
    left_ms: int
    give_up_left_ms: int
    zone: str
    may_return: bool
    tried: list


@message(47)
@dataclass(frozen=True, slots=True)
class Withdraw:
    """A request no longer waits."""

    id: str


@message(48)
@dataclass(frozen=True, slots=True)
class Granted:
    """A request may be sent to an engine that serves its adapter.

    Parameters
    ----------
    expected_ms : int
        When its first event should come.
    permitted : bool
        Whether that engine has named a limit, and this send is within it.
    """

    id: str
    upstream: str
    version: int
    expected_ms: int
    permitted: bool


@message(49)
@dataclass(frozen=True, slots=True)
class Declined:
    """A request is not going to get its adapter in time."""

    id: str
    reason: str
    retry_after_ms: int


@message(50)
@dataclass(frozen=True, slots=True)
class Uses:
    """What requests do at engines, in their order.

    Parameters
    ----------
    began : list
        Lists of id, upstream, model, name and tokens, of those that the holder
        has not granted.
    started : list
        Lists of id and upstream.
    ended : list
        Lists of id, upstream and what the end says of it (`UseEnd`).
    """

    began: list
    started: list
    ended: list


@message(55)
@dataclass(frozen=True, slots=True)
class Waits:
    """A request waits for its adapter; the holder has taken it in."""

    id: str
