"""Messages about requests that wait for an adapter and their use of engines."""

from dataclasses import dataclass

from ...codec import added_in, message

SOFTWARE_VERSION_REVISION = 4


@message(46)
@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Ask the leader to place a request that needs an adapter.

    Parameters
    ----------
    oldest_version : int
        Oldest adapter version that is acceptable.
    worth, late_worth : float
        Value of a response within the target latency, and of a late one.
    tried : list
        Upstreams that have already refused or failed the request.
    gap_ms : int
        Longest pause between two events of the response that is on time; 0 if unknown.
    software_version : str
        Software version that the engine must have; empty if any will do.
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
    may_retry: bool
    tried: list
    gap_ms: int = 0
    software_version: str = added_in(SOFTWARE_VERSION_REVISION, "")


@message(47)
@dataclass(frozen=True, slots=True)
class PlacementQueryCancel:
    """Cancel a `PlacementQuery`: the request no longer waits."""

    id: str


@message(48)
@dataclass(frozen=True, slots=True)
class PlacementGranted:
    """The leader has chosen an engine that serves the request's adapter.

    Parameters
    ----------
    expected_ms : int
        Expected milliseconds until the first event of the response.
    permitted : bool
        Whether the engine has declared a rate limit and this send is within it.
    """

    id: str
    upstream: str
    version: int
    expected_ms: int
    permitted: bool


@message(49)
@dataclass(frozen=True, slots=True)
class PlacementDeclined:
    """The request can't get its adapter in time."""

    id: str
    reason: str
    retry_after_ms: int


@message(50)
@dataclass(frozen=True, slots=True)
class EngineUses:
    """Changes in the sender's use of engines, in the order in which they occurred.

    Parameters
    ----------
    began : list
        Lists of id, upstream, model, name and tokens of the uses that the leader has
        not granted itself.
    started : list
        Lists of id and upstream, of requests that have received their first event.
    ended : list
        Lists of id, upstream and outcome (`RequestOutcome`).
    """

    began: list
    started: list
    ended: list


@message(55)
@dataclass(frozen=True, slots=True)
class PlacementQueued:
    """The leader has queued the request until its adapter is available."""

    id: str
