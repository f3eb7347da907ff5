"""Makes the lease's store calls: by itself, or through an instance that can.

A holder that the log turns away while the others are served would lose its lease
for nothing. It lets a linked instance read and append for it. Its authority counts
from before it asked, as with calls of its own.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..logs import Logger
from ..orders import AppendClaim, Lease, LeaseAction, ReadClaims
from ..store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Position,
    Record,
    Unavailable,
    Unknown,
)
from . import messages
from .outside import Outside
from .peers import Peers

PATIENCE = timedelta(milliseconds=450)
APPENDED, CONDITION, UNAVAILABLE, UNKNOWN = (
    "appended",
    "condition",
    "unavailable",
    "unknown",
)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A call that another instance makes for this one."""

    number: int
    action: LeaseAction
    peer: str
    until: timedelta


class LeaseCalls:
    """Where the calls of one lease go, and what comes back.

    Parameters
    ----------
    done : callable
        Called after the lease has taken in an answer.
    """

    def __init__(
        self,
        zone: str,
        lease: Lease,
        peers: Peers,
        outside: Outside,
        done: Callable[[], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._zone = zone
        self._lease = lease
        self._peers = peers
        self._outside = outside
        self._done = done
        self._clock = clock
        self._log = log
        self._asked: _Asked | None = None
        self._numbers = 0
        self._own_way = True
        self._failed_peers: set[str] = set()

    def log_answers(self) -> None:
        """Note that the log has answered this instance."""
        self._own_way = True
        self._failed_peers.clear()

    def step(self) -> None:
        """Make the call that is due, if any; give up one that takes too long."""
        now = self._clock.monotonic()
        if self._asked is not None and now >= self._asked.until:
            self._give_up(self._asked)
        action = self._lease.due()
        if action is None:
            return
        peer = None if self._own_way else self._helper()
        if peer is None:
            self._outside.lease_call(action)
            return
        self._ask(peer, action, now)

    def _helper(self) -> str | None:
        """Return a linked instance that reads the log, if there is one."""
        for name in self._peers.readers():
            if name not in self._failed_peers:
                return name
        self._failed_peers.clear()
        return None

    def _ask(self, peer: str, action: LeaseAction, now: timedelta) -> None:
        self._numbers += 1
        number = self._numbers
        self._asked = _Asked(number, action, peer, now + PATIENCE)
        message: Any = messages.ReadClaimsFor(self._zone, number)
        if isinstance(action, AppendClaim):
            value = action.claim.encode()
            message = messages.AppendClaimFor(self._zone, number, value, action.at)
        self._log.info(
            "lease call through a peer", zone=self._zone, peer=peer, call=_name(action)
        )
        self._outside.send_to(peer, message)

    def _give_up(self, asked: _Asked) -> None:
        self._asked = None
        self._failed_peers.add(asked.peer)
        if isinstance(asked.action, ReadClaims):
            self._take_read(Unavailable("peer silent"))
        else:
            self._take_appended(asked.action, Unknown("peer silent"))

    # Answers of the log itself

    def read(self, result: Newest | Unavailable) -> None:
        """Take in the newest claims as this instance has read them."""
        if isinstance(result, Unavailable):
            self._own_way = False
        self._take_read(result)

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Take in how an append of this instance ended."""
        if isinstance(result, Unavailable | Unknown):
            self._own_way = False
        self._take_appended(action, result)

    # Answers through an instance

    def claims_read(self, peer: str, message: messages.ClaimsRead) -> None:
        """Take in the newest claims that an instance has read for this one."""
        asked = self._answered(peer, message.number)
        if asked is None:
            return
        if message.end < 0:
            self._failed_peers.add(peer)
            self._take_read(Unavailable("peer turned away"))
            return
        records = tuple(
            Record(Position(at), key, value) for at, key, value in message.records
        )
        self._take_read(Newest(records, Position(message.end)))

    def claim_appended(self, peer: str, message: messages.ClaimAppended) -> None:
        """Take in how an append that an instance has made ended."""
        asked = self._answered(peer, message.number)
        if asked is None or not isinstance(asked.action, AppendClaim):
            return
        if message.result in (UNAVAILABLE, UNKNOWN):
            self._failed_peers.add(peer)
        self._take_appended(asked.action, _result(message))

    def _answered(self, peer: str, number: int) -> _Asked | None:
        asked = self._asked
        if asked is None or asked.number != number or asked.peer != peer:
            return None
        self._asked = None
        return asked

    def _take_read(self, result: Newest | Unavailable) -> None:
        self._lease.read(result)
        self._done()

    def _take_appended(self, action: AppendClaim, result: AppendResult) -> None:
        self._lease.appended(action, result)
        self._done()


def read_answer(
    asked: messages.ReadClaimsFor, result: Newest | Unavailable
) -> messages.ClaimsRead:
    """Return what to tell an instance that claims were read for."""
    if isinstance(result, Unavailable):
        return messages.ClaimsRead(asked.zone, asked.number, -1, [])
    rows = [[record.offset, record.key, record.value] for record in result.records]
    return messages.ClaimsRead(asked.zone, asked.number, result.end, rows)


def append_answer(
    asked: messages.AppendClaimFor, result: AppendResult
) -> messages.ClaimAppended:
    """Return what to tell an instance that a claim was appended for."""
    zone, number = asked.zone, asked.number
    if isinstance(result, Appended):
        return messages.ClaimAppended(zone, number, APPENDED, result.offset)
    if isinstance(result, ConditionFailed):
        return messages.ClaimAppended(zone, number, CONDITION, result.end)
    kind = UNAVAILABLE if isinstance(result, Unavailable) else UNKNOWN
    return messages.ClaimAppended(zone, number, kind, 0)


def _result(message: messages.ClaimAppended) -> AppendResult:
    if message.result == APPENDED:
        return Appended(Position(message.value))
    if message.result == CONDITION:
        return ConditionFailed(Position(message.value))
    return Unavailable("peer") if message.result == UNAVAILABLE else Unknown("peer")


def _name(action: LeaseAction) -> str:
    return "read" if isinstance(action, ReadClaims) else "append"
