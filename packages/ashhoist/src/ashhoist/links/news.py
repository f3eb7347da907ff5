"""What the links tell the task that owns an instance's state."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class PeerUp:
    """The link to an instance is up."""

    peer: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to an instance is gone."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerMessages:
    """Messages of an instance, in their order."""

    peer: str
    incarnation: str
    messages: list[Any]
