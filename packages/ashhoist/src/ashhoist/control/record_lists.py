"""Messages with changes of a topic, and with lists of all keys in several parts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..store import Position, Record, Topic
from .messages import RecordList, Relay
from .record_codec import pack, unpack
from .replica import Replica

MAX_LISTED = 2000
"""Maximum number of records in one message of a list."""


@dataclass(slots=True)
class ListedRecords:
    """A list of a topic, as far as it has been received.

    Parameters
    ----------
    as_of : Position
        Keys recorded up to this position that are not listed have ended.
    undecided : frozenset of str
        Keys of which the sender does not know yet whether they have ended.
    """

    peer: str
    as_of: Position
    undecided: frozenset[str]
    records: list[Record] = field(default_factory=list)
    parts: int = 0


def make_list(
    replica: Replica, topic: Topic, undecided: Iterable[str]
) -> list[RecordList]:
    """Return the messages of a list of all live keys, in the order to send them.

    Parameters
    ----------
    undecided : iterable of str
        Keys that are not live in the replica, and may not have ended.
    """
    records = replica.live(topic)
    starts = range(0, max(len(records), 1), MAX_LISTED)
    names = sorted(undecided)
    return [
        RecordList(
            str(topic),
            replica.seen(topic),
            number,
            len(starts),
            names,
            *pack(records[start : start + MAX_LISTED]),
        )
        for number, start in enumerate(starts)
    ]


def make_relay(
    replica: Replica,
    topic: Topic,
    after: Position,
    up_to: Position,
    records: list[Record],
) -> Relay:
    """Return the message of all changes between two positions.

    Parameters
    ----------
    after : Position
        A position that the history of the replica covers.
    """
    gap = replica.history(topic).gap_beyond(after)
    return Relay(str(topic), after, up_to, *pack(records), gap.after, gap.until)


class IncomingLists:
    """Assembles the messages of lists, one list of each topic at a time."""

    def __init__(self) -> None:
        self._by_topic: dict[str, ListedRecords] = {}

    def add(self, peer: str, message: RecordList) -> ListedRecords | None:
        """Add a message; return its list if that is complete now.

        A message that does not continue the list of its topic is dropped.
        """
        as_of = Position(message.as_of)
        if message.part == 0:
            undecided = frozenset(map(str, message.undecided))
            self._by_topic[message.topic] = ListedRecords(peer, as_of, undecided)
        found = self._by_topic.get(message.topic)
        if found is None or (found.peer, found.as_of) != (peer, as_of):
            return None
        if found.parts != message.part:
            del self._by_topic[message.topic]
            return None
        found.records += unpack(message.records, message.compressed)
        found.parts += 1
        if found.parts < message.parts:
            return None
        return self._by_topic.pop(message.topic)
