"""Messages for instance discovery and heartbeats."""

from dataclasses import dataclass

from ...codec import message


@message(40)
@dataclass(frozen=True, slots=True)
class Introduction:
    """First message on a link: the sender's identity and address.

    Parameters
    ----------
    capacity : float
        Processor cores that the sender may use.
    knows_others : bool
        Whether the sender has read the list of registered instances.
    """

    name: str
    zone: str
    address: str
    capacity: float
    knows_others: bool


@message(59)
@dataclass(frozen=True, slots=True)
class InstanceListRequest:
    """Request the instance list of a receiver that has reported a longer one."""


@message(44)
@dataclass(frozen=True, slots=True)
class InstanceList:
    """All instances known to the sender, for a receiver that knows fewer.

    Parameters
    ----------
    rows : list
        One ``[name, zone, address, capacity]`` list per instance.
    """

    rows: list


@message(41)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat with the sender's replication progress.

    Parameters
    ----------
    reader_for_ms : int
        Milliseconds from now for which the sender still counts as a reader of the
        log; 0 if it does not read the log or an answer of the log is overdue.
    configuration : int
        Configuration version in force at the sender.
    offsets : dict
        Per topic, the offset of the newest record known to the sender.
    leads : bool
        Whether the sender is the leader, that is, schedules.
    epoch : int
        Scheduling epoch; incremented by each instance that becomes the leader.
    claims : list
        Newest lease claims known to the sender, each as the list
        ``[key, holder, incarnation, fence, offset, released, previous_holders]``.
    next_heartbeat_ms : int
        Milliseconds until the sender's next heartbeat.
    instances : int
        Number of other instances known to the sender.
    sent_at : int
        The sender's monotonic clock, in microseconds. Receivers can't interpret it;
        they only send it back.
    tight : list
        Names of the customers that are close to their limit, as the leader sees it.
    """

    stopping: bool
    reader_for_ms: int
    leads: bool
    epoch: int
    configuration: int
    offsets: dict
    claims: list
    next_heartbeat_ms: int
    instances: int
    sent_at: int
    tight: list

    @property
    def reads_log(self) -> bool:
        """Return whether the log has recently answered the sender."""
        return self.reader_for_ms > 0
