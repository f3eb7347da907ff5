"""Messages about which adapters each engine serves."""

from dataclasses import dataclass

from ...codec import message


@message(45)
@dataclass(frozen=True, slots=True)
class EngineAdapters:
    """All adapters that an engine serves, as ``[model, name, version]`` lists."""

    epoch: int
    upstream: str
    adapters: list


@message(62)
@dataclass(frozen=True, slots=True)
class EngineAdaptersChanged:
    """Changes since the last message, for a receiver that has the full state.

    Parameters
    ----------
    rows : list
        Lists of upstream, adapters added or updated (lists of model, name, version),
        and adapters removed (lists of model, name).
    """

    epoch: int
    rows: list


@message(63)
@dataclass(frozen=True, slots=True)
class AdapterLocationRequest:
    """Ask a hub which engines serve an adapter, when the leader does not answer.

    Parameters
    ----------
    number : int
        Chosen by the sender; repeated in the response.
    """

    number: int
    model: str
    name: str


@message(64)
@dataclass(frozen=True, slots=True)
class AdapterLocations:
    """Engines that serve an adapter, as known to the sender.

    Parameters
    ----------
    rows : list
        Lists of upstream and version.
    """

    number: int
    rows: list
