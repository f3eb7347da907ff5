"""Messages for instance discovery and heartbeats."""

from dataclasses import dataclass

from ...codec import message


@message(40)
@dataclass(frozen=True, slots=True)
class Introduce:
    """The first message on a link: who is there, and where it is reached.

    Parameters
    ----------
    capacity : float
        Processor cores it may use.
    knows_others : bool
        Whether it has read which instances there are.
    """

    name: str
    zone: str
    address: str
    capacity: float
    knows_others: bool


@message(59)
@dataclass(frozen=True, slots=True)
class AskInstances:
    """Ask which instances the receiver knows: it has said that it knows more."""


@message(44)
@dataclass(frozen=True, slots=True)
class Instances:
    """All instances that the sender knows, for one that knows fewer.

    Parameters
    ----------
    rows : list
        Lists of name, zone, address and capacity.
    """

    rows: list


@message(41)
@dataclass(frozen=True, slots=True)
class Beat:
    """Sign of life, with how much the sender has read.

    Parameters
    ----------
    reads_for_ms : int
        How long the log's last answers to the sender count from now on, in
        milliseconds; 0 if it does not read, or an answer is overdue.
    configuration : int
        Version in force at the sender.
    offsets : dict
        By topic, the offset of the newest record that the sender knows.
    leads : bool
        Whether the sender schedules.
    epoch : int
        Rises with each instance that begins to schedule.
    claims : list
        The newest claims it knows, as lists: key, holder, life, fence, offset,
        released, before.
    every_ms : int
        When the next beat follows.
    instances : int
        How many other instances the sender knows.
    sent_at : int
        The sender's steady clock, in microseconds. It means nothing to others, who
        only tell it back.
    tight : list
        Names of the customers that are close to their limit; the leader knows.
    """

    stopping: bool
    reads_for_ms: int
    leads: bool
    epoch: int
    configuration: int
    offsets: dict
    claims: list
    every_ms: int
    instances: int
    sent_at: int
    tight: list

    @property
    def reads_log(self) -> bool:
        """Return whether the log has answered the sender lately."""
        return self.reads_for_ms > 0
