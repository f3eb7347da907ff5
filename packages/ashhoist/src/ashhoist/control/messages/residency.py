"""Messages about which adapters each engine serves."""

from dataclasses import dataclass

from ...codec import message


@message(45)
@dataclass(frozen=True, slots=True)
class Holds:
    """All adapters that an engine serves: lists of model, name, version."""

    epoch: int
    upstream: str
    adapters: list


@message(62)
@dataclass(frozen=True, slots=True)
class HoldsChanged:
    """What engines serve since the last message, for one that was told all before.

    Parameters
    ----------
    rows : list
        Lists of upstream, what it serves anew (lists of model, name, version), and
        what it serves no more (lists of model, name).
    """

    epoch: int
    rows: list


@message(63)
@dataclass(frozen=True, slots=True)
class Locate:
    """Ask a hub which engines serve an adapter: the leader does not answer.

    Parameters
    ----------
    number : int
        Chosen by the asker; it stands in the answer.
    """

    number: int
    model: str
    name: str


@message(64)
@dataclass(frozen=True, slots=True)
class Located:
    """The engines that serve an adapter, as far as the sender knows.

    Parameters
    ----------
    rows : list
        Lists of upstream and version.
    """

    number: int
    rows: list
