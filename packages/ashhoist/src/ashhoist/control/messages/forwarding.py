"""Messages about the forwarding of requests between instances."""

from dataclasses import dataclass

from ...codec import message

FORWARDING_REVISION = 3
CANDIDATES_REVISION = 5


@message(85, FORWARDING_REVISION)
@dataclass(frozen=True, slots=True)
class ForwardingNotice:
    """Whether the sender takes requests of instances that reach no upstream.

    Parameters
    ----------
    callers : str
        ``IP:PORT`` at which the sender takes requests.
    is_cut_off : bool
        Whether the sender itself reaches no upstream.
    """

    callers: str
    is_cut_off: bool


@message(91, CANDIDATES_REVISION)
@dataclass(frozen=True, slots=True)
class ForwardingQuery:
    """Query of an instance that reaches no upstream: who takes its requests."""


@message(92, CANDIDATES_REVISION)
@dataclass(frozen=True, slots=True)
class ForwardingCandidates:
    """Some instances that reach upstreams, for the instance that has asked.

    Parameters
    ----------
    rows : list
        One ``[name, zone, callers, capacity]`` list per instance; see
        `ForwardingNotice` and `Introduction`.
    """

    rows: list
