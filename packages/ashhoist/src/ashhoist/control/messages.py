"""The messages between instances that serve on a platform."""

from dataclasses import dataclass

from ..codec import message


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


@message(46)
@dataclass(frozen=True, slots=True)
class Ask:
    """A request of the sender waits for an adapter.

    Parameters
    ----------
    oldest_version : int
        Of the adapter; an older one does not do.
    worth, late_worth : float
        What an answer in time, or a late one, is worth.
    tried : list
        Upstreams that have refused or failed the request.
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
    may_return: bool
    tried: list


@message(47)
@dataclass(frozen=True, slots=True)
class Withdraw:
    """A request no longer waits."""

    id: str


@message(48)
@dataclass(frozen=True, slots=True)
class Granted:
    """A request may be sent to an engine that serves its adapter.

    Parameters
    ----------
    expected_ms : int
        When its first event should come.
    permitted : bool
        Whether that engine has named a limit, and this send is within it.
    """

    id: str
    upstream: str
    version: int
    expected_ms: int
    permitted: bool


@message(49)
@dataclass(frozen=True, slots=True)
class Declined:
    """A request is not going to get its adapter in time."""

    id: str
    reason: str
    retry_after_ms: int


@message(50)
@dataclass(frozen=True, slots=True)
class Uses:
    """What requests do at engines, in their order.

    Parameters
    ----------
    began : list
        Lists of id, upstream, model, name and tokens, of those that the holder
        has not granted.
    started : list
        Lists of id and upstream.
    ended : list
        Lists of id, upstream and what the end says of it (`UseEnd`).
    """

    began: list
    started: list
    ended: list


@message(55)
@dataclass(frozen=True, slots=True)
class Waits:
    """A request waits for its adapter; the holder has taken it in."""

    id: str


@message(51)
@dataclass(frozen=True, slots=True)
class ReadClaimsFor:
    """Read a zone's newest claims for the sender, whom the log turns away."""

    zone: str
    number: int


@message(52)
@dataclass(frozen=True, slots=True)
class AppendClaimFor:
    """Append a claim for the sender, only where its partition ends at `at`."""

    zone: str
    number: int
    value: bytes
    at: int


@message(53)
@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """The newest claims: lists of offset, key and value.

    Parameters
    ----------
    end : int
        Where the partition ended; -1 if the log did not answer.
    """

    zone: str
    number: int
    end: int
    records: list


@message(54)
@dataclass(frozen=True, slots=True)
class ClaimAppended:
    """How an append ended.

    Parameters
    ----------
    result : str
        ``appended``, ``condition``, ``unavailable`` or ``unknown``.
    value : int
        The offset of the record, or where the partition ended.
    """

    zone: str
    number: int
    result: str
    value: int


@message(57)
@dataclass(frozen=True, slots=True)
class Carry:
    """An order for an engine whose zone's lease the receiver holds.

    Parameters
    ----------
    version : int
        Of the adapter; 0 asks for the newest.
    """

    number: int
    upstream: str
    address: str
    zone: str
    kind: str
    model: str
    name: str
    expected: int
    version: int


@message(58)
@dataclass(frozen=True, slots=True)
class Carried:
    """How an order ended that the receiver had asked for."""

    number: int
    upstream: str
    answer: str


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


@message(67)
@dataclass(frozen=True, slots=True)
class DrawTokens:
    """Ask for tokens of a customer's quota.

    Parameters
    ----------
    needed : float
        For the request that waits.
    extra : float
        What the next ones will likely need.
    """

    number: int
    customer: str
    needed: float
    extra: float


@message(68)
@dataclass(frozen=True, slots=True)
class TokensDrawn:
    """Tokens that the receiver may spend.

    Parameters
    ----------
    tokens : float
        0 if the quota does not hold what is needed now.
    wait_ms : int
        When it will; -1 if the sender can't tell, or grants nothing now.
    used, spare : float
        Of the quota's rate, and of its burst; see `customers.granter.Use`.
    """

    number: int
    tokens: float
    wait_ms: int
    used: float
    spare: float


@message(69)
@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Tokens that were not spent: lists of customer and tokens."""

    rows: list


@message(71)
@dataclass(frozen=True, slots=True)
class Leaving:
    """Upstreams that have said in answers that they leave.

    Parameters
    ----------
    rows : list
        Lists of id and life.
    """

    rows: list


@message(70)
@dataclass(frozen=True, slots=True)
class WriteCrash:
    """Ask to write a record of requests that were cut off.

    The log has turned the sender away. Writing it twice does no harm.
    """

    key: str
    value: bytes


@message(72)
@dataclass(frozen=True, slots=True)
class CrashesSeen:
    """Requests that were cut off, as the log may not say yet.

    Parameters
    ----------
    rows : list
        Lists of an upstream's life, the instance that saw it end, and the
        fingerprints of the requests that were cut there.
    """

    rows: list


@message(73)
@dataclass(frozen=True, slots=True)
class LimitsNamed:
    """What answers of upstreams have said of their limits.

    Parameters
    ----------
    rows : list
        Lists of an upstream's life, the requests a second that it takes (none if the
        answer named no limit), and how many microseconds ago the request was sent and
        its answer came.
    """

    rows: list


@message(74)
@dataclass(frozen=True, slots=True)
class LeaveShare:
    """The sender leaves its share of all limits to the receiver, which leads.

    Parameters
    ----------
    since : int
        As `AskProof.leaves_since`.
    """

    since: int


@message(75)
@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask for one send to an upstream that has named a limit.

    Parameters
    ----------
    number : int
        Chosen by the asker; it stands in the answer.
    """

    number: int
    upstream: str


@message(76)
@dataclass(frozen=True, slots=True)
class PermitAnswered:
    """Whether the receiver may send.

    Parameters
    ----------
    wait_ms : int
        When to ask again; 0 if it may.
    """

    number: int
    granted: bool
    wait_ms: int
