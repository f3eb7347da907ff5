"""Messages that replicate log records and prove that a replica is current."""

from dataclasses import dataclass

from ...codec import added_in, message

HISTORY_REVISION = 6
HISTORY_NOT_STATED = -2
"""`Relay.gap_until` of a sender whose revision does not state its history."""


@message(42)
@dataclass(frozen=True, slots=True)
class Pull:
    """Request the newest records of a topic after an offset."""

    topic: str
    after: int


@message(56)
@dataclass(frozen=True, slots=True)
class LargeRecordsNotice:
    """Announce new records that are too large to be pushed without a request."""

    topic: str
    offset: int


@message(43)
@dataclass(frozen=True, slots=True)
class Relay:
    """Records as read from the log by the sender, or relayed to it.

    Parameters
    ----------
    after, up_to : int
        The message has all effective records with offsets after `after` and up to
        `up_to`; a receiver that has not seen `after` has a gap before them.
    records : bytes
        Records encoded by `record_codec.pack`.
    compressed : bool
        Whether `records` is compressed.
    gap_after, gap_until : int
        See `history.Gap`: records that began and ended between these positions may be
        missing, so a receiver that has seen one of these positions can't use `up_to`.
    """

    topic: str
    after: int
    up_to: int
    records: bytes
    compressed: bool
    gap_after: int = added_in(HISTORY_REVISION, HISTORY_NOT_STATED)
    gap_until: int = added_in(HISTORY_REVISION, HISTORY_NOT_STATED)

    @property
    def states_history(self) -> bool:
        """Return whether the sender states what it knows of earlier changes."""
        return self.gap_until != HISTORY_NOT_STATED


@message(93, HISTORY_REVISION)
@dataclass(frozen=True, slots=True)
class RecordList:
    """One part of a list of all live keys of a topic.

    Sent to a receiver that the sender can't tell all changes since its position.

    Parameters
    ----------
    as_of : int
        Position of which this is the list: a key that the receiver knows from a record
        up to there, and that the list lacks, has ended.
    part, parts : int
        Number of this part, from 0, and number of all parts, which are sent in order.
    undecided : list
        Keys that are not listed although they may not have ended.
    records : bytes
        Records encoded by `record_codec.pack`.
    compressed : bool
        Whether `records` is compressed.
    """

    topic: str
    as_of: int
    part: int
    parts: int
    undecided: list
    records: bytes
    compressed: bool


@message(65)
@dataclass(frozen=True, slots=True)
class ProofRequest:
    """Ask when the receiver's copy of the configuration was last known to be current.

    Sent to the leader, the message also cedes the sender's share of all quotas to it.

    Parameters
    ----------
    asked_at : int
        The sender's monotonic clock, in microseconds; repeated in the response.
    delegated_since : int
        The newest `Heartbeat.sent_at` of the receiver as of which the sender cedes its
        share to it; -1 if it does not.
    """

    asked_at: int
    delegated_since: int


@message(66)
@dataclass(frozen=True, slots=True)
class ProofResponse:
    """Response to `ProofRequest`: the age of the proof that the sender is current.

    Parameters
    ----------
    age_us : int
        Microseconds between the moment for which the sender's configuration is proved
        to have been the newest, and the sending of this message.
    offset : int
        Offset up to which the sender knew all changes of the configuration.
    """

    asked_at: int
    age_us: int
    offset: int
