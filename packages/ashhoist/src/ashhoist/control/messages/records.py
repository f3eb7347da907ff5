"""Messages that replicate log records and prove that they are current."""

from dataclasses import dataclass

from ...codec import message


@message(42)
@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for the newest records of a topic behind an offset."""

    topic: str
    after: int


@message(56)
@dataclass(frozen=True, slots=True)
class Announce:
    """The sender has read a record that is too large to be relayed unasked."""

    topic: str
    offset: int


@message(43)
@dataclass(frozen=True, slots=True)
class Relay:
    """Records as the sender has read them.

    Parameters
    ----------
    after, up_to : int
        The records are all that has changed something behind `after` and up to
        `up_to`; a receiver that has not seen `after` lacks some.
    records : bytes
        As `relays.pack` makes them.
    compressed : bool
        Whether they are.
    """

    topic: str
    after: int
    up_to: int
    records: bytes
    compressed: bool


@message(65)
@dataclass(frozen=True, slots=True)
class AskProof:
    """Ask how long ago what the receiver knows of the configuration was the newest.

    Whoever asks the leader leaves its share of all quotas to it.

    Parameters
    ----------
    asked_at : int
        The sender's steady clock, in microseconds; it stands in the answer.
    leaves_since : int
        The newest `Beat.sent_at` of the receiver from which on the sender leaves its
        share to it; -1 if it does not.
    """

    asked_at: int
    leaves_since: int


@message(66)
@dataclass(frozen=True, slots=True)
class Proven:
    """What the sender knew was the newest, so long before it sent this.

    Parameters
    ----------
    offset : int
        Up to which it knew all changes of the configuration.
    """

    asked_at: int
    age_us: int
    offset: int
